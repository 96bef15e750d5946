package primacy

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// voteTimeout bounds a question to another instance. A way between data
	// centres takes 5 ms, and a busy instance answers within 50 ms.
	voteTimeout = 150 * time.Millisecond
	// maxDirectQueries is how many instances are asked directly at once. If more have
	// not said in the store where they stand, the store's fault is one of all and
	// nothing can be agreed anyway.
	maxDirectQueries = 64
	// voteSampleSize is how many of them are asked about a suspicion at first. If less
	// than a quarter of them share it, most of all do not.
	voteSampleSize = 8
)

// Vote is where an instance stands in the replacement of a primary. Instances
// publish the same in their registrations; they are asked directly if the store
// does not answer them.
type Vote struct {
	Incarnation string // as registered in the store; empty before
	Suspects    bool   // it gets no answer from the primary under the record's token
	Stopped     uint64 // it uses no primary from before this token
}

// Vote takes a record that another instance knows from the store and answers
// where this instance stands.
func (r *Runner) Vote(rec Record) Vote {
	r.applyRecord(rec, "told by a peer")
	known, _, _ := r.cfg.Cache.Record(rec.Service) // it has been adopted
	r.mu.Lock()
	defer r.mu.Unlock()
	token, suspects := r.reg.Suspects[rec.Service]
	return Vote{Incarnation: r.published.incarnation, Suspects: suspects && token == rec.Token, Stopped: known.Token}
}

// requestVote returns the vote of the incarnation that is registered. One of another
// life of the instance says nothing about it.
func (r *Runner) requestVote(ctx context.Context, reg Registration, rec Record) (Vote, bool) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	v, err := r.cfg.Peers.Vote(ctx, reg.Address, rec)
	if err != nil {
		r.log.Debug().Str("service", rec.Service).Str("instance", reg.Instance).Err(err).Msg("An instance did not answer a question.")
		return Vote{}, false
	}
	return v, v.Incarnation == reg.Incarnation
}

// addDirectSuspicions adds what instances say directly to the suspicions that they
// have published.
func (r *Runner) addDirectSuspicions(ctx context.Context, rec Record, registered []Registration) []Registration {
	out := slices.Clone(registered)
	var silent []int
	for i, reg := range registered {
		if token, ok := reg.Suspects[rec.Service]; (!ok || token != rec.Token) && r.canQuery(reg, rec) {
			silent = append(silent, i)
		}
	}
	if len(silent) > maxDirectQueries {
		return out
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	first := silent[:min(voteSampleSize, len(silent))]
	if n := r.requestSuspicions(ctx, rec, out, first); 4*n >= len(first) {
		r.requestSuspicions(ctx, rec, out, silent[len(first):])
	}
	return out
}

// requestSuspicions asks some of the registered instances at once, adds what they
// say, and returns how many share the suspicion.
func (r *Runner) requestSuspicions(ctx context.Context, rec Record, registered []Registration, which []int) int {
	var (
		wg    sync.WaitGroup
		count atomic.Int64
	)
	for _, i := range which {
		wg.Go(func() {
			if v, ok := r.requestVote(ctx, registered[i], rec); ok && v.Suspects {
				count.Add(1)
				suspects := maps.Clone(registered[i].Suspects)
				if suspects == nil {
					suspects = make(map[string]uint64)
				}
				suspects[rec.Service] = rec.Token
				registered[i].Suspects = suspects
			}
		})
	}
	wg.Wait()
	return int(count.Load())
}

func (r *Runner) canQuery(reg Registration, rec Record) bool {
	return reg.Address != "" && reg.Instance != r.cfg.Instance && !slices.Contains(rec.Excluded, reg.Incarnation)
}

// stopTracker collects which instances said directly that they stopped using the
// primary that a token replaces.
type stopTracker struct {
	mu      sync.Mutex
	pending map[string]bool // incarnations with a question under way
	stopped map[string]bool // incarnations
}

func newStopTracker() *stopTracker {
	return &stopTracker{pending: make(map[string]bool), stopped: make(map[string]bool)}
}

// missing returns the registrations of instances that have not said that they
// stopped, neither directly nor in the store.
func (s *stopTracker) missing(registered []Registration, rec Record) []Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(Unacknowledged(registered, rec.Excluded, rec.Service, rec.Token), func(reg Registration) bool {
		return s.stopped[reg.Incarnation]
	})
}

// startQuery reports whether a question to the incarnation may be sent.
func (s *stopTracker) startQuery(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[incarnation] {
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

// requestStops tells instances of a replacement and notes which of them say that
// they stopped. It does not wait for the answers.
func (r *Runner) requestStops(ctx context.Context, rec Record, missing []Registration, s *stopTracker) {
	if len(missing) > maxDirectQueries {
		return
	}
	for _, reg := range missing {
		if !r.canQuery(reg, rec) || !s.startQuery(reg.Incarnation) {
			continue
		}
		go func() {
			v, ok := r.requestVote(ctx, reg, rec)
			s.finishQuery(reg.Incarnation, ok && v.Stopped >= rec.Token)
		}()
	}
}
