package dbpool

import (
	"context"
	"slices"
	"time"

	"geraniumbeam/internal/placement"
	"geraniumbeam/internal/result"
)

// In a deployment with organisations, a connection serves one of them: a request runs only
// on a connection that was opened under the name of its organisation. Connections to an
// owner serve all organisations; the owner has a connection for each.

const (
	// closeSettleTime is how long a database may still count a connection after the pool
	// has closed it. The reset arrives before the handshake of the next connection; the
	// rest is for a database whose processor is busy.
	closeSettleTime = 10 * time.Millisecond
	// initialOpenTime is the assumed time to open a connection before one was measured.
	initialOpenTime = 15 * time.Millisecond
	// maxOpenTime bounds the time for which a request waits for a connection in use: a
	// database that is overloaded takes long to open one, and the request's deadline does
	// not move.
	maxOpenTime = 50 * time.Millisecond
	// maxHoldSample bounds the time that counts as the use of a connection by a
	// request. A transaction also holds it while its caller is idle.
	maxHoldSample = 100 * time.Millisecond
	// meanWeight is the weight of one sample in the mean times.
	meanWeight = 1.0 / 16
	// boundStepTime is how long the bound of connections stays lowered by one after the
	// database refused a connection because of its limit.
	boundStepTime = 2 * time.Second
	// idleTransactionTime is how long a transaction must have sent nothing to count as
	// idle. Callers usually send the next statement within a few milliseconds.
	idleTransactionTime = 100 * time.Millisecond
	// maxUses bounds the organisations whose use of the database is known. An entry takes
	// about 100 bytes.
	maxUses = 4096
)

// assignment is what a pool knows about the organisations that use its connections.
// Pool.mu protects it. It stays empty in a deployment without organisations.
type assignment struct {
	inForce  bool // a request had an organisation
	uses     map[string]*placement.Use
	inUse    []*pooledConn // connections of organisations that are in use
	waiters  []*waiter
	settling []time.Duration // until when the database may count closed connections
	hold     time.Duration   // mean time for which a request uses a connection
	openTime time.Duration   // mean time to open a connection
	lowered  int             // connections by which the bound is lowered
	restore  time.Duration   // when lowered next falls by one
	// idleTransactions is the number of connections in use that run nothing, as of the
	// last maintenance.
	idleTransactions int
}

// waiter is a request that waits for a connection of its organisation that is in use.
type waiter struct {
	organisation string
	conn         chan *pooledConn // has room for one
}

// organisationOf returns the organisation whose connection a request of the given one
// needs.
func (p *Pool) organisationOf(organisation string) string {
	if p.owner != "" {
		return ""
	}
	return organisation
}

// bound returns the number of connections that the pool may open now. p.mu is held.
func (p *Pool) bound() int { return max(1, p.sizing.MaxOpen-p.assigned.lowered) }

// concurrency returns the number of requests that may use connections at a time. Idle
// transactions don't count if there are further connections: the transactions of an
// organisation meet at one owner, and while their callers are idle, they would stop all
// its other organisations. p.mu is held.
func (p *Pool) concurrency() int {
	return min(p.sizing.concurrency()+p.assigned.idleTransactions, p.bound())
}

// countIdleTransactions adapts the concurrency to the number of idle transactions. p.mu is
// held.
func (p *Pool) countIdleTransactions(now time.Duration) {
	before := p.concurrency()
	p.assigned.idleTransactions = 0
	for _, c := range p.assigned.inUse {
		if !c.exchanging && now-max(c.takenAt, c.usedAt) > idleTransactionTime {
			p.assigned.idleTransactions++
		}
	}
	if after := p.concurrency(); after != before {
		p.queue.SetConcurrency(after)
	}
}

// recordUse counts a request of an organisation.
func (p *Pool) recordUse(organisation string) {
	if organisation == "" {
		return
	}
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assigned.inForce = true
	u := p.assigned.uses[organisation]
	if u == nil {
		if p.assigned.uses == nil || len(p.assigned.uses) >= maxUses {
			p.assigned.uses = make(map[string]*placement.Use)
		}
		u = &placement.Use{}
		p.assigned.uses[organisation] = u
	}
	u.Record(now)
}

