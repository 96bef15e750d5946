package freshness

import (
	"testing"
	"time"

	"geraniumbeam/internal/statement"
)

const ms = time.Millisecond

func at(n uint64) statement.Position { return statement.Position{Term: 3, Number: n} }

// Guards against a read from a replica that lacks a commit older than the maximum
// age of the read.
func TestRequiredPositionProvesAge(t *testing.T) {
	var h History
	h.Observe(100*ms, at(1))
	h.Observe(200*ms, at(2))
	h.Observe(300*ms, at(3))
	for _, c := range []struct {
		now, bound time.Duration
		want       uint64
		ok         bool
	}{
		{300 * ms, 250 * ms, 1, true},
		{300 * ms, 200 * ms, 1, true},
		{300 * ms, 199 * ms, 2, true},
		{400 * ms, 100 * ms, 3, true},
		{401 * ms, 100 * ms, 0, false}, // no observation is recent enough
	} {
		p, ok := h.RequiredPosition(c.now, c.bound)
		if ok != c.ok || p.Number != c.want {
			t.Errorf("Required(%v, %v) = %v, %v; want number %d, %v", c.now, c.bound, p, ok, c.want, c.ok)
		}
	}
}

// Guards against memory use that grows with the uptime of the process.
func TestHistorySizeIsBounded(t *testing.T) {
	var h History
	for i := range 10_000 {
		h.Observe(time.Duration(i)*minInterval, at(uint64(i+1)))
	}
	if len(h.observations) > maxObservations {
		t.Errorf("%d observations are kept, want at most %d", len(h.observations), maxObservations)
	}
	if p, ok := h.RequiredPosition(9_999*minInterval, 2*time.Second); !ok || p.Number != 9_900 {
		t.Errorf("Required = %v, %v; want number 9900", p, ok)
	}
}

// Guards against an observation that arrives out of order and lowers the required
// position.
func TestOutOfOrderObservationIsIgnored(t *testing.T) {
	var h History
	h.Observe(500*ms, at(9))
	h.Observe(100*ms, at(1))
	if p, ok := h.RequiredPosition(500*ms, 450*ms); !ok || p.Number != 9 {
		t.Errorf("Required = %v, %v; want number 9", p, ok)
	}
}
