package dbpool

import (
	"errors"
	"os"
	"time"
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
