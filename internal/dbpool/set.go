package dbpool

import (
	"context"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	// maintainInterval is the interval between runs of Maintain.
	maintainInterval = 100 * time.Millisecond
	// propagationTime is how long after its registration a database is assumed
	// to be known to every instance. Outages of the store last up to 12 s.
	propagationTime = 20 * time.Second
	// detourDelay is how long a database may be unresponsive before requests take a
	// detour through another instance. The load balancer can't tell which databases
	// an instance reaches, so without it the callers of an instance that is cut off
	// from a primary are refused until the cut ends.
	detourDelay = 50 * time.Millisecond
	// detourMemory is how long the direct connections must work before a later
	// failure counts as another cut.
	detourMemory = 3 * time.Second
)

// SetConfig configures a Set. Metrics and Owners may be nil; DialOwner is required
// with Owners.
type SetConfig struct {
	Instance  string // name of this instance among the owners
	Dial      Dial
	Topology  *topology.Topology
	Clock     clock.Clock
	Now       func() time.Duration // advances while the machine is suspended
	Instances func() int           // number of instances that share the connection limit
	// Rank returns the position of this instance in an order of the instances that
	// is different for each database. If it is nil, the instance counts as the last.
	Rank    func(d topology.Database, limit int) int
	Metrics *measure.Registry
	// Owners returns the instances that hold the connections of an
	// oversubscribed database, in order of preference, and whether this
	// instance is one of them. If it is nil, no database has owners.
	Owners func(d topology.Database, limit int) (owners []ownership.Instance, self bool)
	// MayConnect reports whether this instance may connect to an oversubscribed
	// database that it does not own while it reaches none of the owners. If it is
	// nil, it may.
	MayConnect func(d topology.Database, limit int) bool
	// Detours returns instances that may reach a database which this instance does
	// not reach, in order of preference. If it is nil, there are none.
	Detours func(d topology.Database) []ownership.Instance
	// DialOwner connects to the owner at address to use the database with the
	// given id. If organisations is set, requests may have an organisation; an owner
	// that does not know them is refused.
	DialOwner func(ctx context.Context, address, id string, organisations bool) (Conn, error)
	// AdaptivePace limits the concurrency of direct pools by how the databases answer.
	AdaptivePace bool
	// QueueAtOwners makes requests wait at the owners of a database rather than in the
	// database, also under load. Owners then also serve databases whose limit has room
	// for a single connection of each instance.
	QueueAtOwners bool
	// Substitutes returns instances that may connect to an oversubscribed database which
	// they do not own, in order of preference. They are used with QueueAtOwners while no
	// owner is reached. If it is nil, there are none.
	Substitutes func(d topology.Database, limit int) []ownership.Instance
	// OnRoundTrip gets the time that an exchange with an owner in a data centre spent on
	// the way. It may be nil.
	OnRoundTrip func(dataCentre string, took time.Duration)
}

// Set holds the pools of all known databases. It is safe for concurrent use.
type Set struct {
	cfg     SetConfig
	started time.Duration

	mu    sync.RWMutex
	pools map[string]*paths // by database id
}

// NewSet returns a set without pools.
func NewSet(cfg SetConfig) *Set {
	return &Set{cfg: cfg, started: cfg.Now(), pools: make(map[string]*paths)}
}

// Run follows the topology and maintains the pools until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	defer s.close()
	for {
		changed := s.cfg.Topology.Changed()
		for _, p := range s.sync() {
			if p.needsMaintenance() {
				p.startMaintain(ctx)
			}
		}
		s.releaseWaiting()
		s.probeDetoured(ctx)
		t := time.NewTimer(maintainInterval)
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

// sync creates, resizes and closes pools to match the topology, and returns those in
// use.
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
			all = append(all, s.reconcile(d, snap.Services[service].MaxConnections, instances)...)
		}
	}
	for id, p := range s.pools {
		if !known[id] {
			p.close()
			delete(s.pools, id)
		}
	}
	return all
}

