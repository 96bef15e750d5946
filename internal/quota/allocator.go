package quota

import (
	"slices"
	"sync"
	"time"
)

const (
	// ShareValidity is how long an instance may use a share, from when it sent the
	// request.
	ShareValidity = 10 * time.Second
	// ConfirmValidity is how long a coordinator may grant shares, from when the request
	// to the store was sent that confirmed the record.
	ConfirmValidity = 5 * time.Second
	// clockMargin covers clocks that run at slightly different rates: 0.1 % of the
	// longest time that is measured.
	clockMargin = 20 * time.Millisecond
	// listMaxAge is how old a list of the registered instances may get while the
	// allocator waits for instances that it names.
	listMaxAge = 1 * time.Second
)

// phase is the part of its work that a coordinator has reached.
type phase uint8

const (
	// silent: a predecessor may still grant shares. Nothing may be granted.
	silent phase = iota
	// partial: no predecessor grants shares. What instances have reported may be
	// divided; others may hold the rest.
	partial
	// open: all that instances hold was reported or has expired.
	open
)

// AllocatorConfig describes a coordinator.
type AllocatorConfig struct {
	Instance string // of the coordinator
	Token    uint64
	// Asked is when the request to the store was sent that wrote the record, and Started
	// when its response arrived.
	Asked, Started time.Duration
	// Predecessor is the instance that the previous record named, or "".
	Predecessor string
	// Incomplete means that the store may have lost registrations or a record.
	Incomplete bool
}

// Allocator is the coordinator's part. It divides the limits among the instances. It is
// safe for concurrent use.
type Allocator struct {
	cfg AllocatorConfig

	mu        sync.Mutex
	phase     phase
	phaseAt   time.Duration // when the phase began
	confirmed time.Duration
	stopping  bool
	replaced  bool
	members   map[string]*member
	ledgers   map[string]*ledger
	listed    []string      // registered instances
	listedAt  time.Duration // when the list was requested; 0: none
	sweptAt   time.Duration
	exchanges uint64
}

// member is an instance that has sent a request under the token.
type member struct {
	incarnation string
	seq         uint64
	reported    bool
	former      []string // incarnations that have ended; late requests of them are ignored
}

// maxFormer bounds member.former.
const maxFormer = 8

// NewAllocator returns an allocator.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{
		cfg: cfg, phaseAt: cfg.Started, confirmed: cfg.Asked, members: make(map[string]*member), ledgers: make(map[string]*ledger),
	}
}

// Token returns the token of the coordinator.
func (a *Allocator) Token() uint64 { return a.cfg.Token }

// Confirm notes that the store named this coordinator in the response to a request that
// was sent at asked.
func (a *Allocator) Confirm(asked time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed = max(a.confirmed, asked)
}

// Stop ends all grants, because the instance shuts down.
func (a *Allocator) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// ObserveToken ends all grants if the token is that of a successor. It reports whether
// there is one.
func (a *Allocator) ObserveToken(token uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replaced = a.replaced || token > a.cfg.Token
	return a.replaced
}

// NeedsList reports whether the allocator needs a list of the registered instances that
// is requested now.
func (a *Allocator) NeedsList(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if a.phase == open || a.replaced || a.cfg.Incomplete {
		return false
	}
	return a.listedAt == 0 || a.listedAt < a.phaseAt || now-a.listedAt > listMaxAge
}

// SetRegistered takes over a list of the registered instances that was requested at
// asked.
func (a *Allocator) SetRegistered(names []string, asked, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if asked >= a.listedAt {
		a.listed, a.listedAt = names, max(asked, 1)
	}
	a.advance(now)
}

// IsOpen reports whether all of the limits may be divided.
func (a *Allocator) IsOpen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == open
}

// advance enters the next phase if it is due. a.mu is held.
func (a *Allocator) advance(now time.Duration) {
	if a.phase == silent && (now-a.cfg.Started >= ConfirmValidity+clockMargin || a.allListed(func(string, *member) bool { return true })) {
		a.phase, a.phaseAt = partial, now
	}
	if a.phase != partial {
		return
	}
	// The shares of a coordinator's own instance end with its confirmation.
	ownEnded := now-a.cfg.Started >= ConfirmValidity+PermitValidity+clockMargin
	if now-a.cfg.Started >= ConfirmValidity+ShareValidity+2*clockMargin ||
		(a.listedAt >= a.phaseAt && a.allListed(func(name string, m *member) bool {
			return (m != nil && m.reported) || (ownEnded && name == a.cfg.Predecessor)
		})) {
		a.phase, a.phaseAt = open, now
		for _, l := range a.ledgers {
			l.setLimit(now, l.limit, true)
		}
	}
}

// allListed reports whether there is a complete list and all instances on it satisfy a
// condition. Those that sent no request under the token are passed only if the condition
// accepts a nil member. a.mu is held.
func (a *Allocator) allListed(ok func(string, *member) bool) bool {
	if a.listedAt == 0 || a.cfg.Incomplete || !slices.Contains(a.listed, a.cfg.Instance) {
		return false
	}
	for _, name := range a.listed {
		m := a.members[name]
		if a.phase == silent && m == nil {
			return false
		}
		if !ok(name, m) {
			return false
		}
	}
	return true
}

