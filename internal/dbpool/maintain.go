package dbpool

import (
	"context"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Maintain closes connections that are dead or not needed. Where the limit has
// room it keeps one open, so that the first request does not wait and a crash is
// noticed without traffic. It tries an owner that failed again.
func (p *Pool) Maintain(ctx context.Context) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	now := p.now()
	sharing := p.sizing
	failed := p.owner != "" && p.health.failingSince != 0
	p.mu.Unlock()
	var keep []*pooledConn
	for i, c := range idle {
		last := i == len(idle)-1 && sharing.KeepWarm
		unused := now-c.idleSince > sharing.IdleTimeout && !last
		if unused || failed || !c.Alive() {
			p.discard(c)
			continue
		}
		keep = append(keep, c)
	}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(keep, p.idle...)
	}
	empty := sharing.KeepWarm && p.open == 0 && !closed && now >= max(p.dialAfter, p.warmUpAfter)
	again := failed && !closed && now >= p.dialAfter
	p.mu.Unlock()
	if closed {
		for _, c := range keep {
			p.discard(c)
		}
	}
	if empty || again {
		p.openIdle(ctx)
	}
}

// needsMaintenance reports whether Maintain has anything to do. Most pools of a
// large deployment are empty: with hundreds of databases, looking after each ten
// times a second took most of a small machine's processor.
func (p *Pool) needsMaintenance() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || (p.sizing.KeepWarm && p.open == 0) || (p.owner != "" && p.health.failingSince != 0)
}

// startMaintain maintains the pool unless that is under way.
func (p *Pool) startMaintain(ctx context.Context) {
	if p.maintaining.CompareAndSwap(false, true) {
		go func() {
			defer p.maintaining.Store(false)
			p.Maintain(ctx)
		}()
	}
}

// openIdle opens one connection and leaves it idle.
func (p *Pool) openIdle(ctx context.Context) {
	c, err := p.connect(ctx)
	if err != nil {
		return // noted by connect; tried again after a pause
	}
	p.putIdle(c)
}

// UnresponsiveSince returns since when the database has not answered this instance.
func (p *Pool) UnresponsiveSince() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.idleAndHealthy() {
		return 0, false
	}
	return p.health.unresponsiveSince(p.now())
}

// Control runs a status command without waiting in the queue. It uses an idle
// connection if there is one, and otherwise opens one of its own.
func (p *Pool) Control(ctx context.Context, c statement.Command, timeout time.Duration) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	began := p.now()
	if conn := p.takeIdle(); conn != nil && conn.Alive() {
		s, err := conn.Status(deadline, c)
		p.recordControl(began, err)
		if err == nil {
			p.putIdle(conn)
		} else {
			p.discard(conn)
		}
		return s, err
	} else if conn != nil {
		p.discard(conn)
	}
	conn, err := p.dial(ctx, p.db.Address, p.db.Service, p.db.ID)
	if err != nil {
		return statement.Status{}, dialError(p.db.ID, err)
	}
	defer func() { _ = conn.Close() }() // the answer is all that is wanted
	s, err := conn.Status(deadline, c)
	p.recordControl(began, err)
	return s, err
}

// putIdle puts a connection that is not in a transaction into the idle list.
func (p *Pool) putIdle(c *pooledConn) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.sizing.MaxOpen
	if keep {
		c.idleSince = p.now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// recordControl notes a control command that the database answered.
func (p *Pool) recordControl(began time.Duration, err error) {
	if err == nil || result.Is(err, result.Overloaded) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.health.begin(began)
		p.health.end(began, p.now(), true)
	}
}
