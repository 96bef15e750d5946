package proxy

import (
	"testing"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
)

// occupy starts reads that hold all connections to the primary until release is closed.
func (h *harness) occupy(release <-chan struct{}) {
	h.t.Helper()
	h.setHandler("db-1", func(c statement.Command) (statement.Answer, error) {
		if c.Statement.ID == "occupying" {
			<-release
		}
		return statement.Answer{Signature: "sig"}, nil
	})
	pool, _ := h.server.cfg.Pools.Pool("db-1", "acme")
	for i := range pool.Load().MaxOpen {
		s := h.sessionOf(testRoute, boltKey)
		go s.handle(statement.Statement{Kind: statement.Write, ID: "occupying"})
		h.eventually("the connection is in use", func() bool { return pool.Load().InUse == i+1 })
	}
}

// Guards against a statement that is sent for a caller that has disconnected while its
// request waited, in the queue of a database or for a primary, and that keeps its place in
// the queue until the deadline.
func TestWaitingRequestOfADisconnectedCallerIsGivenUp(t *testing.T) {
	for _, waitsFor := range []string{"connection", "primary"} {
		t.Run(waitsFor, func(t *testing.T) {
			h := newHarness(t)
			h.configure(10 * time.Second)
			h.organise(org("acme", acmeKey), org("bolt", boltKey))
			h.follow()
			release := make(chan struct{})
			if waitsFor == "connection" {
				h.occupy(release)
			} else {
				h.startFailover()
			}
			pool, _ := h.server.cfg.Pools.Pool("db-1", "acme")
			caller := h.startSession(testRoute, acmeKey)
			caller.statements <- statement.Statement{Kind: statement.Write, ID: "abandoned"}
			if waitsFor == "connection" {
				h.eventually("the request is queued", func() bool { return pool.Load().Queued == 1 })
			}
			caller.state.Store(int32(sockets.Closed))
			a := <-caller.answers
			if !result.Is(a.Err, result.Cancelled) || a.Err.Ran != result.RanNo {
				t.Errorf("answer %+v", a.Err)
			}
			if n := pool.Load().Queued; n != 0 {
				t.Errorf("%d requests are queued", n)
			}
			close(release)
			h.promote("db-1")
			if a := h.sessionOf(testRoute, boltKey).handle(st(statement.Write)); a.Err != nil {
				t.Error(a.Err)
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, c := range h.sent["db-1"] {
				if c.Statement.ID == "abandoned" {
					t.Error("the statement was sent")
				}
			}
		})
	}
}

// Guards against a statement that is given up after it was sent, a request whose caller has
// sent its next one, and a request in a deployment without organisations.
func TestOtherRequestsAreNotGivenUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   sockets.State
		sent    bool
		without bool
	}{
		{name: "sent", state: sockets.Closed, sent: true},
		{name: "pipelined", state: sockets.Readable},
		{name: "connected", state: sockets.Quiet},
		{name: "without organisations", state: sockets.Closed, without: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.configure(10 * time.Second)
			if !c.without {
				h.organise(org("acme", acmeKey), org("bolt", boltKey))
			}
			h.follow()
			release := make(chan struct{})
			caller := h.startSession(testRoute, acmeKey)
			id := "later"
			if c.sent {
				id = "occupying"
				h.setHandler("db-1", func(statement.Command) (statement.Answer, error) {
					<-release
					return statement.Answer{Signature: "sig"}, nil
				})
			} else {
				h.occupy(release)
			}
			caller.statements <- statement.Statement{Kind: statement.Write, ID: id}
			pool, _ := h.server.cfg.Pools.Pool("db-1", "acme")
			h.eventually("the request waits or runs", func() bool { return pool.Load().Queued == 1 || c.sent && h.runs("db-1", statement.Write) == 1 })
			caller.state.Store(int32(c.state))
			time.Sleep(6 * scanInterval)
			close(release)
			if a := <-caller.answers; a.Err != nil {
				t.Errorf("answer %+v", a.Err)
			}
		})
	}
}