// taken records that a request uses a connection. p.mu is held.
func (p *Pool) taken(c *pooledConn) {
	if c.organisation == "" {
		return
	}
	c.takenAt = p.now()
	p.assigned.inUse = append(p.assigned.inUse, c)
}

// returned records that a request no longer uses a connection. p.mu is held.
func (p *Pool) returned(c *pooledConn) {
	a := &p.assigned
	i := slices.Index(a.inUse, c)
	if i < 0 {
		return
	}
	a.inUse = slices.Delete(a.inUse, i, i+1)
	a.hold = smoothed(a.hold, min(p.now()-c.takenAt, maxHoldSample))
}

// smoothed returns the moving average of samples after another one.
func smoothed(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanWeight*float64(sample-mean))
}

// settle records that a connection was closed, which the database may not know yet.
// p.mu is held.
func (p *Pool) settle() {
	if p.assigned.inForce {
		p.assigned.settling = append(p.assigned.settling, p.now()+closeSettleTime)
	}
}

// reserve reserves room for a connection of an organisation and returns how long the
// connection must not be opened yet. If the pool is full, it closes an idle connection
// of another organisation. It reports false if there is no room. p.mu is held.
//
// Together with the closed connections that the database may still count, there are never
// more than the bound: a connection that takes the place of another one is opened when
// the database no longer counts that one. To leave one place free instead, so that no
// request waits for that, costs a quarter more new connections.
func (p *Pool) reserve(now time.Duration, organisation string) (delay time.Duration, ok bool) {
	a := &p.assigned
	a.settling = slices.DeleteFunc(a.settling, func(until time.Duration) bool { return until <= now })
	bound := p.bound()
	atLimit := a.inForce && now < p.atLimitUntil // the database has no room for more
	if atLimit {
		p.evictFor(now, organisation)
	}
	for p.open >= bound && p.evictFor(now, organisation) {
	}
	if p.open >= bound {
		return 0, false
	}
	if len(a.settling) > 0 && (p.open+len(a.settling) >= bound || atLimit) {
		delay = a.settling[0] - now
		a.settling = slices.Delete(a.settling, 0, 1)
	}
	p.open++
	return delay, true
}

