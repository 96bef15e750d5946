package dbpool

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	// maintainPeriod is the pause between two looks at the idle connections.
	maintainPeriod = 100 * time.Millisecond
	// settledAfter is how long a database must have been registered until every
	// instance is taken to know it. Outages of the store last up to 12 s.
	settledAfter = 20 * time.Second
)

// SetConfig configures a Set. All fields but Metrics are required.
type SetConfig struct {
	Dial      Dial
	Topology  *topology.Topology
	Clock     clock.Clock
	Now       func() time.Duration // counts suspension
	Instances func() int           // that share the connection limit
	Metrics   *measure.Set
}

// Set holds one pool for each known database. It is safe for concurrent use.
type Set struct {
	cfg SetConfig

	mu    sync.RWMutex
	pools map[string]*Pool // by database id
}

// NewSet returns a set without pools.
func NewSet(cfg SetConfig) *Set {
	return &Set{cfg: cfg, pools: make(map[string]*Pool)}
}

// Run follows the topology and maintains the pools until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	defer s.close()
	for {
		changed := s.cfg.Topology.Changed()
		for _, p := range s.sync() {
			p.maintainSoon(ctx)
		}
		t := time.NewTimer(maintainPeriod)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		t.Stop()
	}
}

// sync makes the pools match the topology and returns those in use.
func (s *Set) sync() []*Pool {
	snap := s.cfg.Topology.Snapshot()
	instances := s.cfg.Instances()
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Pool
	known := make(map[string]bool)
	for service, databases := range snap.Databases {
		for _, d := range databases {
			known[d.ID] = true
			all = append(all, s.match(d, Share(snap.Services[service].MaxConnections, instances, d.Primary)))
		}
	}
	for id, p := range s.pools {
		if !known[id] {
			p.Close()
			delete(s.pools, id)
		}
	}
	return all
}

// match returns the pool of a database and replaces one of an earlier life or
// address. s.mu is held.
func (s *Set) match(d topology.Database, sharing Sharing) *Pool {
	p, ok := s.pools[d.ID]
	if ok && p.db.Address == d.Address && p.db.Born == d.Born {
		p.SetSharing(sharing)
		return p
	}
	if ok {
		p.Close()
	}
	p = New(Config{Database: d, Dial: s.cfg.Dial, Clock: s.cfg.Clock, Now: s.cfg.Now, Sharing: sharing, Metrics: s.cfg.Metrics})
	s.pools[d.ID] = p
	return p
}

// Pool returns the pool of a database.
func (s *Set) Pool(id string) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[id]
	return p, ok
}

func (s *Set) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.Close()
	}
}

// Status implements primacy.Databases.
func (s *Set) Status(ctx context.Context, service, id string, timeout time.Duration) (statement.Status, error) {
	return s.Control(ctx, service, id, statement.Command{Op: statement.OpStatus}, timeout)
}

// Control implements primacy.Databases.
func (s *Set) Control(ctx context.Context, _, id string, c statement.Command, timeout time.Duration) (statement.Status, error) {
	p, ok := s.Pool(id)
	if !ok {
		return statement.Status{}, result.Errorf(result.DatabaseDown, "database %s is not known", id)
	}
	return p.Control(ctx, c, timeout)
}

// Troubled implements primacy.Databases.
func (s *Set) Troubled(_, id string) (time.Duration, bool) {
	p, ok := s.Pool(id)
	if !ok {
		return 0, false
	}
	return p.Troubled()
}

// Members implements primacy.Databases.
func (s *Set) Members(service string) []primacy.Member {
	var members []primacy.Member
	for _, d := range s.cfg.Topology.Snapshot().Databases[service] {
		members = append(members, primacy.Member{
			ID: d.ID, Leaving: d.Leaving, Primary: d.Primary, New: d.KnownFor(s.cfg.Now()) < settledAfter,
		})
	}
	return members
}
