package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// serverIdleTimeout exceeds the idle timeouts of clients. Otherwise a client
	// could send a call on a connection that the server is closing.
	serverIdleTimeout = 2 * time.Minute

	headerTimeout = 10 * time.Second
)

// maxStreams limits the outstanding calls on one connection.
const maxStreams = 10000

// Server serves the internal protocol on one listener.
type Server struct {
	http         *http.Server
	lastPoolCall atomic.Int64 // Unix time of the last Pool call in nanoseconds
}

// NewServer returns a server for the given services; a nil service is not
// served.
func NewServer(pool Pool, p Peer, admin Admin) *Server {
	server := &Server{}
	mux := http.NewServeMux()
	mux.HandleFunc(probePath, func(http.ResponseWriter, *http.Request) {})
	if pool != nil {
		s := NewPoolServer(pool)
		mux.Handle(s.PathPrefix(), server.recordPoolCalls(s))
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
		IdleTimeout:       serverIdleTimeout,
		ReadHeaderTimeout: headerTimeout,
	}
	return server
}

func (s *Server) recordPoolCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.lastPoolCall.Store(time.Now().UnixNano())
		next.ServeHTTP(w, r)
	})
}

// WaitIdle returns when no Pool call has arrived for d. A draining instance calls
// it before Shutdown, because the sender of a call that arrives while its
// connection closes cannot tell whether the call was processed.
func (s *Server) WaitIdle(ctx context.Context, d time.Duration) error {
	for {
		idle := time.Since(time.Unix(0, s.lastPoolCall.Load()))
		if idle >= d {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %v without calls from peers: %w", d, ctx.Err())
		case <-time.After(d - idle):
		}
	}
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(greetingListener{l})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve internal protocol: %w", err)
}

// Shutdown stops accepting calls and waits until calls in flight are answered. A
// peer whose call arrives later is told that it was not processed.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
