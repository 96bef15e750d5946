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
// phase beyond the configured limit. Cancellation requests, and callers that
// reconnect after their encryption request was refused, need some of them when the
// limit is small.
const extraStartingConns = 100

// Timeouts of writes to callers.
const (
	// writeTimeout closes the connection of a caller that does not read its
	// answer, because the answer stays in memory until it is sent.
	writeTimeout = 60 * time.Second
	// fatalErrorTimeout limits the write of the error that ends a connection.
	fatalErrorTimeout = 1 * time.Second
)

// callerConn is the connection of one caller. It is served by one goroutine. Other
// goroutines may use inFlight and, under mu, the fields below mu.
type callerConn struct {
	server  *Server
	conn    net.Conn
	reader  messageReader
	pid     uint32
	secret  uint32
	user    string
	service string

	startupParams     proxyParams // set at startup, restored by RESET
	params            proxyParams
	reportedOverrides map[string]string // reported values that differ from the defaults, by name
	floors            session.Floors
	statements        map[string]*preparedStatement
	tx                *transaction
	skipUntilSync     error // set after an error at a Flush: messages up to Sync are refused with it
	txFailed          bool  // the transaction was rolled back by this server, and the caller has not ended it yet

	inFlight atomic.Pointer[inFlightRequest]

	mu       sync.Mutex
	idle     bool // waits for a batch outside a transaction
	draining bool
}

func (s *Server) serveCaller(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.startingConns.Add(1) > int64(s.cfg.Settings.Callers.MaxConnections)+extraStartingConns {
		s.startingConns.Add(-1)
		return
	}
	c := &callerConn{server: s, conn: conn}
	c.reader.conn, c.reader.maxBody = conn, s.cfg.Settings.Callers.MaxMessage
	if !c.connectCounted() {
		return
	}
	defer s.unregister(c)
	defer c.endTransaction()
	if err := c.serve(); err != nil {
		c.fatal(err)
	}
}

// connectCounted calls connect and removes the connection from those that are starting,
// also after a panic.
func (c *callerConn) connectCounted() bool {
	defer c.server.startingConns.Add(-1)
	return c.connect()
}

// connect runs the startup phase and registers the connection. It returns false if
// the connection is to be closed.
func (c *callerConn) connect() bool {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.cfg.Settings.Callers.StartupTimeout.Std()))
	given, err := c.server.readStartup(c.conn)
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
	full, draining := c.server.register(c)
	switch {
	case draining:
		c.fatal(errShuttingDown)
		return false
	case full:
		c.fatal(result.Errorf(result.ConnectionsBusy, "too many connections: the limit is %d",
			c.server.cfg.Settings.Callers.MaxConnections))
		return false
	}
	if c.write(c.startupAnswer()) != nil {
		c.server.unregister(c)
		return false
	}
	_ = c.conn.SetDeadline(time.Time{})
	return true
}

var errShuttingDown = result.Errorf(result.ShuttingDown, "the instance is shutting down: connect again")

// serve answers batches until the caller disconnects. The returned error is sent
// to the caller if the connection is still open.
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

// waitForBatch waits for the first byte of a batch and returns it, which is a
// message type. Drain interrupts the wait only
// between batches outside a transaction.
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

// startDrain closes the connection at once if it is idle, otherwise after the
// current request or transaction.
func (c *callerConn) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// sendAnswer sends the complete answer to a batch, which ends with ReadyForQuery.
// For a batch that was ended by Flush it removes ReadyForQuery and, if the answer
// has an error, makes the connection skip all messages up to the next Sync.
func (c *callerConn) sendAnswer(b *batch, out []byte) error {
	if b.endedByFlush {
		out = out[:len(out)-readyForQueryLength]
		if firstError(out) != "" {
			c.skipUntilSync = result.Errorf(result.ProtocolViolation, "message skipped after an error")
		}
	}
	return c.write(out)
}

// write sends all of b. An error ends the connection.
func (c *callerConn) write(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err
}

// fatal sends the error that ends the connection, unless the caller has disconnected.
func (c *callerConn) fatal(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		if !isTimeout(err) {
			return
		}
		coded = result.Errorf(result.BadStartup, "no complete startup packet received within %s",
			c.server.cfg.Settings.Callers.StartupTimeout.Std())
	}
	_ = c.conn.SetDeadline(time.Now().Add(fatalErrorTimeout))
	id := ""
	if coded.Code != result.ShuttingDown { // a shutdown is no refusal of a single caller
		id = c.server.recordRefusal(coded)
	}
	_, _ = c.conn.Write(appendError(nil, "FATAL", coded, id))
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// startupAnswer encodes the messages that follow a valid startup packet.
func (c *callerConn) startupAnswer() []byte {
	out := encode(nil, &pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		out = encode(out, &pgproto3.ParameterStatus{Name: p.name, Value: c.reportedValue(p)})
	}
	out = encode(out, &pgproto3.ParameterStatus{Name: "session_authorization", Value: c.user})
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secretBytes(c.secret)})
	return encode(out, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}
