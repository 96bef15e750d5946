package placement

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against the loss of a connection that is needed soon while another one is not.
func TestVictimIsTheConnectionNeededLast(t *testing.T) {
	for name, c := range map[string]struct {
		idle []Idle
		want int
	}{
		"none":                 {nil, -1},
		"without organisation": {[]Idle{{"small", 0.01}, {"", 0}, {"large", 9}}, 1},
		"rarest":               {[]Idle{{"large", 9}, {"small", 0.01}, {"medium", 1}}, 1},
		"unknown":              {[]Idle{{"large", 9}, {"new", 0}}, 1},
		"least recently used":  {[]Idle{{"a", 1}, {"b", 1}}, 0},
		// With 9 requests a second of 20 ms, the second connection is needed every 0.6 s and
		// the third every 3.4 s, the only one of the other organisation every 2 s.
		"spare of a large one":        {[]Idle{{"large", 9}, {"large", 9}, {"large", 9}, {"small", 0.5}}, 0},
		"not the second one that few": {[]Idle{{"large", 9}, {"small", 0.5}, {"large", 9}}, 1},
	} {
		if got := Victim(c.idle, 20*ms); got != c.want {
			t.Errorf("%s: the victim is %d, want %d", name, got, c.want)
		}
	}
}

// Guards against a small organisation that looks like a large one because it sent its
// last request more recently, and against one that was large for ever.
func TestRateFollowsRecencyAndNumber(t *testing.T) {
	var large, small Use
	for at := time.Duration(0); at < time.Minute; at += 100 * ms {
		large.Record(at)
	}
	small.Record(time.Minute)
	now := time.Minute + time.Second
	if l, s := large.Rate(now), small.Rate(now); l < 5 || l > 11 || s > 0.1 {
		t.Errorf("rates %.2f and %.2f, want about 9 and below 0.1", l, s)
	}
	if l, s := large.Rate(now+4*time.Minute), small.Rate(now); l > s || large.Negligible(now+4*time.Minute) || !large.Negligible(now+10*time.Minute) {
		t.Errorf("the rate is %.3f after four minutes without a request, that of a new organisation %.3f", l, s)
	}
}

// Guards against a connection that is opened although one of the organisation is about to
// be released, and against a wait for one whose release is far or can't be predicted.
func TestWaitOnlyForASoonerRelease(t *testing.T) {
	const hold, open = 20 * ms, 12 * ms
	for name, c := range map[string]struct {
		held    []time.Duration
		waiting int
		want    time.Duration
	}{
		"none in use":              {nil, 0, 0},
		"soon":                     {[]time.Duration{10 * ms}, 0, open},
		"just taken":               {[]time.Duration{ms}, 0, 0},
		"overdue":                  {[]time.Duration{30 * ms}, 0, open},
		"idle transaction":         {[]time.Duration{time.Second}, 0, 0},
		"another one waits for it": {[]time.Duration{10 * ms}, 1, 0},
		"one for each":             {[]time.Duration{10 * ms, 15 * ms}, 1, open},
		"one and a transaction":    {[]time.Duration{time.Second, 15 * ms}, 0, open},
	} {
		if got := WaitTime(c.held, c.waiting, hold, open); got != c.want {
			t.Errorf("%s: wait %v, want %v", name, got, c.want)
		}
	}
}
