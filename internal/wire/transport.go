package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts of the transport. A peer that does not answer a ping in time is
// disconnected, which fails the calls that are outstanding.
const (
	dialTimeout = 500 * time.Millisecond
	readIdle    = 1 * time.Second
	pingTimeout = 1 * time.Second
	idleTimeout = 2 * time.Minute

	// controlIdleTimeout exceeds the time in which membership visits each of
	// its partners, so that their connections stay open.
	controlIdleTimeout = 30 * time.Second

	headerTimeout = 10 * time.Second
)

// maxStreams bounds the calls that one peer has outstanding.
const maxStreams = 10000

// Clients keeps one HTTP/2 connection to each instance and makes clients for
// its services. It is safe for concurrent use.
type Clients struct {
	dial    func(address string) string // address translation, may be nil
	control bool

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	transport *http.Transport
	pool      Pool
	peer      Peer
	admin     Admin
}

// NewClients returns an empty set. translate maps an address to the one that
// is dialed; nil leaves addresses as they are.
func NewClients(translate func(string) string) *Clients {
	return &Clients{dial: translate, peers: make(map[string]*peer)}
}

// NewControlClients is NewClients for control messages. Their connections send
// no pings and close sooner: each control call has its own short timeout, and
// pings on connections to many peers would cost more than the calls.
func NewControlClients(translate func(string) string) *Clients {
	c := NewClients(translate)
	c.control = true
	return c
}

// Pool returns the Pool client of the instance at address.
func (c *Clients) Pool(address string) Pool { return c.get(address).pool }

// Peer returns the Peer client of the instance at address.
func (c *Clients) Peer(address string) Peer { return c.get(address).peer }

// Admin returns the Admin client of the instance at address.
func (c *Clients) Admin(address string) Admin { return c.get(address).admin }

// Forget closes the idle connection to address and drops its clients.
func (c *Clients) Forget(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.transport.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.transport.CloseIdleConnections()
	}
}

func (c *Clients) get(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok {
		return p
	}
	p := newPeer(c.target(address), c.control)
	c.peers[address] = p
	return p
}

func (c *Clients) target(address string) string {
	if c.dial == nil {
		return address
	}
	return c.dial(address)
}

func newPeer(target string, control bool) *peer {
	t := &http.Transport{
		Protocols:       unencryptedHTTP2(),
		DialContext:     dial,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: readIdle, PingTimeout: pingTimeout},
	}
	if control {
		t.HTTP2 = nil
		t.IdleConnTimeout = controlIdleTimeout
	}
	h := &http.Client{Transport: t}
	base := "http://" + target
	return &peer{
		transport: t,
		pool:      NewPoolProtobufClient(base, h),
		peer:      NewPeerProtobufClient(base, h),
		admin:     NewAdminProtobufClient(base, h),
	}
}

// Server serves the internal protocol on one listener.
type Server struct {
	http     *http.Server
	lastPool atomic.Int64 // time of the last Pool call, nanoseconds of the Unix time
}

// NewServer returns a server for the given services; a nil service is not
// served.
func NewServer(pool Pool, p Peer, admin Admin) *Server {
	server := &Server{}
	mux := http.NewServeMux()
	if pool != nil {
		s := NewPoolServer(pool)
		mux.Handle(s.PathPrefix(), server.notePoolCalls(s))
	}
	if p != nil {
		s := NewPeerServer(p)
		mux.Handle(s.PathPrefix(), s)
	}
	if admin != nil {
		s := NewAdminServer(admin)
		mux.Handle(s.PathPrefix(), s)
	}
	server.http = &http.Server{
		Handler:           http.MaxBytesHandler(mux, MaxMessage),
		Protocols:         unencryptedHTTP2(),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		IdleTimeout:       idleTimeout,
		ReadHeaderTimeout: headerTimeout,
	}
	return server
}

func (s *Server) notePoolCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.lastPool.Store(time.Now().UnixNano())
		next.ServeHTTP(w, r)
	})
}

// WaitQuiet returns when no Pool call arrived for d. A draining instance calls
// it before Shutdown: a call that arrives while a connection closes could not
// be told from one that was processed.
func (s *Server) WaitQuiet(ctx context.Context, d time.Duration) error {
	for {
		quiet := time.Since(time.Unix(0, s.lastPool.Load()))
		if quiet >= d {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("peers still send work: %w", ctx.Err())
		case <-time.After(d - quiet):
		}
	}
}

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(greetingListener{l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve internal protocol: %w", err)
}

// Shutdown stops accepting calls and waits until those in flight are answered.
// A peer whose call arrives later learns that it was not processed.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
