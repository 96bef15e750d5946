package proxy

import (
	"testing"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

func wantCode(t *testing.T, a statement.Answer, c result.Code) {
	t.Helper()
	if !result.Is(a.Err, c) {
		t.Errorf("answer %+v, want %s", a.Err, c)
	}
}

func failConnection(statement.Command) (statement.Answer, error) {
	return statement.Answer{}, errBroken
}

// Guards against a write that is sent again, or reported as not run, after its
// answer was lost.
func TestUnansweredWriteHasUnknownOutcome(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", failConnection)
	a := h.session(testRoute).handle(st(statement.Write))
	wantCode(t, a, result.OutcomeUnknown)
	if n := h.runs("db-1", statement.Write); n != 1 {
		t.Errorf("the write was sent %d times", n)
	}
}

// Guards against a read that fails with one database while another can answer.
func TestUnansweredReadIsRetriedElsewhere(t *testing.T) {
	h := newHarness(t)
	h.observePosition(3)
	for _, id := range []string{"db-2", "db-3"} {
		h.setHandler(id, failConnection)
	}
	a := h.session(readRoute).handle(st(statement.Read))
	if a.Err != nil || a.Signature != "sig db-1" {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a write that is reported as not run, or sent again, after the
// database ran it and reported a failure.
func TestFailedWriteIsNotRetried(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		return statement.Answer{Err: result.Errorf(result.StatementFailed, "no")}, nil
	})
	wantCode(t, h.session(testRoute).handle(st(statement.Write)), result.StatementFailed)
	if n := h.runs("db-1", statement.Write); n != 1 {
		t.Errorf("the write was sent %d times", n)
	}
}

// Guards against passing on an acknowledgement from a primary that was replaced
// while the write was in progress.
func TestWriteDuringFailoverHasUnknownOutcome(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		h.startFailover()
		return statement.Answer{Signature: "sig"}, nil
	})
	wantCode(t, h.session(testRoute).handle(st(statement.Write)), result.OutcomeUnknown)
}

// Guards against a read from a replaced primary on a route that guarantees to see
// every acknowledged commit.
func TestReadDuringFailoverIsRetried(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		h.startFailover()
		h.promote("db-2")
		return statement.Answer{Signature: "old"}, nil
	})
	a := h.session(testRoute).handle(st(statement.Read))
	if a.Err != nil || a.Signature != "sig db-2" {
		t.Errorf("answer %+v, want one from the new primary", a)
	}
}

// Guards against a write that is sent while a service has no primary, or that is
// not reported as not run after it waited for one until its deadline.
func TestNothingIsSentDuringFailover(t *testing.T) {
	h := newHarness(t)
	h.configure(150 * time.Millisecond)
	h.startFailover()
	a := h.session(testRoute).handle(st(statement.Write))
	wantCode(t, a, result.NoPrimary)
	if a.Err.Ran != result.RanNo || a.Err.RetryAfter == 0 {
		t.Errorf("refusal %+v", a.Err)
	}
	if len(h.sent["db-1"]) != 0 {
		t.Errorf("sent %v", h.sent["db-1"])
	}
}

