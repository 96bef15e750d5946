package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

// Bounds of the steps of a promotion.
const (
	reachTimeout    = 1 * time.Second
	reachGrace      = 100 * time.Millisecond // for more databases after a majority answered
	databaseTimeout = 1 * time.Second
	platformTimeout = 1 * time.Second
	stepRetry       = 100 * time.Millisecond
)

// promotion carries out a plan.
type promotion struct {
	r         *Manager
	group     string
	suspicion suspicion
	handover  bool // the primary works and is leaving
	plan      *Plan
	handles   map[string]*handle // databases that answered
	phases    []phase
	mark      time.Time // end of the last phase
}

type phase struct {
	name string
	took time.Duration
}

func (p *promotion) endPhase(name string) {
	now := p.r.cfg.Clock.Now()
	p.phases = append(p.phases, phase{name, now.Sub(p.mark)})
	p.mark = now
}

func (p *promotion) run(ctx context.Context) error {
	defer p.closeAll()
	if err := p.reach(ctx); err != nil {
		return err
	}
	raising := false
	var following <-chan int // set once a database was promoted
	for ctx.Err() == nil {
		switch step := p.plan.Step(); step {
		case StepRead, StepReadBack:
			p.read(ctx)
		case StepClaimTerm:
			p.write(ctx)
		case StepRaiseTerm:
			if !raising {
				raising = true
				p.endPhase("term")
			}
			p.raise(ctx)
		case StepPromote:
			p.promote(ctx)
		case StepPublish:
			if following == nil {
				following = p.announce(ctx)
			}
			p.write(ctx)
		case StepDone, StepAbandoned:
			return p.finish(following)
		}
	}
	p.plan.Abandon(fmt.Errorf("out of time: %w", ctx.Err()))
	return p.finish(following)
}

// finish reports the outcome. A promotion counts as done even if the platform
// was not told: the primary's owner makes up for it.
func (p *promotion) finish(following <-chan int) error {
	if following == nil {
		if g := p.plan.Group(); g.Term > p.suspicion.view.Term {
			p.r.cfg.Directory.LearnPrimary(p.group, g.Term, g.Primary)
		}
		return p.plan.Err()
	}
	followers := <-following
	p.endPhase("redirect")
	p.report(followers)
	if err := p.plan.Err(); err != nil {
		p.r.cfg.Log.Warn().Err(err).Str("group", p.group).Msg("The platform was not told of the new primary.")
	}
	return nil
}

// reach connects to a majority before a term is taken, because a term that is
// taken in vain costs a second change of primary.
func (p *promotion) reach(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	need := Majority(len(p.suspicion.group.Databases))
	replies := p.r.gather(ctx, p.r.handles(p.suspicion.group.Databases), need, reachGrace, p.lost(),
		func(ctx context.Context, c backend.Control) (backend.Status, error) { return c.Status(ctx) })
	p.keep(replies)
	if len(replies) < need {
		return fmt.Errorf("reached %d of %d databases, need %d", len(replies), len(p.suspicion.group.Databases), need)
	}
	healthy := 0
	for name, a := range replies {
		if a.status.Term > p.suspicion.view.Term {
			p.r.cfg.Directory.LearnPrimary(p.group, a.status.Term, "")
			return fmt.Errorf("database %s is at term %d: %w", name, a.status.Term, ErrSuperseded)
		}
		if !p.r.cfg.Thresholds.PrimaryLost(p.suspicion.view, DatabaseHealth{Database: name, Reachable: true, Status: a.status}) {
			healthy++
		}
	}
	if p.handover {
		return p.successor(replies)
	}
	if healthy >= need {
		return ErrPrimaryHealthy
	}
	return nil
}

// lost is the database that is not waited for.
func (p *promotion) lost() string {
	if p.handover {
		return ""
	}
	return p.suspicion.view.Primary
}

// successor checks that a database which is not leaving has all that the
// primary has, so that a handover cuts off next to nothing.
func (p *promotion) successor(replies map[string]reply) error {
	primary, ok := replies[p.suspicion.view.Primary]
	if !ok {
		return fmt.Errorf("primary %s is leaving and did not answer", p.suspicion.view.Primary)
	}
	for name, a := range replies {
		db, _ := p.suspicion.group.Database(name)
		if name != p.suspicion.view.Primary && !db.Leaving && !a.status.Leaving && a.status.Last == primary.status.Last {
			p.r.record(p.group, p.suspicion.view.Primary, fmt.Sprintf("the primary of term %d is leaving; candidate", p.suspicion.view.Term))
			return nil
		}
	}
	return fmt.Errorf("primary %s is leaving and no other database has its position", p.suspicion.view.Primary)
}

func (p *promotion) keep(replies map[string]reply) {
	p.handles = make(map[string]*handle)
	for name, a := range replies {
		p.handles[name] = a.h
	}
}

func (p *promotion) closeAll() {
	for _, h := range p.handles {
		h.close()
	}
}

