package proxy

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
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

// session is the session of one caller. Only one goroutine uses it, except for the fields
// that the server reads.
type session struct {
	srv      *Server
	conn     CallerConn
	number   uint64
	caller   caller
	identity identity // of the operation in progress, or of the latest one

	// established is the caller once the session is open; the server reads it.
	established atomic.Pointer[caller]
	// waiting is set while a request waits; the server reads it.
	waiting atomic.Pointer[waiting]

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
	charge       *charge     // of the operation; may be nil
	failure      result.Code // of the first error that the caller got; 0 if none
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
	s.clearTransaction()
}

// clearTransaction forgets the transaction, if any, of which nothing is open any more.
func (s *session) clearTransaction() {
	if s.tx != nil {
		s.tx.charge.settle()
		s.tx = nil
	}
}

// errClosingIdle ends an idle session while the server closes idle sessions.
var errClosingIdle = errors.New("idle session closed by the instance")

// errRevoked ends an idle session whose key was revoked.
var errRevoked = errors.New("idle session closed because its key was revoked")

// nextStatement reads the next statement. Meanwhile it rolls back a transaction
// whose idle timeout has passed. It returns errClosingIdle if the session is idle
// and idle sessions are being closed, and errRevoked if its key was revoked.
func (s *session) nextStatement() (statement.Statement, error) {
	for {
		if err := s.setReadDeadline(); err != nil {
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
		if s.isRevoked() && s.conn.Peek() != sockets.Readable {
			return st, errRevoked
		}
	}
}

// setReadDeadline sets the deadline for reading the next statement. It does so again if a
// configuration came into force meanwhile: that wakes sessions by setting the deadline,
// which is lost if the session sets it afterwards.
func (s *session) setReadDeadline() error {
	for {
		version := s.srv.cfg.Topology.Snapshot().Version
		if err := s.conn.SetReadDeadline(s.readDeadline()); err != nil {
			return err
		}
		if s.srv.cfg.Topology.Snapshot().Version == version {
			return nil
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
		return s.idleDeadline()
	}
	if s.tx.failed {
		return time.Time{}
	}
	if at >= rollingBackOpen {
		return expiredDeadline
	}
	if idle := s.srv.cfg.Topology.Snapshot().TxIdleTimeout; idle > 0 {
		return s.tx.lastAnswered.Add(idle)
	}
	return time.Time{}
}

// idleDeadline returns the deadline for reading the next statement outside a transaction.
// If the key was revoked, a request that has arrived is still read, because its caller
// must get an answer.
func (s *session) idleDeadline() time.Time {
	switch {
	case s.srv.closesIdle():
		return expiredDeadline
	case !s.isRevoked():
		return time.Time{}
	case s.conn.Peek() == sockets.Readable:
		return time.Now().Add(messageTimeout)
	}
	return expiredDeadline
}

// expireTransaction rolls back the open transaction if its idle timeout has passed
// or the shutdown requires it. The caller is told with its next statement.
func (s *session) expireTransaction() {
	idle := s.srv.cfg.Topology.Snapshot().TxIdleTimeout
	if stage(s.srv.stage.Load()) < rollingBackOpen && (idle == 0 || time.Since(s.tx.lastAnswered) < idle) {
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
	if errors.Is(err, io.EOF) && s.tx == nil || errors.Is(err, errClosingIdle) || errors.Is(err, errRevoked) {
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
	before := s.tx
	a := s.dispatch(st)
	s.countOperation(st, before, a)
	return a
}

// dispatch is handle without the metrics of organisations.
func (s *session) dispatch(st statement.Statement) statement.Answer {
	if s.tx != nil && s.tx.rollbackUnreported && st.Kind != statement.Rollback && st.Kind != statement.Commit {
		s.tx.rollbackUnreported = false
		return s.refuse(st, result.Errorf(result.RolledBack, "the instance rolled back the transaction"))
	}
	if s.tx != nil && s.tx.failed && st.Kind != statement.Rollback && st.Kind != statement.Commit {
		return s.refuse(st, result.Errorf(result.ProtocolViolation, "the transaction has failed and must be rolled back"))
	}
	if e := s.checkKey(st); e != nil {
		return s.refuse(st, e)
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
	event := s.srv.cfg.Log.Info().Str("id", st.ID).Uint64("session", s.number).Str("kind", st.Kind.String()).
		Str("code", e.Code.String()).Str("reason", e.Message)
	if s.identity.name != "" {
		event = event.Str("organisation", s.identity.name)
	}
	event.Msg("A statement was refused.")
	return a
}

func (s *session) begin(st statement.Statement) statement.Answer {
	if s.tx != nil {
		return s.refuse(st, result.Errorf(result.ProtocolViolation, "a transaction is open"))
	}
	route, e := s.startOperation()
	if e != nil {
		return s.refuse(st, e)
	}
	taken, err := s.takeCharge(s.newRequest(st, route))
	if err != nil {
		return s.refuse(st, result.From(err))
	}
	s.tx = &transaction{begin: st, route: route, charge: taken}
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
			s.clearTransaction()
		} else {
			s.discardTransaction()
		}
	}
	s.endEarly()
	s.clearTransaction()
	o.answer.State = statement.TxIdle
	return o.answer
}

// runStatement runs a Read, Write or Execute statement.
func (s *session) runStatement(st statement.Statement) statement.Answer {
	if s.tx == nil {
		return s.runSingle(st)
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

// runSingle runs a Read, Write or Execute statement outside a transaction.
func (s *session) runSingle(st statement.Statement) statement.Answer {
	route, e := s.startOperation()
	if e != nil {
		return s.refuse(st, e)
	}
	req := s.newRequest(st, route)
	if e := s.resolvePrepared(req); e != nil {
		return s.refuse(st, e)
	}
	var err error
	if req.charge, err = s.takeCharge(req); err != nil {
		return s.refuse(st, result.From(err))
	}
	o := s.runUnpinned(req)
	req.charge.settle()
	s.reportRequest(req, o)
	o.answer.State = statement.TxIdle
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

// fairnessKey identifies the organisation in the admission queue, which serves
// organisations fairly, or the session if there are none.
func (s *session) fairnessKey() string {
	if s.identity.name != "" {
		return s.identity.name
	}
	return strconv.FormatUint(s.number, 36)
}

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
