// Package freshness proves how old the data of a replica can be. It keeps, for
// one service, positions that the primary reported, each with the time at which
// the question was sent.
//
// Invariant: a database whose log holds the position returned by RequiredPosition holds
// every commit that was acknowledged more than the bound ago, because the
// primary's log held those commits when it answered.
package freshness

import (
	"sync"
	"time"

	"geraniumbeam/internal/statement"
)

const (
	// spacing is the least distance between two kept observations. A coarser
	// history asks replicas for a position that is up to spacing newer than
	// needed.
	spacing = 20 * time.Millisecond
	// kept bounds the history: 512 observations cover 10 s, four times the
	// largest bound of the known routes.
	kept = 512
)

type observation struct {
	asked    time.Duration
	position statement.Position
}

// History holds the positions seen at the primary of one service. It is safe
// for concurrent use.
type History struct {
	mu   sync.Mutex
	seen []observation // in order of asked
}

// Observe records that the primary, asked at the time asked, reported position.
// Times are readings of a clock that counts suspension.
func (h *History) Observe(asked time.Duration, position statement.Position) {
	if position.IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.seen); n > 0 && asked-h.seen[n-1].asked < spacing {
		return
	}
	if len(h.seen) == kept {
		h.seen = append(h.seen[:0], h.seen[kept/2:]...)
	}
	h.seen = append(h.seen, observation{asked, position})
}

// RequiredPosition returns the earliest known position that proves an age of at most
// bound at the time now. It reports false if no observation is recent enough.
func (h *History) RequiredPosition(now, bound time.Duration) (statement.Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := now - bound
	lo, hi := 0, len(h.seen)
	for lo < hi {
		mid := (lo + hi) / 2
		if h.seen[mid].asked < oldest {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == len(h.seen) {
		return statement.Position{}, false
	}
	return h.seen[lo].position, true
}
