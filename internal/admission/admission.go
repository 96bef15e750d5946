// Package admission decides which request runs next on a database and which is
// refused.
//
// Invariants: a refused request was not run. A request is never started after
// its deadline. The number of waiting requests is bounded per rank. Every
// lower rank with waiting work keeps GuaranteedShare of slot time under
// PolicyTargets.
//
// The decisions are made by core, which does no I/O, starts no goroutine and
// gets the time as an argument. Queue wraps it for concurrent callers.
package admission

import (
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
)

// Policy names an admission policy.
type Policy string

// Policies. FIFO and strict priority are baselines for measurements.
const (
	PolicyTargets Policy = "targets"
	PolicyFIFO    Policy = "fifo"
	PolicyStrict  Policy = "strict"
)

// Config configures a Queue.
type Config struct {
	Clock  clock.Clock
	Policy Policy // empty means PolicyTargets
	// MaxConcurrency bounds the concurrency limit, such as the number of
	// connections that the pool may open.
	MaxConcurrency int
	// FixedConcurrency uses MaxConcurrency as the limit instead of searching
	// for one. It suits a database that many instances share, where one
	// instance's service times do not follow from its own concurrency.
	FixedConcurrency bool
	// MaxQueued bounds the waiting requests of each rank; 0 means
	// DefaultMaxQueued.
	MaxQueued int
	// Seed seeds the spread of retry-after values; equal seeds and inputs
	// give equal decisions. 0 means a random seed.
	Seed uint64
}

// DefaultMaxQueued bounds the waiting requests of each rank. A waiting request
// takes about 500 bytes, so a full queue stays below 10 MB.
const DefaultMaxQueued = 4096

// Request is a request that waits for its turn.
type Request struct {
	ID       string
	Class    string // service and class name
	Caller   string // fairness key within the class
	Rank     catalog.Rank
	Deadline time.Time // zero means none
	// Pinned marks a statement of an open transaction. It holds a connection
	// already and is served before new work of its rank.
	Pinned bool
}

// RankLoad is the load of one rank.
type RankLoad struct {
	Rank catalog.Rank
	// Wait is the estimated wait of a new request of a caller that has none
	// waiting.
	Wait time.Duration
}

// Load describes a queue for shedding before the hop.
type Load struct {
	Queued int
	Limit  int // concurrency limit in force
	Ranks  []RankLoad
}