// awaitSettled waits until the database no longer counts a closed connection, in whose
// place one is to be opened. If ctx ends before, it gives up the place.
func (p *Pool) awaitSettled(ctx context.Context, delay time.Duration) error {
	select {
	case <-p.clock.After(delay):
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.settle() // the connection that was closed for this one
	return result.Errorf(result.DeadlineBeforeRun, "the request ended while a connection to database %s was replaced: %w", p.db.ID, ctx.Err())
}

// evictFor closes an idle connection that serves another organisation than the given one.
// It reports false if there is none. p.mu is held.
func (p *Pool) evictFor(now time.Duration, organisation string) bool {
	at := p.neededLast(now, func(c *pooledConn) bool { return c.organisation != organisation })
	if at < 0 {
		return false
	}
	p.closeIdle(at)
	p.countOrganisation("closed_for_another")
	return true
}

// neededLast returns the index of the idle connection that is expected to be needed last
// among those for which among returns true, or -1 if there is none. p.mu is held.
func (p *Pool) neededLast(now time.Duration, among func(*pooledConn) bool) int {
	var idle []placement.Idle
	var indexes []int
	for i, c := range p.idle {
		if among(c) {
			idle = append(idle, placement.Idle{Organisation: c.organisation, Rate: p.assigned.rate(c.organisation, now)})
			indexes = append(indexes, i)
		}
	}
	at := placement.Victim(idle, p.assigned.hold)
	if at < 0 {
		return -1
	}
	return indexes[at]
}

func anyConn(*pooledConn) bool { return true }

// closeIdle closes an idle connection. p.mu is held: otherwise another one could be
// opened before the reset is sent.
func (p *Pool) closeIdle(at int) {
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	_ = c.Abort() // the connection is not used again
	p.open--
	p.settle()
}

func (a *assignment) rate(organisation string, now time.Duration) float64 {
	u := a.uses[organisation]
	if u == nil {
		return 0
	}
	return u.Rate(now)
}

// awaitRelease waits for a connection of an organisation that is in use, if it is expected
// to be released before another one could be opened. It returns nil if none was.
func (p *Pool) awaitRelease(ctx context.Context, organisation string) *pooledConn {
	w := &waiter{organisation: organisation, conn: make(chan *pooledConn, 1)}
	p.mu.Lock()
	wait := p.releaseWait(organisation)
	if wait > 0 {
		p.assigned.waiters = append(p.assigned.waiters, w)
	}
	p.mu.Unlock()
	if wait == 0 {
		return nil
	}
	p.countOrganisation("waited")
	select {
	case c := <-w.conn:
		return c
	case <-ctx.Done():
	case <-p.clock.After(wait):
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assigned.waiters = slices.DeleteFunc(p.assigned.waiters, func(x *waiter) bool { return x == w })
	select {
	case c := <-w.conn: // since the wait ended
		return c
	default:
		return nil
	}
}

// releaseWait returns how long a request should wait for a connection of its organisation
// that is in use. p.mu is held.
func (p *Pool) releaseWait(organisation string) time.Duration {
	a := &p.assigned
	now := p.now()
	var held []time.Duration
	for _, c := range a.inUse {
		if c.organisation == organisation {
			held = append(held, now-c.takenAt)
		}
	}
	if len(held) == 0 {
		return 0
	}
	waiting := 0
	for _, w := range a.waiters {
		if w.organisation == organisation {
			waiting++
		}
	}
	open := initialOpenTime
	if a.openTime > 0 {
		open = min(a.openTime, maxOpenTime)
	}
	return placement.WaitTime(held, waiting, a.hold, open)
}

// handOver gives a released connection to a request that waits for it. p.mu is held.
func (p *Pool) handOver(c *pooledConn) bool {
	a := &p.assigned
	i := slices.IndexFunc(a.waiters, func(w *waiter) bool { return w.organisation == c.organisation })
	if i < 0 {
		return false
	}
	p.taken(c)
	a.waiters[i].conn <- c
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}

// lowerBound reacts to a refusal because of the database's connection limit: the
// database counts connections of other instances that this one does not know. p.mu is
// held.
func (p *Pool) lowerBound(now time.Duration) {
	a := &p.assigned
	if a.lowered < p.sizing.MaxOpen-1 {
		a.lowered++
	}
	a.restore = now + boundStepTime
	if at := p.neededLast(now, anyConn); at >= 0 {
		p.closeIdle(at)
	}
	p.queue.SetConcurrency(p.concurrency())
	p.countOrganisation("refused_by_limit")
}

// restoreBound raises a lowered bound by one step when it is time. p.mu is held.
func (p *Pool) restoreBound(now time.Duration) {
	a := &p.assigned
	if a.lowered == 0 || now < a.restore {
		return
	}
	a.lowered--
	a.restore = now + boundStepTime
	p.queue.SetConcurrency(p.concurrency())
}

// forgetUses drops the uses of organisations that no longer use the database. p.mu is
// held.
func (p *Pool) forgetUses(now time.Duration) {
	for name, u := range p.assigned.uses {
		if u.Negligible(now) {
			delete(p.assigned.uses, name)
		}
	}
}

// servesOrganisations reports whether a connection of an organisation is open. p.mu is
// held.
func (p *Pool) servesOrganisations() bool {
	return len(p.assigned.inUse) > 0 || slices.ContainsFunc(p.idle, func(c *pooledConn) bool { return c.organisation != "" })
}

// takeAnyIdle takes an idle connection for a command that any connection may run: the
// one that a request is expected to need last.
func (p *Pool) takeAnyIdle() *pooledConn {
	p.mu.Lock()
	if !p.servesOrganisations() {
		p.mu.Unlock()
		return p.takeIdle("", nil)
	}
	defer p.mu.Unlock()
	at := p.neededLast(p.now(), anyConn)
	if at < 0 {
		return nil
	}
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return c
}

// putBack returns a connection that ran a control command to the idle list. The command
// does not count as a use by the connection's organisation.
func (p *Pool) putBack(c *pooledConn) {
	if c.organisation == "" {
		p.putIdle(c)
		return
	}
	p.mu.Lock()
	keep := !p.closed && p.open <= p.bound()
	if keep && !p.handOver(c) {
		at := slices.IndexFunc(p.idle, func(o *pooledConn) bool { return o.idleSince > c.idleSince })
		if at < 0 {
			at = len(p.idle)
		}
		p.idle = slices.Insert(p.idle, at, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}
