// Package entry serves callers over the PostgreSQL protocol and sends their
// batches to the connection pools of the instances that own the databases. The
// instance that a caller is connected to is the entry instance of its requests.
//
// Invariants: an answer is sent to the caller completely or not at all. A request
// is reported as not run only if no pool can have run it. All statements of a
// transaction go to the same pool.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/retry"
	"geraniumbeam/internal/session"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

// PoolClients makes clients for the pools of other instances. *wire.Clients
// implements it.
type PoolClients interface {
	// Pool returns the client for urgent requests and control calls.
	Pool(address string) wire.Pool
	// BulkPool returns the client for all other requests.
	BulkPool(address string) wire.Pool
}

// Config holds what a Server needs. All fields are required.
type Config struct {
	Settings  settings.Settings
	Directory *directory.Directory
	Clients   PoolClients
	Metrics   *metrics.Registry
	Events    events.Recorder
	Log       zerolog.Logger
	Clock     clock.Clock
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	keys     *session.Keys
	budgets  *retry.Budgets
	loads    *reportedLoads
	breakers *breakers
	resolver *resolver

	primaryCalls *primaryCalls
	transactions *openTransactions

	requestSequence atomic.Uint64
	requestIDPrefix string

	startingConns atomic.Int64 // connections in their startup phase

	ctx         context.Context // parent of the contexts of calls to pools
	cancelCalls context.CancelFunc

	mu        sync.Mutex
	callers   map[uint32]*callerConn
	listeners map[net.Listener]struct{}
	draining  bool
	noCallers chan struct{} // closed when the server drains and the last caller has disconnected

	background sync.WaitGroup
}

// New returns a server. It accepts connections once Serve is called.
func New(cfg Config) *Server {
	s := &Server{
		cfg:          cfg,
		keys:         session.NewKeys(cfg.Settings.SessionKey, cfg.Settings.PreviousSessionKeys...),
		budgets:      retry.NewBudgets(),
		loads:        newReportedLoads(),
		breakers:     newBreakers(),
		transactions: newOpenTransactions(),

		primaryCalls: newPrimaryCalls(),

		requestIDPrefix: fmt.Sprintf("%s-%x", cfg.Settings.Instance, rand.Uint32()),
		callers:         make(map[uint32]*callerConn),
		listeners:       make(map[net.Listener]struct{}),
		noCallers:       make(chan struct{}),
	}
	s.ctx, s.cancelCalls = context.WithCancel(context.Background())
	s.resolver = newResolver(s)
	return s
}

// Callers returns the number of caller connections.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// Serve accepts callers until ctx ends, l is closed or Drain is called. Unless
// the server drains, it closes the connections of the callers when it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	s.background.Go(func() { s.runKeepAlive(ctx) })
	s.background.Go(func() { s.cancelSuperseded(ctx) })
	for {
		conn, err := l.Accept()
		if err != nil && isTemporary(err) {
			s.cfg.Log.Warn().Err(err).Msg("A connection could not be accepted.")
			<-s.cfg.Clock.After(acceptRetryDelay)
			continue
		}
		if err != nil {
			return s.handleAcceptError(ctx, err)
		}
		s.background.Go(func() {
			// serveCaller's deferred calls end the session before the panic arrives here.
			contain.Run(s.cfg.Log, "caller's session", func() { s.serveCaller(conn) })
		})
	}
}

// acceptRetryDelay keeps the accept loop from using all of a core while there are no
// free file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// isTemporary reports whether an accept error is transient.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

func (s *Server) handleAcceptError(ctx context.Context, err error) error {
	if s.isDraining() {
		<-s.noCallers
		return nil
	}
	s.beginDrain()
	s.closeCallers()
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("accept callers: %w", err)
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Drain stops accepting and waits for requests in flight and open transactions
// until ctx ends. It then closes the remaining connections, and returns when all
// goroutines have ended. Idle connections get a FATAL error with
// result.ShuttingDown. It returns an error if ctx ended before all connections
// were closed.
func (s *Server) Drain(ctx context.Context) error {
	s.beginDrain()
	defer s.background.Wait()
	defer s.cancelCalls()
	select {
	case <-s.noCallers:
		return nil
	case <-ctx.Done():
	}
	n := s.closeCallers()
	if n == 0 {
		return nil
	}
	return fmt.Errorf("drain: closed %d connections that were in use: %w", n, ctx.Err())
}

func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for _, c := range s.callers {
		c.startDrain()
	}
	if len(s.callers) == 0 {
		close(s.noCallers)
	}
	s.cfg.Events.Record(events.Event{
		Kind: events.KindDrain, Text: fmt.Sprintf("stopped accepting with %d callers connected", len(s.callers)),
	})
}

// closeCallers closes all connections, cancels the calls to pools that they wait
// for, and returns the number of connections.
func (s *Server) closeCallers() int {
	s.cancelCalls()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
	return len(s.callers)
}

// register assigns a process id and a secret key to the connection and adds it. It
// does not if the connection limit is reached (full) or the server drains.
func (s *Server) register(c *callerConn) (full, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false, true
	}
	if len(s.callers) >= s.cfg.Settings.Callers.MaxConnections {
		return true, false
	}
	for c.pid == 0 || s.callers[c.pid] != nil {
		c.pid = rand.Uint32() & 0x7fffffff
	}
	c.secret = rand.Uint32()
	s.callers[c.pid] = c
	return false, false
}

func (s *Server) unregister(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers[c.pid] != c {
		return
	}
	delete(s.callers, c.pid)
	if s.draining && len(s.callers) == 0 {
		close(s.noCallers)
	}
}

// requestID returns a request id that is unique across instances and restarts.
func (s *Server) requestID() string {
	return fmt.Sprintf("%s-%x", s.requestIDPrefix, s.requestSequence.Add(1))
}

func (s *Server) now() time.Time { return s.cfg.Clock.Now() }

func (s *Server) record(e events.Event) { s.cfg.Events.Record(e) }
