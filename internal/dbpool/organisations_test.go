package dbpool

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// countingDatabase records under which name each connection was opened. It counts a
// connection for a time after it was closed.
type countingDatabase struct {
	mu     sync.Mutex
	now    func() time.Duration
	linger time.Duration
	limit  int // refuses connections beyond it; 0: none
	open   int
	closed []time.Duration // until when closed connections count
	dialed []string
	peak   int
	wrong  []string // statements that ran on a connection of another organisation
}

type countingConn struct {
	db           *countingDatabase
	organisation string
	once         sync.Once
}

func (d *countingDatabase) dial(_ context.Context, _, _, _, organisation string) (Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.closed = slices.DeleteFunc(d.closed, func(until time.Duration) bool { return until <= now })
	if d.limit > 0 && d.open+len(d.closed) >= d.limit {
		return nil, result.Errorf(result.ConnectionsBusy, "full")
	}
	d.open++
	d.peak = max(d.peak, d.open+len(d.closed))
	d.dialed = append(d.dialed, organisation)
	return &countingConn{db: d, organisation: organisation}, nil
}

// Do expects statements whose text is the organisation that sends them.
func (c *countingConn) Do(_ time.Time, commands []statement.Command) ([]statement.Answer, error) {
	c.db.mu.Lock()
	defer c.db.mu.Unlock()
	answers := make([]statement.Answer, len(commands))
	for _, cmd := range commands {
		if cmd.Op == statement.OpStatement && cmd.Statement.Text != c.organisation {
			c.db.wrong = append(c.db.wrong, fmt.Sprintf("%q on a connection of %q", cmd.Statement.Text, c.organisation))
		}
	}
	return answers, nil
}

func (c *countingConn) Status(time.Time, statement.Command) (statement.Status, error) {
	return statement.Status{}, nil
}
func (c *countingConn) Alive() bool  { return true }
func (c *countingConn) Close() error { return c.Abort() }
func (c *countingConn) Abort() error {
	c.once.Do(func() {
		c.db.mu.Lock()
		defer c.db.mu.Unlock()
		c.db.open--
		c.db.closed = append(c.db.closed, c.db.now()+c.db.linger)
	})
	return nil
}

func (d *countingDatabase) takeDialed() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	dialed := d.dialed
	d.dialed = nil
	return dialed
}

// jumpingClock is a clock of which each wait ends at once, and moves it.
type jumpingClock struct{ testClock }

func (c *jumpingClock) Now() time.Time { return time.Unix(0, 0).Add(c.read()) }

func (c *jumpingClock) After(d time.Duration) <-chan time.Time {
	c.advance(d)
	done := make(chan time.Time, 1)
	done <- c.Now()
	return done
}

func newCountingPool(s Sizing) (*Pool, *countingDatabase, *jumpingClock) {
	clk := &jumpingClock{testClock{now: time.Hour}}
	db := &countingDatabase{now: clk.read, linger: closeSettleTime}
	return New(Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Dial: db.dial, Clock: clk, Now: clk.read, Sizing: s,
	}), db, clk
}

func requestOf(organisation string) admission.Request {
	return admission.Request{ID: "r", Class: "c", Caller: "x", Organisation: organisation}
}

