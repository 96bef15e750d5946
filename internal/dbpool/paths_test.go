package dbpool

import (
	"context"
	"errors"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// scarceSet is a set with one database whose limit is below the number of
// instances, and two owners.
type scarceSet struct {
	set    *Set
	owners map[string]*fakeDatabase // by address
	own    *fakeDatabase
	self   bool
}

func newScarceSet(t *testing.T) *scarceSet {
	t.Helper()
	x := &scarceSet{owners: map[string]*fakeDatabase{"o1:1": {}, "o2:1": {}}, own: &fakeDatabase{}}
	x.set = NewSet(SetConfig{
		Dial: x.own.dial, Clock: clock.Real{}, Now: clock.SinceBoot, Instances: func() int { return 64 }, Topology: topology.New(),
		Owners: func(topology.Database, int) ([]ownership.Instance, bool) {
			return []ownership.Instance{{Name: "o1", Address: "o1:1"}, {Name: "o2", Address: "o2:1"}}, x.self
		},
		DialOwner: func(ctx context.Context, address, id string) (Conn, error) {
			return x.owners[address].dial(ctx, address, "", id)
		},
	})
	x.match()
	return x
}

func (x *scarceSet) match() []*Pool {
	x.set.mu.Lock()
	defer x.set.mu.Unlock()
	return x.set.reconcile(topology.Database{ID: "db-1", Service: "ledger", Address: "db:1"}, 46, 64)
}

// use makes one exchange and returns the way it took.
func (x *scarceSet) use(t *testing.T) (string, error) {
	t.Helper()
	p, ok := x.set.Pool("db-1")
	if !ok {
		t.Fatal("no pool")
	}
	l, err := p.Acquire(t.Context(), work())
	if err != nil {
		return p.Owner(), err
	}
	if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err != nil {
		l.Discard()
		return p.Owner(), err
	}
	l.Release()
	return p.Owner(), nil
}

func refuse(d *fakeDatabase, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused = err
	d.answer = nil
	if err != nil {
		d.answer = func(statement.Command) (statement.Answer, error) { return statement.Answer{}, err }
	}
}

// Guards against requests that go on to an owner that has failed while another
// one works, and against an owner that is never used again.
func TestAnotherOwnerIsUsedUntilTheFirstWorksAgain(t *testing.T) {
	x := newScarceSet(t)
	if via, err := x.use(t); via != "o1" || err != nil {
		t.Fatalf("the first request went by %q, %v", via, err)
	}
	refuse(x.owners["o1:1"], errBroken)
	if _, err := x.use(t); err == nil {
		t.Fatal("the owner did not fail")
	}
	for range 3 {
		if via, err := x.use(t); via != "o2" || err != nil {
			t.Fatalf("after the first owner failed: by %q, %v", via, err)
		}
	}
	refuse(x.owners["o2:1"], errBroken)
	if _, err := x.use(t); err == nil {
		t.Fatal("the second owner did not fail")
	}
	if via, err := x.use(t); via != "" || err != nil {
		t.Errorf("without owners: by %q, %v; want a connection of its own", via, err)
	}
	refuse(x.owners["o1:1"], nil)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		for _, p := range x.match() {
			p.Maintain(context.Background())
		}
		if via, err := x.use(t); via == "o1" && err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the first owner is not used again")
		}
	}
}

// Guards against a primary that is replaced because an owner of its connections
// failed, and against one that died and is not noticed.
func TestOwnerInTroubleIsNoDatabaseInTrouble(t *testing.T) {
	x := newScarceSet(t)
	refuse(x.owners["o1:1"], errBroken)
	if _, err := x.use(t); err == nil {
		t.Fatal("the owner did not fail")
	}
	if _, troubled := x.set.UnresponsiveSince("ledger", "db-1"); !troubled {
		t.Fatal("a failed way is not noticed")
	}
	if _, err := x.set.Status(t.Context(), "ledger", "db-1", time.Second); err != nil {
		t.Fatal(err)
	}
	if _, troubled := x.set.UnresponsiveSince("ledger", "db-1"); troubled {
		t.Error("the database answered a question and still counts as in trouble")
	}
	for _, d := range []*fakeDatabase{x.owners["o2:1"], x.own} {
		refuse(d, errBroken)
	}
	for range 3 {
		if _, err := x.use(t); err == nil {
			t.Fatal("a dead database answers")
		}
	}
	if _, err := x.set.Status(t.Context(), "ledger", "db-1", time.Second); err == nil {
		t.Fatal("a dead database tells its status")
	}
	if _, troubled := x.set.UnresponsiveSince("ledger", "db-1"); !troubled {
		t.Error("a dead database is not noticed")
	}
}

// Guards against an instance that lends connections it has no share of, and
// against an owner that asks others.
func TestOwnersHoldTheirShare(t *testing.T) {
	x := newScarceSet(t)
	if _, ok := x.set.Owned("db-1"); ok {
		t.Error("an instance that is no owner lends connections")
	}
	x.self = true
	x.match()
	p, ok := x.set.Owned("db-1")
	if !ok {
		t.Fatal("an owner does not lend")
	}
	if share := p.Load().MaxOpen; share != maxOpenPerInstance {
		t.Errorf("share %d, want %d: half of 46 for two owners, at most %d each", share, maxOpenPerInstance, maxOpenPerInstance)
	}
	if via, err := x.use(t); via != "" || err != nil {
		t.Errorf("an owner went by %q, %v", via, err)
	}
}

// Guards against a refusal for load that is taken for an owner that failed.
func TestRefusalForLoadIsNoFailure(t *testing.T) {
	x := newScarceSet(t)
	busy := &NotSentError{Cause: result.Errorf(result.DeadlineBeforeRun, "late")}
	x.owners["o1:1"].answer = func(statement.Command) (statement.Answer, error) { return statement.Answer{}, busy }
	var notSent *NotSentError
	if _, err := x.use(t); !errors.As(err, &notSent) {
		t.Fatalf("error %v", err)
	}
	if via, _ := x.use(t); via != "o1" {
		t.Errorf("after a refusal for load requests go by %q", via)
	}
	p, _ := x.set.Pool("db-1")
	before := x.owners["o1:1"].total
	for range 5 {
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); !errors.As(err, &notSent) {
			t.Fatalf("error %v", err)
		}
		l.ReleaseNotSent(notSent)
	}
	if opened := x.owners["o1:1"].total - before; opened > 1 {
		t.Errorf("%d connections to the owner were opened for 5 refusals", opened)
	}
}
