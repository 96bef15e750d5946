package distance

import (
	"testing"
	"time"
)

var regions = Regions{"a": "north", "b": "north", "c": "south"}

// Guards against a data centre of the other region, or one that the settings do not
// list, that counts as near.
func TestTiers(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want Tier
	}{
		{"a", "a", SameDataCentre},
		{"a", "b", SameRegion},
		{"a", "c", OtherRegion},
		{"c", "b", OtherRegion},
		{"a", "x", OtherRegion},
		{"x", "a", OtherRegion},
		{"x", "x", SameDataCentre},
		{"x", "y", OtherRegion},
	} {
		if got := regions.Tier(c.a, c.b); got != c.want {
			t.Errorf("%s to %s: %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

// Guards against a nearer tier that costs more than a farther one.
func TestFartherTiersCostMore(t *testing.T) {
	for near := SameDataCentre; near < OtherRegion; near++ {
		if far := near + 1; near.Price() >= far.Price() || near.RoundTrip() >= far.RoundTrip() {
			t.Errorf("%v costs as much as %v", near, far)
		}
	}
}

// Guards against a time that one delayed exchange raises, that does not follow the
// network, and that is used although it is old.
func TestRoundTripFollowsMeasurements(t *testing.T) {
	times := NewTimes(regions, "a")
	now := time.Hour
	if took, _, measured := times.RoundTrip("c", now); took != 24*time.Millisecond || measured {
		t.Errorf("without measurements: %v, measured %v", took, measured)
	}
	for range 20 {
		times.Observe("c", 10*time.Millisecond, now)
	}
	times.Observe("c", 200*time.Millisecond, now)
	if took, _, _ := times.RoundTrip("c", now); took > 20*time.Millisecond {
		t.Errorf("%v after one delayed exchange, want close to 10 ms", took)
	}
	for range 100 {
		times.Observe("c", 40*time.Millisecond, now)
	}
	if took, age, measured := times.RoundTrip("c", now+time.Second); took < 35*time.Millisecond || age != time.Second || !measured {
		t.Errorf("%v, %v old, measured %v, want about 40 ms, one second old", took, age, measured)
	}
	if took, _, measured := times.RoundTrip("c", now+maxAge+1); took != 24*time.Millisecond || measured {
		t.Errorf("after maxAge: %v, measured %v, want the default", took, measured)
	}
}
