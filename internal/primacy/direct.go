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
	// maxDirect is how many instances are asked directly at once. If more have
	// not said in the store where they stand, the store's fault is one of all and
	// nothing can be agreed anyway.
	maxDirect = 64
	// sample is how many of them are asked about a suspicion at first. If less
	// than a quarter of them share it, most of all do not.
	sample = 8
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
	r.adopt(rec, "told by a peer")
	known, _, _ := r.cfg.Cache.Record(rec.Service) // it has been adopted
	r.mu.Lock()
	defer r.mu.Unlock()
	token, suspects := r.reg.Suspects[rec.Service]
	return Vote{Incarnation: r.published.incarnation, Suspects: suspects && token == rec.Token, Stopped: known.Token}
}

// askVote returns the vote of the incarnation that is registered. One of another
// life of the instance says nothing about it.
func (r *Runner) askVote(ctx context.Context, reg Registration, rec Record) (Vote, bool) {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	v, err := r.cfg.Peers.Vote(ctx, reg.Address, rec)
	if err != nil {
		r.log.Debug().Str("service", rec.Service).Str("instance", reg.Instance).Err(err).Msg("An instance did not answer a question.")
		return Vote{}, false
	}
	return v, v.Incarnation == reg.Incarnation
}

// withSuspicions adds what instances say directly to the suspicions that they
// have published.
func (r *Runner) withSuspicions(ctx context.Context, rec Record, registered []Registration) []Registration {
	out := slices.Clone(registered)
	var silent []int
	for i, reg := range registered {
		if token, ok := reg.Suspects[rec.Service]; (!ok || token != rec.Token) && r.canAsk(reg, rec) {
			silent = append(silent, i)
		}
	}
	if len(silent) > maxDirect {
		return out
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	first := silent[:min(sample, len(silent))]
	if n := r.askSuspicions(ctx, rec, out, first); 4*n >= len(first) {
		r.askSuspicions(ctx, rec, out, silent[len(first):])
	}
	return out
}

// askSuspicions asks some of the registered instances at once, adds what they
// say, and returns how many share the suspicion.
func (r *Runner) askSuspicions(ctx context.Context, rec Record, registered []Registration, which []int) int {
	var (
		wg    sync.WaitGroup
		count atomic.Int64
	)
	for _, i := range which {
		wg.Go(func() {
			if v, ok := r.askVote(ctx, registered[i], rec); ok && v.Suspects {
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

func (r *Runner) canAsk(reg Registration, rec Record) bool {
	return reg.Address != "" && reg.Instance != r.cfg.Instance && !slices.Contains(rec.Excluded, reg.Incarnation)
}

// stops collects which instances said directly that they stopped using the
// primary that a token replaces.
type stops struct {
	mu      sync.Mutex
	asking  map[string]bool // incarnations with a question under way
	stopped map[string]bool // incarnations
}

func newStops() *stops {
	return &stops{asking: make(map[string]bool), stopped: make(map[string]bool)}
}

// remaining returns the registrations of instances that have not said that they
// stopped, neither directly nor in the store.
func (s *stops) remaining(registered []Registration, rec Record) []Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(Unacknowledged(registered, rec.Excluded, rec.Service, rec.Token), func(reg Registration) bool {
		return s.stopped[reg.Incarnation]
	})
}

// begin reports whether a question to the incarnation may be sent.
func (s *stops) begin(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[incarnation] {
		return false
	}
	s.asking[incarnation] = true
	return true
}

func (s *stops) end(incarnation string, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, incarnation)
	if stopped {
		s.stopped[incarnation] = true
	}
}

// askStopped tells instances of a replacement and notes which of them say that
// they stopped. It does not wait for the answers.
func (r *Runner) askStopped(ctx context.Context, rec Record, missing []Registration, s *stops) {
	if len(missing) > maxDirect {
		return
	}
	for _, reg := range missing {
		if !r.canAsk(reg, rec) || !s.begin(reg.Incarnation) {
			continue
		}
		go func() {
			v, ok := r.askVote(ctx, reg, rec)
			s.end(reg.Incarnation, ok && v.Stopped >= rec.Token)
		}()
	}
}
