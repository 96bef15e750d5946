package dbpool

import (
	"context"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/topology"
)

// unansweredDatabase accepts connections and does not answer the handshake.
type unansweredDatabase struct{ dialing chan struct{} }

func (d unansweredDatabase) dial(ctx context.Context, _, _, _, _ string) (Conn, error) {
	d.dialing <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

func newUnansweredPool(owner string) (*Pool, unansweredDatabase, *testClock) {
	d := unansweredDatabase{make(chan struct{}, 1)}
	clk := &testClock{now: time.Hour}
	return New(Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Owner: owner, Dial: d.dial, Clock: clock.Real{}, Now: clk.read, Sizing: ampleSizing,
	}), d, clk
}

func (p *Pool) checkUnfailed(t *testing.T) {
	t.Helper()
	if _, unresponsive := p.UnresponsiveSince(); unresponsive || p.Load().Down {
		t.Error("the database counts as failed")
	}
	if p.open != 0 || p.health.outstanding != 0 || p.dialBackoff != 0 || p.dialAfter != 0 {
		t.Errorf("%d places are reserved, %d exchanges outstanding, back-off %v", p.open, p.health.outstanding, p.dialBackoff)
	}
}

// Guards against a database or an owner that counts as failed, or a place that is lost,
// because a caller disconnected while a connection was being opened for its request.
func TestCancelledDialIsNoFailure(t *testing.T) {
	for _, owner := range []string{"", "owner"} {
		for name, open := range map[string]func(*Pool, context.Context) error{
			"request": func(p *Pool, ctx context.Context) error {
				_, err := p.Acquire(ctx, newRequest(), nil)
				return err
			},
			"maintenance": func(p *Pool, ctx context.Context) error {
				p.openIdle(ctx)
				return nil
			},
		} {
			p, d, _ := newUnansweredPool(owner)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-d.dialing
				cancel()
			}()
			if err := open(p, ctx); err != nil && !result.Is(err, result.Cancelled) {
				t.Errorf("%s, owner %q: error %v, want a cancellation", name, owner, err)
			}
			p.checkUnfailed(t)
			if err := open(p, ctx); err != nil && !result.Is(err, result.DeadlineBeforeRun) {
				t.Errorf("%s, owner %q: error %v, want one of the queue", name, owner, err)
			}
			if len(d.dialing) > 0 {
				t.Errorf("%s, owner %q: a connection was opened for a cancelled request", name, owner)
			}
		}
	}
}

// Guards against a database that never counts as failed: a dial that passes the deadline of
// its request was not answered.
func TestDialThatPassesTheDeadlineIsAFailure(t *testing.T) {
	p, _, _ := newUnansweredPool("")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	if _, err := p.Acquire(ctx, newRequest(), nil); !result.Is(err, result.DatabaseDown) {
		t.Errorf("error %v", err)
	}
	if _, unresponsive := p.UnresponsiveSince(); !unresponsive {
		t.Error("the database does not count as unresponsive")
	}
}

// Guards against more connections than the bound, or fewer, after the dial that replaces a
// connection of another organisation was cancelled: the database may still count it.
func TestCancelledReplacementKeepsTheBound(t *testing.T) {
	p, db, clk := newCountingPool(Sizing{MaxOpen: 1, Concurrency: 1, IdleTimeout: idleTimeoutDefault})
	useAs(t, p, "a").Release()
	ctx, cancel := context.WithCancel(t.Context())
	p.dial = func(context.Context, string, string, string, string) (Conn, error) {
		cancel()
		return nil, context.Canceled
	}
	if _, err := p.Acquire(ctx, requestOf("b"), nil); !result.Is(err, result.Cancelled) {
		t.Errorf("error %v, want a cancellation", err)
	}
	p.checkUnfailed(t)
	if n := len(p.assigned.settling); n != 1 {
		t.Errorf("%d connections are settling, want the cancelled one", n)
	}
	p.dial = db.dial
	before := clk.read()
	useAs(t, p, "b").Release()
	if waited := clk.read() - before; waited != closeSettleTime {
		t.Errorf("the next connection was opened %v later, want %v", waited, closeSettleTime)
	}
	clk.advance(closeSettleTime)
	if p.open != 1 || len(p.assigned.settling) != 0 {
		t.Errorf("%d connections are open and %d settle, want one and none", p.open, len(p.assigned.settling))
	}
}

// Guards against an idle connection of another organisation that is closed for a request
// which was cancelled before a connection was opened for it.
func TestCancelledRequestTakesNoPlace(t *testing.T) {
	p, db, _ := newCountingPool(Sizing{MaxOpen: 1, Concurrency: 1, IdleTimeout: idleTimeoutDefault})
	useAs(t, p, "a").Release()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.takeConn(ctx, "b", nil); !result.Is(err, result.Cancelled) {
		t.Errorf("error %v, want a cancellation", err)
	}
	if db.open != 1 {
		t.Error("the connection of the other organisation was closed")
	}
}
