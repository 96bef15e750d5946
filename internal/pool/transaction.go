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
	// keepAliveTimeout is how long a transaction lives without a sign of its
	// entry. With the maintenance interval it stays within the bound of 2 s.
	keepAliveTimeout = 1400 * time.Millisecond
	// maxStatementGap bounds the time between two statements of a transaction, because
	// an open transaction holds a connection that others need.
	maxStatementGap = time.Minute
	// maxEndedIDs is how many ended transactions are remembered to refuse late
	// duplicates of their first statement.
	maxEndedIDs = 4096
)

// generatedIDPrefix starts the ids that the pool gives to transactions. A pool never
// opens a transaction under such an id on a caller's word: the statement belongs
// to a transaction that ended.
const generatedIDPrefix = "pool-"

func newTransactionID() string { return generatedIDPrefix + uuid.NewString() }

// transaction is an open transaction and the connection that it holds. Its
// fields are guarded by the registry's lock, except conn, which belongs to the
// running statement.
type transaction struct {
	id            string
	entry         string
	db            *ownedDatabase
	conn          backend.Conn
	term          uint64 // primary's term at the first statement
	sequence      uint64 // of the latest statement
	lease         time.Time
	idleSince     time.Time // end of the latest statement
	deadline      time.Time // zero: none
	cancel        context.CancelFunc
	running       bool
	aborting      bool // roll back when the running statement ends
	cancelPending bool // a cancellation may still reach the connection
}

// transactionRegistry are the open transactionRegistry of all databases.
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

// database returns the database of an open transaction, or nil. The database may have been
// given up meanwhile.
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

// checkMayOpen tells whether a request with the id may open a transaction: the id is
// the entry's, this is the first statement, and it did not end before.
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

// ranAfterEnd is what may be said of a statement of an ended transaction: a first
// statement may be a duplicate of one that was run.
func ranAfterEnd(sequence uint64) result.Ran {
	if sequence <= 1 {
		return result.RanUnknown
	}
	return result.RanNo
}

// beginStatement begins a statement. It returns nil if the transaction is not open. The
// previous sequence number is for leave.
func (ts *transactionRegistry) beginStatement(id string, sequence uint64, now time.Time, cancel context.CancelFunc) (t *transaction, previous uint64, err error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t = ts.open[id]
	switch {
	case t == nil:
		return nil, 0, nil
	case sequence <= t.sequence:
		return nil, 0, result.Errorf(result.ProtocolViolation,
			"statement %d of transaction %s was received before, the latest is %d", sequence, id, t.sequence).WithRan(result.RanUnknown)
	case t.running || t.aborting:
		return nil, 0, result.Errorf(result.ProtocolViolation, "transaction %s is running statement %d", id, t.sequence)
	}
	previous = t.sequence
	t.running, t.sequence, t.cancel = true, sequence, cancel
	t.lease = now.Add(keepAliveTimeout)
	return t, previous, nil
}

// endStatement ends a statement that leaves the transaction open. A statement that was
// not sent gives its sequence number back.
func (ts *transactionRegistry) endStatement(t *transaction, sequence uint64, now time.Time) {
	ts.mu.Lock()
	t.running, t.cancel, t.sequence, t.idleSince = false, nil, sequence, now
	aborting := t.aborting
	ts.mu.Unlock()
	if aborting {
		ts.remove(t, false)
	}
}

// remove ends a transaction. Its connection is reused if the database ended the
// transaction, and closed otherwise, which rolls back.
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

// rollBack rolls t back: at once, or by cancelling the statement that runs.
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

// rollBackByID rolls a transaction back if it is open.
func (ts *transactionRegistry) rollBackByID(id string) {
	ts.mu.Lock()
	t := ts.open[id]
	ts.mu.Unlock()
	if t != nil {
		ts.rollBack(t)
	}
}

// keepAlive extends transactions of an entry and returns the ids that are not
// open.
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

// setDeadline gives the open transactions of a unit a deadline if they have none.
func (ts *transactionRegistry) setDeadline(d *ownedDatabase, deadline time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.open {
		if t.db == d && t.deadline.IsZero() {
			t.deadline = deadline
		}
	}
}

// rollBackExpired rolls transactions back whose entry went silent, whose caller was idle
// for too long, or whose deadline passed.
func (ts *transactionRegistry) rollBackExpired(now time.Time) {
	ts.rollBackIf(func(t *transaction) bool {
		return now.After(t.lease) || (!t.running && now.Sub(t.idleSince) > maxStatementGap) ||
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
