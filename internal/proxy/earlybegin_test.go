package proxy

import (
	"sync"
	"testing"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// transactionalDatabase answers as a database with one session does, and records what
// happens to its transactions. It is safe for concurrent use.
type transactionalDatabase struct {
	mu      sync.Mutex
	refuses int // further Begins
	open    bool
	begins  int
	outside int // statements outside a transaction
}

func (d *transactionalDatabase) answer(c statement.Command) (statement.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := statement.Answer{Signature: "sig", Position: statement.Position{Term: 1, Number: 7}}
	switch {
	case c.Op == statement.OpRollback || c.Statement.Kind == statement.Commit:
		d.open = false
	case c.Op != statement.OpStatement:
	case c.Statement.Kind != statement.Begin:
		if !d.open {
			d.outside++
		}
	case d.refuses > 0:
		d.refuses--
		a.Err = result.Errorf(result.Overloaded, "busy")
	default:
		d.begins++
		d.open = true
	}
	if d.open {
		a.State = statement.TxOpen
	}
	return a, nil
}

func (d *transactionalDatabase) state() (open bool, begins, outside int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open, d.begins, d.outside
}

// newRemoteHarness is a harness whose databases are in another data centre, with an idle
// connection to the primary.
func newRemoteHarness(t *testing.T) (*harness, *transactionalDatabase) {
	h := newHarness(t)
	h.server.cfg.DataCentre = "b"
	h.eventually("a connection is idle", func() bool {
		pool, _ := h.server.cfg.Pools.Pool("db-1", "")
		if l := pool.Load(); l.InUse > 0 {
			return false
		}
		a := h.session(testRoute).handle(st(statement.Read))
		return a.Err == nil
	})
	d := &transactionalDatabase{}
	h.setHandler("db-1", d.answer)
	return h, d
}

// Guards against a round trip between data centres that a first statement spends on
// BEGIN although its caller sent it before.
func TestTransactionBeginsBeforeItsFirstStatement(t *testing.T) {
	h, d := newRemoteHarness(t)
	s := h.session(testRoute)
	s.handle(st(statement.Begin))
	h.eventually("the transaction is open", func() bool { open, _, _ := d.state(); return open })
	for _, k := range []statement.Kind{statement.Write, statement.Commit} {
		if a := s.handle(st(k)); a.Err != nil {
			t.Errorf("%s: %v", k, a.Err)
		}
	}
	if open, begins, outside := d.state(); open || begins != 1 || outside != 0 {
		t.Errorf("open %v after %d Begins, %d statements outside", open, begins, outside)
	}
}

// Guards against a transaction that stays open on a pooled connection because its caller
// ended it, or left, before the first statement.
func TestUnusedEarlyTransactionIsRolledBack(t *testing.T) {
	for name, end := range map[string]func(*session){
		"rollback":  func(s *session) { s.handle(st(statement.Rollback)) },
		"bad input": func(s *session) { s.handle(st(statement.Execute)) },
		"expired":   func(s *session) { s.failTransaction() },
		"left":      func(s *session) { s.discardTransaction() },
	} {
		t.Run(name, func(t *testing.T) {
			h, d := newRemoteHarness(t)
			s := h.session(testRoute)
			s.handle(st(statement.Begin))
			h.eventually("the transaction is open", func() bool { open, _, _ := d.state(); return open })
			end(s)
			h.eventually("the transaction is rolled back", func() bool { open, _, _ := d.state(); return !open })
			h.eventually("the connection is free", func() bool {
				pool, _ := h.server.cfg.Pools.Pool("db-1", "")
				return pool.Load().InUse == 0
			})
		})
	}
}

// Guards against a first statement that fails, or runs outside its transaction, because
// the database refused the early Begin.
func TestRefusedEarlyBeginIsRepeated(t *testing.T) {
	h, d := newRemoteHarness(t)
	d.refuses = 1
	s := h.session(testRoute)
	for _, k := range []statement.Kind{statement.Begin, statement.Write, statement.Commit} {
		if a := s.handle(st(k)); a.Err != nil {
			t.Errorf("%s: %v", k, a.Err)
		}
	}
	if _, begins, outside := d.state(); begins != 1 || outside != 0 {
		t.Errorf("%d Begins, %d statements outside", begins, outside)
	}
}

// Guards against a transaction that goes on at a primary that was replaced after it
// began there.
func TestEarlyTransactionMovesToTheNewPrimary(t *testing.T) {
	h, d := newRemoteHarness(t)
	next := &transactionalDatabase{}
	h.setHandler("db-2", next.answer)
	s := h.session(testRoute)
	s.handle(st(statement.Begin))
	h.eventually("the transaction is open", func() bool { open, _, _ := d.state(); return open })
	h.startFailover()
	h.promote("db-2")
	for _, k := range []statement.Kind{statement.Write, statement.Commit} {
		if a := s.handle(st(k)); a.Err != nil {
			t.Errorf("%s: %v", k, a.Err)
		}
	}
	h.eventually("the transaction at the former primary is rolled back", func() bool { open, _, _ := d.state(); return !open })
	if n := h.runs("db-1", statement.Write); n != 0 {
		t.Errorf("the write was sent to the former primary %d times", n)
	}
	if _, begins, outside := next.state(); begins != 1 || outside != 0 {
		t.Errorf("%d Begins at the new primary, %d statements outside", begins, outside)
	}
}
