package wire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// If nothing is received for readIdleTimeout while calls are outstanding, the peer
// is probed. If nothing is received within probeTimeout either, the connection is
// closed, which fails the outstanding calls.
const (
	readIdleTimeout = 1 * time.Second
	probeTimeout    = 1 * time.Second
)

// probePath is the path that every Server answers with an empty response.
const probePath = "/probe"

// errProbeTimeout is returned by reads from a connection that was closed because
// the peer did not answer a probe.
var errProbeTimeout = errors.New("peer did not answer a liveness probe in time")

// conn records when bytes were last received. Closing it removes it from its
// peerTransport. Writes are not concurrent.
type conn struct {
	net.Conn
	transport     *peerTransport
	out           coalescer
	lastReceived  atomic.Int64 // on the clock of peerTransport.now
	probeTimedOut atomic.Bool  // closed because a probe was not answered
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReceived.Store(c.transport.now())
	}
	if err != nil && c.probeTimedOut.Load() {
		err = errProbeTimeout
	}
	return n, err
}

// Write implements net.Conn. It may delay bytes until the next write.
func (c *conn) Write(b []byte) (int, error) {
	out := c.out.next(b)
	if out == nil {
		return len(b), nil
	}
	n, err := c.Conn.Write(out)
	return max(0, n-(len(out)-len(b))), err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.transport.remove(c)
	return c.Conn.Close()
}

// now returns the monotonic time since t was created in nanoseconds.
func (t *peerTransport) now() int64 { return int64(time.Since(t.created)) }

// callStarted counts an outstanding call. The first one arms the liveness timer.
func (t *peerTransport) callStarted() {
	if t.outstanding.Add(1) > 1 {
		return
	}
	t.busySince.Store(t.now())
	t.armTimer()
}

func (t *peerTransport) callEnded() { t.outstanding.Add(-1) }

// armTimer arms the liveness timer unless it is armed. The timer stays armed when
// calls end, so a transport in use costs one timer event per readIdleTimeout and
// not one per call.
func (t *peerTransport) armTimer() {
	if t.timerArmed.CompareAndSwap(false, true) {
		time.AfterFunc(readIdleTimeout, t.checkLiveness)
	}
}

// checkLiveness runs on the timer. It probes the peer if calls have been outstanding
// for readIdleTimeout and nothing was received meanwhile.
func (t *peerTransport) checkLiveness() {
	if t.outstanding.Load() == 0 {
		t.timerArmed.Store(false)
		if t.outstanding.Load() > 0 {
			t.armTimer()
		}
		return
	}
	idle := time.Duration(0)
	if received, open := t.lastReceived(); open {
		idle = time.Duration(t.now() - max(received, t.busySince.Load()))
	}
	if idle >= readIdleTimeout {
		t.probe()
		idle = 0
	}
	time.AfterFunc(readIdleTimeout-idle, t.checkLiveness)
}

// probe sends a probe and closes its connection if nothing is received on it
// within probeTimeout. The connection closes itself on any other failure.
func (t *peerTransport) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var used atomic.Pointer[conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used.Store(c)
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+probePath, http.NoBody)
	if err != nil {
		return
	}
	sent := t.now()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if resp, err := t.httpTransport.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	select {
	case <-answered:
	case <-ctx.Done():
	}
	c := used.Load()
	if ctx.Err() == nil || c == nil || c.lastReceived.Load() >= sent {
		return
	}
	// A late timer shows that this process was suspended. The answer may have
	// arrived without being read, so the next check decides.
	if time.Duration(t.now()-sent) > probeTimeout+readIdleTimeout/2 {
		return
	}
	c.probeTimedOut.Store(true)
	_ = c.Close()
}

// lastReceived returns when bytes were last received on any connection. open is
// false if there is no connection.
func (t *peerTransport) lastReceived() (last int64, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		last = max(last, c.lastReceived.Load())
	}
	return last, len(t.conns) > 0
}
