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
	// messageTimeout bounds the wait for a caller's startup message, and for the
	// rest of a message of which a part has arrived.
	messageTimeout = 5 * time.Second
	// configurationTimeout bounds the wait of a new session for the first
	// configuration. It is below the 2 s after which callers give up.
	configurationTimeout = 1500 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction. After it
	// the connection is closed, which also rolls the transaction back.
	rollbackTimeout = 500 * time.Millisecond
)

// session is the session of one caller. Only one goroutine uses it.
type session struct {
	srv      *Server
	conn     CallerConn
	number   uint64
	database string // requested by the caller

	variables map[string]string
	prepared  map[string]dbpool.PreparedStatement
	floor     statement.Position // position of the session's latest commit
	tx        *transaction
}

// transaction is an open transaction of a session.
type transaction struct {
	begin  statement.Statement
	route  topology.Route
	early  *earlyBegin   // set while the transaction begins before its first statement; may be nil
	lease  *dbpool.Lease // nil until the first statement has been sent
	target target
	wrote  bool
	failed bool // can only be rolled back
	// rollbackUnreported is set while the caller has not been told that the
	// instance rolled the transaction back.
	rollbackUnreported bool
	// lastAnswered is when the transaction's latest statement was answered.
	lastAnswered time.Time
}

func (s *session) run() {
	defer s.close()
	if !s.startup() {
		return
	}
	for {
		st, err := s.nextStatement()
		if err != nil {
			s.logEnd(err)
			return
		}
		answer := s.handle(st)
		if s.tx != nil {
			s.tx.lastAnswered = time.Now()
		}
		if err := s.conn.SendAnswer(answer); err != nil {
			return
		}
	}
}

// close rolls back an open transaction and closes the connection.
func (s *session) close() {
	s.discardTransaction()
	_ = s.conn.Close() // the session ends even if this fails
}

// discardTransaction rolls back the open transaction, if any, and forgets it.
func (s *session) discardTransaction() {
	s.endEarly()
	if s.tx != nil && s.tx.lease != nil {
		s.srv.rollBack(s.tx.lease)
	}
	s.tx = nil
}

// startup reads and answers the caller's startup message. It reports whether the
// session is open.
func (s *session) startup() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return false
	}
	database, err := s.conn.ReadStartup()
	if err != nil {
		s.logEnd(err)
		return false
	}
	s.database = database
	if _, ok := s.awaitRoute(); !ok {
		e := result.Errorf(result.UnknownService, "no route for database %s", database)
		s.srv.cfg.Log.Info().Str("database", database).Uint64("version", s.srv.cfg.Topology.Snapshot().Version).
			Str("code", e.Code.String()).Uint64("session", s.number).Msg("A session was refused.")
		_ = s.conn.SendRefusal(e) // the session ends even if this fails
		return false
	}
	return s.conn.SendReady() == nil
}

