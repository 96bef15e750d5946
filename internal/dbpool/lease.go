package dbpool

import (
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// Lease is the exclusive use of one connection. It must be ended exactly once, by
// Release, ReleaseNotSent, Rollback or Discard.
type Lease struct {
	pool        *Pool
	conn        *pooledConn
	ticket      *admission.Ticket
	serviceTime time.Duration // sum of the lease's exchanges
	abandoned   bool          // a statement was sent and not answered by its deadline

	organisation string        // whose use of an owner is recorded; empty if it is not
	began        time.Duration // valid with organisation

	class string // of the request
	held  bool   // see hold
}

// Rollback rolls back the open transaction and ends the lease.
func (l *Lease) Rollback(deadline time.Time) {
	answers, err := l.send(deadline, []statement.Command{{Op: statement.OpRollback}})
	if err != nil || answers[0].State != statement.TxIdle {
		l.Discard()
		return
	}
	l.Release()
}

// Release returns the connection to the pool. It must not be in a transaction.
func (l *Lease) Release() {
	if l.conn.unknown {
		l.Discard()
		return
	}
	l.recordOccupation()
	l.endHold()
	l.pool.putIdle(l.conn)
	l.ticket.Release(l.serviceTime)
}

// Discard closes the connection; the database rolls back its open transaction.
func (l *Lease) Discard() {
	l.recordOccupation()
	l.endHold()
	l.pool.discard(l.conn)
	if hold := l.holdTime(); hold > 0 {
		time.AfterFunc(hold, func() { l.ticket.Release(0) })
		return
	}
	l.ticket.Release(0)
}

// Database returns the database of the lease.
func (l *Lease) Database() topology.Database { return l.pool.db }