// fatal is implemented by testing.T and rapid.T.
type fatal interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// useAs performs an exchange of an organisation and returns the lease.
func useAs(t fatal, p *Pool, organisation string) *Lease {
	t.Helper()
	l, err := p.Acquire(context.Background(), requestOf(organisation), nil)
	if err != nil {
		t.Fatalf("connection of %q: %v", organisation, err)
	}
	if _, err := l.Run(Exchange{Statement: statement.Statement{Text: organisation}, Deadline: time.Now().Add(time.Hour)}); err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a statement on a connection that was opened under the name of another
// organisation, and against a new connection while one of the organisation is idle.
func TestConnectionServesOneOrganisation(t *testing.T) {
	p, db, _ := newCountingPool(Sizing{MaxOpen: 3, IdleTimeout: idleTimeoutDefault})
	for _, organisation := range []string{"a", "b", "", "a", "b", ""} {
		useAs(t, p, organisation).Release()
	}
	if got := strings.Join(db.takeDialed(), ","); got != "a,b," {
		t.Errorf("connections were opened under the names %q, want one for each", got)
	}
	if _, ok := p.TryAcquire(requestOf("c"), nil); ok {
		t.Error("a connection of another organisation was given out")
	}
	l, ok := p.TryAcquire(requestOf("a"), nil)
	if !ok || l.conn.organisation != "a" {
		t.Fatal("the idle connection of the organisation was not given out")
	}
	l.Release()
	if len(db.wrong) > 0 {
		t.Errorf("statements ran on wrong connections: %v", db.wrong)
	}
}

// Guards against a full pool that serves no further organisation, and against one that
// closes a connection which is needed sooner than another one.
func TestFullPoolClosesTheConnectionNeededLast(t *testing.T) {
	p, db, clk := newCountingPool(Sizing{MaxOpen: 2, IdleTimeout: idleTimeoutDefault})
	for range 20 {
		useAs(t, p, "large").Release()
		clk.advance(50 * time.Millisecond)
	}
	useAs(t, p, "small").Release() // used last
	db.takeDialed()
	useAs(t, p, "new").Release()
	useAs(t, p, "large").Release()
	if got := strings.Join(db.takeDialed(), ","); got != "new" {
		t.Errorf("connections were opened for %q, want new only", got)
	}
	if len(p.idle) != 2 || db.peak > 2 {
		t.Errorf("%d connections are idle and at most %d were open, want 2", len(p.idle), db.peak)
	}
}

// Guards against a statement of an organisation on a connection of another one, and
// against more connections than MaxOpen as the database counts them: it may still count
// a closed one for closeSettleTime.
func TestOrganisationsStayApartWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizing := Sizing{
			MaxOpen: rapid.IntRange(1, 6).Draw(t, "connections"), IdleTimeout: idleTimeoutDefault,
			KeepWarm: rapid.Bool().Draw(t, "keeps one warm"),
		}
		sizing.Concurrency = rapid.IntRange(1, sizing.MaxOpen).Draw(t, "concurrency")
		p, db, clk := newCountingPool(sizing)
		useAs(t, p, "a").Release() // from now on, the deployment has organisations
		if rapid.Bool().Draw(t, "limited") {
			db.limit = rapid.IntRange(1, sizing.MaxOpen).Draw(t, "limit")
		}
		organisations := rapid.SampledFrom([]string{"a", "b", "c", "d", ""})
		var leases []*Lease
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				if len(leases) >= sizing.concurrency() || len(leases) >= p.concurrency() {
					t.Skip("the request would wait in the queue")
				}
				o := organisations.Draw(t, "organisation")
				l, err := p.Acquire(context.Background(), requestOf(o), nil)
				if err != nil {
					if db.limit == 0 {
						t.Fatalf("no connection for %q: %v", o, err)
					}
					t.Skip("refused by the limit")
				}
				leases = append(leases, l)
				if _, err := l.Run(Exchange{Statement: statement.Statement{Text: o}, Deadline: time.Now().Add(time.Hour)}); err != nil {
					t.Fatal(err)
				}
			},
			"end": func(t *rapid.T) {
				if len(leases) == 0 {
					t.Skip("none")
				}
				at := rapid.IntRange(0, len(leases)-1).Draw(t, "lease")
				l := leases[at]
				leases = slices.Delete(leases, at, at+1)
				if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
					l.Discard()
				} else {
					l.Release()
				}
			},
			"status": func(t *rapid.T) {
				if len(p.idle) == 0 {
					t.Skip("the query would open a connection outside the pool")
				}
				if _, err := p.Control(context.Background(), statement.Command{Op: statement.OpStatus}, time.Second); err != nil {
					t.Fatal(err)
				}
			},
			"pass time": func(t *rapid.T) {
				clk.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 40, 2500, 21000}).Draw(t, "ms")) * time.Millisecond)
			},
			"maintain": func(*rapid.T) { p.Maintain(context.Background()) },
			"": func(t *rapid.T) {
				if len(db.wrong) > 0 {
					t.Fatalf("statements ran on wrong connections: %v", db.wrong)
				}
				if db.peak > sizing.MaxOpen {
					t.Fatalf("the database counted %d connections, want at most %d", db.peak, sizing.MaxOpen)
				}
			},
		})
	})
}

// Guards against more connections than MaxOpen, or statements on wrong connections, under
// concurrent requests and maintenance.
func TestOrganisationsStayApartUnderConcurrency(t *testing.T) {
	db := &countingDatabase{now: clock.SinceBoot, linger: closeSettleTime / 2}
	sizing := Sizing{MaxOpen: 5, Concurrency: 3, IdleTimeout: idleTimeoutDefault, KeepWarm: true}
	p := New(Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Dial: db.dial, Clock: clock.Real{}, Now: clock.SinceBoot, Sizing: sizing,
	})
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			for i := range 25 {
				organisation := fmt.Sprint("o", (n+i)%7)
				l, err := p.Acquire(context.Background(), requestOf(organisation), nil)
				if err != nil {
					t.Errorf("%s: %v", organisation, err)
					return
				}
				_, _ = l.Run(Exchange{Statement: statement.Statement{Text: organisation}, Deadline: time.Now().Add(time.Hour)})
				l.Release()
			}
		})
	}
	for range 20 {
		p.Maintain(context.Background())
	}
	wg.Wait()
	if len(db.wrong) > 0 || db.peak > sizing.MaxOpen {
		t.Errorf("at most %d connections were open, want at most %d; wrong: %v", db.peak, sizing.MaxOpen, db.wrong)
	}
}

