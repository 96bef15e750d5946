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

// Limits of a vote. After earlyDecisionDelay the vote ends as soon as a majority
// of the databases has lost the primary, without waiting for the remaining
// instances, which may have failed together with the primary. Before it acts,
// the candidate checks the databases themselves.
const (
	earlyDecisionDelay = 50 * time.Millisecond
	voteTimeout        = 400 * time.Millisecond
)

// collectVotes requests the votes of the owners of the group's databases.
func (m *Manager) collectVotes(ctx context.Context, g directory.Group, v View, own InstanceVote) []InstanceVote {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	voters := m.voters(g)
	replies := make(chan InstanceVote, len(voters))
	for _, in := range voters {
		m.goroutines.Go(func() { replies <- m.requestVote(ctx, in, g.Name, v.Term) })
	}
	own.Instance = m.cfg.Self.Name
	votes := []InstanceVote{own}
	defer func() { m.preferActive(g, votes) }()
	earlyDecision := m.cfg.Clock.After(earlyDecisionDelay)
	for range voters {
		for pending := true; pending; {
			select {
			case vote := <-replies:
				votes = append(votes, vote)
				pending = false
			case <-earlyDecision:
				m.preferActive(g, votes)
				if CountVotes(m.cfg.Thresholds, v, votes).Majority {
					return votes
				}
			case <-ctx.Done():
				return votes
			}
		}
	}
	return votes
}

// preferActive removes a standby's health of a database from its vote if the
// active owner's vote covers the database, because a standby polls it less often.
func (m *Manager) preferActive(g directory.Group, votes []InstanceVote) {
	for _, d := range g.Databases {
		owners := m.cfg.Directory.Owners(d)
		best := len(owners)
		for _, vote := range votes {
			if vote.covers(d.Name) {
				best = min(best, ownerIndex(owners, vote.Instance))
			}
		}
		for i := range votes {
			if ownerIndex(owners, votes[i].Instance) > best {
				votes[i].remove(d.Name)
			}
		}
	}
}

// ownerIndex returns the index of the named instance, or len(owners) if it is not
// an owner.
func ownerIndex(owners []ownership.Instance, name string) int {
	if i := slices.IndexFunc(owners, func(in ownership.Instance) bool { return in.Name == name }); i >= 0 {
		return i
	}
	return len(owners)
}

func (vote *InstanceVote) covers(database string) bool {
	return slices.ContainsFunc(vote.Health, func(h Health) bool { return h.Database == database })
}

func (vote *InstanceVote) remove(database string) {
	vote.Health = slices.DeleteFunc(slices.Clone(vote.Health), func(h Health) bool { return h.Database == database })
}

// voters returns the other instances that own databases of the group.
func (m *Manager) voters(g directory.Group) []ownership.Instance {
	seen := map[string]bool{m.cfg.Self.Name: true}
	var out []ownership.Instance
	for _, d := range g.Databases {
		for _, in := range m.cfg.Directory.Owners(d) {
			if !seen[in.Name] {
				seen[in.Name] = true
				out = append(out, in)
			}
		}
	}
	return out
}

// requestVote returns the instance's vote, or an empty vote if it does not answer.
func (m *Manager) requestVote(ctx context.Context, in ownership.Instance, group string, term uint64) InstanceVote {
	resp, err := m.cfg.Clients.Pool(in.Address).Vote(ctx, &wire.VoteRequest{Group: group, Term: term})
	if err != nil {
		return InstanceVote{}
	}
	vote := InstanceVote{Instance: in.Name, Suspect: resp.GetSuspect()}
	for _, s := range resp.GetDatabases() {
		vote.Health = append(vote.Health, Health{Database: s.GetDatabase(), Reachable: s.GetReachable(), Status: wire.StatusOf(s)})
	}
	return vote
}

// isStandby reports whether this instance is not the active owner of any of the
// databases.
func (m *Manager) isStandby(databases []platform.Database) bool {
	for _, d := range databases {
		if m.cfg.Directory.OwnerIndex(d) == 0 {
			return false
		}
	}
	return true
}
