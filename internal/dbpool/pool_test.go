package dbpool

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Guards against a statement that runs with another session's variables.
func TestConnectionGetsExactlyTheSessionsVariables(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	run := func(vars map[string]string) []statement.Op {
		db.received = nil
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Variables: vars, Deadline: time.Now().Add(time.Second)}); err != nil {
			t.Fatal(err)
		}
		l.Release()
		return ops(slices.Concat(db.received...))
	}
	for i, c := range []struct {
		vars map[string]string
		want []statement.Op
	}{
		{map[string]string{"a": "1", "b": "2"}, []statement.Op{statement.OpSet, statement.OpSet, statement.OpStatement}},
		{map[string]string{"a": "1", "b": "2"}, []statement.Op{statement.OpStatement}},
		{map[string]string{"a": "1", "b": "3"}, []statement.Op{statement.OpSet, statement.OpStatement}},
		{map[string]string{"a": "1"}, []statement.Op{statement.OpReset, statement.OpSet, statement.OpStatement}},
		{nil, []statement.Op{statement.OpReset, statement.OpStatement}},
	} {
		if got := run(c.vars); !slices.Equal(got, c.want) {
			t.Errorf("exchange %d sent %v, want %v", i, got, c.want)
		}
	}
}

// Guards against a round trip that sets variables while another idle connection has
// them already.
func TestConnectionWithTheSessionsVariablesIsTaken(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, ampleSizing)
	sessions := []map[string]string{{"a": "1"}, {}}
	use := func(leases ...*Lease) {
		for i, l := range leases {
			if _, err := l.Run(Exchange{Variables: sessions[i], Deadline: time.Now().Add(10 * time.Second)}); err != nil {
				t.Fatal(err)
			}
		}
		for _, l := range leases {
			l.Release()
		}
	}
	use(acquire(t, p), acquire(t, p))
	db.received = nil
	for i := range sessions {
		l, err := p.Acquire(context.Background(), newRequest(), sessions[i])
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Run(Exchange{Variables: sessions[i], Deadline: time.Now().Add(10 * time.Second)}); err != nil {
			t.Fatal(err)
		}
		l.Release()
	}
	if got := ops(slices.Concat(db.received...)); slices.ContainsFunc(got, func(o statement.Op) bool { return o != statement.OpStatement }) {
		t.Errorf("sent %v, want statements only", got)
	}
}

// Guards against the loss of the connection that suits all sessions without variables:
// it was given to one that must set some anyway.
func TestConnectionWithoutVariablesIsKept(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, ampleSizing)
	a, b := acquire(t, p), acquire(t, p)
	if _, err := a.Run(Exchange{Variables: map[string]string{"a": "1"}, Deadline: time.Now().Add(10 * time.Second)}); err != nil {
		t.Fatal(err)
	}
	a.Release()
	b.Release() // without variables, and most recently used
	other := map[string]string{"a": "2"}
	if got := p.SetupTime("", nil); got != 0 {
		t.Errorf("setup takes %v for a session without variables, want 0", got)
	}
	l, err := p.Acquire(context.Background(), newRequest(), other)
	if err != nil {
		t.Fatal(err)
	}
	if l.conn.variables["a"] != "1" {
		t.Errorf("a session with variables got the connection with %v", l.conn.variables)
	}
	l.Release()
}

// Guards against a request that waits, or that passes others which wait, to begin its
// transaction early.
func TestTryAcquireNeverWaits(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 1, IdleTimeout: idleTimeoutDefault})
	if _, ok := p.TryAcquire(newRequest(), nil); ok || db.dialed != 0 {
		t.Error("a connection was opened")
	}
	l := acquire(t, p)
	if _, ok := p.TryAcquire(newRequest(), nil); ok {
		t.Error("the only connection was given out twice")
	}
	l.Release()
	l, ok := p.TryAcquire(newRequest(), nil)
	if !ok {
		t.Fatal("an idle connection was not given out")
	}
	l.Release()
	acquire(t, p).Release() // no ticket was lost
}

