package primacy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/ownership"
)

// In a fleet of more than fanOut instances, an instance whose upstreams fail, or that
// has none and that the store refuses, gets the state of the store from a substitute
// upstream: a peer that is in contact with the store. Otherwise one refused instance at
// the top of the tree makes a good part of the fleet query the store.
//
// A snapshot names its origin, the instance that asked the store for it, so that two
// instances do not wait for each other's snapshots. The origin is a hint: instances that
// nevertheless wait in a circle find that their snapshots age, and leave it.

const (
	// substituteInterval is the mean time after which an instance with a substitute
	// tries its upstreams again, or the store if it has no upstreams.
	substituteInterval = 5 * time.Second
	// substituteDelayMin and substituteDelayMax bound the random delay before an
	// instance that finds no substitute queries the store, so that all others get the
	// state from the first ones that it answers. The first instances of the data
	// centres do not wait. Together with relayMaxAge it stays below recordValidity.
	substituteDelayMin = 50 * time.Millisecond
	substituteDelayMax = 250 * time.Millisecond
	// substituteDelayMaxAge is the age of the state above which there is no delay: the
	// validity is nearly used up.
	substituteDelayMaxAge = recordValidity - 2*substituteDelayMax
)

// substitution is the state of an instance's search for a substitute upstream.
type substitution struct {
	upstream ownership.Instance // the zero value if there is none
	retryAt  time.Duration      // when to try the upstreams or the store again
	direct   bool               // the latest renewal got its state from the store
	heads    []string           // the first instances of the data centres, in the order of the tree
}

// setFleet takes over a list of the registered instances.
func (s *substitution) setFleet(registered []Registration) {
	s.heads = s.heads[:0:0]
	for _, h := range headsOf(byDataCentre(registered)) {
		s.heads = append(s.heads, h.Name)
	}
}

func (s *substitution) isHead(instance string) bool { return slices.Contains(s.heads, instance) }

// precedes reports whether a should go on to query the store if both a and b do. It is
// a total order, so one of them does.
func (s *substitution) precedes(a, b string) bool {
	rank := func(name string) int {
		if i := slices.Index(s.heads, name); i >= 0 {
			return i
		}
		return len(s.heads)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) < 0
}

// substitutes reports whether the fleet is large enough for substitutes. r.mu is held.
func (r *Runner) substitutes() bool { return len(r.knownInstances) > fanOut }

// usesSubstitutes is substitutes for callers that do not hold r.mu.
func (r *Runner) usesSubstitutes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.substitutes()
}

// acceptOrigin reports whether this instance may rely on a snapshot that the origin
// asked the store for at asked, and notes the origin of the state. It may not if the
// snapshot comes from this instance itself, or if this instance queries the store and
// precedes the origin. Instances of earlier releases name no origin.
func (r *Runner) acceptOrigin(origin string, asked time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.substitutes() && origin != "" {
		s := &r.substitution
		// A process that has just started may be sent what its predecessor asked for.
		own := origin == r.cfg.Instance && r.state.asked != 0
		if own || s.direct && s.precedes(r.cfg.Instance, origin) {
			return false
		}
	}
	r.noteOrigin(origin, asked)
	return true
}

// noteOrigin notes which instance asked the store for the state that is about to be
// confirmed. r.mu is held.
func (r *Runner) noteOrigin(origin string, asked time.Duration) {
	if asked > r.state.asked {
		r.state.origin = origin
	}
}

// renewRelayed confirms the cached records from an upstream or a substitute. It reports
// false if the store must be asked.
func (r *Runner) renewRelayed(ctx context.Context) bool {
	if !r.usesSubstitutes() {
		return r.renewFromUpstream(ctx)
	}
	r.mu.Lock()
	had := r.substitution.upstream.Address != ""
	due := had && r.cfg.Now() >= r.substitution.retryAt
	if due {
		clear(r.upstreams.failures)
	}
	hasUpstreams := len(r.upstreams.ordered) > 0
	r.mu.Unlock()
	switch {
	case r.renewFromUpstream(ctx):
		r.setSubstitute(ownership.Instance{})
	case due && !hasUpstreams:
		return false
	case had && r.renewFromSubstitute(ctx):
	case (had || hasUpstreams) && r.awaitSubstitute(ctx):
	default:
		return false
	}
	r.noteSource(false)
	return true
}

// noteSource notes whether the state comes from the store. The listings do so as well:
// those that wait for this instance would list the store themselves if it lagged behind.
func (r *Runner) noteSource(direct bool) {
	r.mu.Lock()
	active := r.substitutes()
	changed := active && r.substitution.direct != direct
	if active {
		r.substitution.direct = direct
	}
	r.mu.Unlock()
	if direct && active {
		r.setSubstitute(ownership.Instance{})
	}
	if changed {
		r.cfg.Listings.SetRelayed(!direct)
	}
}

// followsSubstitute reports whether the substitute is to be asked next. The time for
// which the state was already known counts, so there is no pause before it.
func (r *Runner) followsSubstitute() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.substitution.upstream.Address != "" && r.cfg.Now() < r.substitution.retryAt
}

