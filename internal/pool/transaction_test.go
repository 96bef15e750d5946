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

// inTransaction makes a request a statement of a transaction.
func inTransaction(id string, sequence uint64) func(*wire.ExecuteRequest) {
	return func(r *wire.ExecuteRequest) { r.TransactionId, r.Sequence = id, sequence }
}

// Guards against a statement that runs twice, in another transaction, or
// outside its transaction after that ended.
func TestTransactionSequence(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	begin := cl.run("begin", nil)
	id := begin.GetTransactionId()
	if id == "" || begin.GetTransactionStatus() != 'T' {
		t.Fatalf("begin = %v", begin)
	}
	other := cl.run("begin", nil).GetTransactionId()
	cl.wantResult("statement 2", cl.run("write", inTransaction(id, 2)), 0, 0)
	cl.wantResult("duplicate", cl.run("write", inTransaction(id, 2)), result.ProtocolViolation, result.RanUnknown)
	cl.wantResult("other transaction", cl.run("read", inTransaction(other, 2)), 0, 0)
	if n := cl.a.count("write"); n != 1 {
		t.Errorf("%d writes ran, want 1", n)
	}
	commit := cl.run("commit", inTransaction(id, 3))
	cl.wantResult("commit", commit, 0, 0)
	if !commit.GetWrote() || commit.GetTransactionStatus() != statusIdle {
		t.Errorf("commit = %v", commit)
	}
	cl.wantResult("after the end", cl.run("write", inTransaction(id, 4)), result.RolledBack, result.RanNo)
	cl.wantResult("unknown", cl.run("write", inTransaction("x", 4)), result.UnknownTransaction, result.RanNo)
	cl.wantResult("id of a pool that died", cl.run("write", inTransaction(generatedIDPrefix+"x", 1)), result.UnknownTransaction, result.RanNo)
	if n := cl.a.count("write"); n != 1 {
		t.Errorf("%d writes ran, want 1", n)
	}
	cl.wantResult("id given by the entry", cl.run("begin", inTransaction("e-1", 1)), 0, 0)
	cl.wantResult("its commit", cl.run("commit", inTransaction("e-1", 2)), 0, 0)
	cl.wantResult("late duplicate of its begin", cl.run("begin", inTransaction("e-1", 1)), result.RolledBack, result.RanUnknown)
}

// Guards against a commit that is acknowledged without a second database, also
// when the batch opens the next transaction.
func TestCommitIsConfirmed(t *testing.T) {
	for _, sql := range []string{"commit", "commit and chain"} {
		cl := newCluster(t, clusterOptions{})
		id := cl.run("begin", nil).GetTransactionId()
		cl.a.set(func(d *fakeDB) { d.holdReplication = true })
		cl.wantResult("statement", cl.run("write", inTransaction(id, 2)), 0, 0)
		resp := cl.run(sql, func(r *wire.ExecuteRequest) { inTransaction(id, 3)(r); withShortBudget(r) })
		cl.wantResult(sql, resp, result.OutcomeUnknown, result.RanUnknown)
	}
}

// Guards against a transaction that goes on after its primary was replaced.
func TestTransactionEndsWithItsTerm(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.a.set(func(d *fakeDB) { d.status.Term = 5 })
	cl.wantResult("statement", cl.run("read", inTransaction(id, 2)), result.RolledBack, result.RanNo)
	cl.eventually("the connection is closed", func() bool { return cl.a.count("read") == 1 && cl.a.connections() <= warmConnections })
}

// Guards against transactions that outlive their entry, and against a keep-alive
// of another entry that extends them.
func TestKeepAliveTimeout(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	cl := newCluster(t, clusterOptions{clock: clk})
	ts := cl.p.transactions
	kept, lost := cl.run("begin", nil).GetTransactionId(), cl.run("begin", nil).GetTransactionId()
	alive := func(entry string) []string {
		resp, err := cl.p.KeepAlive(context.Background(), &wire.KeepAliveRequest{EntryInstance: entry, TransactionIds: []string{kept}})
		if err != nil {
			t.Fatal(err)
		}
		return resp.GetUnknownIds()
	}
	clk.Advance(keepAliveTimeout - time.Millisecond)
	if unknown := alive("e"); len(unknown) != 0 {
		t.Errorf("unknown ids %v", unknown)
	}
	if unknown := alive("other entry"); len(unknown) != 1 {
		t.Error("another entry extended the transaction")
	}
	clk.Advance(2 * time.Millisecond)
	ts.rollBackExpired(clk.Now())
	cl.wantResult("lapsed", cl.run("write", inTransaction(lost, 2)), result.RolledBack, result.RanNo)
	cl.wantResult("kept", cl.run("commit", inTransaction(kept, 2)), 0, 0)
	if n := cl.a.count("write"); n != 0 {
		t.Errorf("%d writes ran outside their transaction", n)
	}

	id := cl.run("begin", nil).GetTransactionId()
	if _, err := cl.p.EndTransaction(context.Background(), &wire.EndTransactionRequest{TransactionId: id}); err != nil {
		t.Fatal(err)
	}
	cl.wantResult("ended by the entry", cl.run("write", inTransaction(id, 2)), result.RolledBack, result.RanNo)
}

