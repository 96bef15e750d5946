package proxy

import (
	"context"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// queuingConn is a connection to an owner at which requests wait until release is closed
// or they are withdrawn. Started ones are not withdrawn.
type queuingConn struct {
	harnessConn
	started bool // the owner starts requests at once
	waits   chan<- struct{}
	release <-chan struct{}
	ctx     context.Context
}

func (c *queuingConn) WithdrawAfter(ctx context.Context) { c.ctx = ctx }

func (c *queuingConn) Do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	c.waits <- struct{}{}
	var withdrawn <-chan struct{}
	if c.ctx != nil && !c.started {
		withdrawn = c.ctx.Done()
	}
	select {
	case <-withdrawn:
		return nil, &dbpool.NotSentError{Cause: result.Errorf(result.Cancelled, "withdrawn")}
	case <-c.release:
		return c.harnessConn.Do(deadline, commands)
	}
}

// useOwner makes the server send its requests through an owner.
func (h *harness) useOwner(started bool, waits chan<- struct{}, release <-chan struct{}) {
	h.t.Helper()
	pools := dbpool.NewSet(dbpool.SetConfig{
		Topology: h.topology, Clock: clock.Real{}, Now: clock.SinceBoot, Instances: func() int { return 64 },
		Owners: func(topology.Database, int) ([]ownership.Instance, bool) {
			return []ownership.Instance{{Name: "owner"}}, false
		},
		DialOwner: func(_ context.Context, _, id string, _ bool) (dbpool.Conn, error) {
			return &queuingConn{harnessConn: harnessConn{h, id}, started: started, waits: waits, release: release}, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = pools.Run(ctx) }()
	h.t.Cleanup(func() { cancel(); <-done })
	h.eventually("the pools exist", func() bool { _, ok := pools.Pool("db-3", ""); return ok })
	h.server.cfg.Pools = pools
}

// Guards against a request that keeps its place in an owner's queue after its caller has
// disconnected, and against one that the owner runs and that is reported as not run.
func TestRequestInTheOwnersQueueIsWithdrawn(t *testing.T) {
	for _, started := range []bool{false, true} {
		h := newHarness(t)
		h.configure(10 * time.Second)
		h.organise(org("acme", acmeKey))
		waits, release := make(chan struct{}, 1), make(chan struct{})
		h.useOwner(started, waits, release)
		h.follow()
		caller := h.startSession(testRoute, acmeKey)
		caller.statements <- statement.Statement{Kind: statement.Write, ID: "abandoned"}
		<-waits
		caller.state.Store(int32(sockets.Closed))
		if started {
			time.Sleep(6 * scanInterval)
			close(release)
		}
		a := <-caller.answers
		if started && (a.Err != nil || h.runs("db-1", statement.Write) != 1) {
			t.Errorf("answer %+v to a request that runs", a.Err)
		}
		if !started && (!result.Is(a.Err, result.Cancelled) || a.Err.Ran != result.RanNo || h.runs("db-1", statement.Write) != 0) {
			t.Errorf("answer %+v to a request that waits", a.Err)
		}
	}
}
