package failover

import (
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/backend"
)

// Delays of candidates. The owner of the database with the highest position
// acts first; the others give it time to take the term.
const (
	maxJitter = 50 * time.Millisecond
	rankDelay = 250 * time.Millisecond
	minRetry  = 50 * time.Millisecond
	maxRetry  = 1 * time.Second
)

// Vote is the evidence of one instance. It counts in favour of a candidate
// only if the instance suspects the primary itself.
type Vote struct {
	Instance  string // name of the instance
	Suspect   bool
	Databases []DatabaseHealth
}

// VoteResult is the result of a vote.
type VoteResult struct {
	LostPrimary int    // databases that speak against the primary
	Majority    bool   // they are a majority of the group
	Term        uint64 // highest term seen
	// Rank is how many databases have a higher position than the best one of
	// the candidate.
	Rank int
}

// Majority returns how many of n databases are a majority.
func Majority(n int) int { return n/2 + 1 }

// CountVotes counts databases, not instances. A database speaks against the
// primary if an instance says so and no instance that reaches it saw it
// otherwise.
// The first ballot is the candidate's own.
func CountVotes(t Thresholds, v View, ballots []Vote) VoteResult {
	out := VoteResult{Term: v.Term}
	positions := make(map[string]backend.Position)
	for _, name := range v.Members {
		lost, vetoed := false, false
		for _, b := range ballots {
			for _, e := range b.Databases {
				if e.Database != name {
					continue
				}
				out.Term = max(out.Term, e.Status.Term)
				if e.Reachable && e.Status.Last.Compare(positions[name]) > 0 {
					positions[name] = e.Status.Last
				}
				against := t.PrimaryLost(v, e)
				lost = lost || (against && b.Suspect)
				vetoed = vetoed || (e.Reachable && !against)
			}
		}
		if lost && !vetoed {
			out.LostPrimary++
		}
	}
	out.Majority = out.LostPrimary >= Majority(len(v.Members))
	out.Rank = rank(positions, ballots)
	return out
}

func rank(positions map[string]backend.Position, ballots []Vote) int {
	if len(ballots) == 0 {
		return 0
	}
	var best backend.Position
	for _, e := range ballots[0].Databases {
		if p := positions[e.Database]; e.Reachable && p.Compare(best) > 0 {
			best = p
		}
	}
	n := 0
	for _, p := range positions {
		if p.Compare(best) > 0 {
			n++
		}
	}
	return n
}

// CandidateBackoff gives the delays of one candidate.
type CandidateBackoff struct {
	rng     *rand.Rand
	retries int
}

// NewCandidateBackoff returns an election with its own seeded random source.
func NewCandidateBackoff(seed uint64) *CandidateBackoff {
	return &CandidateBackoff{rng: rand.New(rand.NewPCG(seed, 0))}
}

// Jitter separates candidates that become suspicious at the same moment.
func (e *CandidateBackoff) Jitter() time.Duration {
	return time.Duration(e.rng.Int64N(int64(maxJitter)))
}

// RankDelay is how long a candidate lets better ones go first. A standby yields
// to the active owner of the same database.
func (e *CandidateBackoff) RankDelay(rank int, standby bool) time.Duration {
	d := time.Duration(rank) * rankDelay
	if standby {
		d += rankDelay
	}
	return d
}

// RetryDelay is the pause after a failed attempt. It doubles up to maxRetry.
func (e *CandidateBackoff) RetryDelay() time.Duration {
	d := min(minRetry<<min(e.retries, 8), maxRetry)
	e.retries++
	return d/2 + time.Duration(e.rng.Int64N(int64(d/2)+1))
}

// Reset starts the pauses from the shortest one again.
func (e *CandidateBackoff) Reset() { e.retries = 0 }
