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

// Guards against a statement that runs with the variables of another session.
func TestConnectionGetsExactlyTheSessionsVariables(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	run := func(vars map[string]string) []statement.Op {
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Variables: vars, Deadline: time.Now().Add(time.Second)}); err != nil {
			t.Fatal(err)
		}
		l.Release()
		return ops(db.got[len(db.got)-1])
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

// Guards against two sessions whose prepared statements have the same name and
// different shapes.
func TestPreparedStatementsAreNamedByShape(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	name := func(s PreparedStatement) (string, int) {
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Prepared: &s, Deadline: time.Now().Add(time.Second)}); err != nil {
			t.Fatal(err)
		}
		l.Release()
		sent := db.got[len(db.got)-1]
		return sent[len(sent)-1].Name, len(sent)
	}
	first, n1 := name(PreparedStatement{Text: "q1"})
	again, n2 := name(PreparedStatement{Text: "q1"})
	writing, n3 := name(PreparedStatement{Text: "q1", Writes: true})
	if first != again || n1 != 2 || n2 != 1 {
		t.Errorf("the same shape is %q and %q, in %d and %d commands", first, again, n1, n2)
	}
	if writing == first || n3 != 2 {
		t.Errorf("a writing shape is named %q like the reading one", writing)
	}
}

// Guards against a statement that runs outside its transaction because a
// replica refused Begin (PINNED on a day with an instance cut off).
func TestStatementWaitsForBeginOfAReplica(t *testing.T) {
	behind := result.Errorf(result.BehindFloor, "behind")
	db := &fakeDatabase{answer: func(c statement.Command) (statement.Answer, error) {
		if c.Statement.Kind == statement.Begin {
			return statement.Answer{Err: behind}, nil
		}
		return statement.Answer{}, nil
	}}
	p, _ := newPool(db, plenty)
	l := acquire(t, p)
	begin := statement.Statement{Kind: statement.Begin, ReadOnly: true}
	a, err := l.Run(Exchange{
		Begin: &begin, Statement: statement.Statement{Kind: statement.Read}, WaitFor: statement.Position{Term: 1, Number: 9},
		Deadline: time.Now().Add(time.Second),
	})
	if err != nil || !result.Is(a.Err, result.BehindFloor) {
		t.Fatalf("answer %+v, %v", a, err)
	}
	if len(db.got) != 1 || len(db.got[0]) != 1 {
		t.Errorf("sent %v although Begin was refused", db.got)
	}
}

// Guards against a round trip for Begin at the primary, which the fence
// protects from refusing it.
func TestBeginAtThePrimaryIsSentWithTheStatement(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, plenty)
	l := acquire(t, p)
	begin := statement.Statement{Kind: statement.Begin}
	if _, err := l.Run(Exchange{Begin: &begin, Statement: statement.Statement{Kind: statement.Write}, Deadline: time.Now().Add(time.Second)}); err != nil {
		t.Fatal(err)
	}
	if len(db.got) != 1 || len(db.got[0]) != 2 {
		t.Errorf("sent %v, want Begin and the statement together", db.got)
	}
}

