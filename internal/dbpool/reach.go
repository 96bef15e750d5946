package dbpool

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/statement"
)

// detourProbeInterval is the interval between two attempts to reach a database directly
// while requests take detours. They don't use the direct connections then, so without
// these attempts nothing would show that the database is reached again: idle connections
// from before the cut keep the pool from opening others.
const detourProbeInterval = 1 * time.Second

// probes holds the results of status requests on the direct connections to a database
// that no request met.
type probes struct {
	mu         sync.Mutex
	sentAt     time.Duration // of the latest
	failedFrom time.Duration // sending time of the first that failed since an answer
	failedAt   time.Duration // sending time of the latest that failed
}

// record notes the result of a probe. lastAnswer is the time of the latest answer on the
// direct connections.
func (p *probes) record(sent, lastAnswer time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt = max(p.sentAt, sent)
	if answered || sent < lastAnswer {
		return
	}
	if p.failedAt == 0 || p.failedAt < lastAnswer {
		p.failedFrom = sent
	}
	p.failedAt = max(p.failedAt, sent)
}

// failedSince returns since when probes have failed without an answer, or 0.
func (p *probes) failedSince(lastAnswer time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedAt < lastAnswer {
		return 0
	}
	return p.failedFrom
}

// Reach implements primacy.Databases.
func (s *Set) Reach(_, id string) primacy.Reach {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[id]
	if !ok {
		return primacy.Reach{}
	}
	return p.reach()
}

// reach returns both facts. s.mu is held.
func (p *paths) reach() primacy.Reach {
	r := primacy.Reach{Answered: max(p.direct.lastAnswer(), time.Duration(p.lastAnsweredControl.Load()))}
	if !p.detoured {
		for _, owner := range p.owners {
			r.Answered = max(r.Answered, owner.lastAnswer())
		}
	}
	since, failed := p.unresponsiveSince()
	switch probed := p.probes.failedSince(r.Answered); {
	case failed && (probed == 0 || since <= probed):
		r.LostSince, r.Requests = since, true
	default:
		r.LostSince = probed
	}
	if a := p.detourAnswer.Load(); a != nil {
		r.DetourAnswered, r.Detour = a.sent, a.through
	}
	return r
}

// Probe implements primacy.Databases. A database with owners is asked through these, as
// by Status.
func (s *Set) Probe(ctx context.Context, service, id string, timeout time.Duration) primacy.Reach {
	s.mu.RLock()
	p, ok := s.pools[id]
	var (
		direct  *Pool
		detours []*Pool
	)
	if ok && (p.detoured || len(p.owners) == 0) {
		direct = p.direct
	}
	if direct != nil && p.detoured {
		detours = p.forStatus()
	}
	s.mu.RUnlock()
	if direct == nil {
		_, _ = s.Status(ctx, service, id, timeout) // Reach shows the result
		return s.Reach(service, id)
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.probe(ctx, direct, timeout) })
	if len(detours) > 0 {
		sent := s.cfg.Now()
		if _, through, err := s.controlThrough(ctx, detours, statement.Command{Op: statement.OpStatus}, timeout); err == nil {
			p.recordControl(through, true, sent)
		}
	}
	wg.Wait()
	return s.Reach(service, id)
}

// probe sends a status request on a direct connection and records the result.
func (p *paths) probe(ctx context.Context, direct *Pool, timeout time.Duration) {
	sent := direct.now()
	err := direct.probe(ctx, timeout)
	if primacy.Answered(err) {
		p.lastAnsweredControl.Store(int64(sent))
	}
	p.probes.record(sent, direct.lastAnswer(), primacy.Answered(err))
}

// probe sends a status request. It uses a new connection if the database does not answer
// on the open ones, which may date from before a cut.
func (p *Pool) probe(ctx context.Context, timeout time.Duration) error {
	if _, lost := p.UnresponsiveSince(); !lost {
		_, err := p.Control(ctx, statement.Command{Op: statement.OpStatus}, timeout)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := p.now()
	conn, err := p.dial(ctx, p.db.Address, p.db.Service, p.db.ID, "")
	if err != nil {
		err = dialError(p.db.ID, err)
	} else {
		deadline, _ := ctx.Deadline()
		_, err = conn.Status(deadline, statement.Command{Op: statement.OpStatus})
		_ = conn.Abort() // the connection is not used again
	}
	if primacy.Answered(err) {
		err = nil
	}
	p.recordControl(began, err)
	return err
}

// lastAnswer returns the time of the latest answer.
func (p *Pool) lastAnswer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health.lastAnswer
}

// probeDetoured probes the databases to which requests take detours.
func (s *Set) probeDetoured(ctx context.Context) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.cfg.Now()
	for _, p := range s.pools {
		if !p.detoured || !p.probes.due(now) {
			continue
		}
		direct := p.direct
		go p.probe(ctx, direct, detourProbeTimeout)
	}
}

// detourProbeTimeout bounds such an attempt. It allows for a lost packet between data
// centres and a slow database.
const detourProbeTimeout = 500 * time.Millisecond

// due reports whether the latest probe is old enough for another one, and then counts it
// as sent.
func (p *probes) due(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.sentAt < detourProbeInterval {
		return false
	}
	p.sentAt = now
	return true
}
