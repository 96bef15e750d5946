// Package platform is a stand-in for the platform's service: versioned objects
// with conditional updates and watches, an instance list that shows changes with
// a lag, and faults that can be set at run time.
//
// Invariants: one counter assigns the versions of all objects, a version is
// never reused, and a conditional update applies only to the version it names.
package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"geraniumbeam/internal/platform"
)

// Defaults for Config.
const (
	DefaultWriteRate    = 300.0  // calls per second
	DefaultReadRate     = 2000.0 // calls per second
	DefaultListLag      = 10 * time.Second
	DefaultHeartbeatTTL = 10 * time.Second
)

// Config configures a Server. Zero fields take the defaults.
type Config struct {
	Seed Seed
	// WriteRate and ReadRate are limits in calls per second; calls above them
	// are answered with status 429.
	WriteRate float64
	ReadRate  float64
	// ListLag is the delay until readers see a change of the instance list; a
	// negative value means none.
	ListLag time.Duration
	// HeartbeatTTL is how long an instance stays listed after a heartbeat.
	HeartbeatTTL time.Duration
	// RandomSeed seeds the choice of the calls that a fault affects.
	RandomSeed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	if c.WriteRate == 0 {
		c.WriteRate = DefaultWriteRate
	}
	if c.ReadRate == 0 {
		c.ReadRate = DefaultReadRate
	}
	if c.ListLag == 0 {
		c.ListLag = DefaultListLag
	}
	if c.HeartbeatTTL == 0 {
		c.HeartbeatTTL = DefaultHeartbeatTTL
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Server is the stand-in for the platform's service. Create it with New.
type Server struct {
	cfg          Config
	store        *store
	instances    *instanceList
	faults       *faultState
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	counters     counters
	http         *http.Server
	closing      chan struct{}
	closed       atomic.Bool
}

// New returns a server with the content of cfg.Seed. It fails if the seed cannot
// be encoded.
func New(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:          cfg,
		store:        newStore(cfg.Now),
		instances:    newInstanceList(cfg.Now, max(0, cfg.ListLag), cfg.HeartbeatTTL),
		faults:       newFaultState(cfg.Now, cfg.RandomSeed),
		readLimiter:  rate.NewLimiter(rate.Limit(cfg.ReadRate), int(cfg.ReadRate)),
		writeLimiter: rate.NewLimiter(rate.Limit(cfg.WriteRate), int(cfg.WriteRate)),
		closing:      make(chan struct{}),
	}
	if err := s.loadSeed(cfg.Seed); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 10 * time.Second}
	return s, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve platform on %s: %w", l.Addr(), err)
}

// Close stops the server and aborts all calls.
func (s *Server) Close() {
	if s.closed.CompareAndSwap(false, true) {
		close(s.closing)
		_ = s.http.Close()
	}
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	if f.ListLag != nil {
		s.instances.setLag(f.ListLag.Std())
	}
	s.faults.set(f)
}

// SetInstance adds or changes an instance; the change is visible after the lag.
func (s *Server) SetInstance(in platform.Instance) { s.instances.set(in, false, s.cfg.Now()) }

// RemoveInstance removes an instance from the list; the change is visible after
// the lag. It reports whether the instance was listed.
func (s *Server) RemoveInstance(name string) bool { return s.instances.remove(name) }

// PutObject stores an object unconditionally, not subject to rate limits and
// faults.
func (s *Server) PutObject(kind, name string, data []byte) platform.Object {
	o, _ := s.store.put(kind, name, platform.AnyVersion, data, false)
	return o
}

// counters counts the calls that reached the API, including those that were
// rate-limited or failed by a fault.
type counters struct {
	reads, writes, watches, instances, heartbeats, limited, faulted atomic.Int64
}

// Counts are the numbers of calls received so far.
type Counts struct {
	Reads      int64 `json:"reads"`
	Writes     int64 `json:"writes"`
	Watches    int64 `json:"watches"`
	Instances  int64 `json:"instances"`
	Heartbeats int64 `json:"heartbeats"`
	Limited    int64 `json:"limited"`
	Faulted    int64 `json:"faulted"`
}

// Total returns the number of calls of the object API and the instance list.
func (c Counts) Total() int64 { return c.Reads + c.Writes + c.Watches + c.Instances + c.Heartbeats }

// Counts returns the numbers of calls received so far.
func (s *Server) Counts() Counts {
	c := &s.counters
	return Counts{
		Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load(),
		Instances: c.instances.Load(), Heartbeats: c.heartbeats.Load(),
		Limited: c.limited.Load(), Faulted: c.faulted.Load(),
	}
}
