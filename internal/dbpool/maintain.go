package dbpool

import (
	"context"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Maintain closes connections that are dead or not needed and keeps one open,
// so that the first request does not wait and a crash is noticed without
// traffic. It is called about once a second.
func (p *Pool) Maintain(ctx context.Context) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	now := p.now()
	var keep []*pooled
	for i, c := range idle {
		unused := now-c.idleSince > idleKept && i < len(idle)-1
		if unused || !c.Alive() {
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
	empty := p.open == 0 && !closed && now >= p.redialAt
	p.mu.Unlock()
	if closed {
		for _, c := range keep {
			p.drop(c)
		}
	}
	if empty {
		p.warm(ctx)
	}
}

// warm opens one connection and leaves it idle.
func (p *Pool) warm(ctx context.Context) {
	c, err := p.connect(ctx)
	if err != nil {
		return // noted by connect; tried again after a pause
	}
	p.mu.Lock()
	c.idleSince = p.now()
	keep := !p.closed
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

// Troubled returns since when the database has not answered this instance.
func (p *Pool) Troubled() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.troubled(p.now())
}

// Control runs a status command on a connection of its own, outside the share
// and the queue, so that it works while all connections are in use.
func (p *Pool) Control(ctx context.Context, c statement.Command, timeout time.Duration) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := p.now()
	conn, err := p.dial(ctx, p.db.Address, p.db.Service, p.db.ID)
	if err != nil {
		return statement.Status{}, dialError(p.db.ID, err)
	}
	defer func() { _ = conn.Close() }() // the answer is all that is wanted
	deadline, _ := ctx.Deadline()
	s, err := conn.Status(deadline, c)
	if err == nil || result.Is(err, result.Overloaded) {
		p.noteAnswer(began)
	}
	return s, err
}

func (p *Pool) noteAnswer(began time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.begin(began)
	p.health.end(began, p.now(), true)
}
