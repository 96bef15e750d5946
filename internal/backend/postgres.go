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

// Config says how to reach one database.
type Config struct {
	Address      string // host:port, after any address translation
	User         string
	Password     string
	DatabaseName string // database name in the startup packet
}

// connectTimeout bounds opening a connection when the context has no earlier
// deadline. Opening takes about 12 ms in the environment.
const connectTimeout = 3 * time.Second

// closeTimeout bounds sending Terminate on a connection that is closed.
const closeTimeout = 50 * time.Millisecond

type postgres struct{ cfg Config }

// NewPostgres returns the adapter for a database that speaks the PostgreSQL
// protocol and offers the group functions.
func NewPostgres(cfg Config) Database { return &postgres{cfg: cfg} }

// Connect implements Database.
func (p *postgres) Connect(ctx context.Context) (Conn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	return &workConn{link: c}, nil
}

// ConnectControl implements Database.
func (p *postgres) ConnectControl(ctx context.Context) (ControlConn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	return &control{link: c}, nil
}

func (p *postgres) open(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	u := url.URL{
		Scheme: "postgres", Host: p.cfg.Address, Path: "/" + p.cfg.DatabaseName,
		User: url.UserPassword(p.cfg.User, p.cfg.Password), RawQuery: "sslmode=disable",
	}
	cfg, err := pgconn.ParseConfig(u.String())
	if err != nil {
		return nil, fmt.Errorf("database address %q: %w", p.cfg.Address, err)
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
	l := &link{
		conn: h.Conn, frames: newFrameReader(h.Conn), address: p.cfg.Address,
		pid: h.PID, secret: h.SecretKey,
	}
	l.prepareIdle()
	return l, nil
}

// link is an open connection after startup.
type link struct {
	conn    net.Conn
	frames  *frameReader
	address string
	pid     uint32
	secret  []byte
	closed  atomic.Bool

	// For idle; one goroutine uses a link at a time.
	checked bool // the connection has a socket
	raw     syscall.RawConn
	look    func(fd uintptr)
	empty   bool // result of look
}

// guard applies the deadline and cancellation of ctx to the connection. The
// returned function ends that and reports whether the connection is still
// usable; after a cancellation it is not, because the cancellation may set the
// deadline of a later use.
func (l *link) guard(ctx context.Context) func() bool {
	deadline, _ := ctx.Deadline()
	_ = l.conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
	return stop
}

func (l *link) close() {
	if l.closed.Swap(true) {
		return
	}
	_ = l.conn.SetDeadline(time.Now().Add(closeTimeout))
	if b, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		_, _ = l.conn.Write(b)
	}
	_ = l.conn.Close()
}

// idle reports whether the peer has neither closed the connection nor sent
// anything. It looks at the socket without blocking.
func (l *link) idle() bool {
	if l.frames.buffered() {
		return false
	}
	if l.raw == nil {
		return !l.checked
	}
	l.empty = false
	err := l.raw.Control(l.look)
	return err == nil && l.empty
}

// prepareIdle makes what idle needs on each use of the connection. A connection
// without a socket is always taken as idle.
func (l *link) prepareIdle() {
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return
	}
	l.checked = true
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	l.raw = raw
	b := make([]byte, 1)
	l.look = func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		l.empty = e == syscall.EAGAIN || e == syscall.EINTR
	}
}

// cancel sends a CancelRequest on a connection of its own.
func (l *link) cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, connectTimeout)
	defer stop()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	b, err := (&pgproto3.CancelRequest{ProcessID: l.pid, SecretKey: l.secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	if _, err := c.Write(b); err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	// The server closes the connection once it has handled the request.
	var one [1]byte
	_, _ = c.Read(one[:])
	return nil
}

func decodeError(body []byte) error {
	var e pgproto3.ErrorResponse
	if err := e.Decode(body); err != nil {
		return fmt.Errorf("error response: %w", err)
	}
	return pgconn.ErrorResponseToPgError(&e)
}

func appendQuery(b []byte, sql string) []byte {
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+5))
	b = append(b, sql...)
	return append(b, 0)
}
