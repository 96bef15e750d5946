package proxy

import (
	"context"
	"testing"
	"time"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// fakeLimiter admits operations until none are left.
type fakeLimiter struct {
	left     int
	admitted []string
	returned []string
	deadline time.Time // of the last call
}

func (l *fakeLimiter) Admit(ctx context.Context, organisation string) error {
	l.deadline, _ = ctx.Deadline()
	if l.left == 0 {
		return result.Errorf(result.OrganisationLimit, "the limit is reached").WithRetryAfter(70 * time.Millisecond)
	}
	l.left--
	l.admitted = append(l.admitted, organisation)
	return nil
}

func (l *fakeLimiter) Return(organisation string) {
	l.returned = append(l.returned, organisation)
}

// newLimitedHarness is a harness with a limited organisation, acme, and one without limit,
// bolt.
func newLimitedHarness(t *testing.T, left int) (*harness, *fakeLimiter) {
	h, l := newHarness(t), &fakeLimiter{left: left}
	h.server.cfg.Limiter = l
	acme := org("acme", acmeKey)
	acme.Limited, acme.Rate = true, 1
	h.organise(acme, org("bolt", boltKey))
	return h, l
}

func (l *fakeLimiter) check(t *testing.T, step string, admitted, returned int) {
	t.Helper()
	if len(l.admitted) != admitted || len(l.returned) != returned {
		t.Errorf("%s: admitted %v, returned %v, want %d and %d", step, l.admitted, l.returned, admitted, returned)
	}
}

// Guards against an operation that is charged for each of its statements, or not at all,
// and against operations without a limit that are charged.
func TestOperationIsChargedOnce(t *testing.T) {
	h, l := newLimitedHarness(t, 100)
	s := h.sessionOf(testRoute, acmeKey)
	s.handle(st(statement.Write))
	l.check(t, "single", 1, 0)
	s.handle(st(statement.Set))
	s.handle(st(statement.Execute)) // of an unknown prepared statement
	l.check(t, "without database", 1, 0)
	h.setHandler("db-1", inState(statement.TxOpen))
	for _, k := range []statement.Kind{statement.Begin, statement.Write, statement.Write, statement.Commit} {
		if a := s.handle(st(k)); a.Err != nil {
			t.Errorf("%s: %v", k, a.Err)
		}
	}
	l.check(t, "transaction", 2, 0)
	for _, other := range []*session{h.sessionOf(testRoute, boltKey), h.sessionOf(publicRoute, "stranger"), h.sessionOf(testRoute, "stranger")} {
		other.handle(st(statement.Read))
		other.handle(st(statement.Begin))
		other.handle(st(statement.Rollback))
	}
	l.check(t, "others", 2, 0)
	if l.admitted[0] != "acme" || time.Until(l.deadline) > 500*time.Millisecond {
		t.Errorf("admitted %v until %v", l.admitted, l.deadline)
	}
}

// Guards against a refused operation that reaches a database, or leaves a transaction
// open.
func TestOperationBeyondTheLimitIsRefused(t *testing.T) {
	h, l := newLimitedHarness(t, 0)
	s := h.sessionOf(testRoute, acmeKey)
	for _, k := range []statement.Kind{statement.Write, statement.Read, statement.Begin} {
		a := s.handle(st(k))
		if !result.Is(a.Err, result.OrganisationLimit) || a.Err.RetryAfter != 70*time.Millisecond || a.State != statement.TxIdle || s.tx != nil {
			t.Errorf("%s: %+v in state %v", k, a.Err, a.State)
		}
	}
	if n := h.runs("db-1", statement.Write) + h.runs("db-1", statement.Read) + h.runs("db-1", statement.Begin); n != 0 {
		t.Errorf("%d statements were sent", n)
	}
	l.check(t, "refused", 0, 0)
}

// Guards against permits that are lost with operations that reach no database, and against
// permits that are given back for operations that may have run.
func TestUnsentOperationIsReturned(t *testing.T) {
	h, l := newLimitedHarness(t, 100)
	h.configure(50 * time.Millisecond) // without organisations
	acme := org("acme", acmeKey)
	acme.Limited = true
	h.organise(acme)
	s := h.sessionOf(testRoute, acmeKey)
	s.handle(st(statement.Begin))
	s.handle(st(statement.Rollback))
	s.handle(st(statement.Begin))
	s.discardTransaction() // the caller has disconnected
	l.check(t, "transactions without statements", 2, 2)
	h.startFailover()
	s.handle(st(statement.Write))
	l.check(t, "no primary", 3, 3)
	s.handle(st(statement.Begin))
	s.handle(st(statement.Write))
	s.handle(st(statement.Rollback))
	l.check(t, "no primary in a transaction", 4, 4)
	h.promote("db-2")
	h.setHandler("db-2", func(statement.Command) (statement.Answer, error) {
		return statement.Answer{Err: result.Errorf(result.StatementFailed, "failed")}, nil
	})
	s.handle(st(statement.Write))
	l.check(t, "failed at the database", 5, 4)
	h.setHandler("db-2", func(statement.Command) (statement.Answer, error) { return statement.Answer{}, errBroken })
	s.handle(st(statement.Write))
	s.handle(st(statement.Begin))
	s.handle(st(statement.Write))
	s.handle(st(statement.Rollback))
	l.check(t, "no answer", 7, 4)
	for _, name := range l.returned {
		if name != "acme" {
			t.Errorf("returned %v", l.returned)
		}
	}
}

// Guards against a permit that is given back although the transaction has begun at a
// database before its first statement.
func TestEarlyBeginIsNotReturned(t *testing.T) {
	h, d := newRemoteHarness(t)
	acme := org("acme", acmeKey)
	acme.Limited = true
	h.organise(acme)
	s := h.sessionOf(testRoute, acmeKey)
	s.handle(st(statement.Read)) // opens a connection of the organisation, on which BEGIN can be sent early
	l := &fakeLimiter{left: 10}
	h.server.cfg.Limiter = l
	s.handle(st(statement.Begin))
	h.eventually("the transaction is open", func() bool { open, _, _ := d.state(); return open })
	s.handle(st(statement.Rollback))
	l.check(t, "rolled back", 1, 0)
}

// Guards against operations that are counted twice or under another organisation, and
// against transactions whose first error is not their result.
func TestOperationsAreCounted(t *testing.T) {
	h, l := newLimitedHarness(t, 3)
	s := h.sessionOf(testRoute, acmeKey)
	s.handle(st(statement.Write))
	h.setHandler("db-1", inState(statement.TxOpen))
	for _, k := range []statement.Kind{statement.Begin, statement.Write, statement.Commit, statement.Begin, statement.Write, statement.Execute, statement.Rollback} {
		s.handle(st(k))
	}
	l.left = 0
	s.handle(st(statement.Begin))
	h.sessionOf(testRoute, "stranger").handle(st(statement.Read))
	_, counts := h.server.organisations.largest()
	acme, unknown := counts["acme"], counts[organisation.Anonymous]
	if acme.requested != 4 || acme.served != 2 || acme.refused[result.UnknownStatement] != 1 || acme.refused[result.OrganisationLimit] != 1 {
		t.Errorf("acme: %+v", acme)
	}
	if unknown.requested != 1 || unknown.refused[result.UnknownKey] != 1 {
		t.Errorf("unknown keys: %+v", unknown)
	}
}