// renewFromSubstitute sends the substitute a query that it holds until there is
// something new. A substitute whose snapshots become too old is given up while the
// instances that wait for this one still accept its own.
func (r *Runner) renewFromSubstitute(ctx context.Context) bool {
	r.mu.Lock()
	upstream, q := r.substitution.upstream, r.lastSnapshot
	q.Wait = headMaxAge - (r.cfg.Now() - r.state.asked)
	r.mu.Unlock()
	if q.Wait <= 0 {
		q = SnapshotQuery{}
	}
	if r.fetchUpstream(ctx, upstream, q) && r.stateAge() <= headMaxAge {
		return true
	}
	r.setSubstitute(ownership.Instance{})
	return false
}

func (r *Runner) stateAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now() - r.state.asked
}

// awaitSubstitute looks for a substitute, and once more after a delay.
func (r *Runner) awaitSubstitute(ctx context.Context) bool {
	if r.findSubstitute(ctx) {
		return true
	}
	r.mu.Lock()
	s := &r.substitution
	first := s.direct || s.isHead(r.cfg.Instance) || r.cfg.Now()-r.state.asked > substituteDelayMaxAge
	r.mu.Unlock()
	if first || sleep(ctx, substituteDelayMin+rand.N(substituteDelayMax-substituteDelayMin)) != nil {
		return false
	}
	return r.findSubstitute(ctx)
}

// renewFromSubstitutesOrPeers confirms the cached records from peers after the store
// did not answer, in fleets with substitutes from those that may become one.
func (r *Runner) renewFromSubstitutesOrPeers(ctx context.Context) bool {
	if !r.usesSubstitutes() {
		return r.renewFromPeers(ctx)
	}
	r.mu.Lock()
	r.substitution.direct = false
	r.mu.Unlock()
	if !r.findSubstitute(ctx) {
		return false
	}
	r.cfg.Listings.SetRelayed(true)
	return true
}

// findSubstitute asks the upstreams, the present substitute and a few random peers for
// their snapshots. The first of them that is in contact with the store becomes the
// source of the state.
func (r *Runner) findSubstitute(ctx context.Context) bool {
	candidates, upstreamCount := r.candidates()
	i := r.firstInContact(ctx, candidates)
	switch {
	case i < 0:
		return false
	case i < upstreamCount:
		r.mu.Lock()
		r.upstreams.record(candidates[i].Address, true, r.cfg.Now())
		r.mu.Unlock()
		r.setSubstitute(ownership.Instance{})
		return true
	}
	chosen := candidates[i]
	// The others wait for the first instances of the data centres, so these must not
	// wait for any of the others in turn, but for the instance that queries the store.
	if origin, ok := r.originForHead(); ok && r.firstInContact(ctx, []ownership.Instance{origin}) == 0 {
		chosen = origin
	}
	r.setSubstitute(chosen)
	return true
}

// candidates returns the instances that may provide the state, and how many of them
// are upstreams. These come first.
func (r *Runner) candidates() (all []ownership.Instance, upstreamCount int) {
	peers := r.randomPeers()
	r.mu.Lock()
	defer r.mu.Unlock()
	all = slices.Clone(r.upstreams.ordered)
	upstreamCount = len(all)
	if s := r.substitution.upstream; s.Address != "" {
		all = append(all, s)
	}
	for _, address := range peers {
		if !slices.ContainsFunc(all, func(i ownership.Instance) bool { return i.Address == address }) {
			all = append(all, ownership.Instance{Name: address, Address: address})
		}
	}
	return all, upstreamCount
}

// originForHead returns the instance that asked the store for the present state, if
// this instance is the first one of its data centre.
func (r *Runner) originForHead() (ownership.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.substitution.isHead(r.cfg.Instance) {
		return ownership.Instance{}, false
	}
	for _, reg := range r.knownInstances {
		if reg.Instance == r.state.origin && reg.Instance != r.cfg.Instance && reg.Address != "" {
			return ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre}, true
		}
	}
	return ownership.Instance{}, false
}

// firstInContact takes over the snapshots of all candidates and returns the index of the
// first one that is in contact with the store, or -1.
func (r *Runner) firstInContact(ctx context.Context, candidates []ownership.Instance) int {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	inContact := make([]bool, len(candidates))
	var wg sync.WaitGroup
	for i, c := range candidates {
		wg.Go(func() {
			contain.Run(r.log, "query to a possible substitute", func() { inContact[i] = r.renewFromPeer(ctx, c.Address) })
		})
	}
	wg.Wait()
	return slices.Index(inContact, true)
}

// setSubstitute replaces the substitute; the zero value removes it.
func (r *Runner) setSubstitute(i ownership.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.substitution
	s.retryAt = r.cfg.Now() + substituteInterval*3/4 + rand.N(substituteInterval/2)
	if s.upstream.Address == i.Address {
		return
	}
	s.upstream = i
	r.log.Info().Str("substitute", i.Name).Msg("The substitute upstream changed.")
}

// listRetryDelay returns the delay after a list of the registrations that failed, as
// several before it did. In a large fleet that is known already, the store may refuse
// dozens of instances at the same time.
func (r *Runner) listRetryDelay(failuresBefore int) time.Duration {
	if !r.usesSubstitutes() {
		return maxBackoff
	}
	return min(maxBackoff<<min(failuresBefore, 4), instancesInterval)
}
