package dbpool

import (
	"context"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Maintain closes connections that are dead or have been idle for too long. With
// KeepWarm it keeps one open, so that the first request does not wait for it and a
// crash of the database is noticed without traffic. It retries an owner that has
// failed.
func (p *Pool) Maintain(ctx context.Context) {
	p.mu.Lock()
	now := p.now()
	sizing := p.sizing
	ownerFailed := p.owner != "" && p.health.failingSince != 0
	organisations := p.servesOrganisations()
	var keep, unneeded []*pooledConn
	for i, c := range p.idle {
		last := i == len(p.idle)-1 && sizing.KeepWarm
		expired := now-c.idleSince > sizing.IdleTimeout && !last
		unassigned := organisations && c.organisation == ""
		if expired || unassigned || ownerFailed || !c.Alive() {
			unneeded = append(unneeded, c)
			continue
		}
		keep = append(keep, c)
	}
	p.idle = keep
	p.restoreBound(now)
	p.countIdleTransactions(now)
	p.forgetUses(now)
	p.mu.Unlock()
	for _, c := range unneeded {
		p.discard(c)
	}
	p.mu.Lock()
	warmUp := sizing.KeepWarm && p.open == 0 && !p.closed && now >= max(p.dialAfter, p.warmUpAfter)
	retryOwner := ownerFailed && !p.closed && now >= p.dialAfter
	p.mu.Unlock()
	if warmUp || retryOwner {
		p.openIdle(ctx)
	}
}

// needsMaintenance reports whether Maintain has anything to do. In a large
// deployment most pools are empty, and with hundreds of databases, maintaining each
// of them ten times a second uses most of a small machine's processor.
func (p *Pool) needsMaintenance() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || len(p.assigned.inUse) > 0 || p.assigned.lowered > 0 || p.assigned.idleTransactions > 0 || (p.sizing.KeepWarm && p.open == 0) || (p.owner != "" && p.health.failingSince != 0)
}

// startMaintain runs Maintain in the background unless it is already running.
func (p *Pool) startMaintain(ctx context.Context) {
	if p.maintaining.CompareAndSwap(false, true) {
		go func() {
			defer p.maintaining.Store(false)
			p.Maintain(ctx)
		}()
	}
}

// openIdle opens a connection and adds it to the idle list.
func (p *Pool) openIdle(ctx context.Context) {
	c, err := p.connect(ctx, "")
	if err != nil {
		return // recorded by connect; retried after the back-off
	}
	p.putIdle(c)
}

// UnresponsiveSince returns the time since which the database has failed to answer
// this instance. It returns false if the database is considered responsive.
func (p *Pool) UnresponsiveSince() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.idleAndHealthy() {
		return 0, false
	}
	return p.health.unresponsiveSince(p.now())
}

// unresponsiveFor returns how long the database has failed to answer this instance, or
// 0 if it is considered responsive.
func (p *Pool) unresponsiveFor(now time.Duration) time.Duration {
	since, unresponsive := p.UnresponsiveSince()
	if !unresponsive {
		return 0
	}
	return now - since
}

// Control runs a control command without waiting in the queue. It uses an idle
// connection of any organisation if there is one, and otherwise opens one outside the pool.
func (p *Pool) Control(ctx context.Context, c statement.Command, timeout time.Duration) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	began := p.now()
	if conn := p.takeAnyIdle(); conn != nil && conn.Alive() {
		return p.controlOn(conn, deadline, c, began)
	} else if conn != nil {
		p.discard(conn)
	}
	if p.owner != "" {
		// Connections to an owner don't count against the database's limit, so this
		// one is kept for others.
		conn, err := p.connect(ctx, "")
		if err != nil {
			return statement.Status{}, err
		}
		return p.controlOn(conn, deadline, c, began)
	}
	conn, err := p.dial(ctx, p.db.Address, p.db.Service, p.db.ID, "")
	if err != nil {
		return statement.Status{}, dialError(p.db.ID, err)
	}
	defer func() { _ = conn.Close() }() // the answer has been received
	s, err := conn.Status(deadline, c)
	p.recordControl(began, err)
	return s, err
}

// controlOn runs a control command on a connection of the pool, which it keeps if the
// command is answered.
func (p *Pool) controlOn(conn *pooledConn, deadline time.Time, c statement.Command, began time.Duration) (statement.Status, error) {
	s, err := conn.Status(deadline, c)
	p.recordControl(began, err)
	if err == nil {
		p.putBack(conn)
	} else {
		p.discard(conn)
	}
	return s, err
}

// putIdle adds a connection to the idle list or gives it to a request that waits for
// it, or closes it if the pool has too many.
// The connection must not be in a transaction.
func (p *Pool) putIdle(c *pooledConn) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.bound()
	if keep {
		c.idleSince = p.now()
		p.returned(c)
		if !p.handOver(c) {
			p.idle = append(p.idle, c)
		}
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// recordControl records the answer to a control command, refusals for load included.
func (p *Pool) recordControl(began time.Duration, err error) {
	if err == nil || result.Is(err, result.Overloaded) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.health.begin(began)
		p.health.end(began, p.now(), true)
	}
}
