package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	testService = "ledger"
	testRoute   = "confirm"
	readRoute   = "browse"
)

var errBroken = errors.New("connection lost")

// harness is a proxy in front of one primary (db-1) and two replicas.
type harness struct {
	t        *testing.T
	server   *Server
	topology *topology.Topology
	records  *primacy.RecordCache
	record   primacy.Record

	mu       sync.Mutex
	sent     map[string][]statement.Command // by database
	handlers map[string]func(statement.Command) (statement.Answer, error)
	closed   int
}

type harnessConn struct {
	h  *harness
	id string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, func(*dbpool.SetConfig) {})
}

// newHarnessWith returns a harness whose pools are configured by configure.
func newHarnessWith(t *testing.T, configure func(*dbpool.SetConfig)) *harness {
	t.Helper()
	h := &harness{
		t: t, sent: make(map[string][]statement.Command), topology: topology.New(),
		handlers: make(map[string]func(statement.Command) (statement.Answer, error)),
		record:   primacy.Record{Service: testService, Revision: revision.Revision{Number: 1}, Token: 1, Phase: primacy.Serving, Primary: "db-1", Term: 1},
	}
	h.records = primacy.NewRecordCache("me", time.Minute, clock.SinceBoot)
	h.records.SetIncarnation("me")
	h.confirm()
	h.configure(500 * time.Millisecond)
	var all []topology.Database
	for _, id := range []string{"db-1", "db-2", "db-3"} {
		all = append(all, topology.Database{ID: id, Service: testService, Address: "10.0.0.1:1", DataCentre: "a", Primary: id == "db-1"})
	}
	h.topology.Replace(all, clock.SinceBoot(), clock.SinceBoot())
	cfg := dbpool.SetConfig{
		Dial:     func(_ context.Context, _, _, id, _ string) (dbpool.Conn, error) { return &harnessConn{h, id}, nil },
		Topology: h.topology, Clock: clock.Real{}, Now: clock.SinceBoot, Instances: func() int { return 2 },
	}
	configure(&cfg)
	pools := dbpool.NewSet(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = pools.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	h.eventually("the pools exist", func() bool { _, ok := pools.Pool("db-3", ""); return ok })
	h.server = New(Config{
		DataCentre: "a", MaxSessions: 2, Topology: h.topology, Records: h.records, Pools: pools, Now: clock.SinceBoot,
		Log: zerolog.Nop(), Metrics: measure.NewRegistry(), LeavingPrimaryTimeout: time.Minute,
	})
	return h
}

func (h *harness) configure(timeout time.Duration) {
	version := h.topology.Snapshot().Version + 1
	h.topology.Apply(topology.Configuration{
		Version:       version,
		Services:      map[string]topology.Service{testService: {Name: testService, MaxConnections: 16}},
		TxIdleTimeout: 100 * time.Millisecond,
		Routes: map[string]topology.Route{
			testRoute: {Database: testRoute, Service: testService, Consistency: topology.FromPrimary, Timeout: timeout},
			readRoute: {Database: readRoute, Service: testService, Consistency: topology.ReadYourWrites, Timeout: timeout, MaxAge: time.Minute, Priority: 1},
		},
	})
}

func (h *harness) confirm() { h.records.Confirm([]primacy.Record{h.record}, 0, clock.SinceBoot()) }

// startFailover records that the primary is being replaced.
func (h *harness) startFailover() {
	h.record.Revision.Number++
	h.record.Token++
	h.record.Phase = primacy.Replacing
	h.confirm()
}

// promote ends the failover with the database as the new primary.
func (h *harness) promote(id string) {
	h.record.Revision.Number++
	h.record.Term++
	h.record.Phase, h.record.Primary = primacy.Serving, id
	h.confirm()
}

func (h *harness) eventually(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// setHandler sets the function that answers the commands to a database.
func (h *harness) setHandler(id string, answer func(statement.Command) (statement.Answer, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[id] = answer
}

// runs returns the number of statements of a kind that were sent to a database.
func (h *harness) runs(id string, k statement.Kind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, c := range h.sent[id] {
		if c.Op == statement.OpStatement && c.Statement.Kind == k {
			n++
		}
	}
	return n
}

// observePosition records a position of the primary, so that replicas can serve
// reads of bounded staleness.
func (h *harness) observePosition(number uint64) {
	h.server.history(testService).Observe(clock.SinceBoot(), statement.Position{Term: 1, Number: number})
}

func (c *harnessConn) Do(_ time.Time, commands []statement.Command) ([]statement.Answer, error) {
	var answers []statement.Answer
	for _, cmd := range commands {
		c.h.mu.Lock()
		c.h.sent[c.id] = append(c.h.sent[c.id], cmd)
		answer := c.h.handlers[c.id]
		c.h.mu.Unlock()
		a := statement.Answer{Signature: "sig " + c.id, Position: statement.Position{Term: 1, Number: 5}}
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

func (c *harnessConn) Status(time.Time, statement.Command) (statement.Status, error) {
	return statement.Status{}, nil
}
func (c *harnessConn) Alive() bool { return true }
func (c *harnessConn) Abort() error {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.closed++
	return nil
}
func (c *harnessConn) Close() error { return c.Abort() }

// session returns a session without a connection; the test passes statements to
// its handle method.
func (h *harness) session(database string) *session {
	return &session{
		srv: h.server, number: 1, caller: caller{database: database},
		variables: make(map[string]string), prepared: make(map[string]dbpool.PreparedStatement),
	}
}

func st(k statement.Kind) statement.Statement {
	s := statement.Statement{Kind: k, ID: "id"}
	if k == statement.Set || k == statement.Prepare || k == statement.Execute || k == statement.Deallocate {
		s.Name, s.Value = "n", "v"
	}
	return s
}

// inState returns a handler that answers with the transaction state.
func inState(s statement.TxState) func(statement.Command) (statement.Answer, error) {
	return func(c statement.Command) (statement.Answer, error) {
		a := statement.Answer{Signature: "sig", State: s, Position: statement.Position{Term: 1, Number: 7}}
		if c.Op == statement.OpRollback || c.Statement.Kind == statement.Commit {
			a.State = statement.TxIdle
		}
		return a, nil
	}
}

// scriptedCaller is a CallerConn whose statements the test supplies.
type scriptedCaller struct {
	start, key string
	state      atomic.Int32 // sockets.State
	statements chan statement.Statement
	answers    chan statement.Answer
	wake       chan struct{}
	closed     chan struct{}
	once       sync.Once
	refusal    *result.Error

	mu       sync.Mutex
	deadline time.Time
}

func newCaller(database string) *scriptedCaller {
	return &scriptedCaller{
		start: database, statements: make(chan statement.Statement), answers: make(chan statement.Answer, 16),
		wake: make(chan struct{}, 16), closed: make(chan struct{}),
	}
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

var _ net.Error = timeoutError{}

func (c *scriptedCaller) ReadStartup() (string, organisation.Digest, error) {
	return c.start, organisation.DigestOf(c.key), nil
}

func (c *scriptedCaller) Peek() sockets.State { return sockets.State(c.state.Load()) }
func (c *scriptedCaller) ReadStatement() (statement.Statement, error) {
	for {
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case s, ok := <-c.statements:
			if !ok {
				return s, io.EOF
			}
			return s, nil
		case <-expired:
			return statement.Statement{}, timeoutError{}
		case <-c.wake:
		case <-c.closed:
			return statement.Statement{}, net.ErrClosed
		}
	}
}
func (c *scriptedCaller) Pending() bool { return false }
func (c *scriptedCaller) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}
func (c *scriptedCaller) SendReady() error                    { return nil }
func (c *scriptedCaller) SendRefusal(e *result.Error) error   { c.refusal = e; return nil }
func (c *scriptedCaller) SendAnswer(a statement.Answer) error { c.answers <- a; return nil }
func (c *scriptedCaller) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// connect starts a session for the caller.
func (h *harness) connect(c *scriptedCaller) {
	h.server.cfg.NewCallerConn = func(net.Conn) CallerConn { return c }
	h.server.startSession(nil)
}
