package dbpool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/placement"
)

// ownerSizing is the size of a pool of connections to an owner, which do not count
// against the database's limit.
var ownerSizing = Sizing{MaxOpen: maxOpenPerInstance, IdleTimeout: idleTimeoutDefault, ViaOwner: true}

// ownerIdleTimeoutPerOrganisation applies to connections to owners in a deployment with
// organisations. There an instance uses all owners of a database instead of one: with 79
// instances, 24 databases and 7 owners, it sends one request to an owner every 14 s. A
// connection takes 71 KB on both sides together.
const ownerIdleTimeoutPerOrganisation = 60 * time.Second

// paths holds the pools through which an instance reaches one database: one for
// each owner or, while the direct connections fail, for each instance that may still
// reach the database, in order of preference, and one of direct connections. Set.mu
// protects all fields except the atomic ones and probes.
type paths struct {
	owners              []*Pool
	peers               []*Pool // of the other owners, if this instance is one and organisations are in force
	direct              *Pool
	database            string
	instance            string        // this one
	instances           int           // that use the database
	occupation          *occupation   // nil without organisations
	isOwner             bool          // this instance is an owner of the database's connections
	detoured            bool          // owners are detours, because the direct connections fail
	detourAt            time.Duration // when a detour was last needed; 0: never
	detourSince         time.Duration // since when detours are needed; 0: they are not
	mayConnect          bool          // direct connections are allowed while no owner is usable
	queueAtOwners       bool          // SetConfig.QueueAtOwners
	lastAnsweredControl atomic.Int64  // sending time of the last control command that the database answered, other than through a detour
	detourAnswer        atomic.Pointer[detourAnswer]
	probes              probes
}

// detourAnswer is an answer of a database through a detour.
type detourAnswer struct {
	sent    time.Duration // when the query was sent
	through string        // the other instance
}

// pickFor returns the pool for the requests of an organisation. The owners of a database,
// of which this instance may be one, share the organisations by rendezvous hashing: the
// requests of an organisation meet at one owner and find its connections there. With
// queueAtOwners, that also holds among owners that are only slow, if no other is usable.
func (p *paths) pickFor(organisation string) *Pool {
	candidates := p.owners
	if p.isOwner {
		candidates = p.peers
	}
	if organisation == "" || len(candidates) == 0 || (p.detoured && !p.isOwner) {
		return p.pick()
	}
	if pool := p.pickAmong(candidates, organisation, (*Pool).usable); pool != nil {
		return pool
	}
	if p.queueAtOwners && p.detourSince == 0 {
		if pool := p.pickAmong(candidates, organisation, (*Pool).onlySlow); pool != nil {
			return pool
		}
	}
	return p.pick()
}

// skip returns how many owners a request of an organisation passes over. It is more than
// 0 only for a part of the requests of an organisation that uses more connections than one
// owner has for it.
func (p *paths) skip(organisation string, owners int) int {
	if p.occupation == nil || owners == 0 {
		return 0
	}
	inUse := p.occupation.inUse(p.direct.now(), organisation) * float64(p.instances)
	return rand.IntN(placement.Spread(inUse, owners))
}

// pickAmong returns a pool among those of the owners, this instance included if it is one,
// for which eligible returns true: the first one in the order of the organisation, unless
// skip passes over it. It returns nil if there is none.
func (p *paths) pickAmong(owners []*Pool, organisation string, eligible func(*Pool) bool) *Pool {
	var (
		pools []*Pool
		names []string
	)
	if p.isOwner && eligible(p.direct) {
		pools, names = append(pools, p.direct), append(names, p.instance)
	}
	for _, pool := range owners {
		if eligible(pool) {
			pools, names = append(pools, pool), append(names, pool.owner)
		}
	}
	pools, names = withoutBusy(pools, names)
	for skip := p.skip(organisation, len(pools)); ; skip-- {
		at := ownership.Pick(p.database+" "+organisation, names)
		switch {
		case at < 0:
			return nil
		case skip <= 0:
			return pools[at]
		}
		pools, names = slices.Delete(pools, at, at+1), slices.Delete(names, at, at+1)
	}
}

// pick returns the pool of the first usable owner, or the direct pool. If no owner
// is usable and this instance may not connect itself, it returns the first owner's. With
// queueAtOwners, an owner that is only slow is preferred to the direct pool, and of failed
// owners the one that may be tried first is returned.
func (p *paths) pick() *Pool {
	for _, pool := range p.owners {
		if pool.usable() {
			return pool
		}
	}
	if p.queueAtOwners && p.detourSince == 0 {
		for _, pool := range p.owners {
			if pool.onlySlow() {
				return pool
			}
		}
	}
	if len(p.owners) == 0 || p.mayConnect {
		return p.direct
	}
	if p.queueAtOwners {
		return slices.MinFunc(p.owners, func(a, b *Pool) int { return cmp.Compare(a.retryAt(), b.retryAt()) })
	}
	return p.owners[0]
}

// forStatus returns the pools through which a status query may be sent, in order.
func (p *paths) forStatus() []*Pool {
	var pools []*Pool
	for _, pool := range p.owners {
		if pool.usable() {
			pools = append(pools, pool)
		}
	}
	if p.mayConnect && !p.detoured || len(p.owners) == 0 {
		pools = append(pools, p.direct)
	}
	if len(pools) == 0 {
		pools = append(pools, p.pick())
	}
	return pools
}

// recordControl records that the database answered a control command through a pool.
// The command was sent at the given time.
func (p *paths) recordControl(through *Pool, detoured bool, sent time.Duration) {
	if detoured && through.owner != "" {
		p.detourAnswer.Store(&detourAnswer{sent, through.owner})
		return
	}
	p.lastAnsweredControl.Store(int64(sent))
}

// unresponsiveSince returns since when requests have failed on the instance's own
// connections, or else through the owners: then if a pool failed after the last answered
// control command was sent. A failing owner alone does not mean that the database fails.
func (p *paths) unresponsiveSince() (time.Duration, bool) {
	if p.detoured || len(p.owners) == 0 {
		since, failed := p.direct.UnresponsiveSince()
		if p.detourSince > time.Duration(p.lastAnsweredControl.Load()) {
			since = min(since, p.detourSince)
		}
		return since, failed
	}
	var since time.Duration
	failed := false
	for _, pool := range append(p.owners[:len(p.owners):len(p.owners)], p.direct) {
		at, last, ok := pool.failure()
		if ok && last > time.Duration(p.lastAnsweredControl.Load()) {
			since, failed = max(since, at), true
		}
	}
	return since, failed
}

func (p *paths) close() {
	for _, pool := range slices.Concat(p.owners, p.peers) {
		pool.Close()
	}
	if p.direct != nil {
		p.direct.Close()
	}
	p.owners, p.peers, p.direct = nil, nil, nil
}

// usable reports whether the pool's last exchange did not fail and none is stalled.
// Maintain retries an owner that has failed, so that no request has to.
func (p *Pool) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.health.idleAndHealthy() || (p.health.failingSince == 0 && !p.health.stalled(p.now())))
}

// failure returns the time since which exchanges of the pool have failed, and the
// time of the last failure.
func (p *Pool) failure() (since, last time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.idleAndHealthy() {
		return 0, 0, false
	}
	now := p.now()
	since, ok = p.health.unresponsiveSince(now)
	last = p.health.lastFailure
	if p.health.stalled(now) {
		last = now
	}
	return since, last, ok
}
