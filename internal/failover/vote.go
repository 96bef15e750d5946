package failover

import (
	"context"
	"slices"
	"time"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// Bounds of a vote. After voteEnough, instances that did not answer are not
// waited for if a majority of the databases has spoken against the primary:
// they may have failed with it. The candidate asks the databases themselves
// before it acts.
const (
	voteEnough  = 50 * time.Millisecond
	voteTimeout = 400 * time.Millisecond
)

// collectBallots asks the owners of the group's databases.
func (r *Manager) collectBallots(ctx context.Context, g directory.Group, v View, own Vote) []Vote {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	voters := r.voters(g)
	answers := make(chan Vote, len(voters))
	for _, in := range voters {
		r.running.Go(func() { answers <- r.askVote(ctx, in, g.Name, v.Term) })
	}
	own.Instance = r.cfg.Self.Name
	ballots := []Vote{own}
	defer func() { r.preferActive(g, ballots) }()
	enough := r.cfg.Clock.After(voteEnough)
	for range voters {
		for waiting := true; waiting; {
			select {
			case b := <-answers:
				ballots = append(ballots, b)
				waiting = false
			case <-enough:
				r.preferActive(g, ballots)
				if CountVotes(r.cfg.Thresholds, v, ballots).Majority {
					return ballots
				}
			case <-ctx.Done():
				return ballots
			}
		}
	}
	return ballots
}

// preferActive drops a standby's evidence on a database that the active owner
// has evidence on: a standby looks less often.
func (r *Manager) preferActive(g directory.Group, ballots []Vote) {
	for _, d := range g.Databases {
		owners := r.cfg.Directory.Owners(d)
		best := len(owners)
		for _, b := range ballots {
			if b.has(d.Name) {
				best = min(best, ownerIndex(owners, b.Instance))
			}
		}
		for i := range ballots {
			if ownerIndex(owners, ballots[i].Instance) > best {
				ballots[i].drop(d.Name)
			}
		}
	}
}

// ownerIndex returns len(owners) for an instance that is no owner.
func ownerIndex(owners []ownership.Instance, name string) int {
	if i := slices.IndexFunc(owners, func(in ownership.Instance) bool { return in.Name == name }); i >= 0 {
		return i
	}
	return len(owners)
}

func (b *Vote) has(database string) bool {
	return slices.ContainsFunc(b.Databases, func(e DatabaseHealth) bool { return e.Database == database })
}

func (b *Vote) drop(database string) {
	b.Databases = slices.DeleteFunc(slices.Clone(b.Databases), func(e DatabaseHealth) bool { return e.Database == database })
}

// voters returns the other instances that own databases of the group.
func (r *Manager) voters(g directory.Group) []ownership.Instance {
	seen := map[string]bool{r.cfg.Self.Name: true}
	var out []ownership.Instance
	for _, d := range g.Databases {
		for _, in := range r.cfg.Directory.Owners(d) {
			if !seen[in.Name] {
				seen[in.Name] = true
				out = append(out, in)
			}
		}
	}
	return out
}

// askVote returns an empty ballot if the instance does not answer.
func (r *Manager) askVote(ctx context.Context, in ownership.Instance, group string, term uint64) Vote {
	resp, err := r.cfg.Clients.Pool(in.Address).Vote(ctx, &wire.VoteRequest{Group: group, Term: term})
	if err != nil {
		return Vote{}
	}
	b := Vote{Instance: in.Name, Suspect: resp.GetSuspect()}
	for _, s := range resp.GetDatabases() {
		b.Databases = append(b.Databases, DatabaseHealth{Database: s.GetDatabase(), Reachable: s.GetReachable(), Status: wire.StatusOf(s)})
	}
	return b
}

// standby reports whether this instance is the active owner of none of the
// group's databases.
func (r *Manager) standby(databases []platform.Database) bool {
	for _, d := range databases {
		if r.cfg.Directory.OwnerIndex(d) == 0 {
			return false
		}
	}
	return true
}
