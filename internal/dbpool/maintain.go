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
	sharing := p.sharing
	failed := p.via != "" && p.health.failingSince != 0
	p.mu.Unlock()
	var keep []*pooled
	for i, c := range idle {
		last := i == len(idle)-1 && sharing.KeepWarm
		unused := now-c.idleSince > sharing.IdleTimeout && !last
		if unused || failed || !c.Alive() {
			p.drop(c)
			continue
		}
		keep = append(keep, c)
	}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(keep, p.idle...)
	}
	empty := sharing.KeepWarm && p.open == 0 && !closed && now >= max(p.redialAt, p.warmAt)
	again := failed && !closed && now >= p.redialAt
	p.mu.Unlock()
	if closed {
		for _, c := range keep {
			p.drop(c)
		}
	}
	if empty || again {
		p.warm(ctx)
	}
}

// needsMaintenance reports whether Maintain has anything to do. Most pools of a
// large deployment are empty: with hundreds of databases, looking after each ten
// times a second took most of a small machine's processor.
func (p *Pool) needsMaintenance() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || (p.sharing.KeepWarm && p.open == 0) || (p.via != "" && p.health.failingSince != 0)
}

// maintainSoon maintains the pool unless that is under way.
func (p *Pool) maintainSoon(ctx context.Context) {
	if p.maintaining.CompareAndSwap(false, true) {
		go func() {
			defer p.maintaining.Store(false)
			p.Maintain(ctx)
		}()
	}
}

// warm opens one connection and leaves it idle.
func (p *Pool) warm(ctx context.Context) {
	c, err := p.connect(ctx)
	if err != nil {
		return // noted by connect; tried again after a pause
	}
	p.giveBack(c)
}

// UnresponsiveSince returns since when the database has not answered this instance.
func (p *Pool) UnresponsiveSince() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.quiet() {
		return 0, false
	}
	return p.health.troubled(p.now())
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
		p.noteControl(began, err)
		if err == nil {
			p.giveBack(conn)
		} else {
			p.drop(conn)
		}
		return s, err
	} else if conn != nil {
		p.drop(conn)
	}
	conn, err := p.dial(ctx, p.db.Address, p.db.Service, p.db.ID)
	if err != nil {
		return statement.Status{}, dialError(p.db.ID, err)
	}
	defer func() { _ = conn.Close() }() // the answer is all that is wanted
	s, err := conn.Status(deadline, c)
	p.noteControl(began, err)
	return s, err
}

// giveBack puts a connection that is not in a transaction into the idle list.
func (p *Pool) giveBack(c *pooled) {
	p.mu.Lock()
	keep := !p.closed && p.open <= p.sharing.MaxOpen
	if keep {
		c.idleSince = p.now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

// noteControl notes a control command that the database answered.
func (p *Pool) noteControl(began time.Duration, err error) {
	if err == nil || result.Is(err, result.Overloaded) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.health.begin(began)
		p.health.end(began, p.now(), true)
	}
}
