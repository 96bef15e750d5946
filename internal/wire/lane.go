package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errForgotten is the cause of a dial error after Clients.Forget.
var errForgotten = errors.New("the instance is not live")

// lane is the connection to an instance for one kind of work. It implements
// HTTPClient. While one connection closes gracefully, there may be another.
type lane struct {
	base      string // URL of the instance
	transport *http.Transport
	created   time.Time

	outstanding atomic.Int64
	busySince   atomic.Int64 // when outstanding was last raised from 0
	watching    atomic.Bool  // the timer of check is armed

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

func newLane(base string, idle time.Duration) *lane {
	l := &lane{base: base, created: time.Now(), conns: make(map[*conn]struct{})}
	l.transport = &http.Transport{
		Protocols:       unencryptedHTTP2(),
		DialContext:     l.dial,
		IdleConnTimeout: idle,
	}
	return l
}

// Do implements HTTPClient. The call is outstanding until the body is closed.
func (l *lane) Do(req *http.Request) (*http.Response, error) {
	l.begin()
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		l.end()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, lane: l}
	return resp, nil
}

// body ends its call when it is closed.
type body struct {
	io.ReadCloser
	lane *lane
	once sync.Once
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(b.lane.end)
	return b.ReadCloser.Close()
}

func (l *lane) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, lane: l}
	c.heard.Store(l.now())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = raw.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: errForgotten}
	}
	l.conns[c] = struct{}{}
	return c, nil
}

func (l *lane) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// closeIdle closes the connections without outstanding calls.
func (l *lane) closeIdle() { l.transport.CloseIdleConnections() }

// close closes all connections, which fails the outstanding calls, and lets no
// new one be opened.
func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	l.transport.CloseIdleConnections()
}
