package hop

import (
	"context"
	"encoding/gob"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// fakeDatabase records the connections that were opened to it. Each connection
// records the commands that it received.
type fakeDatabase struct {
	mu    sync.Mutex
	conns []*fakeConn
	names []string      // organisations under whose names they were opened
	open  int           // connections that are open
	peak  int           // most that were open at once
	fail  error         // returned by all exchanges while set
	block chan struct{} // if set, each exchange waits to receive from it
	// refuse returns the error with which a command is refused, or nil. It may be nil.
	refuse func(statement.Command) *result.Error

	status        chan struct{} // if set, a status query receives from it before and after it is sent
	statusQueries atomic.Int64
}

type fakeConn struct {
	db       *fakeDatabase
	received []statement.Command
	state    statement.TxState
	closed   bool
}

func (d *fakeDatabase) dial(_ context.Context, _, _, _, organisation string) (dbpool.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names = append(d.names, organisation)
	d.open++
	d.peak = max(d.peak, d.open)
	c := &fakeConn{db: d}
	d.conns = append(d.conns, c)
	return c, nil
}

func (c *fakeConn) Do(_ time.Time, commands []statement.Command) ([]statement.Answer, error) {
	c.db.mu.Lock()
	block := c.db.block
	c.db.mu.Unlock()
	if block != nil {
		<-block
	}
	c.db.mu.Lock()
	defer c.db.mu.Unlock()
	if c.db.fail != nil {
		return nil, c.db.fail
	}
	var answers []statement.Answer
	for _, cmd := range commands {
		if c.db.refuse != nil {
			if e := c.db.refuse(cmd); e != nil {
				answers = append(answers, statement.Answer{State: c.state, Err: e})
				continue
			}
		}
		c.received = append(c.received, cmd)
		switch {
		case cmd.Op == statement.OpRollback || cmd.Statement.Kind == statement.Commit:
			c.state = statement.TxIdle
		case cmd.Statement.Kind == statement.Begin:
			c.state = statement.TxOpen
		}
		a := statement.Answer{State: c.state, Signature: "s", Rows: []string{cmd.Statement.Text}, Position: statement.Position{Term: 1, Number: 5}}
		if cmd.Statement.Text == "behind" {
			a = statement.Answer{State: c.state, Err: result.Errorf(result.BehindFloor, "behind: %w", errors.New("cause"))}
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *fakeConn) Status(time.Time, statement.Command) (statement.Status, error) {
	c.db.statusQueries.Add(1)
	if c.db.status != nil {
		<-c.db.status
		<-c.db.status
	}
	return statement.Status{Primary: true, Term: 3, HeldTerm: 4}, nil
}
func (c *fakeConn) Alive() bool  { return true }
func (c *fakeConn) Close() error { return c.Abort() }
func (c *fakeConn) Abort() error {
	c.db.mu.Lock()
	defer c.db.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.db.open--
	}
	return nil
}

// owner is an instance that owns the database db-1 while owns is set.
type owner struct {
	db      *fakeDatabase
	pool    *dbpool.Pool
	server  *Server
	address string
	owns    bool
}

func (o *owner) Owned(id string) (*dbpool.Pool, bool) { return o.pool, o.owns && id == "db-1" }

func newOwner(t *testing.T, share int) *owner {
	t.Helper()
	o := &owner{db: &fakeDatabase{}, owns: true}
	o.pool = dbpool.New(dbpool.Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Dial: o.db.dial, Clock: clock.Real{}, Now: clock.SinceBoot,
		Sizing: dbpool.Sizing{MaxOpen: share, IdleTimeout: time.Minute, KeepWarm: true},
	})
	o.server = &Server{Pools: o, Log: zerolog.Nop()}
	mux := http.NewServeMux()
	mux.Handle(Path, o.server)
	srv := httptest.NewServer(mux)
	t.Cleanup(func() { o.server.Close(); srv.Close() })
	o.address = strings.TrimPrefix(srv.URL, "http://")
	return o
}

// clientPool returns the pool of another instance that sends its requests through
// the owner.
func (o *owner) clientPool() *dbpool.Pool { return o.clientPoolFor(false) }

// clientPoolFor returns such a pool in a deployment that has organisations or not.
func (o *owner) clientPoolFor(organisations bool) *dbpool.Pool {
	return dbpool.New(dbpool.Config{
		Database: topology.Database{ID: "db-1", Service: "ledger"}, Owner: "owner", Clock: clock.Real{}, Now: clock.SinceBoot,
		Dial: func(ctx context.Context, _, _, id, _ string) (dbpool.Conn, error) {
			return Dial(ctx, o.address, id, DialOptions{Organisations: organisations})
		},
		Sizing: dbpool.Sizing{MaxOpen: 8, IdleTimeout: time.Minute, ViaOwner: true},
	})
}

func acquire(t *testing.T, p *dbpool.Pool) *dbpool.Lease {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	l, err := p.Acquire(ctx, admission.Request{Class: "c"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func testDeadline() time.Time { return time.Now().Add(5 * time.Second) }

func readStatement(s string) statement.Statement {
	return statement.Statement{Kind: statement.Read, Text: s}
}

// Guards against a statement that runs with another session's variables or
// prepared statements on a connection that several instances share.
func TestSessionsOfPeersShareConnection(t *testing.T) {
	o := newOwner(t, 1)
	for i, value := range []string{"x", "y"} {
		l := acquire(t, o.clientPool())
		a, err := l.Run(dbpool.Exchange{
			Variables: map[string]string{"zone": value}, Prepared: &dbpool.PreparedStatement{Text: "shape " + value, Writes: true},
			Statement: statement.Statement{Kind: statement.Execute, Text: "EXECUTE p 1", Value: "1"}, Deadline: testDeadline(),
		})
		if err != nil || a.Signature != "s" || a.Position.Number != 5 || a.Rows[0] != "EXECUTE p 1" {
			t.Fatalf("peer %d: %+v, %v", i, a, err)
		}
		l.Release()
	}
	if len(o.db.conns) != 1 {
		t.Fatalf("%d connections were opened, want 1", len(o.db.conns))
	}
	var vars, prepared []string
	names := make(map[string]bool)
	for _, c := range o.db.conns[0].received {
		switch c.Op {
		case statement.OpSet:
			vars = append(vars, c.Value)
		case statement.OpPrepare:
			prepared = append(prepared, c.Value)
		case statement.OpStatement:
			names[c.Name] = true
		}
	}
	if strings.Join(vars, " ") != "x y" || strings.Join(prepared, ",") != "shape x,shape y" || len(names) != 2 {
		t.Errorf("variables %v, prepared statements %v, names %v", vars, prepared, names)
	}
}

// Guards against a write that runs outside its transaction because the database refused
// Begin to the owner.
func TestOwnerSendsNoStatementAfterRefusedBegin(t *testing.T) {
	o := newOwner(t, 1)
	refused := true
	o.db.refuse = func(c statement.Command) *result.Error {
		if refused && c.Statement.Kind == statement.Begin {
			return result.Errorf(result.Overloaded, "busy")
		}
		return nil
	}
	l := acquire(t, o.clientPool())
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	x := dbpool.Exchange{
		Begin: &begin, Statement: statement.Statement{Kind: statement.Write, Text: "WRITE"},
		Variables: map[string]string{"zone": "x"}, Deadline: testDeadline(),
	}
	a, err := l.Run(x)
	if err != nil || !result.Is(a.Err, result.Overloaded) || a.State != statement.TxIdle {
		t.Errorf("answer %+v, %v", a, err)
	}
	for _, c := range o.db.conns[0].received {
		if c.Op == statement.OpStatement {
			t.Errorf("%q was sent", c.Statement.Text)
		}
	}
	refused = false
	if a, err := l.Run(x); err != nil || a.Err != nil || a.State != statement.TxOpen {
		t.Errorf("answer of the repetition %+v, %v", a, err)
	}
	l.Discard()
}

// listenAsOwner starts an owner of an earlier release, which answers each request as answer
// returns, and returns its address.
func listenAsOwner(t *testing.T, answer func(request) reply) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Errorf("take over the connection: %v", err)
			return
		}
		defer func() { _ = conn.Close() }() // the client may have closed it
		_, _ = buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgrade + "\r\n\r\n")
		_ = buffered.Flush() // the client reports a failure
		enc, dec := gob.NewEncoder(buffered.Writer), gob.NewDecoder(buffered.Reader)
		for {
			var r request
			if dec.Decode(&r) != nil || enc.Encode(answer(r)) != nil || buffered.Flush() != nil {
				return // the client has disconnected
			}
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a statement that reaches an owner of an earlier release together with
// its Begin: such an owner passes both on at once.
func TestOwnerThatRunsOutOfOrderGetsBeginFirst(t *testing.T) {
	requests := make(chan request, 4)
	o := &owner{address: listenAsOwner(t, func(r request) reply {
		requests <- r
		refusals := make([]statement.Answer, len(r.Commands))
		for i := range refusals {
			refusals[i].Err = &result.Error{Code: result.Overloaded, Message: "busy"}
		}
		return reply{Answers: refusals}
	})}
	l := acquire(t, o.clientPool())
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	a, err := l.Run(dbpool.Exchange{Begin: &begin, Statement: statement.Statement{Kind: statement.Write}, Deadline: testDeadline()})
	if err != nil || !result.Is(a.Err, result.Overloaded) {
		t.Errorf("answer %+v, %v", a, err)
	}
	if r := <-requests; len(r.Commands) != 1 || r.Commands[0].Statement.Kind != statement.Begin {
		t.Errorf("the first request has the commands %+v, want Begin alone", r.Commands)
	}
	if len(requests) > 0 {
		t.Error("the statement was sent although Begin was refused")
	}
	l.Discard()
}

// Guards against a session that runs with variables of an earlier one, because the
// client and the owner disagree about which variables a refused request has set.
func TestRefusedRequestKeepsVariablesInAgreement(t *testing.T) {
	o := newOwner(t, 1)
	p := o.clientPool()
	run := func(value string, deadline time.Time) error {
		l := acquire(t, p)
		_, err := l.Run(dbpool.Exchange{Variables: map[string]string{"zone": value}, Statement: readStatement("for " + value), Deadline: deadline})
		var notSent *dbpool.NotSentError
		if errors.As(err, &notSent) {
			l.ReleaseNotSent(notSent)
		} else {
			l.Release()
		}
		return err
	}
	if err := run("x", testDeadline()); err != nil {
		t.Fatal(err)
	}
	held := acquire(t, o.pool)
	if err := run("y", time.Now().Add(200*time.Millisecond)); err == nil {
		t.Fatal("the request ran although the owner had no connection")
	}
	held.Release()
	if err := run("x", testDeadline()); err != nil {
		t.Fatal(err)
	}
	zone := ""
	for _, c := range o.db.conns[0].received {
		switch c.Op {
		case statement.OpSet:
			zone = c.Value
		case statement.OpStatement:
			if c.Statement.Text != "for "+zone {
				t.Errorf("%q ran with zone = %q", c.Statement.Text, zone)
			}
		}
	}
}

// Guards against a transaction that moves to another connection, and against one
// that stays open after its client has failed.
func TestTransactionKeepsItsConnection(t *testing.T) {
	o := newOwner(t, 3)
	l, other := acquire(t, o.clientPool()), acquire(t, o.clientPool())
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	if _, err := l.Run(dbpool.Exchange{Begin: &begin, Statement: readStatement("one"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	if _, err := other.Run(dbpool.Exchange{Statement: readStatement("other"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Run(dbpool.Exchange{Statement: readStatement("two"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, c := range o.db.conns[0].received {
		texts = append(texts, c.Statement.Text)
	}
	if strings.Join(texts, " ") != "BEGIN one two" {
		t.Errorf("the transaction's connection ran %q", texts)
	}
	l.Discard() // as when the client is killed
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		o.db.mu.Lock()
		closed := o.db.conns[0].closed
		o.db.mu.Unlock()
		if closed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the connection of the failed client's transaction is still open")
		}
	}
}

// Guards against losing the result code of an error, or the fact that an outcome is
// unknown, on the way through the owner.
func TestErrorsArePassedThroughOwner(t *testing.T) {
	o := newOwner(t, 1)
	l := acquire(t, o.clientPool())
	a, err := l.Run(dbpool.Exchange{Statement: readStatement("behind"), Deadline: testDeadline()})
	if err != nil || a.Err == nil || a.Err.Code != result.BehindFloor {
		t.Fatalf("%+v, %v", a, err)
	}
	o.db.mu.Lock()
	o.db.fail = errors.New("reset")
	o.db.mu.Unlock()
	_, err = l.Run(dbpool.Exchange{Statement: readStatement("x"), Deadline: testDeadline()})
	var notSent *dbpool.NotSentError
	if err == nil || errors.As(err, &notSent) {
		t.Errorf("error %v for a database that did not answer, want one with an unknown outcome", err)
	}
	l.Discard()
}

// Guards against reporting a refusal as an unknown outcome, and against running a
// statement for which the owner had no connection in time.
func TestNothingRunsWithoutConnection(t *testing.T) {
	o := newOwner(t, 1)
	held := acquire(t, o.pool)
	l := acquire(t, o.clientPool())
	_, err := l.Run(dbpool.Exchange{Statement: readStatement("late"), Deadline: time.Now().Add(300 * time.Millisecond)})
	var notSent *dbpool.NotSentError
	if !errors.As(err, &notSent) {
		t.Fatalf("error %v, want a NotSentError", err)
	}
	l.Discard()
	held.Release()
	o.server.Drain()
	l2 := acquire(t, o.pool)
	if got := len(o.db.conns[0].received); got != 0 {
		t.Errorf("%d statements ran", got)
	}
	l2.Release()
}

// Guards against an owner that accepts new requests while it drains, and against an
// instance that accepts requests for a database that it does not own.
func TestOnlyActiveOwnersAcceptRequests(t *testing.T) {
	o := newOwner(t, 2)
	idle := acquire(t, o.clientPool())
	if _, err := idle.Run(dbpool.Exchange{Statement: readStatement("x"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	open := acquire(t, o.clientPool())
	if _, err := open.Run(dbpool.Exchange{Begin: &begin, Statement: readStatement("x"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	o.server.Drain()
	var notSent *dbpool.NotSentError
	if _, err := idle.Run(dbpool.Exchange{Statement: readStatement("y"), Deadline: testDeadline()}); !errors.As(err, &notSent) || !result.Is(err, result.DatabaseDown) {
		t.Errorf("new request at a draining owner: error %v, want NotSentError with DatabaseDown", err)
	}
	if a, err := open.Run(dbpool.Exchange{Statement: statement.Statement{Kind: statement.Commit, Text: "COMMIT"}, Deadline: testDeadline()}); err != nil || a.State != statement.TxIdle {
		t.Errorf("commit of an open transaction at a draining owner: %+v, %v", a, err)
	}
	if _, err := Dial(t.Context(), o.address, "db-1", DialOptions{}); err == nil {
		t.Error("a draining owner accepted a connection")
	}
	o2 := newOwner(t, 2)
	if _, err := Dial(t.Context(), o2.address, "db-2", DialOptions{}); err == nil {
		t.Error("an instance accepted a connection for a database that it does not own")
	}
}

// Guards against a database status that is altered on the way through the owner.
func TestStatusIsPassedThroughOwner(t *testing.T) {
	o := newOwner(t, 2)
	s, err := o.clientPool().Control(t.Context(), statement.Command{Op: statement.OpStatus}, 5*time.Second)
	if err != nil || !s.Primary || s.Term != 3 || s.HeldTerm != 4 {
		t.Errorf("%+v, %v", s, err)
	}
}

// Guards against an owner that counts as failed because its database is slow: its
// peers would turn to the next owner and then to connections of their own, which
// cost a slow database more than the statements.
func TestSlowOwnerIsNotAFailedOwner(t *testing.T) {
	o := newOwner(t, 1)
	p := o.clientPool()
	l := acquire(t, p)
	if _, err := l.Run(dbpool.Exchange{Statement: readStatement("first"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	held := acquire(t, o.pool) // the owner's only connection is busy
	done := make(chan error, 1)
	go func() {
		_, err := l.Run(dbpool.Exchange{Statement: readStatement("waits"), Deadline: testDeadline()})
		done <- err
	}()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if since, failed := p.UnresponsiveSince(); failed {
			t.Fatalf("the owner counts as unresponsive since %v", since)
		}
	}
	held.Release()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a database that does not answer its owner and seems to answer the
// owner's peers.
func TestOwnerOfAStalledDatabaseReportsNoProgress(t *testing.T) {
	o := newOwner(t, 1)
	p := o.clientPool()
	l := acquire(t, p)
	if _, err := l.Run(dbpool.Exchange{Statement: readStatement("first"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	block := make(chan struct{})
	o.db.mu.Lock()
	o.db.block = block
	o.db.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = l.Run(dbpool.Exchange{Statement: readStatement("stalls"), Deadline: testDeadline()})
	}()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, failed := p.UnresponsiveSince(); failed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the stall of the database is not noticed")
		}
	}
	close(block)
	<-done
}

// Guards against a status query for each of the instances that ask an owner at the
// same time, and against a status from before the question.
func TestStatusQueriesAreShared(t *testing.T) {
	o := newOwner(t, 2)
	o.db.status = make(chan struct{})
	const askers = 20
	var wg sync.WaitGroup
	ask := func() {
		defer wg.Done()
		if _, err := o.pool.SharedStatus(t.Context()); err != nil {
			t.Error(err)
		}
	}
	wg.Add(1)
	go ask()
	o.db.status <- struct{}{} // the first query has been sent
	wg.Add(askers)
	for range askers {
		go ask()
	}
	time.Sleep(100 * time.Millisecond) // all of them wait
	o.db.status <- struct{}{}          // the first query is answered
	o.db.status <- struct{}{}
	o.db.status <- struct{}{}
	wg.Wait()
	if n := o.db.statusQueries.Load(); n != 2 {
		t.Errorf("%d queries for one asker and then %d", n, askers)
	}
}

// Guards against a refusal that arrives just after the deadline and is reported as an
// unknown outcome: the owner sends it answerMargin before the deadline, and a busy
// machine delays it by more.
func TestRefusalJustAfterTheDeadlineIsKnown(t *testing.T) {
	const late = 50 * time.Millisecond
	address := listenAsOwner(t, func(r request) reply {
		time.Sleep(r.Remaining + late)
		return reply{NotSent: errNotOwner}
	})
	c, err := Dial(t.Context(), address, "db-1", DialOptions{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // not used afterwards
	_, err = c.Do(time.Now().Add(100*time.Millisecond), []statement.Command{{Op: statement.OpStatement, Statement: readStatement("x")}})
	var notSent *dbpool.NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("error %v, want a NotSentError", err)
	}
}
