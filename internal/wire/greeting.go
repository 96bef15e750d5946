package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// greeting is what a server sends first on each connection. A client waits for it
// before its first request. If a middlebox accepts a connection for an instance
// that no longer runs, the dial fails, which proves that no request was run. The
// digit is the version of the protocol.
const greeting = "GBI1"

// greetingListener sends the greeting on each accepted connection.
type greetingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l greetingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(interface{ SetKeepAlive(bool) error }); ok {
		_ = tcp.SetKeepAlive(false) // see dialer
	}
	// The send buffer of a new connection holds four bytes, so this does not
	// block. The first read reports a failure.
	_, _ = io.WriteString(c, greeting)
	return c, nil
}

// dialer sends no TCP keep-alives, because idle connections to several thousand
// peers must cost no traffic. Idle connections are closed after a timeout, and
// peerTransport probes the connections in use.
var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}

// dial opens a connection and waits for the greeting. All errors are
// *net.OpError with Op "dial".
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := readGreeting(ctx, c); err != nil {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: c.RemoteAddr(), Err: err}
	}
	return c, nil
}

func readGreeting(ctx context.Context, c net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetReadDeadline(deadline)
	}
	var b [len(greeting)]byte
	if _, err := io.ReadFull(c, b[:]); err != nil {
		return fmt.Errorf("read greeting: %w", err)
	}
	if string(b[:]) != greeting {
		return fmt.Errorf("read greeting: got %q, want %q", b[:], greeting)
	}
	return c.SetReadDeadline(time.Time{})
}
