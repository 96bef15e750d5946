package pool

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// in makes a request a statement of a transaction.
func in(id string, sequence uint64) func(*wire.ExecuteRequest) {
	return func(r *wire.ExecuteRequest) { r.TransactionId, r.Sequence = id, sequence }
}

// Guards against a statement that runs twice, in another transaction, or
// outside its transaction after that ended.
func TestTransactionSequence(t *testing.T) {
	cl := newCluster(t, option{})
	begin := cl.run("begin", nil)
	id := begin.GetTransactionId()
	if id == "" || begin.GetTransactionStatus() != 'T' {
		t.Fatalf("begin = %v", begin)
	}
	other := cl.run("begin", nil).GetTransactionId()
	cl.want("statement 2", cl.run("write", in(id, 2)), 0, 0)
	cl.want("duplicate", cl.run("write", in(id, 2)), result.ProtocolViolation, result.RanUnknown)
	cl.want("other transaction", cl.run("read", in(other, 2)), 0, 0)
	if n := cl.a.count("write"); n != 1 {
		t.Errorf("%d writes ran, want 1", n)
	}
	commit := cl.run("commit", in(id, 3))
	cl.want("commit", commit, 0, 0)
	if !commit.GetWrote() || commit.GetTransactionStatus() != statusIdle {
		t.Errorf("commit = %v", commit)
	}
	cl.want("after the end", cl.run("write", in(id, 4)), result.RolledBack, result.RanNo)
	cl.want("unknown", cl.run("write", in("x", 4)), result.UnknownTransaction, result.RanNo)
	cl.want("id of a pool that died", cl.run("write", in(ownIDPrefix+"x", 1)), result.UnknownTransaction, result.RanNo)
	if n := cl.a.count("write"); n != 1 {
		t.Errorf("%d writes ran, want 1", n)
	}
	cl.want("id given by the entry", cl.run("begin", in("e-1", 1)), 0, 0)
	cl.want("its commit", cl.run("commit", in("e-1", 2)), 0, 0)
	cl.want("late duplicate of its begin", cl.run("begin", in("e-1", 1)), result.RolledBack, result.RanUnknown)
}

// Guards against a commit that is acknowledged without a second database, also
// when the batch opens the next transaction.
func TestCommitIsConfirmed(t *testing.T) {
	for _, sql := range []string{"commit", "commit and chain"} {
		cl := newCluster(t, option{})
		id := cl.run("begin", nil).GetTransactionId()
		cl.a.set(func(d *fakeDB) { d.hold = true })
		cl.want("statement", cl.run("write", in(id, 2)), 0, 0)
		resp := cl.run(sql, func(r *wire.ExecuteRequest) { in(id, 3)(r); short(r) })
		cl.want(sql, resp, result.OutcomeUnknown, result.RanUnknown)
	}
}

