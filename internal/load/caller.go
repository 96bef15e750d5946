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

// caller sends the requests of one caller over a few connections. It prefers
// the connection that was used last, as connection pools do, so that a calm
// phase does not spread over connections that only a flood needs.
type caller struct {
	run        *run
	class      int
	index      int
	name       string
	arrivals   *arrivals
	statements *statements
	senders    sync.WaitGroup

	mu          sync.Mutex
	idle        []*sender // the one used last is at the end
	senderCount int
	pending     []pendingRequest // waiting for a sender
	closed      bool
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
	}
}

func (c *caller) classLoad() *Class { return &c.run.scenario.Classes[c.class] }

// sendAll sends requests until the run's end and waits for their answers. It
// hands over each request at its intended time and never waits for answers.
func (c *caller) sendAll(ctx context.Context) {
	for {
		t, ok := c.arrivals.next(c.run.scenario.Duration.Std())
		if !ok || !c.run.sleepUntil(ctx, t) {
			break
		}
		p := pendingRequest{c.statements.next(), t}
		if !c.dispatch(ctx, p) {
			c.run.record(c.class, c.index, p.write, t, c.run.elapsed(), notSent, "too many waiting in the load tool")
		}
	}
	c.close()
	c.senders.Wait()
}

// dispatch gives p to a sender or lets it wait; it reports false when too many
// wait already.
func (c *caller) dispatch(ctx context.Context, p pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch last := len(c.idle) - 1; {
	case last >= 0:
		c.idle[last].requests <- p
		c.idle = c.idle[:last]
	case c.senderCount < c.classLoad().Connections:
		s := &sender{caller: c, nextAddress: c.index + c.senderCount, requests: make(chan pendingRequest, 1)}
		s.requests <- p
		c.senderCount++
		c.senders.Go(func() { s.run(ctx) })
	case len(c.pending) < maxPending:
		c.pending = append(c.pending, p)
	default:
		return false
	}
	return true
}

// release gives s its next request or makes it idle; after close it ends s.
func (c *caller) release(s *sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.pending) > 0:
		s.requests <- c.pending[0]
		c.pending = c.pending[1:]
	case c.closed:
		close(s.requests)
	default:
		c.idle = append(c.idle, s)
	}
}

func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.idle {
		close(s.requests)
	}
}

// sender sends a caller's requests over one connection at a time.
type sender struct {
	caller      *caller
	requests    chan pendingRequest // holds at most one
	nextAddress int                 // index of the next address
	conn        *pgx.Conn
	backOff     time.Duration
}

func (s *sender) run(ctx context.Context) {
	defer s.disconnect()
	for p := range s.requests {
		s.send(ctx, p)
		s.caller.release(s)
	}
}

func (s *sender) send(ctx context.Context, p pendingRequest) {
	c := s.caller
	r := c.run
	deadline := r.start.Add(p.intended + c.classLoad().Timeout.Std())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := s.connect(ctx); err != nil {
		r.record(c.class, c.index, p.write, p.intended, r.elapsed(), notSent, connectErrorName(err))
		return
	}
	if ctx.Err() != nil {
		r.record(c.class, c.index, p.write, p.intended, r.elapsed(), notSent, "no free connection of the caller")
		return
	}
	v, name := classifyError(execute(ctx, s.conn, p.sql))
	r.record(c.class, c.index, p.write, p.intended, r.elapsed(), v, name)
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
		address := o.Addresses[s.nextAddress%len(o.Addresses)]
		s.nextAddress++
		sc := &s.caller.run.scenario
		conn, err := dial(ctx, address, s.caller.name, sc.Service, s.caller.classLoad().Class, sc.Protocol)
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

// connectErrorName names a failure to connect: the result code if there is one.
func connectErrorName(err error) string {
	if _, name := classifyError(err); name != "timeout" && name != "connection lost" {
		return name
	}
	return "connection"
}

func (s *sender) disconnect() {
	if s.conn != nil {
		closeConn(s.conn)
	}
}
