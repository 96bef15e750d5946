// Package database is a stand-in for one database of a group. It speaks
// version 3 of the PostgreSQL protocol, keeps its tables in SQLite in memory
// and replicates a log of committed transactions to the other databases.
//
// Invariants: a database commits only while it is the primary of the term in
// which the transaction began; the commit checks this under the mutex that a raise
// of the term holds. A database accepts log entries only from the primary of its
// own term or a higher one. The reported position is that of the last entry that
// is both durable and applied.
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
	Peers            map[string]string // addresses (host:port) of the group's databases, by name
	Primary          string            // name of the initial primary; the others replicate from it
	Term             uint64            // initial term; 0 means 1
	Slots            int               // statements that execute concurrently; 0 means DefaultSlots
	ServiceTime      time.Duration     // time that a statement occupies a slot in addition to its execution
	ConnectionLimit  int               // 0 means DefaultConnectionLimit
	ConnectDelay     time.Duration     // delay before a new session is accepted
	ReplicationDelay time.Duration     // one-way delay of messages to each replica
	ApplyLag         time.Duration     // delay before a replica applies received entries
	// Overrides maps addresses to the ones to dial instead, so that a test can
	// route replication through its own proxy.
	Overrides map[string]string
	Unsafe    bool // allow a promotion without raising the term first
	// CompactEvery is the number of log entries between snapshots; 0 means 20000.
	CompactEvery int
	DataDir      string // directory for log, term and role; empty: nothing is stored
	Log          zerolog.Logger
}

func (c Config) dialAddress(address string) string {
	if o, ok := c.Overrides[address]; ok {
		return o
	}
	return address
}

// Defaults for Config.
const (
	DefaultSlots           = 2
	DefaultConnectionLimit = 16
	DefaultConnectDelay    = 12 * time.Millisecond

	defaultLockTimeout = 10 * time.Second
)

// Server is a stand-in database. Its log, term and role survive Crash.
type Server struct {
	cfg    Config
	logger zerolog.Logger
	slots  slots

	connectDelay     atomic.Int64 // nanoseconds
	serviceTime      atomic.Int64 // nanoseconds
	applyLag         atomic.Int64 // nanoseconds
	replicationDelay atomic.Int64 // nanoseconds
	writeLockTimeout atomic.Int64 // nanoseconds
	connectionLimit  atomic.Int64
	statements       atomic.Int64 // statements that have used a slot

	writeLock      chan struct{}    // full while a write transaction is open
	writer         *engine          // used by the write transaction
	writerPosition backend.Position // log position of the content of writer

	mu   sync.Mutex // taken before readMu
	term uint64
	role backend.Role
	log  replicaLog
	// baseSnapshot is the content at the base of the log, nil if that is the
	// beginning. nextSnapshot is the content at a later position, which becomes
	// the base at the next compaction.
	baseSnapshot, nextSnapshot *snapshot
	upstream                   string
	lastContact                time.Time // last message from the primary
	leaving                    bool
	unsafe                     bool
	failCommits                int64
	changed                    chan struct{} // closed at the next change of state

	readMu sync.Mutex
	reader *engine // committed content

	openErr    error
	disk       *disk
	connMu     sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]struct{}
	sessions   map[uint32]*session
	nextPID    uint32
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a database with the content of its data directory, if there is one,
// and an empty one otherwise. Serve returns the error of a failed start.
func New(cfg Config) *Server {
	s := &Server{
		cfg:         cfg,
		logger:      cfg.Log.With().Str("database", cfg.Name).Logger(),
		writeLock:   make(chan struct{}, 1),
		term:        max(cfg.Term, 1),
		role:        backend.RoleReplica,
		lastContact: time.Now(),
		unsafe:      cfg.Unsafe,
		changed:     make(chan struct{}),
		conns:       make(map[net.Conn]struct{}),
		sessions:    make(map[uint32]*session),
	}
	s.slots.limit = orDefault(cfg.Slots, DefaultSlots)
	s.connectionLimit.Store(int64(orDefault(cfg.ConnectionLimit, DefaultConnectionLimit)))
	s.connectDelay.Store(int64(cfg.ConnectDelay))
	s.serviceTime.Store(int64(cfg.ServiceTime))
	s.applyLag.Store(int64(cfg.ApplyLag))
	s.replicationDelay.Store(int64(cfg.ReplicationDelay))
	s.writeLockTimeout.Store(int64(defaultLockTimeout))
	if cfg.Primary == cfg.Name {
		s.role = backend.RolePrimary
		s.log.append(entry{Term: s.term, Now: time.Now()})
	} else if s.upstream = cfg.Peers[cfg.Primary]; s.upstream == "" {
		s.role = backend.RoleFenced
	}
	if s.openErr = s.openEngines(); s.openErr == nil {
		s.openErr = s.restoreFromDisk()
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
	s.writerPosition = backend.Position{}
	return err
}

func (s *Server) lockTimeout() time.Duration { return time.Duration(s.writeLockTimeout.Load()) }

// Serve accepts connections until Close or Crash; it then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if s.openErr != nil {
		return s.openErr
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.connMu.Lock()
	s.listener, s.cancel = l, cancel
	s.goroutines.Add(1)
	s.connMu.Unlock()
	go func() {
		defer s.goroutines.Done()
		s.replicate(ctx)
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept connection on %s: %w", l.Addr(), err)
		}
		if !s.startConnection(ctx, c) {
			_ = c.Close()
		}
	}
}

// startConnection serves a connection in a goroutine. It reports false if the
// server is stopping.
func (s *Server) startConnection(ctx context.Context, c net.Conn) bool {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	s.conns[c] = struct{}{}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.serveConnection(ctx, c)
		_ = c.Close()
		s.connMu.Lock()
		delete(s.conns, c)
		s.connMu.Unlock()
	}()
	return true
}

// stopServing closes the listener and all connections and waits for the goroutines.
func (s *Server) stopServing() {
	s.connMu.Lock()
	if s.listener != nil {
		s.cancel()
		_ = s.listener.Close()
		s.listener = nil
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.connMu.Unlock()
	s.goroutines.Wait()
}

// Close stops the database and releases its memory.
func (s *Server) Close() {
	s.stopServing()
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

// Crash simulates a crash: it closes all connections without notice and keeps
// only the log, the term and the role, as a disk would. Serve starts the database
// again.
func (s *Server) Crash() error {
	s.stopServing()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact = time.Now()
	s.writer.close()
	writer, err := newEngine()
	if err != nil {
		return err
	}
	s.writer, s.writerPosition = writer, backend.Position{}
	return s.rebuildLocked()
}
