package entry

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/session"
)

// extraStartingConns is the number of connections that may be in their startup
// beyond the limit of connections. Cancellations and callers that ask for
// encryption and reconnect without it need some when the limit is small.
const extraStartingConns = 100

// Timeouts towards callers.
const (
	// writeTimeout ends the connection of a caller that does not read its
	// answer, which would hold the answer's memory.
	writeTimeout = 60 * time.Second
	// fatalErrorTimeout bounds the last message on a connection that is closed.
	fatalErrorTimeout = 1 * time.Second
)

// callerConn is one connection of a callerConn. One goroutine serves it; the fields
// under mu and inFlight are shared.
type callerConn struct {
	s       *Server
	conn    net.Conn
	reader  messageReader
	pid     uint32
	secret  uint32
	user    string
	service string

	startupParams     proxyParams // given at startup, restored by RESET
	params            proxyParams
	reportedOverrides map[string]string // harmless parameters that differ from the defaults
	floors            session.Floors
	statements        map[string]*preparedStatement
	tx                *transaction
	skipUntilSync     error // refuses messages up to Sync after an error at a Flush
	txFailed          bool  // the transaction was ended here and the caller has not closed it yet

	inFlight atomic.Pointer[inFlightRequest]

	mu       sync.Mutex
	idle     bool // idle outside a transaction
	draining bool
}

func (s *Server) serveCaller(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.startingConns.Add(1) > int64(s.cfg.Settings.Callers.MaxConnections)+extraStartingConns {
		s.startingConns.Add(-1)
		return
	}
	c := &callerConn{s: s, conn: conn}
	c.reader.conn, c.reader.maxBody = conn, s.cfg.Settings.Callers.MaxMessage
	ok := c.connect()
	s.startingConns.Add(-1)
	if !ok {
		return
	}
	defer s.unregister(c)
	defer c.endTransaction()
	if err := c.serve(); err != nil {
		c.fatal(err)
	}
}

// connect runs the startup and registers the caller.
func (c *callerConn) connect() bool {
	_ = c.conn.SetDeadline(time.Now().Add(c.s.cfg.Settings.Callers.StartupTimeout.Std()))
	given, err := c.s.readStartup(c.conn)
	if err == nil && given == nil {
		return false
	}
	if err == nil {
		err = c.applyStartup(given)
	}
	if err != nil {
		c.fatal(err)
		return false
	}
	full, draining := c.s.register(c)
	switch {
	case draining:
		c.fatal(errShuttingDown)
		return false
	case full:
		c.fatal(result.Errorf(result.ConnectionsBusy, "too many callers: at most %d connections are allowed",
			c.s.cfg.Settings.Callers.MaxConnections))
		return false
	}
	if c.write(c.startupAnswer()) != nil {
		c.s.unregister(c)
		return false
	}
	_ = c.conn.SetDeadline(time.Time{})
	return true
}

var errShuttingDown = result.Errorf(result.ShuttingDown, "the instance is stopping; connect again")

// serve answers batches until the caller leaves. The returned error is sent to
// the caller if it still listens.
func (c *callerConn) serve() error {
	for {
		kind, err := c.waitForBatch()
		if err != nil {
			return err
		}
		b, err := c.readBatch(kind)
		if err != nil {
			return err
		}
		if b == nil {
			return nil
		}
		if err := c.answer(b); err != nil {
			return err
		}
		c.reader.release()
	}
}

// waitForBatch waits for the first byte of a batch. Drain interrupts it only while the
// caller is idle outside a transaction.
func (c *callerConn) waitForBatch() (byte, error) {
	c.mu.Lock()
	if c.draining && c.tx == nil {
		c.mu.Unlock()
		return 0, errShuttingDown
	}
	c.idle = c.tx == nil && c.reader.isEmpty()
	c.mu.Unlock()

	kind, err := c.reader.readType()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if err != nil && c.draining && c.tx == nil && isTimeout(err) {
		return 0, errShuttingDown
	}
	if c.draining && err == nil {
		err = c.conn.SetReadDeadline(time.Time{})
	}
	return kind, err
}

// startDrain ends the caller now if it is idle, or else after its request or
// transaction.
func (c *callerConn) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// sendAnswer sends the whole answer to a batch, which ends with ReadyForQuery. A
// batch that was ended by Flush gets no ReadyForQuery, and after an error the
// messages up to the Sync are skipped.
func (c *callerConn) sendAnswer(b *batch, out []byte) error {
	if b.endedByFlush {
		out = out[:len(out)-readyForQueryLength]
		if firstError(out) != "" {
			c.skipUntilSync = result.Errorf(result.ProtocolViolation, "skipped after an error")
		}
	}
	return c.write(out)
}

// write sends b whole or ends the connection.
func (c *callerConn) write(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err
}

// fatal sends the error that ends the connection, unless the caller left.
func (c *callerConn) fatal(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		if !isTimeout(err) {
			return
		}
		coded = result.Errorf(result.BadStartup, "no complete startup packet within %s",
			c.s.cfg.Settings.Callers.StartupTimeout.Std())
	}
	_ = c.conn.SetDeadline(time.Now().Add(fatalErrorTimeout))
	id := ""
	if coded.Code != result.ShuttingDown { // an instance that stops refuses all its callers
		id = c.s.recordRefusal(coded)
	}
	_, _ = c.conn.Write(appendError(nil, "FATAL", coded, id))
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// startupAnswer is the answer to a valid startup packet.
func (c *callerConn) startupAnswer() []byte {
	out := encode(nil, &pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		out = encode(out, &pgproto3.ParameterStatus{Name: p.name, Value: c.reportedValue(p)})
	}
	out = encode(out, &pgproto3.ParameterStatus{Name: "session_authorization", Value: c.user})
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secretBytes(c.secret)})
	return encode(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}
