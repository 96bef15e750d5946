package pool

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

const (
	// keepAliveTimeout is how long a transaction stays open without a keep-alive
	// or a statement from its entry. Together with the maintenance interval it
	// must stay within the bound of 2 s.
	keepAliveTimeout = 1400 * time.Millisecond
	// idleTransactionTimeout is the longest time between two statements of a
	// transaction, because an open transaction occupies a connection.
	idleTransactionTimeout = time.Minute
	// maxEndedIDs is the number of ended transactions whose ids are kept to refuse
	// late duplicates of their first statement.
	maxEndedIDs = 4096
)

// generatedIDPrefix is the prefix of the transaction ids that a pool generates. A
// request with such an id never opens a transaction: its statement belongs to a
// transaction that has ended.
const generatedIDPrefix = "pool-"

func newTransactionID() string { return generatedIDPrefix + uuid.NewString() }

// transaction is an open transaction and the connection that it holds. The
// registry's lock guards its fields except conn, which only the running statement
// uses.
type transaction struct {
	id            string
	entry         string
	db            *ownedDatabase
	conn          backend.Conn
	term          uint64 // of the primary at the first statement
	sequence      uint64 // of the latest statement
	lease         time.Time
	idleSince     time.Time // end of the latest statement
	deadline      time.Time // zero if there is none
	cancel        context.CancelFunc
	running       bool
	aborting      bool // roll back when the running statement ends
	cancelPending bool // a cancellation may still reach the connection
}

// transactionRegistry holds the open transactions of all databases.
type transactionRegistry struct {
	mu         sync.Mutex
	open       map[string]*transaction
	ended      map[string]bool
	endedOrder []string // ended ids, oldest first
}

func newTransactionRegistry() *transactionRegistry {
	return &transactionRegistry{open: make(map[string]*transaction), ended: make(map[string]bool)}
}

// add registers a transaction after its first statement.
func (ts *transactionRegistry) add(t *transaction, now time.Time) {
	t.db.inFlight.add()
	t.db.pool.inFlight.add()
	t.db.conns.pin()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t.lease, t.idleSince = now.Add(keepAliveTimeout), now
	ts.open[t.id] = t
}

