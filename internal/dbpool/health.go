package dbpool

import "time"

const (
	// silentAfter is how long a database may leave requests without any
	// answer before it is treated as silent. The slowest statements take
	// 550 ms on a database that is five times slower than usual, but others
	// are answered meanwhile.
	silentAfter = 250 * time.Millisecond
)

// health follows whether a database answers. The owner's lock protects it.
type health struct {
	lastAnswer   time.Duration
	failingSince time.Duration // first failure after lastAnswer; 0: none
	lastFailure  time.Duration // 0: none
	outstanding  int
	oldest       time.Duration // start of the oldest exchange since nothing was outstanding
}

func (h *health) begin(now time.Duration) {
	if h.outstanding == 0 {
		h.oldest = now
	}
	h.outstanding++
}

func (h *health) end(began, now time.Duration, answered bool) {
	h.outstanding--
	if answered {
		h.lastAnswer, h.oldest = now, now
		h.failingSince = 0
		return
	}
	h.lastFailure = now
	if began < h.lastAnswer {
		return // the database answered others meanwhile
	}
	if h.failingSince == 0 {
		h.failingSince = began
	}
}

// quiet reports that nothing failed and nothing is asked. It needs no clock, which
// is a system call.
func (h *health) quiet() bool { return h.failingSince == 0 && h.outstanding == 0 }

// silent reports that requests have waited long without any answer.
func (h *health) silent(now time.Duration) bool {
	return h.outstanding > 0 && now-h.oldest > silentAfter
}

// troubled returns since when the database has not answered, if that is in
// doubt.
func (h *health) troubled(now time.Duration) (time.Duration, bool) {
	if h.failingSince != 0 {
		return h.failingSince, true
	}
	if h.silent(now) {
		return h.oldest, true
	}
	return 0, false
}
