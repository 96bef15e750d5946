package failover

import (
	"context"
	"time"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// Bounds of a vote. After voteEnough, instances that did not answer are not
// waited for if a majority of the databases has spoken against the primary:
// they may have failed with it.
const (
	voteEnough  = 150 * time.Millisecond
	voteTimeout = 400 * time.Millisecond
)

// collectBallots asks the owners of the group's databases.
func (r *Runner) collectBallots(ctx context.Context, g directory.Group, v View, own Ballot) []Ballot {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	addresses := r.voters(g)
	answers := make(chan Ballot, len(addresses))
	for _, a := range addresses {
		r.running.Go(func() { answers <- r.askVote(ctx, a, g.Name, v.Term) })
	}
	ballots := []Ballot{own}
	enough := r.cfg.Clock.After(voteEnough)
	for range addresses {
		for waiting := true; waiting; {
			select {
			case b := <-answers:
				ballots = append(ballots, b)
				waiting = false
			case <-enough:
				if Tally(r.cfg.Thresholds, v, ballots).Majority {
					return ballots
				}
			case <-ctx.Done():
				return ballots
			}
		}
	}
	return ballots
}

// voters returns the addresses of the other instances that own databases of
// the group.
func (r *Runner) voters(g directory.Group) []string {
	seen := map[string]bool{r.cfg.Self.Name: true}
	var out []string
	for _, d := range g.Databases {
		for _, in := range r.cfg.Directory.Owners(d) {
			if !seen[in.Name] {
				seen[in.Name] = true
				out = append(out, in.Address)
			}
		}
	}
	return out
}

// askVote returns an empty ballot if the instance does not answer.
func (r *Runner) askVote(ctx context.Context, address, group string, term uint64) Ballot {
	resp, err := r.cfg.Clients.Pool(address).Vote(ctx, &wire.VoteRequest{Group: group, Term: term})
	if err != nil {
		return Ballot{}
	}
	b := Ballot{Suspect: resp.GetSuspect()}
	for _, s := range resp.GetDatabases() {
		b.Evidence = append(b.Evidence, Evidence{Database: s.GetDatabase(), Reachable: s.GetReachable(), Status: wire.StatusOf(s)})
	}
	return b
}

// standby reports whether this instance is the active owner of none of the
// group's databases.
func (r *Runner) standby(databases []platform.Database) bool {
	for _, d := range databases {
		if r.cfg.Directory.OwnerIndex(d) == 0 {
			return false
		}
	}
	return true
}
