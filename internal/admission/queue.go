package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
)

// Queue is the admission queue of one database. It is safe for concurrent use.
type Queue struct {
	clk   clock.Clock
	start time.Time

	mu   sync.Mutex
	core *core
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64() // equal seeds would make callers of different queues retry together
	}
	return &Queue{clk: cfg.Clock, start: cfg.Clock.Now(), core: newCore(cfg)}
}

// Ticket is the permission to run one request. Release must be called; further calls
// have no effect.
type Ticket struct {
	q    *Queue
	it   *item
	once sync.Once
}

// Acquire waits until the request may run. It fails with result.Overloaded and a
// retry-after if the deadline cannot be met, and with result.DeadlineBeforeRun if
// ctx ends or the deadline passes first. If it fails, the request was not run.
func (q *Queue) Acquire(ctx context.Context, r Request) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, deadlineError("the request ended before it was queued", ctx.Err())
	}
	q.mu.Lock()
	now := q.now()
	it, refusal := q.core.enqueue(now, r, q.start)
	if it == nil {
		q.mu.Unlock()
		return nil, refusalError(refusal)
	}
	q.dispatch(now)
	if it.state == stateRunning {
		q.mu.Unlock()
		return &Ticket{q: q, it: it}, nil
	}
	if it.state == stateWaiting {
		it.ready = make(chan struct{})
	}
	q.mu.Unlock()
	return q.wait(ctx, it, r.Deadline.Sub(q.start)-now)
}

// TryAcquire returns a ticket if the request may run now, ahead of none that waits.
func (q *Queue) TryAcquire(r Request) (*Ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.core.queued > 0 {
		return nil, false
	}
	now := q.now()
	it, _ := q.core.enqueue(now, r, q.start)
	if it == nil {
		return nil, false
	}
	q.dispatch(now)
	if it.state != stateRunning {
		q.core.remove(it)
		return nil, false
	}
	return &Ticket{q: q, it: it}, true
}

func (q *Queue) wait(ctx context.Context, it *item, left time.Duration) (*Ticket, error) {
	var expired <-chan time.Time
	if it.deadline != noDeadline {
		expired = q.clk.After(left)
	}
	if it.ready != nil {
		select {
		case <-it.ready:
		case <-ctx.Done():
		case <-expired:
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch it.state {
	case stateRunning:
		return &Ticket{q: q, it: it}, nil
	case stateRefused:
		return nil, refusalError(it.refusal)
	default:
		q.core.remove(it)
		return nil, deadlineError("deadline passed in the queue", ctx.Err())
	}
}

// Release ends the request. service is its service time at the database, or 0 if it
// was not run.
func (t *Ticket) Release(service time.Duration) {
	t.once.Do(func() {
		t.q.mu.Lock()
		defer t.q.mu.Unlock()
		now := t.q.now()
		t.q.core.finish(now, t.it, service)
		t.q.dispatch(now)
	})
}

// Load returns the current load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	l := Load{Queued: q.core.queued, Limit: q.core.limiter.limit, Ranks: make([]RankLoad, len(catalog.Ranks))}
	for i, r := range catalog.Ranks {
		l.Ranks[i] = RankLoad{Rank: r, Wait: q.core.estimateRankWait(now, i)}
	}
	return l
}

// Queued returns the number of waiting requests. It is cheaper than Load, which also
// estimates waits.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.queued
}

// SetConcurrency changes Config.MaxConcurrency. Running requests are not affected.
func (q *Queue) SetConcurrency(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.limiter.setMax(n)
	q.dispatch(q.now())
}

// dispatch starts all requests that may start now and wakes their callers.
func (q *Queue) dispatch(now time.Duration) {
	for it := q.core.next(now); it != nil; it = q.core.next(now) {
		if it.ready != nil {
			close(it.ready)
		}
	}
}

func (q *Queue) now() time.Duration { return q.clk.Now().Sub(q.start) }

// refusalError avoids fmt, because under overload refusing a request must be far
// cheaper than serving it.
func refusalError(r refusal) error {
	return &result.Error{Code: r.code, Message: r.reason, Ran: result.RanNo, RetryAfter: r.retryAfter}
}

func deadlineError(msg string, cause error) error {
	return &result.Error{Code: result.DeadlineBeforeRun, Message: msg, Ran: result.RanNo, Err: cause}
}
