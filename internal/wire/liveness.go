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

// A peer that sent nothing for silenceLimit while calls to it are outstanding
// is probed. If nothing arrives within probeTimeout either, the connection is
// closed, which fails the outstanding calls.
const (
	silenceLimit = 1 * time.Second
	probeTimeout = 1 * time.Second
)

// probePath is the path that every Server answers with an empty response.
const probePath = "/probe"

// errPeerSilent is the error of reads from a connection that was closed because
// the peer did not answer a probe.
var errPeerSilent = errors.New("peer did not answer a probe")

// conn records when bytes were last received. It leaves its lane when it is
// closed.
type conn struct {
	net.Conn
	lane   *lane
	heard  atomic.Int64 // nanoseconds of the lane's clock
	silent atomic.Bool  // closed because the peer did not answer
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(c.lane.now())
	}
	if err != nil && c.silent.Load() {
		err = errPeerSilent
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.lane.remove(c)
	return c.Conn.Close()
}

// now returns nanoseconds of a monotonic clock.
func (l *lane) now() int64 { return int64(time.Since(l.created)) }

// begin counts a call. The first outstanding call starts the watch.
func (l *lane) begin() {
	if l.outstanding.Add(1) > 1 {
		return
	}
	l.busySince.Store(l.now())
	l.watch()
}

func (l *lane) end() { l.outstanding.Add(-1) }

// watch arms the timer unless it is armed. An armed timer outlives the calls, so
// a lane in use costs one timer event per silenceLimit and not one per call.
func (l *lane) watch() {
	if l.watching.CompareAndSwap(false, true) {
		time.AfterFunc(silenceLimit, l.check)
	}
}

// check runs on the timer. It probes if calls are outstanding and the peer has
// been silent since they began.
func (l *lane) check() {
	if l.outstanding.Load() == 0 {
		l.watching.Store(false)
		if l.outstanding.Load() > 0 {
			l.watch()
		}
		return
	}
	quiet := time.Duration(0)
	if heard, open := l.lastHeard(); open {
		quiet = time.Duration(l.now() - max(heard, l.busySince.Load()))
	}
	if quiet >= silenceLimit {
		l.probe()
		quiet = 0
	}
	time.AfterFunc(silenceLimit-quiet, l.check)
}

// probe sends a probe and closes its connection if nothing is received on it
// within probeTimeout. A failure other than silence ends the connection by
// itself.
func (l *lane) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var used atomic.Pointer[conn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used.Store(c)
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+probePath, http.NoBody)
	if err != nil {
		return
	}
	sent := l.now()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if resp, err := l.transport.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	select {
	case <-answered:
	case <-ctx.Done():
	}
	c := used.Load()
	if ctx.Err() == nil || c == nil || c.heard.Load() >= sent {
		return
	}
	// A late timer shows that this process was paused. The answer may have
	// arrived and not been read yet, so the next check decides.
	if time.Duration(l.now()-sent) > probeTimeout+silenceLimit/2 {
		return
	}
	c.silent.Store(true)
	_ = c.Close()
}

// lastHeard returns when bytes were last received on any connection; open is
// false if there is none.
func (l *lane) lastHeard() (last int64, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		last = max(last, c.heard.Load())
	}
	return last, len(l.conns) > 0
}