// reconcile updates the pools of one database and returns them. s.mu is held.
func (s *Set) reconcile(d topology.Database, limit, instances int) []*Pool {
	var (
		owners, peers []ownership.Instance
		self          bool
	)
	organisations := s.organisationsInForce()
	hasOwners := oversubscribed(limit, instances) || (s.cfg.QueueAtOwners && scarce(limit, instances))
	if s.cfg.Owners != nil && hasOwners {
		owners, self = s.cfg.Owners(d, limit)
	}
	rank := limit
	if s.cfg.Rank != nil {
		rank = s.cfg.Rank(d, limit)
	}
	sizing := SizingFor(limit, instances, rank, d.Primary).afterStart(s.cfg.Now() - s.started)
	if self {
		sizing = SizingFor(limit, len(owners), limit, d.Primary)
		if organisations {
			sizing, peers = sizing.perOrganisation(limit, len(owners)), s.others(owners)
		}
		owners = nil
	} else if s.cfg.QueueAtOwners && len(owners) > 0 {
		sizing = besideOwnersSizing
	}
	p, ok := s.pools[d.ID]
	if !ok {
		p = &paths{database: d.ID, queueAtOwners: s.cfg.QueueAtOwners}
		s.pools[d.ID] = p
	}
	p.isOwner, p.instance, p.instances = self, s.cfg.Instance, instances
	if organisations && p.occupation == nil {
		p.occupation = &occupation{}
	}
	p.mayConnect = len(owners) == 0 || s.cfg.MayConnect == nil || s.cfg.MayConnect(d, limit)
	if p.direct == nil || !sameDatabase(p.direct.db, d) {
		p.close()
		p.direct = s.newPool(Config{Database: d, DataCentre: d.DataCentre, Dial: s.cfg.Dial, Sizing: sizing})
	}
	p.direct.setPrimary(d.Primary)
	p.direct.SetSizing(sizing)
	p.detoured = false
	if len(owners) == 0 {
		owners = s.detours(d, p)
		p.detoured = len(owners) > 0
	} else {
		owners = s.withSubstitutes(d, limit, p, owners)
	}
	p.owners = s.reconcileOwners(d, p.owners, owners, p.occupation)
	p.peers = s.reconcileOwners(d, p.peers, peers, p.occupation)
	return slices.Concat(p.owners, p.peers, []*Pool{p.direct})
}

// organisationsInForce reports whether requests have organisations.
func (s *Set) organisationsInForce() bool { return s.cfg.Topology.Snapshot().Organisations != nil }

// others returns the instances but this one.
func (s *Set) others(instances []ownership.Instance) []ownership.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i ownership.Instance) bool { return i.Name == s.cfg.Instance })
}

// detours returns the instances through which to reach a database while the direct
// connections fail. s.mu is held.
func (s *Set) detours(d topology.Database, p *paths) []ownership.Instance {
	now := s.cfg.Now()
	if s.cfg.Detours == nil || p.direct.unresponsiveFor(now) <= detourDelay {
		// A connection that opens and then fails again does not end the cut.
		if now-p.detourAt > detourMemory {
			p.detourSince = 0
		}
		return nil
	}
	p.detourAt = now
	if p.detourSince == 0 {
		p.detourSince = now
	}
	return s.cfg.Detours(d)
}

// reconcileOwners returns a pool for each owner, reusing those in old, and closes the
// pools that are no longer needed.
func (s *Set) reconcileOwners(d topology.Database, old []*Pool, owners []ownership.Instance, occupation *occupation) []*Pool {
	var pools []*Pool
	sizing := ownerSizing
	if s.organisationsInForce() {
		sizing.IdleTimeout = ownerIdleTimeoutPerOrganisation
	}
	unused := slices.Clone(old)
	for _, o := range owners {
		if i := slices.IndexFunc(unused, func(p *Pool) bool { return p.owner == o.Name && p.ownerAddress == o.Address }); i >= 0 {
			unused[i].SetSizing(sizing)
			pools = append(pools, unused[i])
			unused = slices.Delete(unused, i, i+1)
			continue
		}
		dial := func(ctx context.Context, _, _, id, _ string) (Conn, error) {
			return s.cfg.DialOwner(ctx, o.Address, id, s.organisationsInForce())
		}
		pools = append(pools, s.newPool(Config{Database: d, Owner: o.Name, OwnerAddress: o.Address, DataCentre: o.DataCentre, Dial: dial, Sizing: sizing, Occupation: occupation}))
	}
	for _, p := range unused {
		p.Close()
	}
	return pools
}

