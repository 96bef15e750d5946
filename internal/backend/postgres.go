package backend

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Config configures the connections to one database.
type Config struct {
	Address      string // host:port, after any address translation
	User         string
	Password     string
	DatabaseName string // database name in the startup packet
}

// connectTimeout limits opening a connection when the context has no earlier
// deadline. Opening usually takes about 12 ms.
const connectTimeout = 3 * time.Second

// closeTimeout limits sending Terminate when a connection is closed.
const closeTimeout = 50 * time.Millisecond

type postgres struct{ cfg Config }

// NewPostgres returns a Database that uses the PostgreSQL protocol and the SQL
// functions for group operations.
func NewPostgres(cfg Config) Database { return &postgres{cfg: cfg} }

// Connect implements Database.
func (p *postgres) Connect(ctx context.Context) (Conn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	return &workConn{serverConn: c}, nil
}

// ConnectControl implements Database.
func (p *postgres) ConnectControl(ctx context.Context) (ControlConn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	return &controlConn{serverConn: c}, nil
}

func (p *postgres) open(ctx context.Context) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	u := url.URL{
		Scheme: "postgres", Host: p.cfg.Address, Path: "/" + p.cfg.DatabaseName,
		User: url.UserPassword(p.cfg.User, p.cfg.Password), RawQuery: "sslmode=disable",
	}
	cfg, err := pgconn.ParseConfig(u.String())
	if err != nil {
		return nil, fmt.Errorf("parse configuration for database address %q: %w", p.cfg.Address, err)
	}
	cfg.RuntimeParams = map[string]string{"application_name": "geraniumbeam"}
	cfg.Fallbacks = nil
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.cfg.Address, err)
	}
	h, err := pc.Hijack()
	if err != nil {
		_ = pc.Close(ctx)
		return nil, fmt.Errorf("connect to %s: %w", p.cfg.Address, err)
	}
	if n := h.Frontend.ReadBufferLen(); n > 0 {
		_ = h.Conn.Close()
		return nil, fmt.Errorf("connect to %s: %d unexpected bytes after startup", p.cfg.Address, n)
	}
	s := &serverConn{
		conn: h.Conn, frames: newFrameReader(h.Conn), address: p.cfg.Address,
		pid: h.PID, secret: h.SecretKey,
	}
	s.initIdleCheck()
	return s, nil
}

// serverConn is a connection to a database after startup.
type serverConn struct {
	conn    net.Conn
	frames  *frameReader
	address string
	pid     uint32
	secret  []byte
	closed  atomic.Bool

	// Used by idle. Only one goroutine uses a connection at a time.
	hasSocket   bool
	raw         syscall.RawConn
	peekSocket  func(fd uintptr)
	socketEmpty bool // result of peekSocket
}

// watchContext applies the deadline and cancellation of ctx to the connection. The
// returned function ends that and reports whether the connection is still usable.
// After a cancellation it is not: the callback may still run and set the deadline
// while the connection is used for something else.
func (s *serverConn) watchContext(ctx context.Context) func() bool {
	deadline, _ := ctx.Deadline()
	_ = s.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetDeadline(time.Unix(1, 0)) })
	return stop
}

func (s *serverConn) close() {
	if s.closed.Swap(true) {
		return
	}
	_ = s.conn.SetDeadline(time.Now().Add(closeTimeout))
	if b, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		_, _ = s.conn.Write(b)
	}
	_ = s.conn.Close()
}

// idle reports whether the server has neither closed the connection nor sent
// anything. It peeks at the socket without blocking.
func (s *serverConn) idle() bool {
	if s.frames.buffered() {
		return false
	}
	if s.raw == nil {
		return !s.hasSocket
	}
	s.socketEmpty = false
	err := s.raw.Control(s.peekSocket)
	return err == nil && s.socketEmpty
}

// initIdleCheck prepares the socket for idle, so that idle allocates nothing. A
// connection without a socket always counts as idle.
func (s *serverConn) initIdleCheck() {
	sc, ok := s.conn.(syscall.Conn)
	if !ok {
		return
	}
	s.hasSocket = true
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	s.raw = raw
	b := make([]byte, 1)
	s.peekSocket = func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		s.socketEmpty = e == syscall.EAGAIN || e == syscall.EINTR
	}
}

// cancel sends a CancelRequest on a separate connection.
func (s *serverConn) cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", s.address, err)
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	b, err := (&pgproto3.CancelRequest{ProcessID: s.pid, SecretKey: s.secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", s.address, err)
	}
	if _, err := c.Write(b); err != nil {
		return fmt.Errorf("cancel on %s: %w", s.address, err)
	}
	// The server closes the connection once it has handled the request.
	var one [1]byte
	_, _ = c.Read(one[:])
	return nil
}

func decodeError(body []byte) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(body); err != nil {
		return fmt.Errorf("decode error response: %w", err)
	}
	return pgconn.ErrorResponseToPgError(&e)
}

func appendQuery(b []byte, sql string) []byte {
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+5))
	b = append(b, sql...)
	return append(b, 0)
}
