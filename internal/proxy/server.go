// Package proxy serves the sessions of callers: it keeps session state, routes
// statements to databases, applies admission control, retries, and determines the
// outcome of each statement. It does not depend on a wire protocol.
//
// Invariants: a write is sent at most once. An answer of a primary is passed on
// only while no other database can have replaced it. A refusal states that the
// statement was not run only if nothing was sent, or the database said so, or the
// transaction was rolled back before its commit was sent. Nothing is sent to a
// caller that has no request outstanding.
package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/freshness"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/retry"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// CallerConn is a connection from a caller. It implements the wire protocol.
type CallerConn interface {
	// ReadStartup reads the startup message and returns the name of the requested
	// database and the digest of the caller's key.
	ReadStartup() (database string, key organisation.Digest, err error)
	// ReadStatement reads the next statement. It returns io.EOF if the caller has
	// ended the session.
	ReadStatement() (statement.Statement, error)
	// Pending reports whether part of a message has arrived.
	Pending() bool
	// Peek looks at the connection without blocking and without reading from it. It may
	// be called while another method runs.
	Peek() sockets.State
	// SetReadDeadline bounds the wait of ReadStartup and ReadStatement.
	SetReadDeadline(t time.Time) error
	// SendReady tells the caller that the session is open.
	SendReady() error
	// SendRefusal tells the caller why the session ends.
	SendRefusal(e *result.Error) error
	SendAnswer(a statement.Answer) error
	Close() error
}

// Config holds what a Server needs. All fields but Distances and Limiter are required.
type Config struct {
	DataCentre    string
	Topology      *topology.Topology
	Records       *primacy.RecordCache
	Pools         *dbpool.Set
	Now           func() time.Duration // monotonic clock that includes suspension
	Log           zerolog.Logger
	NewCallerConn func(net.Conn) CallerConn
	Metrics       *measure.Registry
	// MaxSessions bounds the number of connections from callers.
	MaxSessions int
	// LeavingPrimaryTimeout is how long a primary that is leaving may still get
	// work while no other database has been promoted.
	LeavingPrimaryTimeout time.Duration
	// Distances is nil if the deployment has one region. Otherwise reads are spread over
	// the databases by distance and free capacity.
	Distances *distance.Times
	// Limiter enforces the limits of organisations; nil means that there are none.
	Limiter Limiter
}

// stage is the progress of a shutdown.
type stage int32

const (
	serving stage = iota
	closingIdle
	rollingBackOpen
	closingAll
)

// Server serves the sessions of callers.
type Server struct {
	cfg         Config
	budgets     *retry.Budgets
	started     time.Duration
	stage       atomic.Int32
	closeIdle   atomic.Bool // sessions are closed when idle
	lastSession atomic.Uint64
	// limitWarnings limits the rate of warnings about connections beyond
	// MaxSessions.
	limitWarnings rate.Sometimes
	organisations organisationCounts

	mu        sync.Mutex
	sessions  map[*session]struct{}
	histories map[string]*freshness.History
	allEnded  chan struct{} // closed during a shutdown, when the last session has ended
	wg        sync.WaitGroup
}

// New returns a server; Serve starts it.
func New(cfg Config) *Server {
	return &Server{
		cfg:           cfg,
		budgets:       retry.NewBudgets(),
		started:       cfg.Now(),
		limitWarnings: rate.Sometimes{Interval: time.Second},
		sessions:      make(map[*session]struct{}),
		histories:     make(map[string]*freshness.History),
		allEnded:      make(chan struct{}),
	}
}

// acceptRetryDelay is the delay after a failed accept, for example when the
// process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections from callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.cfg.Log.Warn().Err(err).Msg("Failed to accept a connection.")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startSession(conn)
	}
}