// awaitRoute returns the session's route. If the instance has no configuration
// yet, it waits for one.
func (s *session) awaitRoute() (topology.Route, bool) {
	deadline := time.Now().Add(configurationTimeout)
	for {
		changed := s.srv.cfg.Topology.Changed()
		snap := s.srv.cfg.Topology.Snapshot()
		route, ok := snap.Routes[s.database]
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

// errClosingIdle ends an idle session while the server closes idle sessions.
var errClosingIdle = errors.New("idle session closed by the instance")

// nextStatement reads the next statement. Meanwhile it rolls back a transaction
// whose idle timeout has passed. It returns errClosingIdle if the session is idle
// and idle sessions are being closed.
func (s *session) nextStatement() (statement.Statement, error) {
	for {
		if err := s.conn.SetReadDeadline(s.readDeadline()); err != nil {
			return statement.Statement{}, err
		}
		st, err := s.conn.ReadStatement()
		var timeout net.Error
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return st, err
		}
		if s.conn.Pending() {
			continue // the rest of the message has yet to arrive
		}
		if s.tx != nil {
			s.expireTransaction()
			continue
		}
		if s.srv.closesIdle() {
			return st, errClosingIdle
		}
	}
}

// readDeadline returns the deadline for reading the next statement; zero means
// none.
func (s *session) readDeadline() time.Time {
	at := stage(s.srv.stage.Load())
	if s.conn.Pending() {
		return time.Now().Add(messageTimeout)
	}
	if s.tx == nil {
		if s.srv.closesIdle() {
			return expiredDeadline
		}
		return time.Time{}
	}
	if s.tx.failed {
		return time.Time{}
	}
	if at >= rollingBackOpen {
		return expiredDeadline
	}
	if idle := s.srv.cfg.Topology.Snapshot().TxIdleTimeout; idle > 0 {
		return time.Now().Add(idle)
	}
	return time.Time{}
}

// expireTransaction rolls back the open transaction if its idle timeout has passed
// or the shutdown requires it. The caller is told with its next statement.
func (s *session) expireTransaction() {
	idle := s.srv.cfg.Topology.Snapshot().TxIdleTimeout
	if s.srv.closesIdle() && stage(s.srv.stage.Load()) < rollingBackOpen && (idle == 0 || time.Since(s.tx.lastAnswered) < idle) {
		return // woken before the idle timeout; the transaction may go on
	}
	if s.tx.failed {
		return
	}
	s.srv.cfg.Log.Info().Str("id", s.tx.begin.ID).Uint64("session", s.number).Dur("idle_ms", idle).Msg("An idle transaction was rolled back.")
	s.failTransaction()
	s.tx.rollbackUnreported = true
}

// failTransaction rolls the transaction back, which frees its connection, and marks
// it as failed: the caller can only end it.
func (s *session) failTransaction() {
	s.endEarly()
	if s.tx.lease != nil {
		s.srv.rollBack(s.tx.lease)
		s.tx.lease = nil
	}
	s.tx.failed = true
}

// logEnd logs a session that ended early and sends the caller the error, if it has
// a result code.
func (s *session) logEnd(err error) {
	if errors.Is(err, io.EOF) && s.tx == nil || errors.Is(err, errClosingIdle) {
		return
	}
	e := s.srv.cfg.Log.Info().Uint64("session", s.number).Err(err)
	if s.tx != nil {
		e = e.Str("id", s.tx.begin.ID)
	}
	e.Msg("A session ended early.")
	var refused *result.Error
	if errors.As(err, &refused) {
		_ = s.conn.SendRefusal(refused) // the session ends even if this fails
	}
}

// handle runs one statement and returns its answer.
func (s *session) handle(st statement.Statement) statement.Answer {
	if s.tx != nil && s.tx.rollbackUnreported && st.Kind != statement.Rollback && st.Kind != statement.Commit {
		s.tx.rollbackUnreported = false
		return s.refuse(st, result.Errorf(result.RolledBack, "the instance rolled back the transaction"))
	}
	if s.tx != nil && s.tx.failed && st.Kind != statement.Rollback && st.Kind != statement.Commit {
		return s.refuse(st, result.Errorf(result.ProtocolViolation, "the transaction has failed and must be rolled back"))
	}
	switch st.Kind {
	case statement.Begin:
		return s.begin(st)
	case statement.Rollback:
		return s.rollback(st)
	case statement.Commit:
		return s.commit(st)
	case statement.Set:
		s.variables[st.Name] = st.Value
		return s.localAnswer()
	case statement.Prepare:
		s.prepared[st.Name] = dbpool.PreparedStatement{Text: st.Value, Writes: st.Writes}
		return s.localAnswer()
	case statement.Deallocate:
		if _, ok := s.prepared[st.Name]; !ok {
			return s.refuse(st, result.Errorf(result.UnknownStatement, "prepared statement %q does not exist", st.Name))
		}
		delete(s.prepared, st.Name)
		return s.localAnswer()
	case statement.Read, statement.Write, statement.Execute:
		return s.runStatement(st)
	}
	return s.refuse(st, result.Errorf(result.ProtocolViolation, "unrecognised statement"))
}

// localAnswer returns the answer to a statement that needed no database.
func (s *session) localAnswer() statement.Answer {
	a := statement.Answer{}
	if s.tx != nil {
		a.State = statement.TxOpen
	}
	return a
}

// refuse returns the answer to a statement that was not run. An open transaction
// fails.
func (s *session) refuse(st statement.Statement, e *result.Error) statement.Answer {
	a := statement.Answer{Err: e}
	if s.tx != nil {
		if !s.tx.failed {
			s.failTransaction()
		}
		a.State = statement.TxFailed
	}
	s.srv.cfg.Log.Info().Str("id", st.ID).Uint64("session", s.number).Str("kind", st.Kind.String()).
		Str("code", e.Code.String()).Str("reason", e.Message).Msg("A statement was refused.")
	return a
}

func (s *session) begin(st statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.refuse(st, result.Errorf(result.ProtocolViolation, "a transaction is open"))
	}
	route, ok := s.srv.cfg.Topology.Snapshot().Routes[s.database]
	if !ok {
		return s.refuse(st, result.Errorf(result.UnknownService, "no route for database %s", s.database))
	}
	s.tx = &transaction{begin: st, route: route}
	s.beginEarly()
	return s.localAnswer()
}

