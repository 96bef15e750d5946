package pool

import (
	"context"
	"testing"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Guards against a write that is acknowledged before a second database has
// replicated it, and against a confirmation that is missed.
func TestWriteWaitsForSecondDatabase(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	resp := cl.run("write", nil)
	cl.wantResult("replicated write", resp, 0, 0)
	if p := wire.PositionOf(resp.GetPosition()); !resp.GetWrote() || p != (backend.Position{Term: 3, Offset: 11}) {
		t.Errorf("wrote %v, position %v", resp.GetWrote(), p)
	}
	cl.a.set(func(d *fakeDB) { d.holdReplication = true })
	cl.wantResult("write without a replica", cl.run("write", withShortBudget), result.OutcomeUnknown, result.RanUnknown)
	cl.wantResult("read of an unconfirmed commit", cl.run("read", withShortBudget), result.Unverified, result.RanNo)
	cl.a.set(func(d *fakeDB) { d.holdReplication = false })
	cl.a.replicate()
	cl.wantResult("read after replication", cl.run("read", nil), 0, 0)
}

// Guards against a replaced primary that acknowledges a write: the replicas are at
// a higher term, or the primary was fenced during the batch.
func TestReplacedPrimaryAcknowledgesNothing(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	cl.b.set(func(d *fakeDB) { d.status.Term, d.status.Role = 4, backend.RoleFenced })
	cl.c.set(func(d *fakeDB) { d.status.Term, d.status.Role = 4, backend.RoleFenced })
	cl.eventually("the raised term is reported", func() bool {
		for _, s := range cl.q.Statuses("g") {
			if s.GetTerm() != 4 {
				return false
			}
		}
		return true
	})
	cl.wantResult("write with a higher term hint", cl.run("write", func(r *wire.ExecuteRequest) { r.TermHint = 4 }), result.Unverified, result.RanNo)
	cl.wantResult("read with an age bound", cl.run("read", func(r *wire.ExecuteRequest) {
		r.WantPrimary, r.Bound, r.MaxAgeMs = false, wire.ReadBound_READ_BOUND_AGE, 60_000
	}), result.Unverified, result.RanNo)
	cl.wantResult("write", cl.run("write", nil), result.OutcomeUnknown, result.RanUnknown)
	cl.wantResult("verified read", cl.run("read", func(r *wire.ExecuteRequest) { r.Verify = true }), result.Unverified, result.RanNo)

	cl = newCluster(t, clusterOptions{})
	fenced := backend.Status{Term: 4, Role: backend.RoleFenced, Last: backend.Position{Term: 3, Offset: 11}}
	cl.a.set(func(d *fakeDB) { d.afterBatch = func(d *fakeDB) { d.setStatus(fenced) } })
	cl.wantResult("write during a raise", cl.run("write", nil), result.OutcomeUnknown, result.RanUnknown)
	cl.eventually("the raised term is reported", func() bool { return cl.p.Statuses("g")[0].GetTerm() == 4 })
	cl.wantResult("write after the raise", cl.run("write", nil), result.NotPrimary, result.RanNo)
	if n := cl.a.count("write"); n != 1 {
		t.Errorf("the old primary ran %d writes, want 1", n)
	}
}

// Guards against trust in a stale status: the pool still takes the database for
// the primary, but the answer says that it no longer is.
func TestAnswerOfFormerPrimaryIsRefused(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	cl.a.mu.Lock() // without notifying the status follower
	cl.a.status.Role, cl.a.status.Term = backend.RoleReplica, 4
	cl.a.mu.Unlock()
	cl.wantResult("read", cl.run("read", nil), result.NotPrimary, result.RanNo)
	cl.wantResult("write", cl.run("write", nil), result.NotPrimary, result.RanNo)
}

// Guards against the result "not run" for a request that may have run, and against
// reuse of a broken connection. The connection is lost at each step of a batch.
func TestConnectionLossAtEveryStep(t *testing.T) {
	for _, test := range []struct {
		cut  cutPoint
		code result.Code
		ran  result.Ran
	}{
		{beforeSend, result.DatabaseDown, result.RanNo},
		{afterSend, result.OutcomeUnknown, result.RanUnknown},
		{afterCommit, result.OutcomeUnknown, result.RanUnknown},
		{duringAnswer, result.OutcomeUnknown, result.RanUnknown},
	} {
		cl := newCluster(t, clusterOptions{})
		cl.a.set(func(d *fakeDB) { d.cutAt = test.cut })
		cl.wantResult(string(test.cut), cl.run("write", nil), test.code, test.ran)
		cl.a.set(func(d *fakeDB) { d.cutAt = "" })
		cl.wantResult("next request", cl.run("read", nil), 0, 0)

		resp := cl.run("begin", nil)
		cl.a.set(func(d *fakeDB) { d.cutAt = test.cut })
		in := func(sequence uint64) func(*wire.ExecuteRequest) {
			return func(r *wire.ExecuteRequest) { r.TransactionId, r.Sequence = resp.GetTransactionId(), sequence }
		}
		cl.wantResult("commit, "+string(test.cut), cl.run("commit", in(2)), test.code, test.ran)
		cl.a.set(func(d *fakeDB) { d.cutAt = "" })
		if test.cut != beforeSend {
			cl.wantResult("statement of a lost transaction", cl.run("read", in(3)), result.RolledBack, result.RanNo)
		}
		cl.stop()
		if n := cl.a.connections(); n != 0 {
			t.Errorf("%s: %d connections are open after the pool was closed", test.cut, n)
		}
	}
}

// Guards against a request that exceeds its budget, and against reuse of a
// connection whose late answer would reach the next request.
func TestTimeoutClosesConnection(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	cl.wantResult("hang", cl.run("hang", withShortBudget), result.OutcomeUnknown, result.RanUnknown)
	cl.wantResult("no budget", cl.run("write", func(r *wire.ExecuteRequest) { r.BudgetMs = 0 }), result.DeadlineBeforeRun, result.RanNo)
	cl.wantResult("next request", cl.run("read", nil), 0, 0)
}

// Guards against a cancelled request that keeps running, and against a late
// cancellation that hits the next request on the connection.
func TestCancel(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	r := cl.request("hang", nil)
	done := make(chan *wire.ExecuteResponse)
	go func() { done <- cl.send(r) }()
	<-cl.a.hanging
	cl.wantResult("duplicate of a running request", cl.send(r), result.ProtocolViolation, result.RanUnknown)
	if _, err := cl.p.Cancel(context.Background(), &wire.CancelRequest{RequestId: r.GetRequestId()}); err != nil {
		t.Fatal(err)
	}
	cl.wantResult("cancelled", <-done, 0, 0)
	cl.eventually("the connection is closed", func() bool {
		cl.a.mu.Lock()
		defer cl.a.mu.Unlock()
		return cl.a.openedConns > cl.a.openConns
	})
}

// Guards against answers from a replica that lacks the session's writes, is fenced,
// or received a write.
func TestReplicaRead(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	on := func(floor uint64) func(*wire.ExecuteRequest) {
		return func(r *wire.ExecuteRequest) {
			r.Database, r.WantPrimary, r.Bound = "b", false, wire.ReadBound_READ_BOUND_FLOOR
			r.Floor = wire.NewPosition(backend.Position{Term: 3, Offset: floor})
		}
	}
	cl.wantResult("at the floor", cl.run("read", on(10)), 0, 0)
	cl.wantResult("below the floor", cl.run("read", on(11)), result.BehindFloor, result.RanNo)
	cl.wantResult("write", cl.run("write", on(10)), result.NotPrimary, result.RanNo)
	cl.wantResult("unknown floor", cl.run("read", func(r *wire.ExecuteRequest) { on(0)(r); r.Verify = true }), result.Unverified, result.RanNo)
	cl.wantResult("begin", cl.run("begin", on(10)), result.NotSupported, result.RanNo)
	cl.b.set(func(d *fakeDB) {
		d.afterBatch = func(d *fakeDB) { d.setStatus(backend.Status{Term: 4, Role: backend.RolePrimary}) }
	})
	cl.wantResult("promoted during the read", cl.run("read", on(10)), result.OutcomeUnknown, result.RanUnknown)
	cl.c.setStatus(backend.Status{Term: 4, Role: backend.RoleFenced, Last: backend.Position{Term: 3, Offset: 10}})
	fenced := func(r *wire.ExecuteRequest) { on(10)(r); r.Database = "c" }
	cl.wantResult("fenced", cl.run("read", fenced), result.DatabaseDown, result.RanNo)
}

// Guards against an answer whose age is not proved: the replica lacks a position
// that the primary reported, or that primary was replaced.
func TestAgeProof(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	read := func(r *wire.ExecuteRequest) {
		r.Database, r.WantPrimary, r.Bound, r.MaxAgeMs = "b", false, wire.ReadBound_READ_BOUND_AGE, 60_000
	}
	cl.wantResult("up to date", cl.run("read", read), 0, 0)
	cl.b.set(func(d *fakeDB) { d.status.Last.Offset = 9 })
	cl.wantResult("lagging", cl.run("read", read), result.TooOld, result.RanNo)
	resp := cl.run("read", func(r *wire.ExecuteRequest) { read(r); r.MarkStale = true })
	cl.wantResult("lagging, marked as stale", resp, 0, 0)
	if !resp.GetStale() {
		t.Error("the answer is not marked stale")
	}

	h := cl.q.database("b").history
	now := time.Unix(1000, 0)
	s := backend.Status{Term: 5, Last: backend.Position{Term: 5, Offset: 7}}
	h.add(sample{begin: now.Add(-time.Second), term: 5, position: s.Last})
	for name, test := range map[string]struct {
		read   time.Time
		maxAge time.Duration
		term   uint64
		want   bool
	}{
		"proved":                {now, 2 * time.Second, 5, true},
		"sample too old":        {now, time.Second / 2, 5, false},
		"sample after the read": {now.Add(-3 * time.Second), 2 * time.Second, 5, false},
		"replica at other term": {now, 2 * time.Second, 6, false},
	} {
		s.Term = test.term
		if got := h.provesAge(test.read, now, test.maxAge, s); got != test.want {
			t.Errorf("%s: proved %v", name, got)
		}
	}
}

// Guards against new work on a database that is leaving or is not owned.
func TestLeavingOrReleasedDatabaseTakesNoNewWork(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	begin := cl.run("begin", nil)
	cl.a.set(func(d *fakeDB) { d.status.Leaving = true })
	cl.eventually("the database reports that it is leaving", func() bool { return cl.p.Statuses("g")[0].GetLeaving() })
	cl.wantResult("new work", cl.run("read", nil), result.DatabaseLeaving, result.RanNo)
	cl.wantResult("open transaction", cl.run("commit", func(r *wire.ExecuteRequest) {
		r.TransactionId, r.Sequence = begin.GetTransactionId(), 2
	}), 0, 0)
	cl.a.set(func(d *fakeDB) { d.status.Leaving = false })
	cl.group.Databases[0].Leaving = true
	cl.apply(cl.dir)
	cl.eventually("the directory's leaving flag is applied", func() bool { return cl.p.database("a").leaving.Load() })
	cl.wantResult("new work", cl.run("read", nil), result.DatabaseLeaving, result.RanNo)
	cl.group.Databases = cl.group.Databases[1:]
	cl.apply(cl.dir)
	cl.eventually("the database is released", func() bool { return cl.p.database("a") == nil })
	cl.wantResult("not owned", cl.run("read", nil), result.NotOwner, result.RanNo)
	cl.eventually("connections are closed", func() bool { return cl.a.connections() == 0 })
}

// Guards against a missing result code for requests to an unreachable database, and
// against a pool that does not reconnect to it.
func TestDatabaseDownAndRecovery(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	cl.a.set(func(d *fakeDB) { d.down = true })
	cl.eventually("the database is unreachable", func() bool { return len(cl.reachable(cl.p)) == 0 })
	cl.wantResult("down", cl.run("read", nil), result.DatabaseDown, result.RanNo)
	cl.a.set(func(d *fakeDB) { d.down = false })
	cl.eventually("the database is reachable again", func() bool { return len(cl.reachable(cl.p)) == 1 })
	cl.wantResult("reachable again", cl.run("write", nil), 0, 0)
}

// Guards against an unsafe setting without effect: tests that disable confirmation
// to check that a fault is detected would then prove nothing.
func TestNoConfirmationSetting(t *testing.T) {
	o := clusterOptions{}
	o.unsafe.NoConfirmation = true
	cl := newCluster(t, o)
	cl.a.set(func(d *fakeDB) { d.holdReplication = true })
	cl.wantResult("write", cl.run("write", nil), 0, 0)
}

// Guards against an isolated primary that keeps running writes although no replica
// can confirm them: each would end with an unknown outcome instead of "not run".
func TestIsolatedPrimaryHoldsBackBatches(t *testing.T) {
	cl := newCluster(t, clusterOptions{})
	id := cl.run("begin", nil).GetTransactionId()
	cl.partitioned.Store(true)
	cl.eventually("batches are held back", func() bool {
		return result.Code(cl.run("write", withShortBudget).GetFailure().GetCode()) == result.Unverified
	})
	n := cl.a.count("write")
	cl.wantResult("write", cl.run("write", nil), result.Unverified, result.RanNo)
	cl.wantResult("commit", cl.run("commit", inTransaction(id, 2)), result.RolledBack, result.RanNo)
	if got := cl.a.count("write"); got != n {
		t.Errorf("%d writes ran while held back", got-n)
	}
	cl.partitioned.Store(false)
	cl.eventually("batches run again", func() bool { return cl.run("write", nil).GetFailure() == nil })
}
