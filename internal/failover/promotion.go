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

// Limits of the steps of a promotion.
const (
	connectTimeout  = 1 * time.Second
	quorumGrace     = 100 * time.Millisecond // time for the remaining databases after a majority has answered
	databaseTimeout = 1 * time.Second
	platformTimeout = 1 * time.Second
	stepRetryDelay  = 100 * time.Millisecond
)

// promotion executes a plan.
type promotion struct {
	manager    *Manager
	group      string
	snapshot   groupSnapshot
	switchover bool // the primary works and is leaving
	plan       *Plan
	conns      map[string]*controlConn // of the databases that answered, by name
	phases     []phase
	phaseStart time.Time // start of the current phase
}

type phase struct {
	name string
	took time.Duration
}

func (p *promotion) endPhase(name string) {
	now := p.manager.cfg.Clock.Now()
	p.phases = append(p.phases, phase{name, now.Sub(p.phaseStart)})
	p.phaseStart = now
}

func (p *promotion) run(ctx context.Context) error {
	defer p.closeAll()
	if err := p.connectMajority(ctx); err != nil {
		return err
	}
	raising := false
	var following <-chan int // set once a database has been promoted
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
				following = p.redirectFollowers(ctx)
			}
			p.write(ctx)
		case StepDone, StepAbandoned:
			return p.finish(following)
		}
	}
	p.plan.Abandon(fmt.Errorf("replace primary: %w", ctx.Err()))
	return p.finish(following)
}

// finish reports the outcome. A promotion succeeds even if it was not published
// on the platform: the owner of the new primary then publishes it.
func (p *promotion) finish(following <-chan int) error {
	if following == nil {
		if g := p.plan.Group(); g.Term > p.snapshot.view.Term {
			p.manager.cfg.Directory.LearnPrimary(p.group, g.Term, g.Primary)
		}
		return p.plan.Err()
	}
	followers := <-following
	p.endPhase("redirect")
	p.report(followers)
	if err := p.plan.Err(); err != nil {
		p.manager.cfg.Log.Warn().Err(err).Str("group", p.group).Msg("Could not publish the new primary on the platform.")
	}
	return nil
}

// connectMajority connects to a majority of the databases before a term is
// claimed, because a claimed term without a promotion costs another change of
// primary. It fails if a majority has not lost the primary.
func (p *promotion) connectMajority(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	need := Majority(len(p.snapshot.group.Databases))
	replies := p.manager.gather(ctx, p.manager.conns(p.snapshot.group.Databases), need, quorumGrace, p.failedPrimary(),
		func(ctx context.Context, c backend.ControlConn) (backend.Status, error) { return c.Status(ctx) })
	p.keepConns(replies)
	if len(replies) < need {
		return fmt.Errorf("reached %d of %d databases, need %d", len(replies), len(p.snapshot.group.Databases), need)
	}
	healthy := 0
	for name, a := range replies {
		if a.status.Term > p.snapshot.view.Term {
			p.manager.cfg.Directory.LearnPrimary(p.group, a.status.Term, "")
			return fmt.Errorf("database %s is at term %d: %w", name, a.status.Term, ErrSuperseded)
		}
		if !p.manager.cfg.Thresholds.LostPrimary(p.snapshot.view, Health{Database: name, Reachable: true, Status: a.status}) {
			healthy++
		}
	}
	if p.switchover {
		return p.checkSuccessor(replies)
	}
	if healthy >= need {
		return ErrPrimaryHealthy
	}
	return nil
}

// failedPrimary returns the database that is not expected to answer, if any.
func (p *promotion) failedPrimary() string {
	if p.switchover {
		return ""
	}
	return p.snapshot.view.Primary
}

// checkSuccessor checks that a database which is not leaving has the primary's
// position, so that a switchover discards next to no writes.
func (p *promotion) checkSuccessor(replies map[string]reply) error {
	primary, ok := replies[p.snapshot.view.Primary]
	if !ok {
		return fmt.Errorf("primary %s is leaving and did not answer", p.snapshot.view.Primary)
	}
	for name, a := range replies {
		db, _ := p.snapshot.group.Database(name)
		if name != p.snapshot.view.Primary && !db.Leaving && !a.status.Leaving && a.status.Last == primary.status.Last {
			p.manager.recordEvent(p.group, p.snapshot.view.Primary, fmt.Sprintf("the primary of term %d is leaving; this instance starts to replace it", p.snapshot.view.Term))
			return nil
		}
	}
	return fmt.Errorf("primary %s is leaving and no other database has its position", p.snapshot.view.Primary)
}

func (p *promotion) keepConns(replies map[string]reply) {
	p.conns = make(map[string]*controlConn)
	for name, a := range replies {
		p.conns[name] = a.conn
	}
}

