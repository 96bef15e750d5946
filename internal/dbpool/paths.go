package dbpool

import (
	"sync/atomic"
	"time"
)

// ownerSizing is how an instance holds connections to an owner. They cost the
// database nothing.
var ownerSizing = Sizing{MaxOpen: maxOpenPerInstance, IdleTimeout: idleTimeoutDefault, ViaOwner: true}

// paths are the ways to one database: the owners' connections, in the order of
// preference, and connections of its own. The Set's lock protects the fields
// but cleared.
type paths struct {
	owners     []*Pool
	direct     *Pool
	isOwner    bool         // this instance holds connections for others
	answeredAt atomic.Int64 // when a question was sent that the database answered
}

// pick returns the first way that works, or else the last one.
func (p *paths) pick() *Pool {
	for _, v := range p.owners {
		if v.usable() {
			return v
		}
	}
	return p.direct
}

// noteAnswered notes that the database answered a question that was sent at a moment.
func (p *paths) noteAnswered(sent time.Duration) { p.answeredAt.Store(int64(sent)) }

// unresponsiveSince returns since when a way has failed, if it failed after the database
// last answered a question. An owner in trouble does not make the database one.
func (p *paths) unresponsiveSince() (time.Duration, bool) {
	if len(p.owners) == 0 {
		return p.direct.UnresponsiveSince()
	}
	var since time.Duration
	troubled := false
	for _, v := range append(p.owners[:len(p.owners):len(p.owners)], p.direct) {
		at, last, ok := v.failure()
		if ok && last > time.Duration(p.answeredAt.Load()) {
			since, troubled = max(since, at), true
		}
	}
	return since, troubled
}

func (p *paths) close() {
	for _, v := range p.owners {
		v.Close()
	}
	if p.direct != nil {
		p.direct.Close()
	}
	p.owners, p.direct = nil, nil
}

// usable reports that the last attempt did not fail. Maintain finds out when an
// owner usable again, so that no request has to.
func (p *Pool) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.health.idleAndHealthy() || (p.health.failingSince == 0 && !p.health.stalled(p.now())))
}

// failure returns since when the pool gets no answer, and when that was last
// seen.
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
