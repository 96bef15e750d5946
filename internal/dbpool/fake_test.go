package dbpool

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// fakeDatabase answers commands with answer and refuses connections beyond its
// limit.
type fakeDatabase struct {
	mu       sync.Mutex
	limit    int
	open     int
	peak     int   // most connections open at once
	dialed   int   // connections opened in total
	dialErr  error // returned by dial if not nil
	received [][]statement.Command
	answer   func(statement.Command) (statement.Answer, error)
}

type fakeConn struct {
	db   *fakeDatabase
	dead bool
	once sync.Once
}

func (d *fakeDatabase) dial(context.Context, string, string, string, string) (Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dialErr != nil {
		return nil, d.dialErr
	}
	if d.limit > 0 && d.open >= d.limit {
		return nil, result.Errorf(result.ConnectionsBusy, "full")
	}
	d.open++
	d.dialed++
	d.peak = max(d.peak, d.open)
	return &fakeConn{db: d}, nil
}

func (c *fakeConn) Do(_ time.Time, commands []statement.Command) ([]statement.Answer, error) {
	c.db.mu.Lock()
	c.db.received = append(c.db.received, commands)
	answer := c.db.answer
	c.db.mu.Unlock()
	var answers []statement.Answer
	for _, cmd := range commands {
		a := statement.Answer{Signature: "s"}
		if answer != nil {
			var err error
			if a, err = answer(cmd); err != nil {
				return answers, err
			}
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *fakeConn) Status(deadline time.Time, cmd statement.Command) (statement.Status, error) {
	_, err := c.Do(deadline, []statement.Command{cmd})
	return statement.Status{}, err
}

func (c *fakeConn) Alive() bool { return !c.dead }

func (c *fakeConn) Close() error {
	c.once.Do(func() {
		c.db.mu.Lock()
		defer c.db.mu.Unlock()
		c.db.open--
	})
	return nil
}

func (c *fakeConn) Abort() error { return c.Close() }

type testClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *testClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

func newPool(db *fakeDatabase, s Sizing) (*Pool, *testClock) {
	clk := &testClock{now: time.Hour}
	return New(Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Dial: db.dial, Clock: clock.Real{}, Now: clk.read, Sizing: s,
	}), clk
}

var ampleSizing = Sizing{MaxOpen: 2, IdleTimeout: idleTimeoutDefault, KeepWarm: true}

func newRequest() admission.Request {
	return admission.Request{ID: "r", Class: "c", Caller: "x", Rank: catalog.RankNormal, Deadline: time.Now().Add(10 * time.Second)}
}

func acquire(t *testing.T, p *Pool) *Lease {
	t.Helper()
	l, err := p.Acquire(context.Background(), newRequest(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func ops(commands []statement.Command) []statement.Op {
	var all []statement.Op
	for _, c := range commands {
		all = append(all, c.Op)
	}
	return all
}

var errBroken = errors.New("connection broken")