// Guards against a new connection, which takes a slot of the database for 12 ms, although
// one of the organisation is about to be released, and against an endless wait for it.
func TestRequestWaitsForAConnectionOfItsOrganisation(t *testing.T) {
	db := &fakeDatabase{}
	p, clk := newPool(db, Sizing{MaxOpen: 3, IdleTimeout: idleTimeoutDefault})
	l := useAs(t, p, "a")
	p.mu.Lock()
	p.assigned.hold, p.assigned.openTime = 20*time.Millisecond, maxOpenTime
	p.mu.Unlock()
	clk.advance(10 * time.Millisecond)
	got := make(chan *Lease, 1)
	go func() {
		l, err := p.Acquire(context.Background(), requestOf("a"), nil)
		if err != nil {
			t.Error(err)
		}
		got <- l
	}()
	for end := time.Now().Add(10 * time.Second); ; {
		p.mu.Lock()
		waits, dials := len(p.assigned.waiters) > 0, p.open > 1
		p.mu.Unlock()
		if waits {
			break
		}
		if dials || time.Now().After(end) {
			t.Fatal("the request does not wait")
		}
	}
	l.Release()
	second := <-got
	if second.conn != l.conn && db.dialed != 2 { // the wait may have ended before the release on a busy machine
		t.Errorf("%d connections were opened", db.dialed)
	}
	// The connection is not released: another one is opened after the wait.
	clk.advance(10 * time.Millisecond)
	third, err := p.Acquire(context.Background(), requestOf("a"), nil)
	if err != nil || third.conn == second.conn {
		t.Fatalf("no other connection: %v", err)
	}
	third.Release()
	second.Release()
	if n := len(p.assigned.waiters) + len(p.assigned.inUse); n > 0 {
		t.Errorf("%d entries of waiters and connections in use are left", n)
	}
}

// Guards against an owner that repeats an attempt at once after the database refused a
// connection for its limit, keeps connections that others need, or never uses its full
// share again.
func TestRefusalByTheLimitLowersTheBound(t *testing.T) {
	p, db, clk := newCountingPool(Sizing{MaxOpen: 4, Concurrency: 4, IdleTimeout: idleTimeoutDefault})
	useAs(t, p, "a").Release()
	useAs(t, p, "b").Release()
	db.limit = 2
	for range 2 { // the second attempt sends nothing
		if _, err := p.Acquire(context.Background(), requestOf("c"), nil); !result.Is(err, result.ConnectionsBusy) {
			t.Fatalf("error %v", err)
		}
	}
	if db.open != 1 || p.bound() != 3 || p.concurrency() != 3 {
		t.Errorf("%d connections are open, bound %d, concurrency %d; want 1, 3 and 3", db.open, p.bound(), p.concurrency())
	}
	clk.advance(100 * time.Millisecond)
	useAs(t, p, "c").Release()
	useAs(t, p, "d").Release() // in place of another one: the limit may still be reached
	if db.open != 1 || db.peak > 2 {
		t.Errorf("%d connections are open, and %d were at once; want 1 and at most 2", db.open, db.peak)
	}
	clk.advance(boundStepTime)
	if !p.needsMaintenance() {
		t.Error("a lowered bound is not restored")
	}
	p.Maintain(context.Background())
	if p.bound() != 4 || p.concurrency() != 4 {
		t.Errorf("bound %d and concurrency %d after a while, want 4", p.bound(), p.concurrency())
	}
}

// Guards against a warm connection that takes the place of one that a request can use,
// and against a database to which nothing is open.
func TestWarmConnectionOnlyWhileNoneIsOpen(t *testing.T) {
	p, db, clk := newCountingPool(Sizing{MaxOpen: 3, IdleTimeout: idleTimeoutDefault, KeepWarm: true})
	clk.advance(warmUpJitter)
	p.Maintain(context.Background())
	useAs(t, p, "a").Release()
	if got := strings.Join(db.takeDialed(), ","); got != ",a" {
		t.Fatalf("connections were opened under %q, want a warm one and one for a", got)
	}
	p.Maintain(context.Background())
	if db.open != 1 {
		t.Errorf("%d connections are open, want no warm one", db.open)
	}
	clk.advance(time.Hour)
	p.Maintain(context.Background())
	if len(p.idle) != 1 || db.open != 1 || p.idle[0].organisation != "a" {
		t.Errorf("%d connections are idle, want that of the organisation", len(p.idle))
	}
	// It also serves the queries of the system, and stays the organisation's.
	if _, err := p.Control(context.Background(), statement.Command{Op: statement.OpStatus}, time.Second); err != nil {
		t.Fatal(err)
	}
	useAs(t, p, "a").Release()
	if dialed := db.takeDialed(); len(dialed) > 0 {
		t.Errorf("connections were opened under %q", dialed)
	}
}

