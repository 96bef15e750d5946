// Package admission decides which request runs next on a database and which is
// refused.
package admission

import (
	"context"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
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
}

// Request is a request that waits for its turn.
type Request struct {
	ID       string
	Class    string // service and class name
	Caller   string // fairness key within the class
	Rank     catalog.Rank
	Deadline time.Time
	// Pinned marks a statement of an open transaction. It holds a connection
	// already and is served before new work of its rank.
	Pinned bool
}

// RankLoad is the load of one rank.
type RankLoad struct {
	Rank catalog.Rank
	// Wait is the estimated wait of a new request.
	Wait time.Duration
}

// Load describes a queue for shedding before the hop.
type Load struct {
	Queued int
	Limit  int // concurrency limit in force
	Ranks  []RankLoad
}

// Queue is the queue of one database. It is safe for concurrent use.
type Queue struct {
	cfg   Config
	slots chan struct{}
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, slots: make(chan struct{}, max(1, cfg.MaxConcurrency))}
}

// Ticket is the right to run one request. Release must be called once.
type Ticket struct {
	q *Queue
}

// Acquire waits for the request's turn. It fails with result.Overloaded and a
// retry-after when the deadline cannot be met, and with
// result.DeadlineBeforeRun when ctx ends first; the request was not run then.
func (q *Queue) Acquire(ctx context.Context, _ Request) (*Ticket, error) {
	select {
	case q.slots <- struct{}{}:
		return &Ticket{q: q}, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.DeadlineBeforeRun, "deadline passed in the queue: %w", ctx.Err())
	}
}

// Release returns the ticket. service is the time that the database took, or 0
// if the request was not run.
func (t *Ticket) Release(service time.Duration) {
	_ = service
	<-t.q.slots
}

// Load returns the current load.
func (q *Queue) Load() Load { return Load{Limit: q.cfg.MaxConcurrency} }