// Guards against a write that is refused although a new primary is promoted before
// its deadline.
func TestWriteWaitsForNewPrimary(t *testing.T) {
	h := newHarness(t)
	h.startFailover()
	go func() {
		time.Sleep(50 * time.Millisecond)
		h.promote("db-3")
	}()
	a := h.session(testRoute).handle(st(statement.Write))
	if a.Err != nil || a.Signature != "sig db-3" {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a transaction that is reported as committed, or with an unknown
// outcome, although its commit was never sent.
func TestTransactionWithoutCommitIsRolledBack(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", inState(statement.TxOpen))
	s := h.session(testRoute)
	s.handle(st(statement.Begin))
	if a := s.handle(st(statement.Write)); a.Err != nil || a.State != statement.TxOpen {
		t.Fatalf("first write: %+v", a)
	}
	h.setHandler("db-1", failConnection)
	a := s.handle(st(statement.Write))
	wantCode(t, a, result.RolledBack)
	if a.State != statement.TxFailed || h.closed == 0 {
		t.Errorf("state %d, %d connections closed", a.State, h.closed)
	}
	wantCode(t, s.handle(st(statement.Read)), result.ProtocolViolation)
	if a := s.handle(st(statement.Rollback)); a.Err != nil || a.State != statement.TxIdle {
		t.Errorf("rollback: %+v", a)
	}
}

// Guards against an unanswered commit that is reported as rolled back.
func TestUnansweredCommitHasUnknownOutcome(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", inState(statement.TxOpen))
	s := h.session(testRoute)
	s.handle(st(statement.Begin))
	s.handle(st(statement.Write))
	h.setHandler("db-1", failConnection)
	a := s.handle(st(statement.Commit))
	wantCode(t, a, result.OutcomeUnknown)
	if a.State != statement.TxIdle {
		t.Errorf("state %d after the commit", a.State)
	}
}

// Guards against a commit that is sent to a primary that was replaced since the
// transaction's previous statement.
func TestTransactionIsRolledBackAfterFailover(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", inState(statement.TxOpen))
	s := h.session(testRoute)
	s.handle(st(statement.Begin))
	s.handle(st(statement.Write))
	h.startFailover()
	h.promote("db-2")
	wantCode(t, s.handle(st(statement.Commit)), result.RolledBack)
	if n := h.runs("db-1", statement.Commit); n != 0 {
		t.Error("the commit was sent to the former primary")
	}
}

// Guards against a refused commit that is reported as rolled back while the
// transaction stays open on its connection and could still commit.
func TestRefusedCommitIsRolledBack(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", func(c statement.Command) (statement.Answer, error) {
		a, err := inState(statement.TxOpen)(c)
		if c.Statement.Kind == statement.Commit {
			a.State, a.Err = statement.TxOpen, result.Errorf(result.Overloaded, "busy")
		}
		return a, err
	})
	s := h.session(testRoute)
	s.handle(st(statement.Begin))
	s.handle(st(statement.Write))
	wantCode(t, s.handle(st(statement.Commit)), result.RolledBack)
	h.eventually("the transaction is rolled back", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, c := range h.sent["db-1"] {
			if c.Op == statement.OpRollback {
				return true
			}
		}
		return false
	})
}

// Guards against refusing a write for an overload that a short wait would get past,
// and against replacing the database's own result code.
func TestOverloadedDatabaseIsRetried(t *testing.T) {
	h := newHarness(t)
	n := 0
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		if n++; n == 1 {
			return statement.Answer{Err: result.Errorf(result.Overloaded, "busy")}, nil
		}
		return statement.Answer{Signature: "sig"}, nil
	})
	if a := h.session(testRoute).handle(st(statement.Write)); a.Err != nil || n != 2 {
		t.Errorf("answer %+v after %d attempts", a, n)
	}
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		return statement.Answer{Err: result.Errorf(result.Overloaded, "busy")}, nil
	})
	wantCode(t, h.session(testRoute).handle(st(statement.Write)), result.Overloaded)
}

// Guards against a request that waits for its deadline although only this instance
// can't use the databases and the caller could go to another one.
func TestInstanceWithoutValidRecordRefusesAtOnce(t *testing.T) {
	h := newHarness(t)
	h.configure(time.Hour) // a request that waits would not end
	h.server.started -= time.Hour
	h.records.Invalidate(testService, 1)
	a := h.session(testRoute).handle(st(statement.Write))
	wantCode(t, a, result.NoPrimary)
	if a.Err.Ran != result.RanNo {
		t.Error("the refusal does not say that nothing was run")
	}
}

// Guards against refusals right after the start, before the instance has confirmed
// its records with the store.
func TestRequestsWaitDuringStartup(t *testing.T) {
	h := newHarness(t)
	h.configure(10 * time.Second)
	h.records.Invalidate(testService, 1)
	go func() {
		time.Sleep(50 * time.Millisecond)
		h.record.Revision.Number++
		h.confirm()
	}()
	if a := h.session(testRoute).handle(st(statement.Write)); a.Err != nil {
		t.Errorf("answer %+v", a.Err)
	}
}

// Guards against reporting a read as not run if its first attempt was sent and not
// answered and its second one was refused.
func TestRefusalAfterUnansweredAttemptMayHaveRun(t *testing.T) {
	h := newHarness(t)
	n := 0
	h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
		if n++; n == 1 {
			return statement.Answer{}, errBroken
		}
		return statement.Answer{Err: result.Errorf(result.Overloaded, "busy")}, nil
	})
	a := h.session(testRoute).handle(st(statement.Read))
	wantCode(t, a, result.StatementFailed)
	if a.Err == nil || a.Err.Ran == result.RanNo {
		t.Errorf("answer %+v says that the read was not run", a.Err)
	}
}
