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
	// serverIdleTimeout exceeds the idle timeouts of clients, so that a client
	// does not send a call on a connection that the server is closing.
	serverIdleTimeout = 2 * time.Minute

	headerTimeout = 10 * time.Second
)

// maxStreams bounds the calls that one peer has outstanding on a connection.
const maxStreams = 10000

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
	mux.HandleFunc(probePath, func(http.ResponseWriter, *http.Request) {})
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
		IdleTimeout:       serverIdleTimeout,
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

// WaitIdle returns when no Pool call arrived for d. A draining instance calls
// it before Shutdown: a call that arrives while a connection closes could not
// be told from one that was processed.
func (s *Server) WaitIdle(ctx context.Context, d time.Duration) error {
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
