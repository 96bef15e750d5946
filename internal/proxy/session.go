package proxy

import (
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	// startTimeout bounds the wait for a caller's first message.
	startTimeout = 5 * time.Second
	// startWait is how long a new session waits for the first configuration.
	// Callers give up after 2 s.
	startWait = 1500 * time.Millisecond
	// rollbackTimeout bounds the rollback of a transaction that its caller
	// left; after it the connection is closed, which rolls back as well.
	rollbackTimeout = 500 * time.Millisecond
)

// session is the session of one caller. It is used by one goroutine.
type session struct {
	s        *Server
	caller   CallerConn
	number   uint64
	database string // that the caller asked for

	variables map[string]string
	prepared  map[string]dbpool.PreparedStatement
	floor     statement.Position // the session's own latest commit
	tx        *transaction
}

// transaction is an open transaction of a session.
type transaction struct {
	begin  statement.Statement
	route  topology.Route
	lease  *dbpool.Lease // nil until the first statement was sent
	at     target
	wrote  bool
	failed bool // can only be rolled back
	// untold says that the instance rolled the transaction back by itself and
	// the caller does not know it.
	untold bool
	// lastUsed is when the caller's latest statement was answered.
	lastUsed time.Time
}

func (x *session) run() {
	defer x.end()
	if !x.open() {
		return
	}
	for {
		st, err := x.next()
		if err != nil {
			x.reportEnd(err)
			return
		}
		answer := x.handle(st)
		if x.tx != nil {
			x.tx.lastUsed = time.Now()
		}
		if err := x.caller.SendAnswer(answer); err != nil {
			return
		}
	}
}

// end gives back what the session holds.
func (x *session) end() {
	x.dropTransaction()
	_ = x.caller.Close() // the session is over in any case
}

// dropTransaction rolls back an open transaction.
func (x *session) dropTransaction() {
	if x.tx != nil && x.tx.lease != nil {
		lease := x.tx.lease
		go lease.Rollback(time.Now().Add(rollbackTimeout))
	}
	x.tx = nil
}

// open reads the caller's first message and answers it.
func (x *session) open() bool {
	if err := x.caller.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return false
	}
	database, err := x.caller.ReadStartup()
	if err != nil {
		x.reportEnd(err)
		return false
	}
	x.database = database
	if _, ok := x.awaitRoute(); !ok {
		e := result.Errorf(result.UnknownService, "no route has the name %s", database)
		x.s.cfg.Log.Info().Str("database", database).Uint64("version", x.s.cfg.Topology.Snapshot().Version).
			Str("code", e.Code.String()).Uint64("session", x.number).Msg("A session was refused.")
		_ = x.caller.SendRefusal(e) // the session ends in any case
		return false
	}
	return x.caller.SendReady() == nil
}

// awaitRoute returns the session's route and waits for a configuration if there
// is none at all.
func (x *session) awaitRoute() (topology.Route, bool) {
	deadline := time.Now().Add(startWait)
	for {
		changed := x.s.cfg.Topology.Changed()
		snap := x.s.cfg.Topology.Snapshot()
		route, ok := snap.Routes[x.database]
		if ok || snap.Version != 0 {
			return route, ok
		}
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
			return route, false
		}
	}
}

// errClosing ends an idle session during a shutdown.
var errClosing = errors.New("the instance closes idle sessions")

// next reads the next statement. It ends transactions that are idle for too
// long, and idle sessions during a shutdown.
func (x *session) next() (statement.Statement, error) {
	for {
		if err := x.caller.SetReadDeadline(x.readDeadline()); err != nil {
			return statement.Statement{}, err
		}
		st, err := x.caller.ReadStatement()
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return st, err
		}
		if x.caller.Pending() {
			continue // the rest of a message is on its way
		}
		if x.tx != nil {
			x.expireTransaction()
			continue
		}
		if x.s.closesIdle() {
			return st, errClosing
		}
	}
}

// readDeadline returns until when the caller's next statement is waited for.
func (x *session) readDeadline() time.Time {
	at := stage(x.s.stage.Load())
	if x.caller.Pending() {
		return time.Now().Add(startTimeout)
	}
	if x.tx == nil {
		if x.s.closesIdle() {
			return past
		}
		return time.Time{}
	}
	if x.tx.failed {
		return time.Time{}
	}
	if at >= endingTransactions {
		return past
	}
	if idle := x.s.cfg.Topology.Snapshot().TxIdleTimeout; idle > 0 {
		return time.Now().Add(idle)
	}
	return time.Time{}
}

// expireTransaction rolls back a transaction whose caller is idle. The caller
// learns of it with its next statement.
func (x *session) expireTransaction() {
	idle := x.s.cfg.Topology.Snapshot().TxIdleTimeout
	if x.s.closesIdle() && stage(x.s.stage.Load()) < endingTransactions && (idle == 0 || time.Since(x.tx.lastUsed) < idle) {
		return // woken early; the transaction still has time
	}
	if x.tx.failed {
		return
	}
	x.s.cfg.Log.Info().Str("id", x.tx.begin.ID).Uint64("session", x.number).Dur("idle_ms", idle).Msg("An idle transaction was rolled back.")
	x.failTransaction()
	x.tx.untold = true
}

// failTransaction frees the connection and leaves a transaction that can only
// be rolled back.
func (x *session) failTransaction() {
	if x.tx.lease != nil {
		lease := x.tx.lease
		x.tx.lease = nil
		go lease.Rollback(time.Now().Add(rollbackTimeout))
	}
	x.tx.failed = true
}

