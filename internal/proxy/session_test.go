package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// Guards against a session that reads from a replica that has not received the
// session's own write.
func TestSessionReadsItsOwnWrites(t *testing.T) {
	h := newHarness(t)
	h.observePosition(2)
	s := h.session(readRoute)
	if a := s.handle(st(statement.Write)); a.Err != nil {
		t.Fatal(a.Err)
	}
	s.handle(st(statement.Read))
	for _, id := range []string{"db-2", "db-3"} {
		for _, c := range h.sent[id] {
			if c.WaitFor.Before(statement.Position{Term: 1, Number: 5}) {
				t.Errorf("read at %s waits for position %v, want at least 1.5, where the session wrote", id, c.WaitFor)
			}
		}
	}
}

// Guards against reads that fail because a replica is lagging, and against
// trying a lagging replica again for each read.
func TestLaggingReplicaCostsOneAttempt(t *testing.T) {
	h := newHarness(t)
	h.observePosition(2)
	behind := func(statement.Command) (statement.Answer, error) {
		return statement.Answer{Err: result.Errorf(result.BehindFloor, "behind")}, nil
	}
	h.setHandler("db-2", behind)
	h.setHandler("db-3", behind)
	s := h.session(readRoute)
	for range 2 {
		if a := s.handle(st(statement.Read)); a.Err != nil || a.Signature != "sig db-1" {
			t.Fatalf("answer %+v", a)
		}
	}
	if n := h.runs("db-2", statement.Read) + h.runs("db-3", statement.Read); n > 2 {
		t.Errorf("%d attempts at lagging replicas, want at most 2", n)
	}
}

// Guards against a replica read of unknown staleness while no recent position of
// the primary is known.
func TestReplicaReadNeedsPrimaryPosition(t *testing.T) {
	h := newHarness(t)
	h.configure(120 * time.Millisecond)
	h.startFailover()
	wantCode(t, h.session(readRoute).handle(st(statement.Read)), result.NoPrimary)
	h.observePosition(2)
	if a := h.session(readRoute).handle(st(statement.Read)); a.Err != nil {
		t.Errorf("read failed with %+v although a position is known", a.Err)
	}
}

// Guards against requests to a database that is leaving.
func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	h := newHarness(t)
	h.observePosition(2)
	for _, id := range []string{"db-2", "db-3"} {
		h.topology.Register(topology.Database{ID: id, Service: testService, Address: "10.0.0.1:1", DataCentre: "a", Leaving: true}, clock.SinceBoot())
	}
	for range 5 {
		h.session(readRoute).handle(st(statement.Read))
	}
	if n := h.runs("db-2", statement.Read) + h.runs("db-3", statement.Read); n != 0 {
		t.Errorf("%d reads were sent to leaving databases", n)
	}
}

// Guards against a transaction whose statements are sent to different databases
// or connections, and against using a database for statements that need none.
func TestTransactionStaysOnItsConnection(t *testing.T) {
	h := newHarness(t)
	h.observePosition(2)
	for _, id := range []string{"db-1", "db-2", "db-3"} {
		h.setHandler(id, inState(statement.TxOpen))
	}
	s := h.session(readRoute)
	begin := st(statement.Begin)
	begin.ReadOnly = true
	s.handle(begin)
	for range 4 {
		s.handle(st(statement.Read))
	}
	if a := s.handle(st(statement.Commit)); a.Err != nil || a.State != statement.TxIdle {
		t.Fatalf("commit: %+v", a)
	}
	used := 0
	for _, id := range []string{"db-1", "db-2", "db-3"} {
		if h.runs(id, statement.Read) > 0 {
			used++
			if h.runs(id, statement.Begin) != 1 || h.runs(id, statement.Commit) != 1 || h.runs(id, statement.Read) != 4 {
				t.Errorf("%s got %v", id, h.sent[id])
			}
		}
	}
	if used != 1 {
		t.Errorf("the transaction used %d databases", used)
	}
}

// Guards against session variables and prepared statements that are lost, or that
// are sent to a database before a statement needs them.
func TestSessionStateIsKeptByProxy(t *testing.T) {
	h := newHarness(t)
	s := h.session(testRoute)
	wantCode(t, s.handle(st(statement.Execute)), result.UnknownStatement)
	wantCode(t, s.handle(st(statement.Deallocate)), result.UnknownStatement)
	for _, k := range []statement.Kind{statement.Set, statement.Prepare} {
		if a := s.handle(st(k)); a.Err != nil {
			t.Fatalf("%s: %v", k, a.Err)
		}
	}
	if len(h.sent["db-1"]) != 0 {
		t.Error("commands were sent to a database")
	}
	if a := s.handle(st(statement.Execute)); a.Err != nil {
		t.Fatal(a.Err)
	}
	var got []statement.Op
	for _, c := range h.sent["db-1"] {
		got = append(got, c.Op)
	}
	if len(got) != 3 || got[0] != statement.OpSet || got[1] != statement.OpPrepare {
		t.Errorf("sent %v", got)
	}
	s.handle(st(statement.Deallocate))
	wantCode(t, s.handle(st(statement.Execute)), result.UnknownStatement)
}