// Guards against a lapse that waits for a statement which never returns.
func TestKeepAliveTimeoutStopsRunningStatement(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	cl := newCluster(t, clusterOptions{clock: clk})
	id := cl.run("begin", nil).GetTransactionId()
	done := make(chan *wire.ExecuteResponse)
	go func() { done <- cl.send(cl.request("hang", inTransaction(id, 2))) }()
	<-cl.a.hanging
	cl.wantResult("second statement at the same time", cl.run("write", inTransaction(id, 3)), result.ProtocolViolation, result.RanNo)
	clk.Advance(keepAliveTimeout + time.Millisecond)
	cl.p.transactions.rollBackExpired(clk.Now())
	cl.wantResult("running statement", <-done, result.OutcomeUnknown, result.RanUnknown)
}

// Guards against transactions that take all connections from single statements,
// against more connections than an owner's share, and against a deadlock
// between requests that wait for connections and the transactions that hold
// them.
func TestTransactionsLeaveOneConnection(t *testing.T) {
	cl := newCluster(t, clusterOptions{limit: 10}) // 10/2 owners - 2 control = 3
	const share = 3
	var ids []string
	for range share {
		ids = append(ids, cl.run("begin", nil).GetTransactionId())
	}
	waiting := cl.run("read", withShortBudget)
	if c := result.Code(waiting.GetFailure().GetCode()); c != result.ConnectionsBusy && c != result.DeadlineBeforeRun {
		t.Errorf("read while transactions hold all connections: %v", waiting.GetFailure())
	}
	var wg sync.WaitGroup
	for range 20 {
		r := cl.request("write", nil)
		wg.Go(func() { cl.wantResult("waiting write", cl.send(r), 0, 0) })
	}
	for _, id := range ids {
		cl.wantResult("commit", cl.run("commit", inTransaction(id, 2)), 0, 0)
	}
	wg.Wait()
	named := func(r *wire.ExecuteRequest) { inTransaction("e-"+r.GetRequestId(), 1)(r) }
	cl.wantResult("begin", cl.run("begin", named), 0, 0)
	cl.wantResult("begin", cl.run("begin", named), 0, 0)
	busy := cl.run("begin", func(r *wire.ExecuteRequest) { named(r); withShortBudget(r) })
	if busy.GetFailure() == nil {
		t.Error("transactions took the last connection")
	}
	cl.wantResult("single statement", cl.run("write", nil), 0, 0)
	cl.a.mu.Lock()
	defer cl.a.mu.Unlock()
	if cl.a.maxOpen > share {
		t.Errorf("%d connections were open, the share is %d", cl.a.maxOpen, share)
	}
}

// Guards against a shutdown that interrupts a request or a transaction, and
// against one that never ends.
func TestDrain(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.p.draining.Store(true)
	cl.wantResult("new work", cl.run("read", nil), result.ShuttingDown, result.RanNo)
	done := make(chan error)
	go func() { done <- cl.p.Drain(context.Background()) }()
	cl.wantResult("statement", cl.run("write", inTransaction(id, 2)), 0, 0)
	select {
	case err := <-done:
		t.Fatalf("drained with an open transaction: %v", err)
	default:
	}
	cl.wantResult("commit", cl.run("commit", inTransaction(id, 3)), 0, 0)
	if err := <-done; err != nil {
		t.Fatal(err)
	}

	cl = newCluster(t, clusterOptions{})
	cl.wantResult("begin", cl.run("begin", nil), 0, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := cl.p.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("drain = %v", err)
	}
}

// Guards against many waits that each call the replicas, and against calls that
// are answered from a status read before the question.
func TestConfirmationIsBatched(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	cl.a.set(func(d *fakeDB) { d.holdReplication = true })
	var wg sync.WaitGroup
	for range 50 {
		r := cl.request("write", nil)
		wg.Go(func() { cl.wantResult("write", cl.send(r), 0, 0) })
	}
	c := cl.p.database("a").confirmer
	cl.eventually("all writes wait", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.waiters) == 50
	})
	c.mu.Lock()
	calls := len(c.running)
	c.mu.Unlock()
	if calls > 2 {
		t.Errorf("%d calls for two replicas", calls)
	}
	cl.a.set(func(d *fakeDB) { d.holdReplication = false })
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
func TestTransactionSurvivesOwnerChange(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.group.Databases = cl.group.Databases[1:]
	cl.apply(cl.dir)
	cl.eventually("the database is given up", func() bool { return cl.p.database("a") == nil })
	cl.wantResult("statement", cl.run("write", inTransaction(id, 2)), 0, 0)
	cl.wantResult("commit", cl.run("commit", inTransaction(id, 3)), 0, 0)
	cl.eventually("the unit ends", func() bool { return len(cl.p.allDatabases()) == 0 && cl.a.connections() == 0 })
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