func (s *Set) newPool(cfg Config) *Pool {
	cfg.Clock, cfg.Now, cfg.Metrics, cfg.QueueAtOwners, cfg.AdaptivePace = s.cfg.Clock, s.cfg.Now, s.cfg.Metrics, s.cfg.QueueAtOwners, s.cfg.AdaptivePace
	if s.cfg.OnRoundTrip != nil {
		cfg.OnRoundTrip = func(took time.Duration) { s.cfg.OnRoundTrip(cfg.DataCentre, took) }
	}
	return New(cfg)
}

func sameDatabase(a, b topology.Database) bool {
	return a.Address == b.Address && a.StartMillis == b.StartMillis
}

// Pool returns the preferred pool of a database for the requests of an organisation,
// which is empty if the deployment has none.
func (s *Set) Pool(id, organisation string) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[id]
	if !ok {
		return nil, false
	}
	return p.pickFor(organisation), true
}

// Owned returns the direct pool of a database if this instance is one of its owners,
// or if the database has none and this instance reaches it. With QueueAtOwners it also
// does so if this instance may connect itself while no owner is usable. It does not depend
// on the organisation: if two instances disagree about the order of the owners, a request
// must not be sent on by the one that receives it.
func (s *Set) Owned(id string) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[id]
	if ok && p.queueAtOwners && p.mayConnect && p.direct != nil && p.direct.usable() {
		return p.direct, true
	}
	if !ok || p.direct == nil || (!p.isOwner && (len(p.owners) > 0 || !p.direct.usable())) {
		return nil, false
	}
	return p.direct, true
}

func (s *Set) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.close()
	}
	clear(s.pools) // control commands may still come, and now fail
}

// Status implements primacy.Databases.
func (s *Set) Status(ctx context.Context, service, id string, timeout time.Duration) (statement.Status, error) {
	return s.Control(ctx, service, id, statement.Command{Op: statement.OpStatus}, timeout)
}

// Control implements primacy.Databases. A status query uses the pool that requests
// use, because opening a separate connection costs the database as much as a
// statement. If that fails, it is repeated through the other owners or detours, or on a
// direct connection if this instance may open one. Commands that change the database's state
// always use a direct connection.
func (s *Set) Control(ctx context.Context, _, id string, c statement.Command, timeout time.Duration) (statement.Status, error) {
	s.mu.RLock()
	p, ok := s.pools[id]
	var pools []*Pool
	detoured := false
	if ok {
		pools, detoured = []*Pool{p.direct}, p.detoured
		if c.Op == statement.OpStatus {
			pools = p.forStatus()
		}
	}
	s.mu.RUnlock()
	if !ok {
		return statement.Status{}, result.Errorf(result.DatabaseDown, "database %s is not in the topology", id)
	}
	began := s.cfg.Now()
	st, through, err := s.controlThrough(ctx, pools, c, timeout)
	if err == nil {
		p.recordControl(through, detoured, began)
	}
	return st, err
}

// controlThrough runs a control command through the first of the pools that answers,
// and returns that pool.
func (s *Set) controlThrough(ctx context.Context, pools []*Pool, c statement.Command, timeout time.Duration) (st statement.Status, through *Pool, err error) {
	began := s.cfg.Now()
	for i, pool := range pools {
		left := timeout - (s.cfg.Now() - began)
		if i < len(pools)-1 {
			left = min(left, timeout/2)
		}
		if st, err = pool.Control(ctx, c, left); err == nil {
			return st, pool, nil
		}
		if s.cfg.Now()-began >= timeout {
			break
		}
	}
	return st, nil, err
}

// Members implements primacy.Databases.
func (s *Set) Members(service string) []primacy.Member {
	var members []primacy.Member
	for _, d := range s.cfg.Topology.Snapshot().Databases[service] {
		members = append(members, primacy.Member{
			ID: d.ID, Leaving: d.Leaving, Primary: d.Primary, New: d.KnownFor(s.cfg.Now()) < propagationTime,
		})
	}
	return members
}

// Lapsed implements primacy.Databases.
func (s *Set) Lapsed(service string) []string { return s.cfg.Topology.Lapsed(service) }

// SyncReplicas implements primacy.Databases.
func (s *Set) SyncReplicas(service string) int {
	return s.cfg.Topology.Snapshot().Services[service].SyncReplicas
}
