package dbpool

import "time"

// stallTimeout is how long exchanges may be outstanding without any answer from
// the database before it counts as stalled. The slowest statements take 550 ms on
// a database that is five times slower than usual, but it answers other exchanges
// meanwhile.
const stallTimeout = 250 * time.Millisecond

// health tracks whether a database answers. Pool.mu protects it.
type health struct {
	lastAnswer   time.Duration
	failingSince time.Duration // start of the first exchange that failed after lastAnswer; 0 if none
	lastFailure  time.Duration // 0 if none
	expiredSince time.Duration // start of the first exchange after lastAnswer that passed its own deadline; 0 if none
	outstanding  int
	// waitingSince is the later of lastAnswer and the time at which exchanges
	// became outstanding.
	waitingSince time.Duration
}

func (h *health) begin(now time.Duration) {
	if h.outstanding == 0 {
		h.waitingSince = now
	}
	h.outstanding++
}

func (h *health) end(began, now time.Duration, answered bool) {
	h.outstanding--
	if answered {
		h.answered(now)
		return
	}
	h.lastFailure = now
	if began < h.lastAnswer {
		return // the database has answered another exchange since then
	}
	if h.failingSince == 0 {
		h.failingSince = began
	}
}

// expired records that an exchange passed its own deadline. A deadline can be shorter
// than the database's queue, so this is a failure only if nothing was answered for
// stallTimeout.
func (h *health) expired(began, now time.Duration) {
	if began >= h.lastAnswer && h.expiredSince == 0 {
		h.expiredSince = began
	}
	if h.expiredSince != 0 && now-h.expiredSince >= stallTimeout {
		h.end(h.expiredSince, now, false)
		return
	}
	h.outstanding--
}

// cancel ends an exchange that was given up before it could fail.
func (h *health) cancel() { h.outstanding-- }

// answered records an answer of the database, or of the owner on its way.
func (h *health) answered(now time.Duration) {
	h.lastAnswer, h.waitingSince = now, now
	h.failingSince, h.expiredSince = 0, 0
}

// idleAndHealthy reports whether no exchange is outstanding and none has failed
// since the last answer. It avoids reading the clock, which is a system call.
func (h *health) idleAndHealthy() bool { return h.failingSince == 0 && h.outstanding == 0 }

// stalled reports whether exchanges are outstanding and the database has answered
// none for stallTimeout.
func (h *health) stalled(now time.Duration) bool {
	return h.outstanding > 0 && now-h.waitingSince > stallTimeout
}

// unresponsiveSince returns the time since which the database has failed to answer.
// It returns false if the database is considered responsive.
func (h *health) unresponsiveSince(now time.Duration) (time.Duration, bool) {
	if h.failingSince != 0 {
		return h.failingSince, true
	}
	if h.stalled(now) {
		return h.waitingSince, true
	}
	return 0, false
}