// database returns the database of an open transaction, or nil. The database may
// have been released since the transaction was opened.
func (ts *transactionRegistry) database(id string) *ownedDatabase {
	if id == "" {
		return nil
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if t := ts.open[id]; t != nil {
		return t.db
	}
	return nil
}

// checkMayOpen returns an error unless a statement may open a transaction under
// the id: the entry chose the id, the statement is the first, and no transaction
// with this id has ended.
func (ts *transactionRegistry) checkMayOpen(id string, sequence uint64) error {
	ts.mu.Lock()
	ended := ts.ended[id]
	ts.mu.Unlock()
	if ended {
		return result.Errorf(result.RolledBack, "transaction %s has ended", id).WithRan(ranAfterEnd(sequence))
	}
	if sequence > 1 || strings.HasPrefix(id, generatedIDPrefix) {
		return result.Errorf(result.UnknownTransaction, "transaction %s is not open", id)
	}
	return nil
}

// ranAfterEnd returns whether a statement of an ended transaction may have run: a
// first statement may be a duplicate of one that did.
func ranAfterEnd(sequence uint64) result.Ran {
	if sequence <= 1 {
		return result.RanUnknown
	}
	return result.RanNo
}

// beginStatement marks a statement as running. It returns nil if the transaction
// is not open. previous is the sequence number to pass to endStatement if the
// statement is not sent.
func (ts *transactionRegistry) beginStatement(id string, sequence uint64, now time.Time, cancel context.CancelFunc) (t *transaction, previous uint64, err error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t = ts.open[id]
	switch {
	case t == nil:
		return nil, 0, nil
	case sequence <= t.sequence:
		return nil, 0, result.Errorf(result.ProtocolViolation,
			"statement %d of transaction %s is a duplicate: the latest statement is %d", sequence, id, t.sequence).WithRan(result.RanUnknown)
	case t.running || t.aborting:
		return nil, 0, result.Errorf(result.ProtocolViolation, "transaction %s is still running statement %d", id, t.sequence)
	}
	previous = t.sequence
	t.running, t.sequence, t.cancel = true, sequence, cancel
	t.lease = now.Add(keepAliveTimeout)
	return t, previous, nil
}

// endStatement marks a statement as done that leaves the transaction open. sequence
// is the statement's number, or the previous one if it was not sent.
func (ts *transactionRegistry) endStatement(t *transaction, sequence uint64, now time.Time) {
	ts.mu.Lock()
	t.running, t.cancel, t.sequence, t.idleSince = false, nil, sequence, now
	aborting := t.aborting
	ts.mu.Unlock()
	if aborting {
		ts.remove(t, false)
	}
}

// remove removes a transaction. Its connection is reused if the database has ended
// the transaction, and otherwise closed, which rolls the transaction back.
func (ts *transactionRegistry) remove(t *transaction, reuse bool) {
	ts.mu.Lock()
	if ts.open[t.id] != t {
		ts.mu.Unlock()
		return
	}
	delete(ts.open, t.id)
	ts.ended[t.id] = true
	ts.endedOrder = append(ts.endedOrder, t.id)
	if len(ts.endedOrder) > maxEndedIDs {
		delete(ts.ended, ts.endedOrder[0])
		ts.endedOrder = ts.endedOrder[1:]
	}
	reuse = reuse && !t.cancelPending
	ts.mu.Unlock()
	if reuse {
		t.db.conns.put(t.conn)
	} else {
		t.db.conns.discard(t.conn)
	}
	t.db.conns.unpin()
	t.db.inFlight.done()
	t.db.pool.inFlight.done()
}

// rollBack rolls t back: at once, or after cancelling its running statement.
func (ts *transactionRegistry) rollBack(t *transaction) {
	ts.mu.Lock()
	running, cancel := t.running, t.cancel
	t.aborting = true
	ts.mu.Unlock()
	if !running {
		ts.remove(t, false)
		return
	}
	cancel()
}

// rollBackByID rolls back a transaction if it is open.
func (ts *transactionRegistry) rollBackByID(id string) {
	ts.mu.Lock()
	t := ts.open[id]
	ts.mu.Unlock()
	if t != nil {
		ts.rollBack(t)
	}
}

// keepAlive extends the leases of an entry's transactions and returns the ids of
// those that are not open.
func (ts *transactionRegistry) keepAlive(entry string, ids []string, now time.Time) (unknown []string) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, id := range ids {
		t := ts.open[id]
		if t == nil || t.aborting || t.entry != entry {
			unknown = append(unknown, id)
			continue
		}
		t.lease = now.Add(keepAliveTimeout)
	}
	return unknown
}

// setDeadline sets the deadline of the open transactions of a database that have none.
func (ts *transactionRegistry) setDeadline(d *ownedDatabase, deadline time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.open {
		if t.db == d && t.deadline.IsZero() {
			t.deadline = deadline
		}
	}
}

// rollBackExpired rolls back the transactions whose lease or deadline has passed,
// or whose caller has been idle for too long.
func (ts *transactionRegistry) rollBackExpired(now time.Time) {
	ts.rollBackIf(func(t *transaction) bool {
		return now.After(t.lease) || (!t.running && now.Sub(t.idleSince) > idleTransactionTimeout) ||
			(!t.deadline.IsZero() && now.After(t.deadline))
	})
}

func (ts *transactionRegistry) rollBackAll() {
	ts.rollBackIf(func(*transaction) bool { return true })
}

func (ts *transactionRegistry) rollBackIf(condition func(*transaction) bool) {
	var matching []*transaction
	ts.mu.Lock()
	for _, t := range ts.open {
		if !t.aborting && condition(t) {
			matching = append(matching, t)
		}
	}
	ts.mu.Unlock()
	for _, t := range matching {
		ts.rollBack(t)
	}
}
