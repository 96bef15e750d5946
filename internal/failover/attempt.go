package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/platform"
)

// attemptTimeout bounds one attempt. A longer one would start the next attempt
// only after the time allowed for a failover.
const attemptTimeout = 6 * time.Second

// runAttempt makes one attempt to replace the primary of a group. After a
// failure the next attempt is delayed.
func (m *Manager) runAttempt(ctx context.Context, gs *groupState, attempt func(context.Context, *groupState) error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	m.vars.Add("attempts", 1)
	err := attempt(ctx, gs)
	m.mu.Lock()
	defer m.mu.Unlock()
	gs.attempting = false
	if err == nil {
		gs.backoff.Reset()
		gs.lastErr = ""
		return
	}
	m.vars.Add("failed", 1)
	gs.nextAttempt = m.cfg.Clock.Now().Add(gs.backoff.RetryDelay())
	if text := err.Error(); text != gs.lastErr && ctx.Err() != context.Canceled {
		gs.lastErr = text
		level := zerolog.WarnLevel
		if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrPrimaryHealthy) {
			level = zerolog.InfoLevel
		}
		m.cfg.Log.WithLevel(level).Err(err).Str("group", gs.group).Msg("Failover attempt failed.")
		m.recordEvent(gs.group, "", "no promotion: "+text)
	}
}

// groupSnapshot is the state of a group on which a candidate bases an attempt.
type groupSnapshot struct {
	group      directory.Group
	view       View
	ownVote    InstanceVote // of this instance
	takenAt    time.Time
	primaryAge time.Duration // highest PrimaryAge of the owned replicas at takenAt
}

// takeSnapshot returns the group's state. ok is false if this instance does not
// suspect the primary.
func (m *Manager) takeSnapshot(gs *groupState) (s groupSnapshot, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Clock.Now()
	s.takenAt, s.view, s.ownVote = now, gs.detector.View(), gs.vote(now)
	for _, h := range s.ownVote.Health {
		if h.Status.Role != backend.RolePrimary {
			s.primaryAge = max(s.primaryAge, h.Status.PrimaryAge)
		}
	}
	s.group, ok = m.cfg.Directory.Group(gs.group)
	return s, ok && s.ownVote.Suspect
}

// tryPromote collects votes and promotes another database if a majority of the
// databases has lost the primary.
func (m *Manager) tryPromote(ctx context.Context, gs *groupState) error {
	m.sleep(ctx, m.backoffDelay(gs, (*CandidateBackoff).Jitter))
	s, ok := m.takeSnapshot(gs)
	if !ok {
		return ErrPrimaryHealthy
	}
	votes := m.collectVotes(ctx, s.group, s.view, s.ownVote)
	for _, vote := range votes {
		for _, h := range vote.Health {
			if h.Reachable && h.Status.Role == backend.RolePrimary && h.Status.Term >= s.view.Term {
				m.cfg.Directory.LearnPrimary(gs.group, h.Status.Term, h.Database)
			}
		}
	}
	result := CountVotes(m.cfg.Thresholds, s.view, votes)
	if result.Term > s.view.Term {
		m.cfg.Directory.LearnPrimary(gs.group, result.Term, "")
		return fmt.Errorf("a database is at term %d: %w", result.Term, ErrSuperseded)
	}
	if !result.Majority {
		return fmt.Errorf("%d of %d databases have lost the primary of term %d, need %d",
			result.LostPrimary, len(s.view.Members), s.view.Term, Majority(len(s.view.Members)))
	}
	if d := gs.backoff.RankDelay(result.Rank, m.isStandby(s.group.Databases)); d > 0 {
		m.sleep(ctx, d)
		again, ok := m.takeSnapshot(gs)
		if !ok || again.view.Term > s.view.Term {
			return fmt.Errorf("after waiting for higher-ranked candidates: %w", ErrSuperseded)
		}
	}
	detected := m.cfg.Clock.Now()
	m.recordEvent(gs.group, s.view.Primary, fmt.Sprintf("%d of %d databases have lost the primary of term %d; this instance starts to replace it", result.LostPrimary, len(s.view.Members), s.view.Term))
	p := &promotion{
		manager: m, group: gs.group, snapshot: s,
		plan:       NewPlan(s.view.Term, m.cfg.Self.Name, uuid.NewString(), m.cfg.NoFencing),
		phases:     []phase{{"detection", s.primaryAge + detected.Sub(s.takenAt)}},
		phaseStart: detected,
	}
	return p.run(ctx)
}

// trySwitchover replaces a working primary that is leaving. It needs no vote
// because the primary itself reports that it is leaving.
func (m *Manager) trySwitchover(ctx context.Context, gs *groupState) error {
	s, _ := m.takeSnapshot(gs)
	if s.view.Primary == "" {
		return ErrPrimaryHealthy
	}
	p := &promotion{
		manager: m, group: gs.group, snapshot: s, switchover: true,
		plan:       NewSwitchover(s.view.Term, s.view.Primary, m.cfg.Self.Name, uuid.NewString(), m.cfg.NoFencing),
		phaseStart: s.takenAt,
	}
	return p.run(ctx)
}

// resignAfter is the time without an answer from the replicas' data centres after
// which the owner of a primary with pending confirmations resigns. It is longer
// than a failover, so that replicas that have lost the primary too replace it
// first.
const resignAfter = 3 * time.Second

// tryResign claims the next term without promoting a primary. It serves a primary
// that its replicas still hear while its owner cannot reach the owners of the
// replicas. These then replace the primary. No database is raised or promoted
// here, so the effect is that of a candidate that failed after it claimed a term.
func (m *Manager) tryResign(ctx context.Context, gs *groupState) error {
	s, _ := m.takeSnapshot(gs)
	if s.view.Primary == "" {
		return ErrPrimaryHealthy
	}
	m.recordEvent(gs.group, s.view.Primary, fmt.Sprintf("no replica confirms to the primary of term %d; it resigns", s.view.Term))
	p := &promotion{
		manager: m, group: gs.group, snapshot: s, phaseStart: s.takenAt,
		plan: NewResignation(s.view.Term, s.view.Primary, m.cfg.Self.Name, uuid.NewString()),
	}
	for ctx.Err() == nil {
		switch p.plan.Step() {
		case StepRead, StepReadBack:
			p.read(ctx)
		case StepClaimTerm:
			p.write(ctx)
		case StepAbandoned:
			return p.finish(nil)
		default:
			m.cfg.Directory.LearnPrimary(gs.group, p.plan.Term(), "")
			return nil
		}
	}
	return fmt.Errorf("resign as primary of term %d: %w", s.view.Term, ctx.Err())
}

// backoffDelay calls f with m.mu held, because Jitter and RetryDelay change the
// random source.
func (m *Manager) backoffDelay(gs *groupState, f func(*CandidateBackoff) time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f(gs.backoff)
}

func (m *Manager) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-m.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

func (m *Manager) conns(databases []platform.Database) []*controlConn {
	out := make([]*controlConn, len(databases))
	for i, d := range databases {
		out[i] = &controlConn{db: d, open: m.cfg.Open}
	}
	return out
}