// Guards against status queries that keep the connection of an organisation open which
// sends nothing any more.
func TestStatusQueryIsNoUseByTheOrganisation(t *testing.T) {
	p, db, clk := newCountingPool(Sizing{MaxOpen: 3, IdleTimeout: idleTimeoutDefault})
	useAs(t, p, "a").Release()
	useAs(t, p, "b").Release()
	for range 5 {
		clk.advance(idleTimeoutDefault / 4)
		if _, err := p.Control(context.Background(), statement.Command{Op: statement.OpStatus}, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	p.Maintain(context.Background())
	if db.open != 0 {
		t.Errorf("%d connections are open after the idle time-out", db.open)
	}
}

// Guards against more statements at a database than its queue holds, because there are
// more connections, and against owners that together exceed four fifths of the limit.
func TestOwnersHoldMoreConnectionsThanStatementsRun(t *testing.T) {
	for _, c := range []struct{ limit, owners, connections, concurrency int }{{70, 7, 8, 5}, {46, 4, 9, 5}, {300, 8, 30, 8}, {16, 2, 6, 4}} {
		s := SizingFor(c.limit, c.owners, c.limit, true).perOrganisation(c.limit, c.owners)
		if s.MaxOpen != c.connections || s.concurrency() != c.concurrency || s.MaxOpen*c.owners > c.limit*4/5 {
			t.Errorf("limit %d, %d owners: %d connections and concurrency %d, want %d and %d", c.limit, c.owners, s.MaxOpen, s.concurrency(), c.connections, c.concurrency)
		}
	}
	p, _, _ := newCountingPool(Sizing{MaxOpen: 3, Concurrency: 2, IdleTimeout: idleTimeoutDefault})
	useAs(t, p, "a").Release()
	b, c := useAs(t, p, "b"), useAs(t, p, "c")
	if _, ok := p.TryAcquire(requestOf("a"), nil); ok {
		t.Error("a third request runs")
	}
	if l := p.Load(); l.MaxOpen != 2 || l.InUse != 2 {
		t.Errorf("load %+v, want two of two in use", l)
	}
	b.Release()
	c.Release()
}

// Guards against an organisation whose callers stay idle in transactions and thereby stop
// all other organisations of the same owner, and against a change of that kind in
// deployments without organisations.
func TestIdleTransactionsLeaveRoomForOthers(t *testing.T) {
	p, _, clk := newCountingPool(Sizing{MaxOpen: 4, Concurrency: 2, IdleTimeout: idleTimeoutDefault})
	first, second := useAs(t, p, "a"), useAs(t, p, "a")
	p.Maintain(context.Background())
	if p.concurrency() != 2 {
		t.Errorf("concurrency %d while requests run, want 2", p.concurrency())
	}
	clk.advance(2 * idleTransactionTime)
	if !p.needsMaintenance() {
		t.Error("idle transactions are not noticed")
	}
	p.Maintain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var others []*Lease
	for _, organisation := range []string{"b", "c"} {
		l, err := p.Acquire(ctx, requestOf(organisation), nil)
		if err != nil {
			t.Fatalf("no connection for %s while transactions of another organisation are idle: %v", organisation, err)
		}
		others = append(others, l)
	}
	if _, ok := p.TryAcquire(requestOf("a"), nil); ok {
		t.Error("more requests run than there are connections")
	}
	for _, l := range append(others, first, second) {
		l.Release()
	}
	p.Maintain(context.Background())
	if p.concurrency() != 2 || p.needsMaintenance() != (len(p.idle) > 0) {
		t.Errorf("concurrency %d after the transactions have ended, want 2", p.concurrency())
	}

	p, _, clk = newCountingPool(Sizing{MaxOpen: 4, Concurrency: 2, IdleTimeout: idleTimeoutDefault})
	useAs(t, p, "")
	clk.advance(2 * idleTransactionTime)
	p.Maintain(context.Background())
	if p.concurrency() != 2 {
		t.Errorf("concurrency %d without organisations, want 2", p.concurrency())
	}
}
