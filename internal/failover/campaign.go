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

// campaignTimeout bounds one attempt, so that the next one starts within the
// bound for a failover.
const campaignTimeout = 6 * time.Second

// campaign is one attempt to replace the primary of a group.
func (r *Manager) campaign(ctx context.Context, w *watch, attempt func(context.Context, *watch) error) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	r.vars.Add("attempts", 1)
	err := attempt(ctx, w)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.busy = false
	if err == nil {
		w.election.Reset()
		w.lastErr = ""
		return
	}
	r.vars.Add("failed", 1)
	w.next = r.cfg.Clock.Now().Add(w.election.RetryDelay())
	if text := err.Error(); text != w.lastErr && ctx.Err() != context.Canceled {
		w.lastErr = text
		level := zerolog.WarnLevel
		if errors.Is(err, ErrSuperseded) || errors.Is(err, ErrPrimaryHealthy) {
			level = zerolog.InfoLevel
		}
		r.cfg.Log.WithLevel(level).Err(err).Str("group", w.group).Msg("No promotion.")
		r.record(w.group, "", "no promotion: "+text)
	}
}

// suspicion is what a candidate knows when it decides to act.
type suspicion struct {
	group directory.Group
	view  View
	own   Vote
	at    time.Time
	age   time.Duration // at that time, longest time for which an owned replica has not heard from the primary
}

// suspect reads the group's state; ok is false if nothing is suspected now.
func (r *Manager) suspect(w *watch) (s suspicion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	s.at, s.view, s.own = now, w.detector.View(), w.ballot(now)
	for _, e := range s.own.Databases {
		if e.Status.Role != backend.RolePrimary {
			s.age = max(s.age, e.Status.PrimaryAge)
		}
	}
	s.group, ok = r.cfg.Directory.Group(w.group)
	return s, ok && s.own.Suspect
}

// tryPromote asks for votes and carries out a plan if a majority agrees.
func (r *Manager) tryPromote(ctx context.Context, w *watch) error {
	r.pause(ctx, r.withElection(w, (*CandidateBackoff).Jitter))
	s, ok := r.suspect(w)
	if !ok {
		return ErrPrimaryHealthy
	}
	ballots := r.collectBallots(ctx, s.group, s.view, s.own)
	for _, b := range ballots {
		for _, e := range b.Databases {
			if e.Reachable && e.Status.Role == backend.RolePrimary && e.Status.Term >= s.view.Term {
				r.cfg.Directory.LearnPrimary(w.group, e.Status.Term, e.Database)
			}
		}
	}
	verdict := CountVotes(r.cfg.Thresholds, s.view, ballots)
	if verdict.Term > s.view.Term {
		r.cfg.Directory.LearnPrimary(w.group, verdict.Term, "")
		return fmt.Errorf("a database is at term %d: %w", verdict.Term, ErrSuperseded)
	}
	if !verdict.Majority {
		return fmt.Errorf("%d of %d databases have lost the primary of term %d, need %d",
			verdict.LostPrimary, len(s.view.Members), s.view.Term, Majority(len(s.view.Members)))
	}
	if d := w.election.RankDelay(verdict.Rank, r.standby(s.group.Databases)); d > 0 {
		r.pause(ctx, d)
		again, ok := r.suspect(w)
		if !ok || again.view.Term > s.view.Term {
			return fmt.Errorf("after a pause for better candidates: %w", ErrSuperseded)
		}
	}
	detected := r.cfg.Clock.Now()
	r.record(w.group, s.view.Primary, fmt.Sprintf("%d of %d databases have lost the primary of term %d; this instance starts to replace it", verdict.LostPrimary, len(s.view.Members), s.view.Term))
	p := &promotion{
		r: r, group: w.group, suspicion: s,
		plan:   NewPlan(s.view.Term, r.cfg.Self.Name, uuid.NewString(), r.cfg.NoFencing),
		phases: []phase{{"detection", s.age + detected.Sub(s.at)}},
		mark:   detected,
	}
	return p.run(ctx)
}

// tryHandover replaces a primary that works and is leaving. No vote is needed:
// the primary itself says so.
func (r *Manager) tryHandover(ctx context.Context, w *watch) error {
	s, _ := r.suspect(w)
	if s.view.Primary == "" {
		return ErrPrimaryHealthy
	}
	p := &promotion{
		r: r, group: w.group, suspicion: s, handover: true,
		plan: NewSwitchover(s.view.Term, s.view.Primary, r.cfg.Self.Name, uuid.NewString(), r.cfg.NoFencing),
		mark: s.at,
	}
	return p.run(ctx)
}

// resignAfter is how long nobody in the replicas' data centres must have answered
// the owner of a primary that waits for confirmations. Replicas that have lost
// the primary too replace it in less.
const resignAfter = 3 * time.Second

// tryResign takes a term without a primary, for a primary that is still heard by
// its replicas while its owner cannot reach theirs. The owners of the replicas
// then replace it. Nothing is raised or promoted here, so that the effect is that
// of a candidate that failed after it took a term.
func (r *Manager) tryResign(ctx context.Context, w *watch) error {
	s, _ := r.suspect(w)
	if s.view.Primary == "" {
		return ErrPrimaryHealthy
	}
	r.record(w.group, s.view.Primary, fmt.Sprintf("no replica confirms to the primary of term %d; it resigns", s.view.Term))
	p := &promotion{
		r: r, group: w.group, suspicion: s, mark: s.at,
		plan: NewResignation(s.view.Term, s.view.Primary, r.cfg.Self.Name, uuid.NewString()),
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
			r.cfg.Directory.LearnPrimary(w.group, p.plan.Term(), "")
			return nil
		}
	}
	return fmt.Errorf("resign: %w", ctx.Err())
}

// withElection reads a delay; Jitter and RetryDelay change the random source.
func (r *Manager) withElection(w *watch, f func(*CandidateBackoff) time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f(w.election)
}

func (r *Manager) pause(ctx context.Context, d time.Duration) {
	select {
	case <-r.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

func (r *Manager) handles(databases []platform.Database) []*handle {
	out := make([]*handle, len(databases))
	for i, d := range databases {
		out[i] = &handle{db: d, open: r.cfg.Open}
	}
	return out
}
