// Package admission implements admission control: it decides which request runs
// next on a database and which is refused.
//
// Invariants: a refused request was not run. A request is never started after
// its deadline. The number of waiting requests is bounded per rank. Under
// PolicyTargets, every rank below the highest keeps GuaranteedShare of the slot
// time while it has waiting work.
//
// The decisions are made by core, which does no I/O, starts no goroutine and
// gets the time as an argument. Queue makes it safe for concurrent callers.
package admission

import (
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
)

// Policy names an admission policy.
type Policy string

// Admission policies. PolicyFIFO and PolicyStrict, which serves ranks in strict
// priority, are baselines for measurements.
const (
	PolicyTargets Policy = "targets"
	PolicyFIFO    Policy = "fifo"
	PolicyStrict  Policy = "strict"
)

// Config configures a Queue.
type Config struct {
	Clock  clock.Clock
	Policy Policy // empty means PolicyTargets
	// MaxConcurrency is the upper bound of the concurrency limit, such as the
	// number of connections that the pool may open.
	MaxConcurrency int
	// FixedConcurrency uses MaxConcurrency as the limit instead of adapting
	// the limit to the measured service times. It suits a database that many
	// instances share, where one instance's service times do not depend on
	// its own concurrency.
	FixedConcurrency bool
	// MaxQueued bounds the waiting requests of each rank; 0 means
	// DefaultMaxQueued.
	MaxQueued int
	// Seed seeds the jitter of retry-after values; equal seeds and inputs
	// give equal decisions. 0 means a random seed.
	Seed uint64
}

// DefaultMaxQueued bounds the waiting requests of each rank. A waiting request
// takes about 500 bytes, so a full queue stays below 10 MB.
const DefaultMaxQueued = 4096

// Request describes a request to be admitted.
type Request struct {
	ID     string
	Class  string // service and class name
	Caller string // fairness key within the class
	// Organisation is the organisation that sends the request, empty if the deployment
	// has none. The request runs only on a connection of this organisation.
	Organisation string
	Rank         catalog.Rank
	Deadline     time.Time // zero means none
	// Target is when the request should be answered; zero means none. Under
	// PolicyTargets, a request that can no longer meet its target waits for those of
	// its rank that can.
	Target time.Time
	// Pinned marks a statement of an open transaction. The transaction already
	// holds a connection, and the statement is served before new work of its
	// rank.
	Pinned bool
}

// RankLoad is the load of one rank.
type RankLoad struct {
	Rank catalog.Rank
	// Wait is the estimated wait of a new request whose caller has no other
	// requests waiting.
	Wait time.Duration
}

// Load is the load of a queue, by which other instances shed requests before they
// forward them.
type Load struct {
	Queued int
	Limit  int // current concurrency limit
	Ranks  []RankLoad
}
