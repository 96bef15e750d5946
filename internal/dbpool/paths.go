package dbpool

import (
	"sync/atomic"
	"time"
)

// ownerSizing is the size of a pool of connections to an owner, which do not count
// against the database's limit.
var ownerSizing = Sizing{MaxOpen: maxOpenPerInstance, IdleTimeout: idleTimeoutDefault, ViaOwner: true}

// paths holds the pools through which an instance reaches one database: one for
// each owner or, while the direct connections fail, for each instance that may still
// reach the database, in order of preference, and one of direct connections. Set.mu
// protects all fields except the atomic ones and probes.
type paths struct {
	owners              []*Pool
	direct              *Pool
	isOwner             bool          // this instance is an owner of the database's connections
	detoured            bool          // owners are detours, because the direct connections fail
	detourAt            time.Duration // when a detour was last needed; 0: never
	detourSince         time.Duration // since when detours are needed; 0: they are not
	mayConnect          bool          // direct connections are allowed while no owner is usable
	lastAnsweredControl atomic.Int64  // sending time of the last control command that the database answered, other than through a detour
	detourAnswer        atomic.Pointer[detourAnswer]
	probes              probes
}

// detourAnswer is an answer of a database through a detour.
type detourAnswer struct {
	sent    time.Duration // when the query was sent
	through string        // the other instance
}

// pick returns the pool of the first usable owner, or the direct pool. If no owner
// is usable and this instance may not connect itself, it returns the first owner's.
func (p *paths) pick() *Pool {
	for _, pool := range p.owners {
		if pool.usable() {
			return pool
		}
	}
	if len(p.owners) == 0 || p.mayConnect {
		return p.direct
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
	for _, pool := range p.owners {
		pool.Close()
	}
	if p.direct != nil {
		p.direct.Close()
	}
	p.owners, p.direct = nil, nil
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
