package pool

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

// idleTimeout is how long a connection beyond the warm ones stays open unused.
const idleTimeout = 30 * time.Second

// connectTimeout bounds opening a connection.
const connectTimeout = 2 * time.Second

// sqlStateTooManyConnections is what a server answers when its connections are used up.
const sqlStateTooManyConnections = "53300"

// connSet holds the work connections of a unit. Opening happens in the worker
// pool; a waiting request takes whichever comes first, a new connection or one
// that another request returned.
type connSet struct {
	db    *ownedDatabase
	limit int

	mu      sync.Mutex
	idle    []idleConn // most recently used last
	total   int        // idle, in use and opening
	opening int
	pinned  int // held by open transactions
	waiters []chan connResult
	closed  bool

	unpinned chan struct{} // closed when a transaction ends
}

type idleConn struct {
	conn  backend.Conn
	since time.Time
}

type connResult struct {
	conn backend.Conn
	err  error
}

// errNoConnection means that all connections are in use by open transactions.
var errNoConnection = errors.New("all connections are in use")

func newConnSet(d *ownedDatabase, limit int) *connSet {
	return &connSet{db: d, limit: limit, unpinned: make(chan struct{})}
}

// get returns a connection that is idle, or waits for one to be opened or
// returned. It fails with errNoConnection when open transactions hold all
// connections that the request may use.
func (s *connSet) get(ctx context.Context, forTransaction bool) (backend.Conn, error) {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return nil, result.Errorf(result.NotOwner, "database %s was given up", s.db.info.Name)
		}
		if s.pinned >= s.pinLimit(forTransaction) {
			s.mu.Unlock()
			return nil, errNoConnection
		}
		if n := len(s.idle); n > 0 {
			c := s.idle[n-1].conn
			s.idle = s.idle[:n-1]
			s.mu.Unlock()
			if !c.Broken() {
				return c, nil
			}
			s.discard(c)
			continue
		}
		w := make(chan connResult, 1)
		s.waiters = append(s.waiters, w)
		s.openLocked(len(s.waiters))
		s.mu.Unlock()
		return s.wait(ctx, w)
	}
}

// pinLimit returns how many connections may be pinned before a request gets none.
// Transactions leave one connection to single statements, so that transactions
// that wait for their callers do not stop urgent work.
func (s *connSet) pinLimit(forTransaction bool) int {
	if forTransaction && s.limit > 1 {
		return s.limit - 1
	}
	return s.limit
}

func (s *connSet) wait(ctx context.Context, w chan connResult) (backend.Conn, error) {
	select {
	case o := <-w:
		return o.conn, o.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		s.mu.Unlock()
		return nil, result.Errorf(result.ConnectionsBusy, "no connection to %s became free: %w", s.db.info.Name, ctx.Err())
	}
	s.mu.Unlock()
	// The connection was handed over at the same moment.
	if o := <-w; o.err == nil {
		s.put(o.conn)
	}
	return nil, result.Errorf(result.ConnectionsBusy, "no connection to %s became free: %w", s.db.info.Name, ctx.Err())
}

// put returns a connection for another request.
func (s *connSet) put(c backend.Conn) {
	if c.Broken() {
		s.discard(c)
		return
	}
	s.mu.Lock()
	if s.closed || (s.db.retired.Load() && len(s.waiters) == 0) {
		s.mu.Unlock()
		s.discard(c)
		return
	}
	if !s.deliverLocked(connResult{conn: c}) {
		s.idle = append(s.idle, idleConn{c, s.db.pool.cfg.Clock.Now()})
	}
	s.mu.Unlock()
}

func (s *connSet) deliverLocked(o connResult) bool {
	if len(s.waiters) == 0 {
		return false
	}
	w := s.waiters[0]
	s.waiters = slices.Delete(s.waiters, 0, 1)
	w <- o
	return true
}

// discard closes a connection that must not be used again.
func (s *connSet) discard(c backend.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	s.openLocked(len(s.waiters))
}

// openLocked starts opening connections until want are being opened.
func (s *connSet) openLocked(target int) {
	for s.opening < target && s.total < s.limit && !s.closed {
		s.opening++
		s.total++
		if _, ok := s.db.pool.workers.TrySubmit(s.open); !ok {
			s.opening--
			s.total--
			return
		}
	}
}

func (s *connSet) open() {
	ctx, cancel := context.WithTimeout(s.db.ctx, connectTimeout)
	defer cancel()
	c, err := s.db.backend.Connect(ctx)
	s.mu.Lock()
	s.opening--
	if err != nil {
		s.total--
		s.deliverLocked(connResult{err: s.openError(err)})
		s.openLocked(len(s.waiters)) // more requests may wait than connections were being opened
		s.mu.Unlock()
		return
	}
	s.mu.Unlock()
	s.put(c)
}

func (s *connSet) openError(err error) error {
	var pg *pgconn.PgError
	if errors.As(err, &pg) && pg.Code == sqlStateTooManyConnections {
		return result.Errorf(result.ConnectionsBusy, "database %s accepts no more connections: %w", s.db.info.Name, err)
	}
	return result.Errorf(result.DatabaseDown, "%w", err)
}

// pin counts a connection that an open transaction holds. When all are pinned,
// the waiting requests give their turn back: the transactions need it to end.
func (s *connSet) pin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned++
	for s.pinned >= s.limit && s.deliverLocked(connResult{err: errNoConnection}) {
		continue
	}
}

// unpin ends what pin began.
func (s *connSet) unpin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned--
	close(s.unpinned)
	s.unpinned = make(chan struct{})
}

// unpinSignal returns a channel that is closed when a transaction ends. It must
// be asked for before take.
func (s *connSet) unpinSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unpinned
}

// maintain opens warm connections and closes those that were idle for long.
func (s *connSet) maintain(now time.Time, warm int) {
	var expired []backend.Conn
	s.mu.Lock()
	for len(s.idle) > warm && now.Sub(s.idle[0].since) > idleTimeout {
		expired = append(expired, s.idle[0].conn)
		s.idle = slices.Delete(s.idle, 0, 1)
		s.total--
	}
	if missing := min(warm, s.limit) - s.total; missing > 0 {
		s.openLocked(s.opening + missing)
	}
	s.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// dropIdle closes idle connections, because the server is not reachable and
// would fail the request that uses them next.
func (s *connSet) dropIdle() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.total -= len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// close ends the set. Connections in use are closed when they are returned.
func (s *connSet) close() {
	s.mu.Lock()
	s.closed = true
	for s.deliverLocked(connResult{err: result.Errorf(result.NotOwner, "database %s was given up", s.db.info.Name)}) {
		continue
	}
	s.mu.Unlock()
	s.dropIdle()
}
