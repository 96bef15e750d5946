// Package proxy serves callers' sessions on typed statements: it keeps session
// state, routes statements to databases, admits, retries and says what became
// of a statement. It knows no protocol.
//
// Invariants: a write is sent at most once. An answer of a primary is passed on
// only while no other database can have replaced it. A refusal that says "not
// run" is given only if nothing was sent, or the database said so, or the
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

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/freshness"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/retry"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// CallerConn is the connection of a caller.
type CallerConn interface {
	// ReadStartup reads the database that the caller asks for.
	ReadStartup() (string, error)
	// ReadStatement reads the next statement; io.EOF means that the caller has left.
	ReadStatement() (statement.Statement, error)
	// Pending reports whether bytes of a message have arrived.
	Pending() bool
	// SetReadDeadline bounds the wait of ReadStartup and ReadStatement.
	SetReadDeadline(t time.Time) error
	SendReady() error
	SendRefusal(e *result.Error) error
	SendAnswer(a statement.Answer) error
	Close() error
}

// Config holds what a Server needs. All fields are required.
type Config struct {
	DataCentre    string
	Topology      *topology.Topology
	Records       *primacy.RecordCache
	Pools         *dbpool.Set
	Now           func() time.Duration // counts suspension
	Log           zerolog.Logger
	NewCallerConn func(net.Conn) CallerConn
	Metrics       *measure.Registry
	// MaxSessions bounds the callers' connections.
	MaxSessions int
	// LeavingPrimaryTimeout is how long a leaving primary may still get work
	// while no other database has taken over.
	LeavingPrimaryTimeout time.Duration
}

// stage is how far a shutdown has come.
type stage int32

const (
	serving stage = iota
	closingIdle
	rollingBackOpen
	closingAll
)

// Server serves callers.
type Server struct {
	cfg         Config
	budgets     *retry.Budgets
	started     time.Duration
	stage       atomic.Int32
	closeIdle   atomic.Bool // idle sessions are closed, and others once they are idle
	lastSession atomic.Uint64
	// limitWarnings bounds the lines about connections beyond MaxSessions.
	limitWarnings rate.Sometimes

	mu        sync.Mutex
	sessions  map[*session]struct{}
	histories map[string]*freshness.History
	allEnded  chan struct{} // closed when the last session ends after closingIdle
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

// acceptRetryDelay is the pause after a failed accept, such as for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.cfg.Log.Warn().Err(err).Msg("A connection was not accepted.")
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
		_ = conn.Close() // the caller comes back, here or at another instance
		s.limitWarnings.Do(func() {
			s.cfg.Log.Warn().Int("max_sessions", s.cfg.MaxSessions).Msg("Connections are closed at once; there are too many.")
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
		sess.run()
		s.mu.Lock()
		delete(s.sessions, sess)
		s.signalAllEnded()
		s.mu.Unlock()
	})
}

// signalAllEnded reports that no session is left during a shutdown. s.mu is held.
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

// history returns the positions seen at the primary of a service.
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

// ShutdownSchedule is the schedule of a shutdown, counted from its start.
type ShutdownSchedule struct {
	CloseIdle    time.Duration // idle sessions are closed from here on
	RollBackOpen time.Duration // open transactions are rolled back
	CloseAll     time.Duration // all sessions are closed
}

// Shutdown ends all sessions on the schedule. The caller stops new connections
// before CloseIdle. It returns when no session is left or the schedule is over.
func (s *Server) Shutdown(ctx context.Context, d ShutdownSchedule) {
	begun := time.Now()
	for _, step := range []struct {
		at    time.Duration
		stage stage
	}{{d.CloseIdle, closingIdle}, {d.RollBackOpen, rollingBackOpen}, {d.CloseAll, closingAll}} {
		t := time.NewTimer(time.Until(begun.Add(step.at)))
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

// SetCloseIdle starts or stops closing sessions that are idle.
func (s *Server) SetCloseIdle(on bool) {
	if s.closeIdle.Swap(on) == on || !on {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Log.Warn().Int("sessions", len(s.sessions)).Msg("Idle sessions are closed; this instance can't serve them.")
	for sess := range s.sessions {
		_ = sess.conn.SetReadDeadline(expiredDeadline) // fails only if the session has ended
	}
}

// closesIdle reports that idle sessions are to be closed.
func (s *Server) closesIdle() bool {
	return s.closeIdle.Load() || stage(s.stage.Load()) >= closingIdle
}

// enterStage begins a stage of the shutdown and wakes the sessions that wait for
// their callers.
func (s *Server) enterStage(to stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stage.Store(int32(to))
	s.cfg.Log.Info().Int("sessions", len(s.sessions)).Int("stage", int(to)).Msg("The shutdown goes on.")
	for sess := range s.sessions {
		if to == closingAll {
			_ = sess.conn.Close() // the session ends whatever this returns
			continue
		}
		_ = sess.conn.SetReadDeadline(expiredDeadline) // fails only if the session has ended
	}
	s.signalAllEnded()
}

var expiredDeadline = time.Unix(1, 0)
