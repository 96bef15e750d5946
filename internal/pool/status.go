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
	// statusWait is how long one control call waits for the next log position.
	// It bounds the delay in noticing a change that writes no log entry, such as
	// leaving.
	statusWait = 250 * time.Millisecond
	// standbyStatusWait is the same for a standby owner. It keeps the status
	// traffic near 2 KB/s on an instance with four databases.
	standbyStatusWait = time.Second
	// primaryPollDelay separates the control calls to a primary. Nothing waits
	// for its position here, and without the delay each commit would cause a call.
	primaryPollDelay = 20 * time.Millisecond
	// controlTimeout is the timeout of a control call, in addition to its wait for
	// a position. A database that exceeds it counts as unreachable.
	controlTimeout = 750 * time.Millisecond
	// earlyReturnDelay limits the rate of calls to a server that returns from a
	// wait too early.
	earlyReturnDelay = 2 * time.Millisecond
)

// Limits of the back-off between attempts to connect to a database.
const (
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
)

// followStatus keeps the status of the database current until d is closed.
func (d *ownedDatabase) followStatus() {
	backoff := minReconnectDelay
	for d.ctx.Err() == nil {
		sawStatus, err := d.followConnection()
		if d.ctx.Err() != nil {
			return
		}
		before, _ := d.currentState()
		d.setUnreachable()
		if before.reachable || !before.failed {
			d.pool.cfg.Log.Warn().Err(err).Str("database", d.info.Name).Msg("Database is unreachable.")
			d.pool.record(events.Event{
				Kind: events.KindMembership, Group: d.group, Database: d.info.Name,
				Code: result.DatabaseDown, Text: "the database is unreachable from this instance and gets no new work from it",
			})
		}
		if sawStatus {
			backoff = minReconnectDelay
		}
		// Jitter keeps the owners of a restarted database from reconnecting
		// at the same moment.
		jittered := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxReconnectDelay)
		d.sleep(jittered)
	}
}

// followConnection follows the status over one connection until that fails. It
// reports whether it received a status.
func (d *ownedDatabase) followConnection() (sawStatus bool, err error) {
	c, err := d.openControl()
	if err != nil {
		return false, err
	}
	defer c.Close()
	s, err := d.callControl(0, c.Status)
	if before, _ := d.currentState(); err == nil && before.failed {
		d.recordRecovery(s)
	}
	for err == nil {
		sawStatus = true
		d.setStatus(s)
		next := backend.Position{Term: s.Last.Term, Offset: s.Last.Offset + 1}
		began := time.Now()
		last := s
		wait := statusWait
		if d.standby.Load() {
			wait = standbyStatusWait
		}
		s, err = d.callControl(wait, func(ctx context.Context) (backend.Status, error) {
			return c.Wait(ctx, next, wait)
		})
		switch {
		case err != nil:
		case s.Role == backend.RolePrimary && last.Role == backend.RolePrimary:
			d.sleep(primaryPollDelay)
		case s.Last == last.Last && time.Since(began) < statusWait/2:
			d.sleep(earlyReturnDelay)
		}
	}
	return sawStatus, err
}

// recordRecovery logs and records that an unreachable database answers again.
func (d *ownedDatabase) recordRecovery(s backend.Status) {
	d.pool.cfg.Log.Info().Str("database", d.info.Name).Msg("Database is reachable again.")
	d.pool.record(events.Event{
		Kind: events.KindMembership, Group: d.group, Database: d.info.Name,
		Text: fmt.Sprintf("the database is reachable again as %s at term %d", s.Role, s.Term),
	})
}

// sleep waits for delay or until d is closed.
func (d *ownedDatabase) sleep(delay time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-d.pool.cfg.Clock.After(delay):
	}
}

func (d *ownedDatabase) openControl() (backend.ControlConn, error) {
	ctx, cancel := context.WithTimeout(d.ctx, controlTimeout)
	defer cancel()
	return d.backend.ConnectControl(ctx)
}

func (d *ownedDatabase) callControl(wait time.Duration, f func(context.Context) (backend.Status, error)) (backend.Status, error) {
	ctx, cancel := context.WithTimeout(d.ctx, wait+controlTimeout)
	defer cancel()
	return f(ctx)
}

// errReleased means that the database was closed before a status was read.
var errReleased = errors.New("the database was released by this instance")

// prober returns statuses that were read after they were requested. Requests that
// arrive during a control call share the next one.
type prober struct {
	db *ownedDatabase

	mu      sync.Mutex
	conn    backend.ControlConn // used by run only, and by close afterwards
	running bool
	next    *probe
}

type probe struct {
	done   chan struct{}
	status backend.Status
	err    error
}

func newProber(d *ownedDatabase) *prober { return &prober{db: d} }

// status returns a status that was read after the call began.
func (p *prober) status(ctx context.Context) (backend.Status, error) {
	p.mu.Lock()
	if p.next == nil {
		p.next = &probe{done: make(chan struct{})}
	}
	pending := p.next
	if !p.running {
		if !p.db.spawn(p.run) {
			p.mu.Unlock()
			return backend.Status{}, errReleased
		}
		p.running = true
	}
	p.mu.Unlock()
	select {
	case <-pending.done:
		return pending.status, pending.err
	case <-ctx.Done():
		return backend.Status{}, ctx.Err()
	}
}

// run serves the pending probes until there are none.
func (p *prober) run() {
	for {
		p.mu.Lock()
		current := p.next
		p.next = nil
		if current == nil {
			p.running = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		current.status, current.err = p.readStatus()
		close(current.done)
	}
}

func (p *prober) readStatus() (backend.Status, error) {
	if p.db.ctx.Err() != nil {
		return backend.Status{}, errReleased
	}
	reused := p.conn != nil
	s, err := p.tryReadStatus()
	if err != nil && reused {
		// The server may have closed the idle connection.
		s, err = p.tryReadStatus()
	}
	return s, err
}

func (p *prober) tryReadStatus() (backend.Status, error) {
	if p.conn == nil {
		c, err := p.db.openControl()
		if err != nil {
			return backend.Status{}, err
		}
		p.conn = c
	}
	s, err := p.db.callControl(0, p.conn.Status)
	if err != nil {
		p.conn.Close()
		p.conn = nil
	}
	return s, err
}

// close closes the connection. It must not be called while run is active.
func (p *prober) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}
