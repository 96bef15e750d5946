package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	// maxPending bounds the queue of one caller in the load generator; requests
	// beyond it count as not sent.
	maxPending = 8192
	minBackOff = 20 * time.Millisecond
	maxBackOff = time.Second
)

// caller sends the requests of one caller over its connections. It reuses the
// most recently used idle connection first, as connection pools do, so that the
// connections opened for a flood stay idle at the normal rate.
type caller struct {
	run        *run
	class      int
	index      int
	name       string
	arrivals   *arrivals
	statements *statements
	senders    sync.WaitGroup

	mu          sync.Mutex
	idle        []*sender // most recently used last
	senderCount int
	pending     []pendingRequest // queued until a sender is idle
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

// sendAll dispatches each request at its intended time, without waiting for the
// answers of earlier ones. At the end of the run it waits for all senders.
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

// dispatch passes p to an idle sender, starts a new sender or queues p. It
// reports false if the queue is full.
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

// release gives s the next queued request. If there is none, it marks s as idle,
// or ends it after close.
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

// sender sends requests of its caller one after the other over one connection,
// which it replaces when it is lost.
type sender struct {
	caller      *caller
	requests    chan pendingRequest // holds at most one
	nextAddress int                 // index into Options.Addresses, modulo its length
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
	result, errorName := classifyError(execute(ctx, s.conn, p.sql))
	r.record(c.class, c.index, p.write, p.intended, r.elapsed(), result, errorName)
}

// connect ensures that there is a connection. After a failure it tries the next
// address, with exponential back-off, until ctx ends.
func (s *sender) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	var lastErr error
	for ctx.Err() == nil {
		o := s.caller.run.options
		address := o.Addresses[s.nextAddress%len(o.Addresses)]
		s.nextAddress++
		scenario := &s.caller.run.scenario
		conn, err := dial(ctx, address, s.caller.name, scenario.Service, s.caller.classLoad().Class, scenario.Protocol)
		if err == nil {
			s.conn, s.backOff = conn, 0
			return nil
		}
		lastErr = err
		s.backOff = min(max(2*s.backOff, minBackOff), maxBackOff)
		select {
		case <-ctx.Done():
		case <-time.After(s.backOff):
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return lastErr
}

// connectErrorName returns the name of a connection error in the report: its
// result code or SQLSTATE if it has one, otherwise "connection".
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
