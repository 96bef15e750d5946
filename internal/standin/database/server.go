// Package database is a stand-in for one database of a group. It speaks
// version 3 of the PostgreSQL protocol, keeps its tables in SQLite in memory
// and replicates a log of committed transactions to the other databases.
//
// Invariants: a database commits only while it is the primary of the term in
// which the transaction began, and the commit is checked under the lock that
// raises the term. A database takes log entries only from the primary of its
// own term or a higher one. The reported position is that of the last entry
// that is both durable and applied.
package database

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/backend"
)

// Config describes a database. Zero durations mean no delay.
type Config struct {
	Name             string
	Peers            map[string]string // name to address (host:port) of the group's databases
	Primary          string            // name of the first primary; the others follow it
	Term             uint64            // first term; 0 means 1
	Slots            int               // statements that execute at the same time; 0 means DefaultSlots
	ServiceTime      time.Duration     // time that a statement occupies a slot, besides its execution
	ConnectionLimit  int               // 0 means DefaultConnectionLimit
	ConnectDelay     time.Duration     // time to accept a new connection
	ReplicationDelay time.Duration     // one-way delay to each replica
	ApplyLag         time.Duration     // time for which a replica holds entries back
	// Overrides replaces addresses before dialing, so that a test can route
	// replication through a link of its own.
	Overrides map[string]string
	Unsafe    bool // promotion without a raise of the term
	// CompactEvery is the number of entries between snapshots; 0 means 20000.
	CompactEvery int
	DataDir      string // keeps log, term and role for the next process; empty: nothing is kept
	Log          zerolog.Logger
}

func (c Config) dial(address string) string {
	if o, ok := c.Overrides[address]; ok {
		return o
	}
	return address
}

// Defaults of Config.
const (
	DefaultSlots           = 2
	DefaultConnectionLimit = 16
	DefaultConnectDelay    = 12 * time.Millisecond

	defaultLockTimeout = 10 * time.Second
)

// Server is a stand-in database. It survives Crash with its log.
type Server struct {
	cfg    Config
	logger zerolog.Logger
	slots  slots

	connectDelay     atomic.Int64 // nanoseconds
	serviceTime      atomic.Int64 // nanoseconds
	applyLag         atomic.Int64 // nanoseconds
	replicationDelay atomic.Int64 // nanoseconds
	lockWait         atomic.Int64 // nanoseconds
	connectionLimit  atomic.Int64
	statements       atomic.Int64 // executed statements that used a slot

	writeLock chan struct{} // held by the open write transaction
	writer    *engine       // used by the holder of writeLock
	writerAt  backend.Position

	mu   sync.Mutex // taken before readMu
	term uint64
	role backend.Role
	log  replicaLog
	// Content at the base of the log (nil at its beginning) and at a later
	// position, where the base moves next.
	baseSnapshot, nextSnapshot *snapshot
	upstream                   string
	heard                      time.Time
	leaving                    bool
	unsafe                     bool
	failCommits                int64
	changed                    chan struct{}

	readMu sync.Mutex
	reader *engine

	openErr  error
	disk     *disk
	connMu   sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	sessions map[uint32]*session
	nextPID  uint32
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// New returns a database that holds no data. An engine that could not be
// opened is reported by Serve.
func New(cfg Config) *Server {
	s := &Server{
		cfg:       cfg,
		logger:    cfg.Log.With().Str("database", cfg.Name).Logger(),
		writeLock: make(chan struct{}, 1),
		term:      max(cfg.Term, 1),
		role:      backend.RoleReplica,
		heard:     time.Now(),
		unsafe:    cfg.Unsafe,
		changed:   make(chan struct{}),
		conns:     make(map[net.Conn]struct{}),
		sessions:  make(map[uint32]*session),
	}
	s.slots.limit = orDefault(cfg.Slots, DefaultSlots)
	s.connectionLimit.Store(int64(orDefault(cfg.ConnectionLimit, DefaultConnectionLimit)))
	s.connectDelay.Store(int64(cfg.ConnectDelay))
	s.serviceTime.Store(int64(cfg.ServiceTime))
	s.applyLag.Store(int64(cfg.ApplyLag))
	s.replicationDelay.Store(int64(cfg.ReplicationDelay))
	s.lockWait.Store(int64(defaultLockTimeout))
	if cfg.Primary == cfg.Name {
		s.role = backend.RolePrimary
		s.log.append(entry{Term: s.term, Now: time.Now()})
	} else if s.upstream = cfg.Peers[cfg.Primary]; s.upstream == "" {
		s.role = backend.RoleFenced
	}
	if s.openErr = s.openEngines(); s.openErr == nil {
		s.openErr = s.load()
	}
	return s
}

func orDefault(v, d int) int {
	if v > 0 {
		return v
	}
	return d
}

func (s *Server) openEngines() (err error) {
	if s.reader, err = newEngine(); err != nil {
		return err
	}
	s.writer, err = newEngine()
	s.writerAt = backend.Position{}
	return err
}

func (s *Server) lockTimeout() time.Duration { return time.Duration(s.lockWait.Load()) }

// Serve accepts connections until Close or Crash, which make it return nil.
func (s *Server) Serve(l net.Listener) error {
	if s.openErr != nil {
		return s.openErr
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.connMu.Lock()
	s.listener, s.stop = l, cancel
	s.running.Add(1)
	s.connMu.Unlock()
	go func() {
		defer s.running.Done()
		s.replicate(ctx)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		if !s.track(ctx, c) {
			_ = c.Close()
		}
	}
}

// track starts to serve a connection unless the server is stopping.
func (s *Server) track(ctx context.Context, c net.Conn) bool {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	s.conns[c] = struct{}{}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.handle(ctx, c)
		_ = c.Close()
		s.connMu.Lock()
		delete(s.conns, c)
		s.connMu.Unlock()
	}()
	return true
}

// halt closes the listener and all connections and waits for their goroutines.
func (s *Server) halt() {
	s.connMu.Lock()
	if s.listener != nil {
		s.stop()
		_ = s.listener.Close()
		s.listener = nil
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.connMu.Unlock()
	s.running.Wait()
}

// Close stops the database.
func (s *Server) Close() {
	s.halt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != nil {
		s.reader.close()
		s.writer.close()
		s.reader, s.writer = nil, nil
	}
	if s.disk != nil {
		_ = s.disk.file.Close()
		s.disk = nil
	}
}

// Crash stops the database without notice to its clients and keeps what a
// disk would keep: the log, the term and the role. Serve starts it again.
func (s *Server) Crash() error {
	s.halt()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = time.Now()
	s.writer.close()
	writer, err := newEngine()
	if err != nil {
		return err
	}
	s.writer, s.writerAt = writer, backend.Position{}
	return s.rebuildLocked()
}