// Guards against confusion of two sessions' prepared statements that have the same
// name and different content.
func TestPreparedStatementsAreNamedByContent(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	name := func(s PreparedStatement) (string, int) {
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Prepared: &s, Deadline: time.Now().Add(time.Second)}); err != nil {
			t.Fatal(err)
		}
		l.Release()
		sent := db.received[len(db.received)-1]
		return sent[len(sent)-1].Name, len(sent)
	}
	first, n1 := name(PreparedStatement{Text: "q1"})
	again, n2 := name(PreparedStatement{Text: "q1"})
	writing, n3 := name(PreparedStatement{Text: "q1", Writes: true})
	if first != again || n1 != 2 || n2 != 1 {
		t.Errorf("the same statement is named %q and %q, in %d and %d commands", first, again, n1, n2)
	}
	if writing == first || n3 != 2 {
		t.Errorf("a writing statement has the name %q of a reading one", writing)
	}
}

// Guards against a statement that runs outside its transaction because it was sent
// together with a Begin that a lagging replica refused. This was found while an
// instance was isolated.
func TestStatementWaitsForBeginOfAReplica(t *testing.T) {
	behind := result.Errorf(result.BehindFloor, "behind")
	db := &fakeDatabase{answer: func(c statement.Command) (statement.Answer, error) {
		if c.Statement.Kind == statement.Begin {
			return statement.Answer{Err: behind}, nil
		}
		return statement.Answer{}, nil
	}}
	p, _ := newPool(db, ampleSizing)
	l := acquire(t, p)
	begin := statement.Statement{Kind: statement.Begin, ReadOnly: true}
	a, err := l.Run(Exchange{
		Begin: &begin, Statement: statement.Statement{Kind: statement.Read}, WaitFor: statement.Position{Term: 1, Number: 9},
		Deadline: time.Now().Add(time.Second),
	})
	if err != nil || !result.Is(a.Err, result.BehindFloor) {
		t.Fatalf("answer %+v, %v", a, err)
	}
	if len(db.received) != 1 || len(db.received[0]) != 1 {
		t.Errorf("sent %v although Begin was refused", db.received)
	}
}

// Guards against reuse of a connection on which an exchange failed, so that its state
// is unknown.
func TestFailedConnectionIsNotReused(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	db.answer = func(statement.Command) (statement.Answer, error) { return statement.Answer{}, errBroken }
	l := acquire(t, p)
	if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err == nil {
		t.Fatal("no error")
	}
	l.Discard()
	if db.open != 0 {
		t.Errorf("%d connections are open after the failure", db.open)
	}
	db.answer = nil
	acquire(t, p).Release()
	if db.open != 1 {
		t.Errorf("%d connections are open, want a new one", db.open)
	}
}

// Guards against a pooled connection with an open transaction after a failed rollback.
func TestFailedRollbackClosesTheConnection(t *testing.T) {
	db := &fakeDatabase{answer: func(statement.Command) (statement.Answer, error) {
		return statement.Answer{State: statement.TxOpen}, nil
	}}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	acquire(t, p).Rollback(time.Now().Add(time.Second))
	if db.open != 0 {
		t.Error("a connection with an open transaction was returned to the pool")
	}
}

// Guards against more open connections than MaxOpen under concurrent requests and
// maintenance.
func TestMaxOpenIsNeverExceeded(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 3, IdleTimeout: idleTimeoutDefault, KeepWarm: true})
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			for range 20 {
				l, err := p.Acquire(context.Background(), newRequest(), nil)
				if err != nil {
					continue
				}
				if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err != nil {
					l.Discard()
					continue
				}
				l.Release()
			}
		})
	}
	for range 50 {
		p.Maintain(context.Background())
	}
	wg.Wait()
	if db.peak > 3 {
		t.Errorf("%d connections were open at once, want at most 3", db.peak)
	}
}

// Guards against reads that wait for a replica at its connection limit while another
// one has free connections.
func TestDatabaseAtItsLimitIsAvoidedTemporarily(t *testing.T) {
	db := &fakeDatabase{dialErr: result.Errorf(result.ConnectionsBusy, "full")}
	p, clk := newPool(db, ampleSizing)
	if _, err := p.Acquire(context.Background(), newRequest(), nil); err == nil {
		t.Fatal("no refusal")
	}
	if !p.Load().AtLimit {
		t.Error("the refusal is not recorded")
	}
	clk.advance(2 * atLimitPeriod)
	if p.Load().AtLimit {
		t.Error("the refusal never expires")
	}
}

