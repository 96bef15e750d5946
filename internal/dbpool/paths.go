package dbpool

import (
	"sync/atomic"
	"time"
)

// hopSharing is how an instance holds connections to an owner. They cost the
// database nothing.
var hopSharing = Sizing{MaxOpen: maxShare, IdleTimeout: idleLongest, ViaOwner: true}

// paths are the ways to one database: the owners' connections, in the order of
// preference, and connections of its own. The Set's lock protects the fields
// but cleared.
type paths struct {
	via     []*Pool
	direct  *Pool
	owned   bool         // this instance holds connections for others
	cleared atomic.Int64 // when a question was sent that the database answered
}

// pick returns the first way that works, or else the last one.
func (p *paths) pick() *Pool {
	for _, v := range p.via {
		if v.works() {
			return v
		}
	}
	return p.direct
}

// clear notes that the database answered a question that was sent at a moment.
func (p *paths) clear(sent time.Duration) { p.cleared.Store(int64(sent)) }

// troubled returns since when a way has failed, if it failed after the database
// last answered a question. An owner in trouble does not make the database one.
func (p *paths) troubled() (time.Duration, bool) {
	if len(p.via) == 0 {
		return p.direct.UnresponsiveSince()
	}
	var since time.Duration
	troubled := false
	for _, v := range append(p.via[:len(p.via):len(p.via)], p.direct) {
		at, last, ok := v.failing()
		if ok && last > time.Duration(p.cleared.Load()) {
			since, troubled = max(since, at), true
		}
	}
	return since, troubled
}

func (p *paths) close() {
	for _, v := range p.via {
		v.Close()
	}
	if p.direct != nil {
		p.direct.Close()
	}
	p.via, p.direct = nil, nil
}

// works reports that the last attempt did not fail. Maintain finds out when an
// owner works again, so that no request has to.
func (p *Pool) works() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.health.quiet() || (p.health.failingSince == 0 && !p.health.silent(p.now())))
}

// failing returns since when the pool gets no answer, and when that was last
// seen.
func (p *Pool) failing() (since, last time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.quiet() {
		return 0, 0, false
	}
	now := p.now()
	since, ok = p.health.troubled(now)
	last = p.health.lastFailure
	if p.health.silent(now) {
		last = now
	}
	return since, last, ok
}
