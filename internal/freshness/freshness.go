// Package freshness bounds the age of the data that a replica returns. It keeps
// log positions reported by the primary of a service, each with the time at which
// the query was sent.
//
// Invariant: a database whose log contains the position returned by
// RequiredPosition has every commit that was acknowledged longer ago than the
// maximum age, because the primary's log contained these commits when it answered.
package freshness

import (
	"sync"
	"time"

	"geraniumbeam/internal/statement"
)

const (
	// minInterval is the minimum time between two stored observations. The
	// position required of a replica is newer than necessary by up to this time.
	minInterval = 20 * time.Millisecond
	// maxObservations is the size of the history. 512 observations cover 10 s,
	// four times the largest maximum age of known routes.
	maxObservations = 512
)

// observation is a position that the primary reported.
type observation struct {
	queriedAt time.Duration
	position  statement.Position
}

// History holds the positions reported by the primary of one service. It is safe
// for concurrent use.
type History struct {
	mu           sync.Mutex
	observations []observation // sorted by queriedAt
}

// Observe records that the primary, queried at queriedAt, reported position. It
// ignores observations that are older than the last one or less than minInterval
// newer. Times are readings of a clock that includes the time of a suspension.
func (h *History) Observe(queriedAt time.Duration, position statement.Position) {
	if position.IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.observations); n > 0 && queriedAt-h.observations[n-1].queriedAt < minInterval {
		return
	}
	if len(h.observations) == maxObservations {
		h.observations = append(h.observations[:0], h.observations[maxObservations/2:]...)
	}
	h.observations = append(h.observations, observation{queriedAt, position})
}

// RequiredPosition returns the lowest known position that guarantees an age of at
// most maxAge at the time now. It returns false if no observation is recent
// enough.
func (h *History) RequiredPosition(now, maxAge time.Duration) (statement.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := now - maxAge
	lo, hi := 0, len(h.observations)
	for lo < hi {
		mid := (lo + hi) / 2
		if h.observations[mid].queriedAt < oldest {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(h.observations) {
		return statement.Position{}, false
	}
	return h.observations[lo].position, true
}
