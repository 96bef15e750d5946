package failover

import (
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/backend"
)

// Delays of candidates. The owner of the database with the highest position
// acts first; rankDelay gives it time to claim the term before the others.
const (
	maxJitter     = 50 * time.Millisecond
	rankDelay     = 250 * time.Millisecond
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 1 * time.Second
)

// InstanceVote is one instance's answer to a candidate. It supports the candidate only
// if the instance suspects the primary itself.
type InstanceVote struct {
	Instance string // name of the instance
	Suspect  bool
	Health   []Health
}

// VoteResult is the result of a vote.
type VoteResult struct {
	LostPrimary int    // number of databases that have lost the primary
	Majority    bool   // LostPrimary is a majority of the group
	Term        uint64 // highest term of any database
	// Rank is the number of databases with a higher position than any database
	// of the candidate.
	Rank int
}

// Majority returns the smallest number of n databases that is a majority.
func Majority(n int) int { return n/2 + 1 }

// CountVotes counts databases, not instances. A database has lost the primary if
// its health says so in the vote of an instance that suspects the primary and no
// instance that reaches the database disagrees. The first vote is the
// candidate's own.
func CountVotes(t Thresholds, v View, votes []InstanceVote) VoteResult {
	out := VoteResult{Term: v.Term}
	positions := make(map[string]backend.Position)
	for _, name := range v.Members {
		lost, vetoed := false, false
		for _, vote := range votes {
			for _, h := range vote.Health {
				if h.Database != name {
					continue
				}
				out.Term = max(out.Term, h.Status.Term)
				if h.Reachable && h.Status.Last.Compare(positions[name]) > 0 {
					positions[name] = h.Status.Last
				}
				primaryLost := t.LostPrimary(v, h)
				lost = lost || (primaryLost && vote.Suspect)
				vetoed = vetoed || (h.Reachable && !primaryLost)
			}
		}
		if lost && !vetoed {
			out.LostPrimary++
		}
	}
	out.Majority = out.LostPrimary >= Majority(len(v.Members))
	out.Rank = rank(positions, votes)
	return out
}

func rank(positions map[string]backend.Position, votes []InstanceVote) int {
	if len(votes) == 0 {
		return 0
	}
	var best backend.Position
	for _, h := range votes[0].Health {
		if p := positions[h.Database]; h.Reachable && p.Compare(best) > 0 {
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

// CandidateBackoff computes the delays of one candidate.
type CandidateBackoff struct {
	rng     *rand.Rand
	retries int
}

// NewCandidateBackoff returns a backoff with its own seeded random source.
func NewCandidateBackoff(seed uint64) *CandidateBackoff {
	return &CandidateBackoff{rng: rand.New(rand.NewPCG(seed, 0))}
}

// Jitter returns a random delay that separates candidates which detect the
// failure at the same moment.
func (b *CandidateBackoff) Jitter() time.Duration {
	return time.Duration(b.rng.Int64N(int64(maxJitter)))
}

// RankDelay returns how long a candidate waits for higher-ranked candidates. A
// standby also waits for the active owner of the same database.
func (b *CandidateBackoff) RankDelay(rank int, standby bool) time.Duration {
	d := time.Duration(rank) * rankDelay
	if standby {
		d += rankDelay
	}
	return d
}

// RetryDelay returns the delay after a failed attempt. It doubles with each call
// up to maxRetryDelay; half of it is random.
func (b *CandidateBackoff) RetryDelay() time.Duration {
	d := min(minRetryDelay<<min(b.retries, 8), maxRetryDelay)
	b.retries++
	return d/2 + time.Duration(b.rng.Int64N(int64(d/2)+1))
}

// Reset makes the next RetryDelay the shortest one.
func (b *CandidateBackoff) Reset() { b.retries = 0 }
