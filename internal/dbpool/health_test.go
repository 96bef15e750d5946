package dbpool

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a silent database that is noticed only when requests time out,
// and against suspicion while it answers others.
func TestSilenceIsNoticed(t *testing.T) {
	var h health
	h.begin(1000 * ms)
	h.begin(1100 * ms)
	if h.stalled(1000*ms + stallTimeout) {
		t.Error("silent too early")
	}
	if !h.stalled(1001*ms + stallTimeout) {
		t.Error("the silence is not noticed")
	}
	h.end(1100*ms, 1200*ms, true) // another request is answered
	if h.stalled(1200*ms+stallTimeout) || !h.stalled(1201*ms+stallTimeout) {
		t.Error("an answer does not start the wait anew")
	}
}

// Guards against a failure of an old exchange that outweighs newer answers.
func TestFailureBeforeAnAnswerDoesNotCount(t *testing.T) {
	var h health
	h.begin(1000 * ms)
	h.begin(1200 * ms)
	h.end(1200*ms, 1250*ms, true)
	h.end(1000*ms, 1300*ms, false)
	if _, troubled := h.unresponsiveSince(1300 * ms); troubled {
		t.Error("an old failure counts")
	}
	h.begin(1400 * ms)
	h.end(1400*ms, 1410*ms, false)
	if since, troubled := h.unresponsiveSince(1420 * ms); !troubled || since != 1400*ms {
		t.Errorf("troubled since %v, %v", since, troubled)
	}
}
