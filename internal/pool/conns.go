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

// idleTimeout is how long an idle connection in excess of the warm ones stays open.
const idleTimeout = 30 * time.Second

// connectTimeout is the timeout for opening a connection.
const connectTimeout = 2 * time.Second

// sqlStateTooManyConnections is the error of a server at its connection limit.
const sqlStateTooManyConnections = "53300"

// connSet manages the work connections to a database. The worker pool opens new
// connections; a waiting request gets a new connection or one that another
// request returns, whichever comes first.
type connSet struct {
	db    *ownedDatabase
	limit int

	mu         sync.Mutex
	idle       []idleConn // most recently used last
	numConns   int        // idle, in use and being opened
	numOpening int
	numPinned  int // held by open transactions
	waiters    []chan connResult
	closed     bool

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

// errNoConnection means that open transactions hold all connections that the
// request may use.
var errNoConnection = errors.New("open transactions hold all connections")

func newConnSet(d *ownedDatabase, limit int) *connSet {
	return &connSet{db: d, limit: limit, unpinned: make(chan struct{})}
}

// get returns an idle connection, or waits until one is opened or returned. It
// fails with errNoConnection if open transactions hold all connections that the
// request may use.
func (s *connSet) get(ctx context.Context, forTransaction bool) (backend.Conn, error) {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return nil, result.Errorf(result.NotOwner, "database %s was released by this instance", s.db.info.Name)
		}
		if s.numPinned >= s.pinLimit(forTransaction) {
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

// pinLimit returns the number of pinned connections at which a request gets none.
// Transactions leave one connection for single statements, so that transactions
// that are waiting for their callers do not block urgent requests.
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
	// A connection was delivered as ctx ended.
	if o := <-w; o.err == nil {
		s.put(o.conn)
	}
	return nil, result.Errorf(result.ConnectionsBusy, "no connection to %s became free: %w", s.db.info.Name, ctx.Err())
}

// put makes a connection available to other requests.
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
	s.numConns--
	s.openLocked(len(s.waiters))
}

// openLocked starts to open connections until target are being opened or the limit
// is reached.
func (s *connSet) openLocked(target int) {
	for s.numOpening < target && s.numConns < s.limit && !s.closed {
		s.numOpening++
		s.numConns++
		if _, ok := s.db.pool.workers.TrySubmit(s.open); !ok {
			s.numOpening--
			s.numConns--
			return
		}
	}
}

func (s *connSet) open() {
	ctx, cancel := context.WithTimeout(s.db.ctx, connectTimeout)
	defer cancel()
	c, err := s.db.backend.Connect(ctx)
	s.mu.Lock()
	s.numOpening--
	if err != nil {
		s.numConns--
		s.deliverLocked(connResult{err: s.openError(err)})
		s.openLocked(len(s.waiters)) // there may be more waiters than connections being opened
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

// pin counts a connection as held by an open transaction. When all are pinned, the
// waiting requests fail with errNoConnection, which releases their admission
// tickets: the transactions need these to finish.
func (s *connSet) pin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numPinned++
	for s.numPinned >= s.limit && s.deliverLocked(connResult{err: errNoConnection}) {
		continue
	}
}

// unpin reverses pin.
func (s *connSet) unpin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numPinned--
	close(s.unpinned)
	s.unpinned = make(chan struct{})
}

// unpinSignal returns a channel that is closed when the next transaction ends.
// Call it before get, so that no end is missed.
func (s *connSet) unpinSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unpinned
}

// maintain opens connections up to warm and closes those that exceed idleTimeout.
func (s *connSet) maintain(now time.Time, warm int) {
	var expired []backend.Conn
	s.mu.Lock()
	for len(s.idle) > warm && now.Sub(s.idle[0].since) > idleTimeout {
		expired = append(expired, s.idle[0].conn)
		s.idle = slices.Delete(s.idle, 0, 1)
		s.numConns--
	}
	if missing := min(warm, s.limit) - s.numConns; missing > 0 {
		s.openLocked(s.numOpening + missing)
	}
	s.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// dropIdle closes all idle connections. After the server became unreachable they
// would fail the next request.
func (s *connSet) dropIdle() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.numConns -= len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		c.conn.Close()
	}
}

// close closes the idle connections and refuses new requests. Connections in use
// are closed when they are returned.
func (s *connSet) close() {
	s.mu.Lock()
	s.closed = true
	for s.deliverLocked(connResult{err: result.Errorf(result.NotOwner, "database %s was released by this instance", s.db.info.Name)}) {
		continue
	}
	s.mu.Unlock()
	s.dropIdle()
}
