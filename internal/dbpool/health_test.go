package dbpool

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a database that stops answering and is detected only when requests
// time out, and against a false detection while it answers other requests.
func TestStallIsDetected(t *testing.T) {
	var h health
	h.begin(1000 * ms)
	h.begin(1100 * ms)
	if h.stalled(1000*ms + stallTimeout) {
		t.Error("stalled before the time-out")
	}
	if !h.stalled(1001*ms + stallTimeout) {
		t.Error("the stall is not detected")
	}
	h.end(1100*ms, 1200*ms, true) // another request is answered
	if h.stalled(1200*ms+stallTimeout) || !h.stalled(1201*ms+stallTimeout) {
		t.Error("an answer does not restart the time-out")
	}
}

// Guards against a database that counts as unresponsive because an exchange failed
// that began before its latest answer.
func TestFailureBeforeAnAnswerDoesNotCount(t *testing.T) {
	var h health
	h.begin(1000 * ms)
	h.begin(1200 * ms)
	h.end(1200*ms, 1250*ms, true)
	h.end(1000*ms, 1300*ms, false)
	if _, unresponsive := h.unresponsiveSince(1300 * ms); unresponsive {
		t.Error("an old failure counts")
	}
	h.begin(1400 * ms)
	h.end(1400*ms, 1410*ms, false)
	if since, unresponsive := h.unresponsiveSince(1420 * ms); !unresponsive || since != 1400*ms {
		t.Errorf("unresponsive since %v, %v, want 1.4s and true", since, unresponsive)
	}
}
