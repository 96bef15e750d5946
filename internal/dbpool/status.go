package dbpool

import (
	"context"
	"fmt"
	"time"

	"geraniumbeam/internal/statement"
)

// sharedStatusTimeout bounds a status query on behalf of other instances. It covers
// the queue of a database whose slots are all busy with slow statements.
const sharedStatusTimeout = 400 * time.Millisecond

// statusQueries combines concurrent status queries. Pool.mu protects it.
type statusQueries struct {
	running bool
	next    *statusQuery // to be sent after the running one; nil if nobody waits
}

// statusQuery is one query to the database and its result.
type statusQuery struct {
	done   chan struct{} // closed when the result is set
	status statement.Status
	err    error
}

// SharedStatus returns the status of the database from a query that is sent after
// the call. At most one query runs at a time: an owner is asked by all instances at
// once when the database is slow, and each query takes a slot of the database.
func (p *Pool) SharedStatus(ctx context.Context) (statement.Status, error) {
	p.mu.Lock()
	if p.statuses.next == nil {
		p.statuses.next = &statusQuery{done: make(chan struct{})}
	}
	q := p.statuses.next
	if !p.statuses.running {
		p.statuses.running = true
		go p.runStatusQueries()
	}
	p.mu.Unlock()
	select {
	case <-q.done:
		return q.status, q.err
	case <-ctx.Done():
		return statement.Status{}, fmt.Errorf("status of database %s: %w", p.db.ID, ctx.Err())
	}
}

// runStatusQueries sends queries until nobody waits for one.
func (p *Pool) runStatusQueries() {
	for {
		p.mu.Lock()
		q := p.statuses.next
		p.statuses.next = nil
		p.statuses.running = q != nil
		p.mu.Unlock()
		if q == nil {
			return
		}
		q.status, q.err = p.Control(context.Background(), statement.Command{Op: statement.OpStatus}, sharedStatusTimeout)
		close(q.done)
	}
}