func (x *session) reportEnd(err error) {
	if errors.Is(err, io.EOF) && x.tx == nil || errors.Is(err, errClosing) {
		return
	}
	e := x.s.cfg.Log.Info().Uint64("session", x.number).Err(err)
	if x.tx != nil {
		e = e.Str("id", x.tx.begin.ID)
	}
	e.Msg("A session ended early.")
	var refused *result.Error
	if errors.As(err, &refused) {
		_ = x.caller.SendRefusal(refused) // the session ends in any case
	}
}

// handle runs one statement and returns its answer.
func (x *session) handle(st statement.Statement) statement.Answer {
	if x.tx != nil && x.tx.untold && st.Kind != statement.Rollback && st.Kind != statement.Commit {
		x.tx.untold = false
		return x.refuse(st, result.Errorf(result.RolledBack, "the transaction was rolled back by the instance"))
	}
	if x.tx != nil && x.tx.failed && st.Kind != statement.Rollback && st.Kind != statement.Commit {
		return x.refuse(st, result.Errorf(result.ProtocolViolation, "the transaction has failed and must be rolled back"))
	}
	switch st.Kind {
	case statement.Begin:
		return x.begin(st)
	case statement.Rollback:
		return x.rollback(st)
	case statement.Commit:
		return x.commit(st)
	case statement.Set:
		x.variables[st.Name] = st.Value
		return x.done()
	case statement.Prepare:
		x.prepared[st.Name] = dbpool.PreparedStatement{Text: st.Value, Writes: st.Writes}
		return x.done()
	case statement.Deallocate:
		if _, ok := x.prepared[st.Name]; !ok {
			return x.refuse(st, result.Errorf(result.UnknownStatement, "%s", st.Name))
		}
		delete(x.prepared, st.Name)
		return x.done()
	case statement.Read, statement.Write, statement.Execute:
		return x.work(st)
	}
	return x.refuse(st, result.Errorf(result.ProtocolViolation, "unknown statement"))
}

// done is the answer to a statement that needed no database.
func (x *session) done() statement.Answer {
	a := statement.Answer{}
	if x.tx != nil {
		a.State = statement.TxOpen
	}
	return a
}

// refuse is the answer to a statement that was not run. A transaction fails.
func (x *session) refuse(st statement.Statement, e *result.Error) statement.Answer {
	a := statement.Answer{Err: e}
	if x.tx != nil {
		if !x.tx.failed {
			x.failTransaction()
		}
		a.State = statement.TxFailed
	}
	x.s.cfg.Log.Info().Str("id", st.ID).Uint64("session", x.number).Str("kind", st.Kind.String()).
		Str("code", e.Code.String()).Str("reason", e.Message).Msg("A statement was refused.")
	return a
}

func (x *session) begin(st statement.Statement) statement.Answer {
	if x.tx != nil {
		return x.refuse(st, result.Errorf(result.ProtocolViolation, "a transaction is open"))
	}
	route, ok := x.s.cfg.Topology.Snapshot().Routes[x.database]
	if !ok {
		return x.refuse(st, result.Errorf(result.UnknownService, "no route has the name %s", x.database))
	}
	x.tx = &transaction{begin: st, route: route}
	return x.done()
}

func (x *session) rollback(st statement.Statement) statement.Answer {
	if x.tx == nil {
		return x.refuse(st, result.Errorf(result.ProtocolViolation, "no transaction is open"))
	}
	x.dropTransaction()
	return x.done()
}

func (x *session) commit(st statement.Statement) statement.Answer {
	if x.tx == nil {
		return x.refuse(st, result.Errorf(result.ProtocolViolation, "no transaction is open"))
	}
	if x.tx.failed {
		x.dropTransaction()
		return x.refuse(st, result.Errorf(result.RolledBack, "the transaction had failed"))
	}
	q := x.request(st, x.tx.route)
	o := x.runInTransaction(q)
	if x.tx != nil && x.tx.lease != nil {
		if o.answer.Err == nil && o.answer.State == statement.TxIdle {
			x.tx.lease.Release()
			x.tx = nil
		} else {
			x.dropTransaction()
		}
	}
	x.tx = nil
	o.answer.State = statement.TxIdle
	return o.answer
}

// work runs a read or a write.
func (x *session) work(st statement.Statement) statement.Answer {
	if x.tx == nil {
		route, ok := x.s.cfg.Topology.Snapshot().Routes[x.database]
		if !ok {
			return x.refuse(st, result.Errorf(result.UnknownService, "no route has the name %s", x.database))
		}
		q := x.request(st, route)
		if e := x.resolve(q); e != nil {
			return x.refuse(st, e)
		}
		o := x.runFirst(q)
		x.report(q, o)
		o.answer.State = statement.TxIdle
		return o.answer
	}
	q := x.request(st, x.tx.route)
	if e := x.resolve(q); e != nil {
		return x.refuse(st, e)
	}
	o := x.runInTransaction(q)
	if o.answer.Err != nil {
		x.failTransaction()
		o.answer.State = statement.TxFailed
		return o.answer
	}
	x.tx.wrote = x.tx.wrote || q.writes
	o.answer.State = statement.TxOpen
	return o.answer
}

// resolve finds the prepared statement that a statement executes.
func (x *session) resolve(q *request) *result.Error {
	if q.st.Kind != statement.Execute {
		return nil
	}
	shape, ok := x.prepared[q.st.Name]
	if !ok {
		return result.Errorf(result.UnknownStatement, "%s", q.st.Name)
	}
	q.shape, q.writes = &shape, shape.Writes
	return nil
}

// callerName names the session for fair queueing.
func (x *session) callerName() string { return strconv.FormatUint(x.number, 36) }

// runInTransaction runs a statement of the open transaction, which has no
// connection before its first one, and reports it.
func (x *session) runInTransaction(q *request) outcome {
	run := x.runPinned
	if x.tx.lease == nil {
		run = x.runFirst
	}
	o := run(q)
	x.report(q, o)
	return o
}