// all returns a handle for each database of the group, open ones where there
// are any.
func (p *promotion) all() []*handle {
	out := p.r.handles(p.plan.Group().Databases)
	for i, h := range out {
		if open, ok := p.handles[h.db.Name]; ok {
			out[i] = open
		}
	}
	return out
}

func (p *promotion) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := p.r.cfg.Platform.Get(ctx, platform.KindGroup, p.group)
	var g platform.Group
	if err == nil {
		g, err = decodeGroup(o)
	}
	p.plan.HandleRead(o.Version, g, err)
	if err != nil {
		p.r.pause(ctx, stepRetry)
	}
}

func (p *promotion) write(ctx context.Context) {
	version, g := p.plan.Proposal()
	data, err := json.Marshal(g)
	if err != nil {
		p.plan.Abandon(fmt.Errorf("encode group: %w", err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := p.r.cfg.Platform.Put(callCtx, platform.KindGroup, p.group, version, data)
	if err != nil && !result.Is(err, result.Conflict) {
		p.plan.HandleWrite(0, platform.Group{}, err)
		p.r.pause(ctx, stepRetry)
		return
	}
	current, decodeErr := decodeGroup(o)
	if decodeErr != nil {
		p.plan.Abandon(decodeErr)
		return
	}
	p.plan.HandleWrite(o.Version, current, err)
}

func decodeGroup(o platform.Object) (platform.Group, error) {
	var g platform.Group
	if err := json.Unmarshal(o.Data, &g); err != nil {
		return g, fmt.Errorf("group object %s version %d: %w", o.Name, o.Version, err)
	}
	return g, nil
}

func (p *promotion) raise(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	term := p.plan.Term()
	all := p.all()
	need := Majority(len(all))
	if len(p.handles) >= need {
		all = slices.Collect(maps.Values(p.handles)) // the others did not answer just now
	}
	replies := p.r.gather(ctx, all, need, reachGrace, p.lost(),
		func(ctx context.Context, c backend.Control) (backend.Status, error) {
			if p.r.cfg.NoFencing {
				return c.Status(ctx)
			}
			return c.Raise(ctx, term)
		})
	p.keep(replies)
	statuses := make(map[string]backend.Status, len(replies))
	for name, a := range replies {
		statuses[name] = a.status
	}
	p.plan.HandleRaise(statuses)
	if p.plan.Step() == StepPromote {
		p.endPhase("raise")
	}
}

func (p *promotion) promote(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	var h *handle
	for _, h = range p.all() {
		if h.db.Name == p.plan.Target() {
			break
		}
	}
	p.handles[h.db.Name] = h
	s, err := h.do(callCtx, func(c backend.Control) (backend.Status, error) { return c.Promote(callCtx, p.plan.Term()) })
	p.plan.HandlePromote(s, err)
	if p.plan.Step() == StepPublish {
		p.endPhase("promote")
	} else {
		p.r.pause(ctx, stepRetry)
	}
}

// announce tells this instance of the new primary and makes the others follow
// it, while the platform is told. The channel gives the number of followers.
// Databases that do not answer are repaired by their owners.
func (p *promotion) announce(ctx context.Context) <-chan int {
	term, chosen := p.plan.Term(), p.plan.Target()
	p.r.cfg.Directory.LearnPrimary(p.group, term, chosen)
	var followers []*handle
	address := ""
	for _, h := range p.all() {
		if h.db.Name == chosen {
			address = h.db.Address
		} else {
			followers = append(followers, h)
		}
		delete(p.handles, h.db.Name)
	}
	done := make(chan int, 1)
	p.r.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, databaseTimeout)
		defer cancel()
		replies := p.r.gather(ctx, followers, Majority(len(followers)+1)-1, reachGrace, p.lost(),
			func(ctx context.Context, c backend.Control) (backend.Status, error) {
				return followPrimary(ctx, c, term, address)
			})
		for _, a := range replies {
			a.h.close()
		}
		done <- len(replies)
	})
	return done
}

// followPrimary raises the term first: the database may have missed it.
func followPrimary(ctx context.Context, c backend.Control, term uint64, address string) (backend.Status, error) {
	if s, err := c.Raise(ctx, term); err != nil {
		return s, err
	}
	return c.Follow(ctx, term, address)
}

func (p *promotion) report(followers int) {
	parts := make([]string, len(p.phases))
	line := p.r.cfg.Log.Info().Str("group", p.group).Str("primary", p.plan.Target()).Uint64("term", p.plan.Term()).Int("followers", followers)
	var all time.Duration
	for i, ph := range p.phases {
		all += ph.took
		parts[i] = fmt.Sprintf("%s %s", ph.name, ph.took.Round(time.Millisecond))
		line = line.Dur(ph.name+"_ms", ph.took)
	}
	p.r.vars.Add("promoted", 1)
	line.Msg("Promoted a new primary.")
	p.r.record(p.group, p.plan.Target(), fmt.Sprintf("became the primary of term %d with %d followers after %s; time per phase: %s",
		p.plan.Term(), followers, all.Round(time.Millisecond), strings.Join(parts, ", ")))
}
