package dbpool

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/topology"
)

// The functions of this file keep requests in the queues of a database's owners, where
// rank and deadline decide, and out of the database's own queue. They apply with
// Config.QueueAtOwners. Owners together run fewer statements than a database with 4 slots
// and a queue of 32 accepts, but three things bypassed that bound under load: statements
// that were given up and still occupied the database while their place was used again,
// direct connections of instances to which all owners seemed stalled, and connections
// of all instances where the limit has room for one each.

const (
	// holdMin and holdMax bound how long a statement that was given up occupies its
	// place in the concurrency of the pool.
	holdMin = 10 * time.Millisecond
	holdMax = 500 * time.Millisecond
	// slowOwnerLimit is how long an owner with outstanding exchanges may be silent
	// before it counts as unreachable. Progress is due every 80 ms, but an instance
	// whose processor time is used up reads and sends it late.
	slowOwnerLimit = 1 * time.Second
	// ownerBackoffMax bounds the back-off after failed dials to an owner. One that has
	// restarted must take its part again soon, as the others have its load meanwhile. An
	// instance that has lost two owners of each of 24 databases dials 120 times a second.
	ownerBackoffMax = 400 * time.Millisecond
)

// besideOwnersSizing is the size of the direct pool of an instance that is not an owner.
// A quarter of the instances in the limit may use theirs; with one connection each, they
// and the owners stay below the queue of a database.
var besideOwnersSizing = Sizing{MaxOpen: 1, IdleTimeout: idleTimeoutOversubscribedPrimary}

// scarce reports whether half of the limit does not suffice for the usual connections of
// all instances.
func scarce(limit, instances int) bool {
	return instances > 0 && limit/2/instances < maxOpenOversubscribed
}

// ExpiredError means that the deadline of a request passed before the database answered
// it, although the owner is healthy and the database answers it. The request may have
// been run.
type ExpiredError struct{ Cause error }

// Error implements error.
func (e *ExpiredError) Error() string { return "not answered by the deadline: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExpiredError) Unwrap() error { return e.Cause }

// recordEnd records the end of an exchange in the pool's health. The pool's mutex is
// held.
func (l *Lease) recordEnd(began, ended time.Duration, err error, withStatement bool) {
	p := l.pool
	var expired *ExpiredError
	switch {
	case err == nil || ownerRefused(err) || errors.As(err, &expired):
		p.health.end(began, ended, true)
	case p.queueAtOwners && errors.Is(err, os.ErrDeadlineExceeded):
		p.health.expired(began, ended)
		l.abandoned = l.abandoned || withStatement
	default:
		p.health.end(began, ended, false)
	}
}

// holdTime returns how long the lease's place stays taken after its connection was
// closed. A database runs a statement whose connection was reset all the same.
func (l *Lease) holdTime() time.Duration {
	p := l.pool
	if !l.abandoned || p.owner != "" {
		return 0
	}
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.failingSince != 0 {
		return 0 // the database does not answer, so it is not known to run anything
	}
	return min(max(p.latency.at(now), holdMin), holdMax)
}

// onlySlow reports whether exchanges through an owner are outstanding without an answer
// for longer than usual, while none has failed.
func (p *Pool) onlySlow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.health.failingSince == 0 && p.health.outstanding > 0 && p.now()-p.health.waitingSince <= slowOwnerLimit
}

// maxBackoff returns the bound of the back-off after failed dials.
func (p *Pool) maxBackoff() time.Duration {
	if p.queueAtOwners && p.owner != "" {
		return ownerBackoffMax
	}
	return dialBackoffMax
}

// retryAt returns the earliest time of the next dial.
func (p *Pool) retryAt() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialAfter
}

// errOwnerLost ends the wait of requests for a connection to an owner that no longer
// answers.
var errOwnerLost = errors.New("the owner does not answer")

// waiting ends the wait of all requests in the queue of a pool. Pool.mu protects it.
type waiting struct {
	ctx    context.Context // nil until the first request waits
	cancel context.CancelCauseFunc
}

// awaitTurn waits until the request may use a connection. If the pool leads to an owner
// that ceases to answer, the wait ends: the other owners answer, and the connections of
// this one may be in use until the deadlines of the statements that were sent on them.
func (p *Pool) awaitTurn(ctx context.Context, r admission.Request) (*admission.Ticket, error) {
	if p.owner == "" || !p.queueAtOwners {
		return p.queue.Acquire(ctx, r)
	}
	p.mu.Lock()
	if p.waiting.ctx == nil {
		p.waiting.ctx, p.waiting.cancel = context.WithCancelCause(context.Background())
	}
	lost := p.waiting.ctx
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(lost, cancel)()
	ticket, err := p.queue.Acquire(ctx, r)
	if err != nil && lost.Err() != nil {
		return nil, result.Errorf(result.DatabaseDown, "database %s is unreachable: %w", p.db.ID, context.Cause(lost))
	}
	return ticket, err
}

// releaseWaiting ends the wait of all requests in the pool's queue.
func (p *Pool) releaseWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting.cancel != nil {
		p.waiting.cancel(errOwnerLost)
		p.waiting = waiting{}
	}
}

// releaseWaiting ends the wait of requests for connections to owners that have ceased to
// answer. An owner that is only slow keeps them while no other one is usable.
func (s *Set) releaseWaiting() {
	if !s.cfg.QueueAtOwners {
		return
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.pools {
		usable := slices.ContainsFunc(p.owners, (*Pool).usable)
		for _, pool := range p.owners {
			if !pool.usable() && (usable || !pool.onlySlow()) {
				pool.releaseWaiting()
			}
		}
	}
}

// withSubstitutes returns the owners of a database and, while none of them is reached,
// instances that may connect to it without being owners. When half of the instances are
// lost, one of 16 databases with four owners loses all of them, and most instances may
// not connect themselves. s.mu is held.
func (s *Set) withSubstitutes(d topology.Database, limit int, p *paths, owners []ownership.Instance) []ownership.Instance {
	if !s.cfg.QueueAtOwners || s.cfg.Substitutes == nil || p.mayConnect {
		return owners
	}
	for _, o := range owners {
		i := slices.IndexFunc(p.owners, func(pool *Pool) bool { return pool.owner == o.Name })
		if i < 0 || p.owners[i].usable() || p.owners[i].onlySlow() {
			return owners
		}
	}
	all := slices.Clone(owners)
	for _, substitute := range s.cfg.Substitutes(d, limit) {
		if !slices.ContainsFunc(owners, func(o ownership.Instance) bool { return o.Name == substitute.Name }) {
			all = append(all, substitute)
		}
	}
	return all
}