func (s *session) rollback(st statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.refuse(st, result.Errorf(result.ProtocolViolation, "no transaction is open"))
	}
	s.discardTransaction()
	return s.localAnswer()
}

func (s *session) commit(st statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.refuse(st, result.Errorf(result.ProtocolViolation, "no transaction is open"))
	}
	if s.tx.failed {
		s.discardTransaction()
		return s.refuse(st, result.Errorf(result.RolledBack, "the transaction had failed"))
	}
	req := s.newRequest(st, s.tx.route)
	o := s.runInTransaction(req)
	if s.tx != nil && s.tx.lease != nil {
		if o.answer.Err == nil && o.answer.State == statement.TxIdle {
			s.tx.lease.Release()
			s.tx = nil
		} else {
			s.discardTransaction()
		}
	}
	s.endEarly()
	s.tx = nil
	o.answer.State = statement.TxIdle
	return o.answer
}

// runStatement runs a Read, Write or Execute statement.
func (s *session) runStatement(st statement.Statement) statement.Answer {
	if s.tx == nil {
		route, ok := s.srv.cfg.Topology.Snapshot().Routes[s.database]
		if !ok {
			return s.refuse(st, result.Errorf(result.UnknownService, "no route for database %s", s.database))
		}
		req := s.newRequest(st, route)
		if e := s.resolvePrepared(req); e != nil {
			return s.refuse(st, e)
		}
		o := s.runUnpinned(req)
		s.reportRequest(req, o)
		o.answer.State = statement.TxIdle
		return o.answer
	}
	req := s.newRequest(st, s.tx.route)
	if e := s.resolvePrepared(req); e != nil {
		return s.refuse(st, e)
	}
	o := s.runInTransaction(req)
	if o.answer.Err != nil {
		s.failTransaction()
		o.answer.State = statement.TxFailed
		return o.answer
	}
	s.tx.wrote = s.tx.wrote || req.writes
	o.answer.State = statement.TxOpen
	return o.answer
}

// resolvePrepared looks up the prepared statement that an Execute statement names.
func (s *session) resolvePrepared(req *request) *result.Error {
	if req.st.Kind != statement.Execute {
		return nil
	}
	prepared, ok := s.prepared[req.st.Name]
	if !ok {
		return result.Errorf(result.UnknownStatement, "prepared statement %q does not exist", req.st.Name)
	}
	req.preparedStmt, req.writes = &prepared, prepared.Writes
	return nil
}

// fairnessKey identifies the session in the admission queue, which serves sessions
// fairly.
func (s *session) fairnessKey() string { return strconv.FormatUint(s.number, 36) }

// runInTransaction runs and reports a statement of the open transaction. The first
// statement pins the transaction to a connection.
func (s *session) runInTransaction(req *request) outcome {
	run := s.runPinned
	if s.tx.lease == nil {
		run = s.runUnpinned
	}
	o := run(req)
	s.reportRequest(req, o)
	return o
}