// Guards against a database that counts as failed because it is at its connection
// limit.
func TestDatabaseAtItsLimitIsNotDown(t *testing.T) {
	db := &fakeDatabase{dialErr: result.Errorf(result.ConnectionsBusy, "full")}
	p, _ := newPool(db, ampleSizing)
	if _, err := p.Acquire(context.Background(), newRequest(), nil); !result.Is(err, result.ConnectionsBusy) {
		t.Fatalf("error %v", err)
	}
	if _, unresponsive := p.UnresponsiveSince(); unresponsive || p.Load().Down {
		t.Error("a database at its limit counts as failed")
	}
	db.dialErr = errBroken
	p2, _ := newPool(db, ampleSizing)
	if _, err := p2.Acquire(context.Background(), newRequest(), nil); !result.Is(err, result.DatabaseDown) {
		t.Fatalf("error %v", err)
	}
	if _, unresponsive := p2.UnresponsiveSince(); !unresponsive {
		t.Error("a database that breaks connections does not count as unresponsive")
	}
}

// Guards against an instance that keeps idle connections to the primary of an
// oversubscribed database.
func TestIdleConnectionsToOversubscribedPrimaryAreClosed(t *testing.T) {
	db := &fakeDatabase{}
	p, clk := newPool(db, SizingFor(46, 64, 0, true))
	acquire(t, p).Release()
	clk.advance(idleTimeoutOversubscribedPrimary - time.Millisecond)
	p.Maintain(context.Background())
	if db.open != 1 {
		t.Fatal("the connection was closed early")
	}
	clk.advance(2 * time.Millisecond)
	p.Maintain(context.Background())
	if db.open != 0 {
		t.Error("an idle connection is kept after the idle time-out")
	}
}

// Guards against pools of all instances that together exceed a limit that is not
// oversubscribed.
func TestSharesFitTheLimit(t *testing.T) {
	for _, c := range []struct{ limit, instances, maxOpen int }{{16, 7, 2}, {16, 8, 2}, {30, 7, 2}, {60, 7, 4}, {136, 61, 2}, {300, 7, maxOpenPerInstance}} {
		s := SizingFor(c.limit, c.instances, c.instances, true)
		if s.MaxOpen != c.maxOpen || s.MaxOpen*c.instances > c.limit && s.MaxOpen != maxOpenPerInstance {
			t.Errorf("limit %d, %d instances: MaxOpen is %d, want %d", c.limit, c.instances, s.MaxOpen, c.maxOpen)
		}
	}
	// After a power failure, the first instance to start must not take the
	// connections of the others: it held 8 of 16.
	if s := SizingFor(16, 0, 0, true); s.MaxOpen != 1 {
		t.Errorf("an unknown number of instances gives %+v", s)
	}
	if s := SizingFor(46, 64, 0, true); s.KeepWarm || s.IdleTimeout != idleTimeoutOversubscribedPrimary {
		t.Errorf("an oversubscribed limit gives %+v for a primary", s)
	}
	// Two connections from each of 64 instances to both replicas exhaust the
	// limits: 10,824 dials failed in 8 s.
	if s := SizingFor(46, 64, 0, false); s.MaxOpen != 1 || s.IdleTimeout != idleTimeoutOversubscribedReplica {
		t.Errorf("an oversubscribed limit gives %+v for a replica", s)
	}
}

// Guards against a limit that is partly unused while transactions of an instance's
// callers wait for each other's only connection (nine instances before a limit of
// 16), and against shares that together exceed the limit.
func TestRemainderOfTheLimitIsUsed(t *testing.T) {
	for _, c := range []struct{ limit, instances, want int }{{16, 9, 16}, {16, 10, 16}, {16, 7, 14}, {16, 8, 16}, {46, 30, 46}} {
		sum := 0
		for rank := range c.instances {
			sum += SizingFor(c.limit, c.instances, rank, true).MaxOpen
		}
		if sum != c.want || sum > c.limit {
			t.Errorf("limit %d, %d instances: %d connections in all, want %d", c.limit, c.instances, sum, c.want)
		}
	}
	// After a power failure the databases still count the former connections.
	s := SizingFor(16, 9, 0, true)
	if got := s.afterStart(formerConnectionsTime - time.Millisecond); s.MaxOpen != 2 || got.MaxOpen != 1 {
		t.Errorf("MaxOpen is %d, and %d just after the start; want 2 and 1", s.MaxOpen, got.MaxOpen)
	}
	if got := s.afterStart(formerConnectionsTime); got != s {
		t.Errorf("%+v after the start-up, want %+v", got, s)
	}
	if wide := SizingFor(60, 7, 0, true); wide.afterStart(0) != wide {
		t.Error("a limit with room for a second set of connections is not used at the start")
	}
}
