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
	// keepAliveLapse is how long a transaction lives without a sign of its
	// entry. With the maintenance interval it stays within the bound of 2 s.
	keepAliveLapse = 1400 * time.Millisecond
	// maxIdle bounds the time between two statements of a transaction, because
	// an open transaction holds a connection that others need.
	maxIdle = time.Minute
	// maxEnded is how many ended transactions are remembered to refuse late
	// duplicates of their first statement.
	maxEnded = 4096
)

// ownIDPrefix starts the ids that the pool gives to transactions. A pool never
// opens a transaction under such an id on a caller's word: the statement belongs
// to a transaction that ended.
const ownIDPrefix = "pool-"

func newTransactionID() string { return ownIDPrefix + uuid.NewString() }

// transaction is an open transaction and the connection that it holds. Its
// fields are guarded by the registry's lock, except conn, which belongs to the
// running statement.
type transaction struct {
	id       string
	entry    string
	unit     *unit
	conn     backend.Conn
	term     uint64 // primary's term at the first statement
	sequence uint64 // of the latest statement
	lease    time.Time
	idle     time.Time // end of the latest statement
	deadline time.Time // zero: none
	cancel   context.CancelFunc
	running  bool
	doomed   bool // roll back when the running statement ends
	tainted  bool // a cancellation may still reach the connection
}

// transactions are the open transactions of all databases.
type transactions struct {
	mu    sync.Mutex
	open  map[string]*transaction
	ended map[string]bool
	order []string // ended ids, oldest first
}

func newTransactions() *transactions {
	return &transactions{open: make(map[string]*transaction), ended: make(map[string]bool)}
}

// add registers a transaction after its first statement.
func (ts *transactions) add(t *transaction, now time.Time) {
	t.unit.inFlight.add()
	t.unit.pool.inFlight.add()
	t.unit.conns.pin()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t.lease, t.idle = now.Add(keepAliveLapse), now
	ts.open[t.id] = t
}

// unit returns the unit of an open transaction, or nil. The unit may have been
// given up meanwhile.
func (ts *transactions) unit(id string) *unit {
	if id == "" {
		return nil
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if t := ts.open[id]; t != nil {
		return t.unit
	}
	return nil
}

// mayOpen tells whether a request with the id may open a transaction: the id is
// the entry's, this is the first statement, and it did not end before.
func (ts *transactions) mayOpen(id string, sequence uint64) error {
	ts.mu.Lock()
	ended := ts.ended[id]
	ts.mu.Unlock()
	if ended {
		return result.Errorf(result.RolledBack, "transaction %s has ended", id).WithRan(endedRan(sequence))
	}
	if sequence > 1 || strings.HasPrefix(id, ownIDPrefix) {
		return result.Errorf(result.UnknownTransaction, "transaction %s is not open", id)
	}
	return nil
}

// endedRan is what may be said of a statement of an ended transaction: a first
// statement may be a duplicate of one that was run.
func endedRan(sequence uint64) result.Ran {
	if sequence <= 1 {
		return result.RanUnknown
	}
	return result.RanNo
}

// enter begins a statement. It returns nil if the transaction is not open. The
// previous sequence number is for leave.
func (ts *transactions) enter(id string, sequence uint64, now time.Time, cancel context.CancelFunc) (t *transaction, previous uint64, err error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t = ts.open[id]
	switch {
	case t == nil:
		return nil, 0, nil
	case sequence <= t.sequence:
		return nil, 0, result.Errorf(result.ProtocolViolation,
			"statement %d of transaction %s was received before, the latest is %d", sequence, id, t.sequence).WithRan(result.RanUnknown)
	case t.running || t.doomed:
		return nil, 0, result.Errorf(result.ProtocolViolation, "transaction %s is running statement %d", id, t.sequence)
	}
	previous = t.sequence
	t.running, t.sequence, t.cancel = true, sequence, cancel
	t.lease = now.Add(keepAliveLapse)
	return t, previous, nil
}

// leave ends a statement that leaves the transaction open. A statement that was
// not sent gives its sequence number back.
func (ts *transactions) leave(t *transaction, sequence uint64, now time.Time) {
	ts.mu.Lock()
	t.running, t.cancel, t.sequence, t.idle = false, nil, sequence, now
	doomed := t.doomed
	ts.mu.Unlock()
	if doomed {
		ts.remove(t, false)
	}
}

// remove ends a transaction. Its connection is reused if the database ended the
// transaction, and closed otherwise, which rolls back.
func (ts *transactions) remove(t *transaction, reuse bool) {
	ts.mu.Lock()
	if ts.open[t.id] != t {
		ts.mu.Unlock()
		return
	}
	delete(ts.open, t.id)
	ts.ended[t.id] = true
	ts.order = append(ts.order, t.id)
	if len(ts.order) > maxEnded {
		delete(ts.ended, ts.order[0])
		ts.order = ts.order[1:]
	}
	reuse = reuse && !t.tainted
	ts.mu.Unlock()
	if reuse {
		t.unit.conns.put(t.conn)
	} else {
		t.unit.conns.discard(t.conn)
	}
	t.unit.conns.unpin()
	t.unit.inFlight.done()
	t.unit.pool.inFlight.done()
}

// stop rolls t back: at once, or by cancelling the statement that runs.
func (ts *transactions) stop(t *transaction) {
	ts.mu.Lock()
	running, cancel := t.running, t.cancel
	t.doomed = true
	ts.mu.Unlock()
	if !running {
		ts.remove(t, false)
		return
	}
	cancel()
}

// end rolls a transaction back if it is open.
func (ts *transactions) end(id string) {
	ts.mu.Lock()
	t := ts.open[id]
	ts.mu.Unlock()
	if t != nil {
		ts.stop(t)
	}
}

// keepAlive extends transactions of an entry and returns the ids that are not
// open.
func (ts *transactions) keepAlive(entry string, ids []string, now time.Time) (unknown []string) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, id := range ids {
		t := ts.open[id]
		if t == nil || t.doomed || t.entry != entry {
			unknown = append(unknown, id)
			continue
		}
		t.lease = now.Add(keepAliveLapse)
	}
	return unknown
}

// bound gives the open transactions of a unit a deadline if they have none.
func (ts *transactions) bound(u *unit, deadline time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.open {
		if t.unit == u && t.deadline.IsZero() {
			t.deadline = deadline
		}
	}
}

// expire rolls transactions back whose entry went silent, whose caller was idle
// for too long, or whose deadline passed.
func (ts *transactions) expire(now time.Time) {
	ts.stopIf(func(t *transaction) bool {
		return now.After(t.lease) || (!t.running && now.Sub(t.idle) > maxIdle) ||
			(!t.deadline.IsZero() && now.After(t.deadline))
	})
}

func (ts *transactions) closeAll() {
	ts.stopIf(func(*transaction) bool { return true })
}

func (ts *transactions) stopIf(f func(*transaction) bool) {
	var stopped []*transaction
	ts.mu.Lock()
	for _, t := range ts.open {
		if !t.doomed && f(t) {
			stopped = append(stopped, t)
		}
	}
	ts.mu.Unlock()
	for _, t := range stopped {
		ts.stop(t)
	}
}
