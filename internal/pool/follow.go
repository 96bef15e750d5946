package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
)

const (
	// followWait is how long one wait for the next position lasts. It bounds
	// how late a change that writes no log entry is seen, such as leaving.
	followWait = 250 * time.Millisecond
	// standbyWait is the same for a standby owner, which only stands in. With
	// four databases a node this keeps the status traffic near 2 KB/s.
	standbyWait = time.Second
	// primaryPause separates waits on a primary, whose position nobody waits
	// for here. Without it each commit costs a control call.
	primaryPause = 20 * time.Millisecond
	// controlTimeout bounds a control call beyond its own wait. A database
	// that answers later counts as unreachable.
	controlTimeout = 750 * time.Millisecond
	// idleFollow slows a server down that returns from a wait early.
	idleFollow = 2 * time.Millisecond
)

// Bounds of the pause between attempts to reach a database.
const (
	reconnectMin = 20 * time.Millisecond
	reconnectMax = 500 * time.Millisecond
)

// follow keeps the unit's status current until the unit ends.
func (u *unit) follow() {
	pause := reconnectMin
	for u.ctx.Err() == nil {
		seen, err := u.followOnce()
		if u.ctx.Err() != nil {
			return
		}
		before, _ := u.look()
		u.lose()
		if before.known || !before.failed {
			u.pool.cfg.Log.Warn().Err(err).Str("database", u.db.Name).Msg("Database does not answer.")
			u.pool.record(events.Event{
				Kind: events.KindMembership, Group: u.group, Database: u.db.Name,
				Code: result.DatabaseDown, Text: "the database does not answer this instance and gets no new work from it",
			})
		}
		if seen {
			pause = reconnectMin
		}
		// Jitter keeps the owners of a restarted database from reconnecting
		// at the same moment.
		jittered := pause/2 + rand.N(pause)
		pause = min(2*pause, reconnectMax)
		u.pause(jittered)
	}
}

// followOnce follows the database on one connection and reports whether it saw
// a status.
func (u *unit) followOnce() (seen bool, err error) {
	c, err := u.control()
	if err != nil {
		return false, err
	}
	defer c.Close()
	s, err := u.call(0, c.Status)
	if before, _ := u.look(); err == nil && before.failed {
		u.recordReturn(s)
	}
	for err == nil {
		seen = true
		u.observe(s)
		next := backend.Position{Term: s.Last.Term, Offset: s.Last.Offset + 1}
		began := time.Now()
		last := s
		wait := followWait
		if u.standby.Load() {
			wait = standbyWait
		}
		s, err = u.call(wait, func(ctx context.Context) (backend.Status, error) {
			return c.Wait(ctx, next, wait)
		})
		switch {
		case err != nil:
		case s.Role == backend.RolePrimary && last.Role == backend.RolePrimary:
			u.pause(primaryPause)
		case s.Last == last.Last && time.Since(began) < followWait/2:
			u.pause(idleFollow)
		}
	}
	return seen, err
}

// recordReturn tells that a database answers after it did not.
func (u *unit) recordReturn(s backend.Status) {
	u.pool.cfg.Log.Info().Str("database", u.db.Name).Msg("Database answers again.")
	u.pool.record(events.Event{
		Kind: events.KindMembership, Group: u.group, Database: u.db.Name,
		Text: fmt.Sprintf("the database answers again as %s of term %d", s.Role, s.Term),
	})
}

// pause waits for d or the end of the unit.
func (u *unit) pause(d time.Duration) {
	select {
	case <-u.ctx.Done():
	case <-u.pool.cfg.Clock.After(d):
	}
}

func (u *unit) control() (backend.Control, error) {
	ctx, cancel := context.WithTimeout(u.ctx, controlTimeout)
	defer cancel()
	return u.backend.Control(ctx)
}

func (u *unit) call(wait time.Duration, f func(context.Context) (backend.Status, error)) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(u.ctx, wait+controlTimeout)
	defer cancel()
	return f(ctx)
}

// errNotProbed means that the unit ended before a status was read.
var errNotProbed = errors.New("the database was given up")

// prober answers with statuses that were read after the question. Questions
// that arrive during a call are answered together by the next one.
type prober struct {
	u *unit

	mu   sync.Mutex
	conn backend.Control // used by the running call only
	busy bool
	next *probe
}

type probe struct {
	done   chan struct{}
	status backend.Status
	err    error
}

func newProber(u *unit) *prober { return &prober{u: u} }

// status returns a status that was read after the call began.
func (p *prober) status(ctx context.Context) (backend.Status, error) {
	p.mu.Lock()
	if p.next == nil {
		p.next = &probe{done: make(chan struct{})}
	}
	mine := p.next
	if !p.busy {
		if !p.u.spawn(p.run) {
			p.mu.Unlock()
			return backend.Status{}, errNotProbed
		}
		p.busy = true
	}
	p.mu.Unlock()
	select {
	case <-mine.done:
		return mine.status, mine.err
	case <-ctx.Done():
		return backend.Status{}, ctx.Err()
	}
}

// run answers questions until there are none.
func (p *prober) run() {
	for {
		p.mu.Lock()
		current := p.next
		p.next = nil
		if current == nil {
			p.busy = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		current.status, current.err = p.ask()
		close(current.done)
	}
}

func (p *prober) ask() (backend.Status, error) {
	if p.u.ctx.Err() != nil {
		return backend.Status{}, errNotProbed
	}
	reused := p.conn != nil
	s, err := p.askOnce()
	if err != nil && reused {
		// The server may have closed the connection while it was idle.
		s, err = p.askOnce()
	}
	return s, err
}

func (p *prober) askOnce() (backend.Status, error) {
	if p.conn == nil {
		c, err := p.u.control()
		if err != nil {
			return backend.Status{}, err
		}
		p.conn = c
	}
	s, err := p.u.call(0, p.conn.Status)
	if err != nil {
		p.conn.Close()
		p.conn = nil
	}
	return s, err
}

// close closes the connection. No call is running then.
func (p *prober) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}
