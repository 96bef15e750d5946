package primacy

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/contain"
)

const (
	// voteTimeout bounds a vote request to another instance. One way between data
	// centres takes 5 ms, and a busy instance answers within 50 ms.
	voteTimeout = 150 * time.Millisecond
	// maxDirectQueries is the largest number of instances that are queried
	// directly at a time. If more of them have not published a suspicion in the store,
	// the store fails for all instances and no replacement can be agreed anyway.
	maxDirectQueries = 64
	// storeConfirmTime is how long more instances than that have to confirm in the store
	// that they stopped, before they are queried directly. Those that the store answers
	// get the record within 50 ms; without the query the others would be excluded, and
	// could not serve the service until the store answers them.
	storeConfirmTime = 300 * time.Millisecond
	// voteSampleSize is how many instances are asked about a suspicion first. The
	// others are asked only if at least a quarter of the sample shares it; below
	// that a majority is unlikely.
	voteSampleSize = 8
)

// Vote is the state of an instance with regard to the replacement of a primary.
// Instances publish the same state in their registrations; it is requested
// directly when the store does not answer them.
type Vote struct {
	Incarnation string // as registered in the store; empty before the registration
	Suspects    bool   // the instance gets no answer from the primary under the record's token
	Stopped     uint64 // the instance uses no primary from before this token
}

// Vote updates the cache with a record that another instance read from the store
// and returns this instance's vote on it. If this instance may not have noticed that it
// lost the primary, it finds out for the next vote.
func (r *Runner) Vote(rec Record) Vote {
	r.applyRecord(rec, "told by a peer")
	known, _, _ := r.cfg.Cache.Record(rec.Service) // present since applyRecord
	if known.Phase == Serving && known.Token == rec.Token {
		r.queryReach(rec.Service)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	token, suspects := r.reg.Suspects[rec.Service]
	return Vote{Incarnation: r.published.incarnation, Suspects: suspects && token == rec.Token, Stopped: known.Token}
}

// requestVote asks a registered instance for its vote. A vote of any other
// incarnation of the instance does not count.
func (r *Runner) requestVote(ctx context.Context, reg Registration, rec Record) (Vote, bool) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	v, err := r.cfg.Peers.Vote(ctx, reg.Address, rec)
	if err != nil {
		r.log.Debug().Str("service", rec.Service).Str("instance", reg.Instance).Err(err).Msg("The vote request to an instance failed.")
		return Vote{}, false
	}
	return v, v.Incarnation == reg.Incarnation
}

// voteReply is the result of one of several vote requests.
type voteReply struct {
	index    int // of the instance that was asked
	vote     Vote
	answered bool
}

// requestVotes asks instances for their votes, in parallel, and returns a channel that
// receives one reply for each. The caller need not receive them all.
func (r *Runner) requestVotes(ctx context.Context, rec Record, of []Registration) <-chan voteReply {
	replies := make(chan voteReply, len(of))
	for i, reg := range of {
		go func() {
			reply := voteReply{index: i}
			contain.Run(r.log, "vote request", func() { reply.vote, reply.answered = r.requestVote(ctx, reg, rec) })
			replies <- reply
		}()
	}
	return replies
}

// isWidelySuspected reports whether enough of a sample of the instances share a
// suspicion for a majority to be likely, or the sample can't tell because none of it
// answers.
func (r *Runner) isWidelySuspected(ctx context.Context, rec Record) bool {
	r.mu.Lock()
	sample := slices.Clone(r.knownInstances)
	r.mu.Unlock()
	sample = slices.DeleteFunc(sample, func(reg Registration) bool { return !r.canQuery(reg, rec) })
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(voteSampleSize, len(sample))]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	votes := r.requestVotes(ctx, rec, sample)
	answered, suspects := 0, 0
	for range sample {
		v := <-votes
		if !v.answered {
			continue
		}
		answered++
		if v.vote.Suspects {
			suspects++
		}
		if sharedWidely(suspects, len(sample)) {
			return true
		}
	}
	return answered == 0
}

// sharedWidely reports whether a suspicion that some instances of a sample share may
// have a majority.
func sharedWidely(suspects, sample int) bool { return 4*suspects >= sample }