// Guards against reuse of a connection whose state is unknown.
func TestFailedConnectionIsNotUsedAgain(t *testing.T) {
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

// Guards against a transaction that stays open on a connection of the pool.
func TestRollbackThatFailsClosesTheConnection(t *testing.T) {
	db := &fakeDatabase{answer: func(statement.Command) (statement.Answer, error) {
		return statement.Answer{State: statement.TxOpen}, nil
	}}
	p, _ := newPool(db, Sizing{MaxOpen: 1})
	acquire(t, p).Rollback(time.Now().Add(time.Second))
	if db.open != 0 {
		t.Error("a connection in a transaction went back to the pool")
	}
}

// Guards against more connections than the instance's share, under any
// interleaving of work.
func TestShareIsNeverExceeded(t *testing.T) {
	db := &fakeDatabase{}
	p, _ := newPool(db, Sizing{MaxOpen: 3, IdleTimeout: idleTimeoutDefault, KeepWarm: true})
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			for range 20 {
				l, err := p.Acquire(context.Background(), work())
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
	if db.most > 3 {
		t.Errorf("%d connections were open at once, want at most 3", db.most)
	}
}

// Guards against reads that wait for a replica at its limit while another has
// room.
func TestFullDatabaseIsAvoidedForAWhile(t *testing.T) {
	db := &fakeDatabase{refused: result.Errorf(result.ConnectionsBusy, "full")}
	p, clk := newPool(db, plenty)
	if _, err := p.Acquire(context.Background(), work()); err == nil {
		t.Fatal("no refusal")
	}
	if !p.Load().AtLimit {
		t.Error("the refusal is not noted")
	}
	clk.advance(2 * atLimitPeriod)
	if p.Load().AtLimit {
		t.Error("the refusal counts for ever")
	}
}

// Guards against a database that is at its limit and is taken for dead.
func TestLimitIsNotTakenForACrash(t *testing.T) {
	db := &fakeDatabase{refused: result.Errorf(result.ConnectionsBusy, "full")}
	p, _ := newPool(db, plenty)
	if _, err := p.Acquire(context.Background(), work()); !result.Is(err, result.ConnectionsBusy) {
		t.Fatalf("error %v", err)
	}
	if _, troubled := p.UnresponsiveSince(); troubled || p.Load().Down {
		t.Error("a database at its limit is taken for dead")
	}
	db.refused = errBroken
	p2, _ := newPool(db, plenty)
	if _, err := p2.Acquire(context.Background(), work()); !result.Is(err, result.DatabaseDown) {
		t.Fatalf("error %v", err)
	}
	if _, troubled := p2.UnresponsiveSince(); !troubled {
		t.Error("a database that refuses connections is not in doubt")
	}
}

// Guards against connections that an instance keeps unused at a primary that
// all instances need.
func TestLentConnectionsGoBackSoon(t *testing.T) {
	db := &fakeDatabase{}
	p, clk := newPool(db, SizingFor(46, 64, true))
	acquire(t, p).Release()
	clk.advance(idleTimeoutOversubscribedPrimary - time.Millisecond)
	p.Maintain(context.Background())
	if db.open != 1 {
		t.Fatal("the connection was closed early")
	}
	clk.advance(2 * time.Millisecond)
	p.Maintain(context.Background())
	if db.open != 0 {
		t.Error("an unused connection is kept")
	}
}

// Guards against shares that exceed the limit where nothing is lent.
func TestSharesFitTheLimit(t *testing.T) {
	for _, c := range []struct{ limit, instances, share int }{{16, 7, 2}, {16, 8, 2}, {30, 7, 2}, {60, 7, 4}, {136, 61, 2}, {300, 7, maxOpenPerInstance}} {
		s := SizingFor(c.limit, c.instances, true)
		if s.MaxOpen != c.share || s.MaxOpen*c.instances > c.limit && s.MaxOpen != maxOpenPerInstance {
			t.Errorf("limit %d, %d instances: share %d, want %d", c.limit, c.instances, s.MaxOpen, c.share)
		}
	}
	// After a loss of power the first instance to start held 8 of 16 connections.
	if s := SizingFor(16, 0, true); s.MaxOpen != 1 {
		t.Errorf("an unknown number of instances gives %+v", s)
	}
	if s := SizingFor(46, 64, true); s.KeepWarm || s.IdleTimeout != idleTimeoutOversubscribedPrimary {
		t.Errorf("a scarce limit gives %+v at a primary", s)
	}
	// Two connections from each of 64 instances to both replicas filled them:
	// 10,824 openings failed in 8 s.
	if s := SizingFor(46, 64, false); s.MaxOpen != 1 || s.IdleTimeout != idleTimeoutOversubscribedReplica {
		t.Errorf("a scarce limit gives %+v at a replica", s)
	}
}
