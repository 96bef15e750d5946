package dbpool

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/topology"
)

// cutSet is a set whose instance reached the primary db-1 directly, has one idle
// connection from then, and is cut off from it. Its clock moves only with pass.
type cutSet struct {
	*oversubscribedSet
	now atomic.Int64
}

func newCutSet(t *testing.T) *cutSet {
	t.Helper()
	x := &cutSet{oversubscribedSet: newOversubscribedSet(t)}
	x.now.Store(int64(time.Hour))
	x.set.cfg.Now = func() time.Duration { return time.Duration(x.now.Load()) }
	x.set.close() // the pools use the former clock
	x.set.cfg.Owners, x.limit = nil, 256
	x.set.cfg.Detours = func(topology.Database) []ownership.Instance {
		return []ownership.Instance{{Name: "o1", Address: "o1:1"}}
	}
	x.reconcile()
	p, _ := x.set.Pool("db-1", "")
	first, second := acquire(t, p), acquire(t, p)
	first.Release()
	second.Release()
	setError(x.direct, errBroken)
	if through, err := x.use(t); through != "" || err == nil {
		t.Fatalf("through %q, %v, want a failed exchange on a direct connection", through, err)
	}
	x.pass(detourDelay + time.Millisecond)
	return x
}

// pass lets time pass in steps of maintainInterval, and maintains the pools.
func (x *cutSet) pass(d time.Duration) {
	for ; d > 0; d -= maintainInterval {
		x.now.Add(int64(min(d, maintainInterval)))
		for _, p := range x.reconcile() {
			p.Maintain(context.Background())
		}
	}
}

// Guards against a primary that is never suspected although this instance has lost it: an
// idle connection from before the cut keeps the pool from opening others, so the direct
// connections don't fail again, and each answer through the detour was taken for a later
// answer to this instance.
func TestDetourAnswerDoesNotEndALoss(t *testing.T) {
	x := newCutSet(t)
	lost := x.set.Reach("ledger", "db-1").LostSince
	if lost == 0 {
		t.Fatal("the loss is not noticed")
	}
	for range 30 {
		x.pass(time.Second)
		sent := x.set.cfg.Now()
		if _, err := x.set.Status(t.Context(), "ledger", "db-1", time.Second); err != nil {
			t.Fatalf("status through the detour: %v", err)
		}
		reach := x.set.Reach("ledger", "db-1")
		if reach.LostSince != lost || !reach.Requests || reach.DetourAnswered != sent || reach.Detour != "o1" {
			t.Fatalf("%v after the loss: %+v, want the loss at %v and the detour's answer at %v", sent-lost, reach, lost, sent)
		}
	}
}

// Guards against detours that stay in use after the cut, for the same reason.
func TestReachedDatabaseIsUsedDirectlyAgain(t *testing.T) {
	x := newCutSet(t)
	x.pass(time.Second)
	if through, err := x.use(t); through != "o1" || err != nil {
		t.Fatalf("through %q, %v, want the detour", through, err)
	}
	setError(x.direct, nil)
	x.set.probeDetoured(t.Context())
	for end := time.Now().Add(5 * time.Second); x.set.Reach("ledger", "db-1").Lost(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end of the cut is not noticed")
		}
	}
	x.pass(maintainInterval)
	if through, err := x.use(t); through != "" || err != nil {
		t.Errorf("through %q, %v, want a direct connection", through, err)
	}
}

// Guards against a loss that an instance without requests does not notice, and against
// one that is reported because the database refuses a connection: that is an answer.
func TestProbeFindsOutWhetherADatabaseIsReached(t *testing.T) {
	x := newCutSet(t)
	setError(x.direct, nil)
	if reach := x.set.Probe(t.Context(), "ledger", "db-1", time.Second); reach.Lost() {
		t.Fatalf("%+v after an answered probe", reach)
	}
	x.pass(detourMemory + time.Second)
	setError(x.direct, errBroken)
	if x.set.Reach("ledger", "db-1").Lost() {
		t.Fatal("lost without a failed exchange")
	}
	sent := x.set.cfg.Now()
	x.pass(time.Millisecond)
	for range 2 {
		sent = max(sent, x.set.Probe(t.Context(), "ledger", "db-1", time.Second).LostSince)
		x.pass(time.Second)
	}
	if reach := x.set.Reach("ledger", "db-1"); reach.LostSince != sent || reach.Requests {
		t.Errorf("%+v, want a loss at %v, the time of the first probe that failed", reach, sent)
	}
	setError(x.direct, result.Errorf(result.ConnectionsBusy, "at the limit"))
	if reach := x.set.Probe(t.Context(), "ledger", "db-1", time.Second); reach.Lost() {
		t.Errorf("%+v although the database refused a connection because of its limit", reach)
	}
}

// Guards against a query to the owners of a database that counts as a detour, and a
// detour that counts as the answer to the instance itself.
func TestOwnersAreNoDetours(t *testing.T) {
	x := newOversubscribedSet(t)
	if reach := x.set.Probe(t.Context(), "ledger", "db-1", time.Second); reach.Lost() || reach.Answered == 0 || reach.DetourAnswered != 0 {
		t.Errorf("%+v after an owner has answered", reach)
	}
	for _, d := range []*fakeDatabase{x.owners["o1:1"], x.owners["o2:1"], x.direct} {
		setError(d, errBroken)
	}
	for range 2 {
		if _, err := x.use(t); err == nil {
			t.Fatal("an exchange with the failed database succeeded")
		}
	}
	if reach := x.set.Probe(t.Context(), "ledger", "db-1", time.Second); !reach.Lost() || !reach.Requests {
		t.Errorf("%+v, want a primary that no owner reaches", reach)
	}
}
