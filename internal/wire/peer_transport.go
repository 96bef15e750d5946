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
var errForgotten = errors.New("instance was removed from the set of live instances")

// peerTransport is the HTTP/2 connection to an instance for one kind of work. It
// implements HTTPClient. A second connection may be open while the first one is
// closed gracefully.
type peerTransport struct {
	base          string // URL of the instance
	httpTransport *http.Transport
	created       time.Time

	outstanding atomic.Int64
	busySince   atomic.Int64 // when outstanding last rose from 0, on the clock of now
	timerArmed  atomic.Bool  // the timer of checkLiveness is armed

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

func newPeerTransport(base string, idle time.Duration) *peerTransport {
	t := &peerTransport{base: base, created: time.Now(), conns: make(map[*conn]struct{})}
	t.httpTransport = &http.Transport{
		Protocols:       unencryptedHTTP2(),
		DialContext:     t.dial,
		IdleConnTimeout: idle,
	}
	return t
}

// Do implements HTTPClient. The call is outstanding until the response body is
// closed.
func (t *peerTransport) Do(req *http.Request) (*http.Response, error) {
	t.callStarted()
	resp, err := t.httpTransport.RoundTrip(req)
	if err != nil {
		t.callEnded()
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, transport: t}
	return resp, nil
}

// responseBody ends its call when it is closed.
type responseBody struct {
	io.ReadCloser
	transport *peerTransport
	once      sync.Once
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.once.Do(b.transport.callEnded)
	return b.ReadCloser.Close()
}

func (t *peerTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, transport: t, out: newCoalescer()}
	c.lastReceived.Store(t.now())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = raw.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: errForgotten}
	}
	t.conns[c] = struct{}{}
	return c, nil
}

func (t *peerTransport) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// closeIdle closes connections that have no outstanding calls.
func (t *peerTransport) closeIdle() { t.httpTransport.CloseIdleConnections() }

// close closes all connections, which fails the outstanding calls, and prevents
// new ones.
func (t *peerTransport) close() {
	t.mu.Lock()
	t.closed = true
	open := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	t.httpTransport.CloseIdleConnections()
}