func (s *Server) startSession(conn net.Conn) {
	s.mu.Lock()
	full := len(s.sessions) >= s.cfg.MaxSessions
	s.mu.Unlock()
	if full {
		_ = conn.Close() // the caller reconnects, to this or another instance
		s.limitWarnings.Do(func() {
			s.cfg.Log.Warn().Int("max_sessions", s.cfg.MaxSessions).Msg("The session limit is reached; new connections are closed.")
		})
		return
	}
	sess := &session{
		srv: s, conn: s.cfg.NewCallerConn(conn), number: s.lastSession.Add(1),
		variables: make(map[string]string), prepared: make(map[string]dbpool.PreparedStatement),
	}
	s.mu.Lock()
	s.sessions[sess] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		contain.Run(s.cfg.Log, "session", sess.run)
		s.mu.Lock()
		delete(s.sessions, sess)
		s.signalAllEnded()
		s.mu.Unlock()
	})
}

// rollBack rolls back the open transaction of a lease in the background.
func (s *Server) rollBack(lease *dbpool.Lease) {
	go contain.Run(s.cfg.Log, "rollback", func() { lease.Rollback(time.Now().Add(rollbackTimeout)) })
}

// signalAllEnded closes allEnded if a shutdown has begun and no session is left.
// s.mu is held.
func (s *Server) signalAllEnded() {
	if stage(s.stage.Load()) == serving || len(s.sessions) > 0 {
		return
	}
	select {
	case <-s.allEnded:
	default:
		close(s.allEnded)
	}
}

// history returns the history of positions reported by the primary of a service.
func (s *Server) history(service string) *freshness.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histories[service]
	if !ok {
		h = &freshness.History{}
		s.histories[service] = h
	}
	return h
}

// ShutdownSchedule sets when the stages of a shutdown begin, as times since its
// start.
type ShutdownSchedule struct {
	CloseIdle    time.Duration // start closing idle sessions
	RollBackOpen time.Duration // roll back open transactions
	CloseAll     time.Duration // close all sessions
}

// Shutdown ends all sessions as scheduled. The listener must be closed by
// CloseIdle. Shutdown returns when no session is left or CloseAll has passed.
func (s *Server) Shutdown(ctx context.Context, schedule ShutdownSchedule) {
	start := time.Now()
	for _, step := range []struct {
		at    time.Duration
		stage stage
	}{{schedule.CloseIdle, closingIdle}, {schedule.RollBackOpen, rollingBackOpen}, {schedule.CloseAll, closingAll}} {
		t := time.NewTimer(time.Until(start.Add(step.at)))
		select {
		case <-t.C:
		case <-s.allEnded:
		case <-ctx.Done():
		}
		t.Stop()
		s.enterStage(step.stage)
		select {
		case <-s.allEnded:
			return
		default:
		}
	}
}

// SetCloseIdle starts or stops closing idle sessions. Other sessions are closed
// when they become idle.
func (s *Server) SetCloseIdle(on bool) {
	if s.closeIdle.Swap(on) == on || !on {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Log.Warn().Int("sessions", len(s.sessions)).Msg("This instance can't serve requests; closing idle sessions.")
	for sess := range s.sessions {
		_ = sess.conn.SetReadDeadline(expiredDeadline) // fails only if the session has ended
	}
}

// closesIdle reports whether idle sessions are to be closed.
func (s *Server) closesIdle() bool {
	return s.closeIdle.Load() || stage(s.stage.Load()) >= closingIdle
}

// enterStage begins a stage of the shutdown. Sessions that wait for their callers
// wake up and act on the stage; closingAll closes their connections.
func (s *Server) enterStage(to stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage.Store(int32(to))
	s.cfg.Log.Info().Int("sessions", len(s.sessions)).Int("stage", int(to)).Msg("The next stage of the shutdown has begun.")
	for sess := range s.sessions {
		if to == closingAll {
			_ = sess.conn.Close() // the session ends even if this fails
			continue
		}
		_ = sess.conn.SetReadDeadline(expiredDeadline) // fails only if the session has ended
	}
	s.signalAllEnded()
}

// expiredDeadline makes a read return at once.
var expiredDeadline = time.Unix(1, 0)