// Guards against a transaction that goes on after its primary was replaced.
func TestTransactionEndsWithItsTerm(t *testing.T) {
	cl := newCluster(t, option{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.a.set(func(d *fakeDB) { d.status.Term = 5 })
	cl.want("statement", cl.run("read", in(id, 2)), result.RolledBack, result.RanNo)
	cl.eventually("the connection is closed", func() bool { return cl.a.count("read") == 1 && cl.a.connections() <= warmConnections })
}

// Guards against transactions that outlive their entry, and against a keep-alive
// of another entry that extends them.
func TestKeepAliveLapse(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	cl := newCluster(t, option{clock: clk})
	ts := cl.p.transactions
	kept, lost := cl.run("begin", nil).GetTransactionId(), cl.run("begin", nil).GetTransactionId()
	alive := func(entry string) []string {
		resp, err := cl.p.KeepAlive(context.Background(), &wire.KeepAliveRequest{EntryInstance: entry, TransactionIds: []string{kept}})
		if err != nil {
			t.Fatal(err)
		}
		return resp.GetUnknownIds()
	}
	clk.Advance(keepAliveLapse - time.Millisecond)
	if unknown := alive("e"); len(unknown) != 0 {
		t.Errorf("unknown ids %v", unknown)
	}
	if unknown := alive("other entry"); len(unknown) != 1 {
		t.Error("another entry extended the transaction")
	}
	clk.Advance(2 * time.Millisecond)
	ts.expire(clk.Now())
	cl.want("lapsed", cl.run("write", in(lost, 2)), result.RolledBack, result.RanNo)
	cl.want("kept", cl.run("commit", in(kept, 2)), 0, 0)
	if n := cl.a.count("write"); n != 0 {
		t.Errorf("%d writes ran outside their transaction", n)
	}

	id := cl.run("begin", nil).GetTransactionId()
	if _, err := cl.p.EndTransaction(context.Background(), &wire.EndTransactionRequest{TransactionId: id}); err != nil {
		t.Fatal(err)
	}
	cl.want("ended by the entry", cl.run("write", in(id, 2)), result.RolledBack, result.RanNo)
}

// Guards against a lapse that waits for a statement which never returns.
func TestLapseStopsRunningStatement(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	cl := newCluster(t, option{clock: clk})
	id := cl.run("begin", nil).GetTransactionId()
	done := make(chan *wire.ExecuteResponse)
	go func() { done <- cl.send(cl.request("hang", in(id, 2))) }()
	<-cl.a.hanging
	cl.want("second statement at the same time", cl.run("write", in(id, 3)), result.ProtocolViolation, result.RanNo)
	clk.Advance(keepAliveLapse + time.Millisecond)
	cl.p.transactions.expire(clk.Now())
	cl.want("running statement", <-done, result.OutcomeUnknown, result.RanUnknown)
}

// Guards against transactions that take all connections from single statements,
// against more connections than an owner's share, and against a deadlock
// between requests that wait for connections and the transactions that hold
// them.
func TestConnectionShare(t *testing.T) {
	cl := newCluster(t, option{limit: 10}) // 10/2 owners - 2 control = 3
	const share = 3
	var ids []string
	for range share {
		ids = append(ids, cl.run("begin", nil).GetTransactionId())
	}
	waiting := cl.run("read", short)
	if c := result.Code(waiting.GetFailure().GetCode()); c != result.ConnectionsBusy && c != result.DeadlineBeforeRun {
		t.Errorf("read while transactions hold all connections: %v", waiting.GetFailure())
	}
	var wg sync.WaitGroup
	for range 20 {
		r := cl.request("write", nil)
		wg.Go(func() { cl.want("waiting write", cl.send(r), 0, 0) })
	}
	for _, id := range ids {
		cl.want("commit", cl.run("commit", in(id, 2)), 0, 0)
	}
	wg.Wait()
	named := func(r *wire.ExecuteRequest) { in("e-"+r.GetRequestId(), 1)(r) }
	cl.want("begin", cl.run("begin", named), 0, 0)
	cl.want("begin", cl.run("begin", named), 0, 0)
	busy := cl.run("begin", func(r *wire.ExecuteRequest) { named(r); short(r) })
	if busy.GetFailure() == nil {
		t.Error("transactions took the last connection")
	}
	cl.want("single statement", cl.run("write", nil), 0, 0)
	cl.a.mu.Lock()
	defer cl.a.mu.Unlock()
	if cl.a.most > share {
		t.Errorf("%d connections were open, the share is %d", cl.a.most, share)
	}
}

// Guards against a shutdown that interrupts a request or a transaction, and
// against one that never ends.
func TestDrain(t *testing.T) {
	cl := newCluster(t, option{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.p.draining.Store(true)
	cl.want("new work", cl.run("read", nil), result.ShuttingDown, result.RanNo)
	done := make(chan error)
	go func() { done <- cl.p.Drain(context.Background()) }()
	cl.want("statement", cl.run("write", in(id, 2)), 0, 0)
	select {
	case err := <-done:
		t.Fatalf("drained with an open transaction: %v", err)
	default:
	}
	cl.want("commit", cl.run("commit", in(id, 3)), 0, 0)
	if err := <-done; err != nil {
		t.Fatal(err)
	}

	cl = newCluster(t, option{})
	cl.want("begin", cl.run("begin", nil), 0, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := cl.p.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("drain = %v", err)
	}
}

// Guards against many waits that each call the replicas, and against calls that
// are answered from a status read before the question.
func TestConfirmationIsBatched(t *testing.T) {
	cl := newCluster(t, option{})
	cl.a.set(func(d *fakeDB) { d.hold = true })
	var wg sync.WaitGroup
	for range 50 {
		r := cl.request("write", nil)
		wg.Go(func() { cl.want("write", cl.send(r), 0, 0) })
	}
	c := cl.p.unit("a").confirm
	cl.eventually("all writes wait", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.waits) == 50
	})
	c.mu.Lock()
	calls := len(c.busy)
	c.mu.Unlock()
	if calls > 2 {
		t.Errorf("%d calls for two replicas", calls)
	}
	cl.a.set(func(d *fakeDB) { d.hold = false })
	cl.a.replicate()
	wg.Wait()

	cl.b.mu.Lock() // without waking the status follower
	cl.b.status.Term, cl.b.status.Role = 4, backend.RoleFenced
	cl.b.mu.Unlock()
	resp, err := cl.q.Confirm(context.Background(), &wire.ConfirmRequest{Database: "b", Position: &wire.LogPosition{Term: 3}})
	if err != nil || resp.GetStatus().GetTerm() != 4 {
		t.Errorf("status = %v, err %v", resp, err)
	}
}

// Guards against an open transaction that is cut off when another instance
// takes the database's connections over.
func TestTransactionSurvivesHandOver(t *testing.T) {
	cl := newCluster(t, option{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.group.Databases = cl.group.Databases[1:]
	cl.apply(cl.dir)
	cl.eventually("the database is given up", func() bool { return cl.p.unit("a") == nil })
	cl.want("statement", cl.run("write", in(id, 2)), 0, 0)
	cl.want("commit", cl.run("commit", in(id, 3)), 0, 0)
	cl.eventually("the unit ends", func() bool { return len(cl.p.withRetiring()) == 0 && cl.a.connections() == 0 })
}

// Guards against a stale place in the cache of owners.
func TestOwnerCacheFollowsLiveInstances(t *testing.T) {
	cache := make(ownerCache)
	db := platform.Database{Name: "d", DataCentre: "one"}
	at := func(name, dataCentre string) ownership.Instance {
		return ownership.Instance{Name: name, DataCentre: dataCentre}
	}
	for _, live := range [][]ownership.Instance{
		{at("self", "one")},
		{at("self", "one"), at("x", "one"), at("y", "one"), at("z", "one")},
		{at("self", "one"), at("x", "two")},
		{at("self", "two"), at("x", "two"), at("y", "three")},
		{at("self", "two"), at("x", "one")},
		{at("x", "one")},
	} {
		owners, _ := ownership.OwnersOf(db.Name, db.DataCentre, live)
		want := slices.IndexFunc(owners, func(in ownership.Instance) bool { return in.Name == "self" })
		for range 2 {
			if got := cache.index("self", live, signaturesOf(live), db); got != want {
				t.Errorf("live %v: place %d, want %d", live, got, want)
			}
		}
	}
}