func (p *promotion) closeAll() {
	for _, conn := range p.conns {
		conn.close()
	}
}

// allConns returns a connection for each database of the group. It reuses the
// open ones.
func (p *promotion) allConns() []*controlConn {
	out := p.manager.conns(p.plan.Group().Databases)
	for i, conn := range out {
		if open, ok := p.conns[conn.db.Name]; ok {
			out[i] = open
		}
	}
	return out
}

func (p *promotion) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := p.manager.cfg.Platform.Get(ctx, platform.KindGroup, p.group)
	var g platform.Group
	if err == nil {
		g, err = decodeGroup(o)
	}
	p.plan.HandleRead(o.Version, g, err)
	if err != nil {
		p.manager.sleep(ctx, stepRetryDelay)
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
	o, err := p.manager.cfg.Platform.Put(callCtx, platform.KindGroup, p.group, version, data)
	if err != nil && !result.Is(err, result.Conflict) {
		p.plan.HandleWrite(0, platform.Group{}, err)
		p.manager.sleep(ctx, stepRetryDelay)
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
		return g, fmt.Errorf("decode group object %s, version %d: %w", o.Name, o.Version, err)
	}
	return g, nil
}

func (p *promotion) raise(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	term := p.plan.Term()
	all := p.allConns()
	need := Majority(len(all))
	if len(p.conns) >= need {
		all = slices.Collect(maps.Values(p.conns)) // the others have just failed to answer
	}
	replies := p.manager.gather(ctx, all, need, quorumGrace, p.failedPrimary(),
		func(ctx context.Context, c backend.ControlConn) (backend.Status, error) {
			if p.manager.cfg.NoFencing {
				return c.Status(ctx)
			}
			return c.Raise(ctx, term)
		})
	p.keepConns(replies)
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
	var conn *controlConn
	for _, conn = range p.allConns() {
		if conn.db.Name == p.plan.Target() {
			break
		}
	}
	p.conns[conn.db.Name] = conn
	s, err := conn.call(callCtx, func(c backend.ControlConn) (backend.Status, error) { return c.Promote(callCtx, p.plan.Term()) })
	p.plan.HandlePromote(s, err)
	if p.plan.Step() == StepPublish {
		p.endPhase("promote")
	} else {
		p.manager.sleep(ctx, stepRetryDelay)
	}
}

// redirectFollowers passes the new primary to the directory of this instance and
// makes the other databases follow it in the background, while the caller
// publishes it on the platform. The channel receives the number of followers.
// Databases that do not answer are repaired by their owners.
func (p *promotion) redirectFollowers(ctx context.Context) <-chan int {
	term, target := p.plan.Term(), p.plan.Target()
	p.manager.cfg.Directory.LearnPrimary(p.group, term, target)
	var followers []*controlConn
	address := ""
	for _, conn := range p.allConns() {
		if conn.db.Name == target {
			address = conn.db.Address
		} else {
			followers = append(followers, conn)
		}
		delete(p.conns, conn.db.Name)
	}
	done := make(chan int, 1)
	p.manager.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, databaseTimeout)
		defer cancel()
		replies := p.manager.gather(ctx, followers, Majority(len(followers)+1)-1, quorumGrace, p.failedPrimary(),
			func(ctx context.Context, c backend.ControlConn) (backend.Status, error) {
				return followPrimary(ctx, c, term, address)
			})
		for _, a := range replies {
			a.conn.close()
		}
		done <- len(replies)
	})
	return done
}

// followPrimary raises the term first, because the database may have missed the
// raise.
func followPrimary(ctx context.Context, c backend.ControlConn, term uint64, address string) (backend.Status, error) {
	if s, err := c.Raise(ctx, term); err != nil {
		return s, err
	}
	return c.Follow(ctx, term, address)
}

func (p *promotion) report(followers int) {
	parts := make([]string, len(p.phases))
	line := p.manager.cfg.Log.Info().Str("group", p.group).Str("primary", p.plan.Target()).Uint64("term", p.plan.Term()).Int("followers", followers)
	var all time.Duration
	for i, ph := range p.phases {
		all += ph.took
		parts[i] = fmt.Sprintf("%s %s", ph.name, ph.took.Round(time.Millisecond))
		line = line.Dur(ph.name+"_ms", ph.took)
	}
	p.manager.vars.Add("promoted", 1)
	line.Msg("Promoted a new primary.")
	p.manager.recordEvent(p.group, p.plan.Target(), fmt.Sprintf("became the primary of term %d with %d followers after %s; time per phase: %s",
		p.plan.Term(), followers, all.Round(time.Millisecond), strings.Join(parts, ", ")))
}