// addDirectSuspicions asks instances that have not published a suspicion and
// adds their answers to the published ones.
func (r *Runner) addDirectSuspicions(ctx context.Context, rec Record, registered []Registration) []Registration {
	out := slices.Clone(registered)
	var unpublished []int
	for i, reg := range registered {
		if token, ok := reg.Suspects[rec.Service]; (!ok || token != rec.Token) && r.canQuery(reg, rec) {
			unpublished = append(unpublished, i)
		}
	}
	if len(unpublished) > maxDirectQueries {
		return out
	}
	rand.Shuffle(len(unpublished), func(i, j int) { unpublished[i], unpublished[j] = unpublished[j], unpublished[i] })
	first := unpublished[:min(voteSampleSize, len(unpublished))]
	if n := r.requestSuspicions(ctx, rec, out, first); sharedWidely(n, len(first)) {
		r.requestSuspicions(ctx, rec, out, unpublished[len(first):])
	}
	return out
}

// requestSuspicions asks the instances registered[i], for each i of which, in
// parallel, until there is a quorum. It adds their suspicions to registered and
// returns how many suspect the primary.
func (r *Runner) requestSuspicions(ctx context.Context, rec Record, registered []Registration, which []int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := make([]Registration, 0, len(which))
	for _, i := range which {
		asked = append(asked, registered[i])
	}
	votes := r.requestVotes(ctx, rec, asked)
	count := 0
	for range which {
		v := <-votes
		if !v.answered || !v.vote.Suspects {
			continue
		}
		i := which[v.index]
		count++
		suspects := maps.Clone(registered[i].Suspects)
		if suspects == nil {
			suspects = make(map[string]uint64)
		}
		suspects[rec.Service] = rec.Token
		registered[i].Suspects = suspects
		if HasQuorum(registered, rec.Excluded, rec.Service, rec.Token) {
			break // instances that are out of reach would take until the time-out
		}
	}
	return count
}

func (r *Runner) canQuery(reg Registration, rec Record) bool {
	return reg.Address != "" && reg.Instance != r.cfg.Instance && !slices.Contains(rec.Excluded, reg.Incarnation)
}

// stopTracker collects the incarnations that confirmed directly that they have
// stopped using the primary that a token replaces.
type stopTracker struct {
	began   time.Duration // when the instances were first asked to stop
	mu      sync.Mutex
	pending map[string]bool // incarnations with a request in flight
	stopped map[string]bool // incarnations
}

func newStopTracker(now time.Duration) *stopTracker {
	return &stopTracker{began: now, pending: make(map[string]bool), stopped: make(map[string]bool)}
}

// missing returns the registrations of instances that have confirmed neither
// directly nor in the store that they stopped.
func (s *stopTracker) missing(registered []Registration, rec Record) []Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(Unacknowledged(registered, rec.Excluded, rec.Service, rec.Token), func(reg Registration) bool {
		return s.stopped[reg.Incarnation]
	})
}

// startQuery reports whether a request to the incarnation may be sent. At most one is in
// flight at a time, and at most maxDirectQueries in all.
func (s *stopTracker) startQuery(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[incarnation] || len(s.pending) >= maxDirectQueries {
		return false
	}
	s.pending[incarnation] = true
	return true
}

func (s *stopTracker) finishQuery(incarnation string, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, incarnation)
	if stopped {
		s.stopped[incarnation] = true
	}
}

// requestStops sends the record of a replacement to the missing instances and
// records in s which of them confirm that they stopped. It does not wait for the
// answers.
func (r *Runner) requestStops(ctx context.Context, rec Record, missing []Registration, s *stopTracker) {
	if len(missing) > maxDirectQueries {
		if r.cfg.Now()-s.began < storeConfirmTime {
			return
		}
		// Those out of reach must not keep the others from being queried.
		rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	}
	for _, reg := range missing {
		if !r.canQuery(reg, rec) || !s.startQuery(reg.Incarnation) {
			continue
		}
		go func() {
			stopped := false
			contain.Run(r.log, "vote request", func() {
				v, ok := r.requestVote(ctx, reg, rec)
				stopped = ok && v.Stopped >= rec.Token
			})
			s.finishQuery(reg.Incarnation, stopped)
		}()
	}
}