// isLate reports whether a request was sent before one that was answered.
func (m *member) isLate(r Request) bool {
	return (m.incarnation == r.Incarnation && r.Seq <= m.seq) || slices.Contains(m.former, r.Incarnation)
}

// Exchange answers a request. limitOf returns the limit of an organisation, or false if
// it has none.
func (a *Allocator) Exchange(r Request, now time.Duration, limitOf func(string) (Limit, bool)) Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := Reply{Token: a.cfg.Token, Seq: r.Seq}
	a.replaced = a.replaced || r.Token > a.cfg.Token
	if a.stopping || a.replaced {
		reply.Stopping = true
		return reply
	}
	m := a.members[r.Instance]
	if r.Token != a.cfg.Token || (m != nil && m.isLate(r)) || !r.isValid() {
		return reply
	}
	a.exchanges++
	if m == nil || m.incarnation != r.Incarnation {
		next := &member{incarnation: r.Incarnation}
		if m != nil {
			a.release(r.Instance, nil, now) // a process that has ended holds nothing
			next.former = append(m.former[max(0, len(m.former)-maxFormer+1):], m.incarnation)
		}
		m = next
		a.members[r.Instance] = m
	}
	m.seq = r.Seq
	a.advance(now)
	if a.phase == silent || now-a.confirmed >= ConfirmValidity || (!m.reported && !r.Full) {
		return reply
	}
	reply.Granting, reply.Validity = true, ShareValidity
	if r.Instance == a.cfg.Instance {
		reply.Validity = a.confirmed + ConfirmValidity - now
	}
	if r.Full {
		a.release(r.Instance, r.Asks, now)
	}
	first := !m.reported
	m.reported = true
	reply.Grants = make([]Grant, 0, len(r.Asks))
	for _, ask := range r.Asks {
		limit, limited := limitOf(ask.Organisation)
		if !limited {
			limit = Limit{} // this instance may have an older configuration
		}
		reply.Grants = append(reply.Grants, a.ask(r.Instance, ask, first, now, limit))
	}
	a.advance(now)
	a.sweep(now)
	return reply
}

// ask processes the entry of one organisation. first is set in the first report of the
// instance. a.mu is held.
func (a *Allocator) ask(instance string, ask Ask, first bool, now time.Duration, limit Limit) Grant {
	l := a.ledger(ask.Organisation, limit, now)
	h := l.holdings[instance]
	if h == nil {
		h = &holding{}
		l.holdings[instance] = h
	}
	if first && a.phase == partial {
		l.reported.Rate += ask.Rate
		l.reported.Storage += ask.Cap
	}
	l.setLimit(now, limit, a.phase == open)
	return l.ask(h, ask, now)
}

// isValid reports whether the numbers are in range.
func (r Request) isValid() bool {
	for _, k := range r.Asks {
		for _, v := range []float64{k.Rate, k.Cap, k.Permits, k.Demand} {
			if !(v >= 0 && v < maxNumber) {
				return false
			}
		}
		if k.Need < 0 || k.Rate > 1 || k.Cap > 1 {
			return false
		}
	}
	return true
}

// maxNumber bounds the numbers in a request.
const maxNumber = 1e12

// ledger returns the ledger of an organisation. One for which there was no request yet,
// or not since its pool was full, has been filled since the allocator is open.
func (a *Allocator) ledger(organisation string, limit Limit, now time.Duration) *ledger {
	l := a.ledgers[organisation]
	if l == nil {
		l = &ledger{holdings: make(map[string]*holding), limit: limit, filledAt: now, dividedAt: now}
		if a.phase == open {
			l.filledAt, l.budget = a.phaseAt, wholeLimit
		}
		a.ledgers[organisation] = l
	}
	return l
}

// release removes what an instance holds of the organisations that are not listed.
// a.mu is held.
func (a *Allocator) release(instance string, listed []Ask, now time.Duration) {
	keep := make(map[string]bool, len(listed))
	for _, k := range listed {
		keep[k.Organisation] = true
	}
	for name, l := range a.ledgers {
		if h := l.holdings[instance]; h != nil && !keep[name] {
			l.fill(now)
			l.set(h, 0, 0, 0)
			delete(l.holdings, instance)
		}
	}
}

// sweepInterval is the interval between two searches for organisations to forget.
const sweepInterval = 2 * time.Second

// sweep releases what has expired and forgets idle organisations. a.mu is held.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.sweptAt < sweepInterval {
		return
	}
	a.sweptAt = now
	for name, l := range a.ledgers {
		l.fill(now)
		l.expire(now)
		l.clip()
		if a.phase == open && l.isIdle() {
			delete(a.ledgers, name)
		}
	}
}

// Size returns the number of instances and organisations that the allocator knows.
func (a *Allocator) Size() (instances, organisations int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.members), len(a.ledgers)
}