// Guards against a caller that keeps a connection busy with an idle transaction.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", inState(statement.TxOpen))
	c := newCaller(testRoute)
	h.connect(c)
	c.statements <- st(statement.Begin)
	<-c.answers
	c.statements <- st(statement.Write)
	<-c.answers
	h.eventually("the connection is free", func() bool {
		p, _ := h.server.cfg.Pools.Pool("db-1", "")
		return p.Load().InUse == 0
	})
	// The caller must learn that its transaction was rolled back. The soak test
	// found that the statement was refused as a protocol violation instead.
	c.statements <- st(statement.Write)
	a := <-c.answers
	wantCode(t, a, result.RolledBack)
	if a.State != statement.TxFailed {
		t.Errorf("state %d after the rollback", a.State)
	}
	c.statements <- st(statement.Write)
	wantCode(t, <-c.answers, result.ProtocolViolation)
	c.statements <- st(statement.Rollback)
	if a := <-c.answers; a.Err != nil || a.State != statement.TxIdle {
		t.Errorf("rollback: %+v", a)
	}
	close(c.statements)
	<-c.closed
}

// Guards against a connection that stays in the transaction of a caller that has
// disconnected.
func TestDisconnectRollsBackTransaction(t *testing.T) {
	h := newHarness(t)
	h.setHandler("db-1", inState(statement.TxOpen))
	c := newCaller(testRoute)
	h.connect(c)
	c.statements <- st(statement.Begin)
	<-c.answers
	c.statements <- st(statement.Write)
	<-c.answers
	close(c.statements)
	h.eventually("the connection is free", func() bool {
		p, _ := h.server.cfg.Pools.Pool("db-1", "")
		return p.Load().InUse == 0
	})
}

// Guards against a session for a route that does not exist.
func TestUnknownRouteIsRefused(t *testing.T) {
	h := newHarness(t)
	c := newCaller("nowhere")
	h.connect(c)
	<-c.closed
	if !result.Is(c.refusal, result.UnknownService) {
		t.Errorf("refusal %v", c.refusal)
	}
}

// Guards against callers that use up the file descriptors of the process.
func TestSessionLimit(t *testing.T) {
	h := newHarness(t)
	for range h.server.cfg.MaxSessions {
		c := newCaller(testRoute)
		h.connect(c)
		c.statements <- st(statement.Set)
		<-c.answers
	}
	one, other := net.Pipe()
	h.server.startSession(one)
	if _, err := other.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond the limit is open")
	}
	if n := len(h.server.sessions); n != h.server.cfg.MaxSessions {
		t.Errorf("%d sessions are open, want MaxSessions", n)
	}
}

// Guards against a shutdown that aborts open transactions at once, leaves idle
// sessions open, or waits for an idle caller.
func TestShutdownFollowsSchedule(t *testing.T) {
	h := newHarness(t)
	h.topology.Apply(topology.Configuration{Version: 99, Routes: h.topology.Snapshot().Routes, Services: h.topology.Snapshot().Services})
	h.setHandler("db-1", inState(statement.TxOpen))
	idle, busy := newCaller(testRoute), newCaller(testRoute)
	h.connect(idle)
	h.eventually("the idle session is open", func() bool { return len(h.server.sessions) == 1 })
	idle.statements <- st(statement.Set)
	<-idle.answers
	h.connect(busy)
	busy.statements <- st(statement.Begin)
	<-busy.answers
	busy.statements <- st(statement.Write)
	<-busy.answers

	done := make(chan struct{})
	go func() {
		defer close(done)
		h.server.Shutdown(context.Background(), ShutdownSchedule{
			CloseIdle: 20 * time.Millisecond, RollBackOpen: 10 * time.Second, CloseAll: 20 * time.Second,
		})
	}()
	<-idle.closed
	select {
	case <-busy.closed:
		t.Fatal("the session with an open transaction was closed")
	default:
	}
	busy.statements <- st(statement.Commit)
	if a := <-busy.answers; a.Err != nil {
		t.Errorf("commit during the shutdown: %+v", a.Err)
	}
	<-busy.closed
	<-done
}
