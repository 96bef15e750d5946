package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// maxPending bounds the requests that wait in the load tool for one
	// caller's connections; further ones count as not sent.
	maxPending = 8192
	minBackOff = 20 * time.Millisecond
	maxBackOff = time.Second
)

// caller sends the requests of one caller over a few connections.
type caller struct {
	run        *run
	class      int
	index      int
	name       string
	arrivals   *arrivals
	statements *statements
	pending    chan pendingRequest
}

type pendingRequest struct {
	request
	intended time.Duration
}

func (r *run) newCaller(class, index int) *caller {
	c := &r.scenario.Classes[class]
	name := fmt.Sprintf("%s-%d", c.Class, index)
	return &caller{
		run: r, class: class, index: index, name: name,
		arrivals: newArrivals(*c, index, r.newRand(class, index, "arrivals")),
		statements: &statements{
			scenario: &r.scenario, class: c, caller: name, run: r.id, rng: r.newRand(class, index, "statements"),
		},
		pending: make(chan pendingRequest, maxPending),
	}
}

func (c *caller) spec() *Class { return &c.run.scenario.Classes[c.class] }

// serve sends requests until the run's end and waits for their answers.
func (c *caller) serve(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range c.spec().Connections {
		s := &sender{caller: c, next: c.index + i}
		wg.Go(func() { s.run(ctx) })
	}
	c.schedule(ctx)
	close(c.pending)
	wg.Wait()
}

// schedule hands over each request at its intended time and never waits for
// answers.
func (c *caller) schedule(ctx context.Context) {
	for {
		t, ok := c.arrivals.next(c.run.scenario.Duration.Std())
		if !ok || !c.run.sleepUntil(ctx, t) {
			return
		}
		p := pendingRequest{c.statements.next(), t}
		select {
		case c.pending <- p:
		default:
			c.run.add(c.class, c.index, p.write, t, c.run.elapsed(), notSent, "too many waiting in the load tool")
		}
	}
}

// sender sends a caller's requests over one connection at a time.
type sender struct {
	caller  *caller
	next    int // index of the next address
	conn    *pgx.Conn
	backOff time.Duration
}

func (s *sender) run(ctx context.Context) {
	defer s.disconnect()
	for p := range s.caller.pending {
		s.send(ctx, p)
	}
}

func (s *sender) send(ctx context.Context, p pendingRequest) {
	c := s.caller
	r := c.run
	deadline := r.start.Add(p.intended + c.spec().GiveUp.Std())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := s.connect(ctx); err != nil {
		r.add(c.class, c.index, p.write, p.intended, r.elapsed(), notSent, connectName(err))
		return
	}
	if ctx.Err() != nil {
		r.add(c.class, c.index, p.write, p.intended, r.elapsed(), notSent, "no free connection of the caller")
		return
	}
	v, name := judge(execute(ctx, s.conn, p.sql))
	r.add(c.class, c.index, p.write, p.intended, r.elapsed(), v, name)
}

// connect makes sure that there is a connection. It goes to the next address
// after a failure, with a pause, until ctx ends.
func (s *sender) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	var last error
	for ctx.Err() == nil {
		o := s.caller.run.options
		address := o.Addresses[s.next%len(o.Addresses)]
		s.next++
		sc := &s.caller.run.scenario
		conn, err := dial(ctx, address, s.caller.name, sc.Service, s.caller.spec().Class, sc.Protocol)
		if err == nil {
			s.conn, s.backOff = conn, 0
			return nil
		}
		last = err
		s.backOff = min(max(2*s.backOff, minBackOff), maxBackOff)
		select {
		case <-ctx.Done():
		case <-time.After(s.backOff):
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return last
}

// connectName names a failure to connect: the result code if there is one.
func connectName(err error) string {
	if _, name := judge(err); name != "timeout" && name != "connection lost" {
		return name
	}
	return "connection"
}

func (s *sender) disconnect() {
	if s.conn != nil {
		closeConn(s.conn)
	}
}
