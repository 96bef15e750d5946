package dbpool

import (
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/pace"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

func newPacedPool(db *fakeDatabase, owner string) (*Pool, *testClock) {
	clk := &testClock{now: time.Hour}
	return New(Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Owner: owner, Dial: db.dial, Clock: clock.Real{}, Now: clk.read,
		Sizing: Sizing{MaxOpen: 8, IdleTimeout: idleTimeoutDefault}, AdaptivePace: true,
	}), clk
}

func (p *Pool) limitNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.concurrency()
}

// TestPaceFollowsAnswers guards against a pool that floods a database which refuses
// statements, and against a limit at connections to an owner.
func TestPaceFollowsAnswers(t *testing.T) {
	db := &fakeDatabase{}
	p, clk := newPacedPool(db, "")
	before := p.limitNow()
	if before >= 8 {
		t.Fatalf("concurrency %d at the start, want a small one", before)
	}
	l := acquire(t, p)
	db.answer = func(statement.Command) (statement.Answer, error) {
		clk.advance(time.Millisecond)
		return statement.Answer{Err: result.Errorf(result.Overloaded, "queue full")}, nil
	}
	if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err != nil {
		t.Fatal(err)
	}
	l.Release()
	if p.limitNow() >= before {
		t.Errorf("concurrency %d after a refusal, want less than %d", p.limitNow(), before)
	}
	if toOwner, _ := newPacedPool(db, "p-2"); toOwner.limitNow() != 8 {
		t.Errorf("concurrency %d at an owner, want 8", toOwner.limitNow())
	}
}

// TestIdleTransactionsAndPace guards against a database that is idle while transactions
// whose callers send nothing use up a low limit.
func TestIdleTransactionsAndPace(t *testing.T) {
	db := &fakeDatabase{answer: func(statement.Command) (statement.Answer, error) {
		return statement.Answer{State: statement.TxOpen}, nil
	}}
	p, _ := newPacedPool(db, "")
	before := p.limitNow()
	l := acquire(t, p)
	if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err != nil {
		t.Fatal(err)
	}
	if p.limitNow() != before+1 {
		t.Errorf("concurrency %d while a transaction is idle, want %d", p.limitNow(), before+1)
	}
	l.Discard()
	if p.limitNow() != before {
		t.Errorf("concurrency %d after the transaction, want %d", p.limitNow(), before)
	}
}

// TestPaceAfterPromotion guards against full load at a database that was just promoted.
func TestPaceAfterPromotion(t *testing.T) {
	p, clk := newPacedPool(&fakeDatabase{}, "")
	start := p.limitNow()
	p.mu.Lock()
	for range 50 {
		at := clk.read()
		clk.advance(time.Millisecond)
		p.paceChanged(p.pace.limiter.Observe(pace.End{Began: at, Ended: clk.read(), Waited: true}))
	}
	p.mu.Unlock()
	if p.limitNow() != 8 {
		t.Fatalf("concurrency %d after many answers, want 8", p.limitNow())
	}
	p.setPrimary(true)
	if p.limitNow() != start {
		t.Errorf("concurrency %d after a promotion, want %d", p.limitNow(), start)
	}
	p.mu.Lock()
	p.paceChanged(p.pace.limiter.Observe(pace.End{Began: clk.read(), Ended: clk.read() + 1, Waited: true}))
	p.mu.Unlock()
	p.setPrimary(true)
	if p.limitNow() != start+1 {
		t.Errorf("concurrency %d after a registration that repeats the role, want %d", p.limitNow(), start+1)
	}
}
