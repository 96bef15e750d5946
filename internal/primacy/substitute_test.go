package primacy

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/revision"
)

// countedStore is the store as seen by one instance, and counts its calls in a counter
// of the fleet.
type countedStore struct {
	storeView
	calls *storeCalls
}

type storeCalls struct{ records, refused, watches, registrations, lists, stale atomic.Int64 }

// total returns the price of the calls. A list of registrations that may be stale costs
// a tenth of another call.
func (c *storeCalls) total() float64 {
	full := c.records.Load() + c.watches.Load() + c.registrations.Load() + c.lists.Load()
	return float64(full) + float64(c.stale.Load())/10
}

func (c *storeCalls) String() string {
	return fmt.Sprintf("records %d (refused %d), watches %d, registrations %d, lists %d, stale lists %d", c.records.Load(), c.refused.Load(),
		c.watches.Load(), c.registrations.Load(), c.lists.Load(), c.stale.Load())
}

func (s countedStore) Records(ctx context.Context) ([]Record, revision.Revision, error) {
	s.calls.records.Add(1)
	if s.refuses.Load() {
		s.calls.refused.Add(1)
	}
	return s.storeView.Records(ctx)
}

func (s countedStore) WatchRecords(ctx context.Context, after revision.Revision, wait time.Duration) ([]Record, revision.Revision, error) {
	s.calls.watches.Add(1)
	if s.refuses.Load() {
		return nil, revision.Revision{}, errStoreDown // at once, not after the next change
	}
	return s.storeView.WatchRecords(ctx, after, wait)
}

func (s countedStore) Registrations(ctx context.Context) ([]Registration, error) {
	s.calls.lists.Add(1)
	return s.storeView.Registrations(ctx)
}

func (s countedStore) StaleRegistrations(ctx context.Context) ([]Registration, revision.Revision, error) {
	s.calls.stale.Add(1)
	return s.storeView.StaleRegistrations(ctx)
}

func (s countedStore) Register(ctx context.Context, r Registration) (Registration, error) {
	s.calls.registrations.Add(1)
	return s.storeView.Register(ctx, r)
}

// startTreeFleet runs the instances of a fleet until the test ends. It returns when all of
// them get the state of the store along the tree.
func startTreeFleet(t *testing.T, store *fakeStore, g *fakeGroup, fleet []Registration) (map[string]*instance, *storeCalls) {
	t.Helper()
	all, calls := make(map[string]*instance), &storeCalls{}
	peers := &network{runners: make(map[string]*Runner)}
	for _, reg := range fleet {
		refused := &atomic.Bool{}
		cache := NewRecordCache(reg.Incarnation, InitialValidity, clock.SinceBoot)
		r := NewRunner(Config{
			Instance: reg.Instance, DataCentre: reg.DataCentre, Address: reg.Address, Peers: peers, Incarnation: reg.Incarnation,
			Store: countedStore{storeView{store, refused}, calls}, Databases: databaseView{g, reg.Instance}, Promotions: g, Cache: cache,
			Services: func() []string { return []string{"ledger"} }, Now: clock.SinceBoot, Log: zerolog.Nop(),
			OnStoreUnavailable: func() {}, Listings: &fakeListings{},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = r.Run(ctx) }()
		peers.mu.Lock()
		peers.runners[reg.Address] = r
		peers.mu.Unlock()
		x := &instance{r, cache, func() { cancel(); <-done }, refused, peers}
		t.Cleanup(x.stop)
		all[reg.Instance] = x
	}
	top := topOf(fleet)
	for name, x := range all {
		eventually(t, name+" follows the top of the tree", func() bool {
			x.runner.mu.Lock()
			defer x.runner.mu.Unlock()
			_, ok := x.cache.Primary("ledger")
			return ok && len(x.runner.knownInstances) == len(fleet) && x.runner.state.origin == top
		})
	}
	return all, calls
}

// topOf returns the instance without upstreams.
func topOf(fleet []Registration) string { return headsOf(byDataCentre(fleet))[0].Name }

// Guards against a store that is queried by a good part of the fleet because it refuses
// the top of the tree: 100 calls a second were measured instead of 2.5. The calls of
// the first second, in which a substitute is found, count as well.
func TestRefusedTopOfTheTreeCostsFewCalls(t *testing.T) {
	fleet := newFleet(67, 6)
	heads := make(map[string]bool)
	for _, h := range headsOf(byDataCentre(fleet)) {
		heads[h.Name] = true
	}
	for name, refuses := range map[string]func(i int, instance string) bool{
		"a third of the others":                   func(i int, _ string) bool { return i%3 == 0 },
		"the first instances of all data centres": func(i int, instance string) bool { return heads[instance] || i%4 == 0 },
	} {
		t.Run(name, func(t *testing.T) { testRefusedFleet(t, fleet, refuses) })
	}
}

// testRefusedFleet lets the store refuse the top of the tree and some other instances.
func testRefusedFleet(t *testing.T, fleet []Registration, refuses func(i int, instance string) bool) {
	const (
		outage       = 9 * time.Second
		callsASecond = 10
	)
	store, g := newFakeStore(), newFakeGroup()
	all, calls := startTreeFleet(t, store, g, fleet)
	top := topOf(fleet)
	for i, reg := range fleet {
		all[reg.Instance].storeRefuses.Store(reg.Instance == top || refuses(i, reg.Instance))
	}
	before := calls.total()
	t.Logf("before: %v", calls)
	began := time.Now()
	changeAt, changed := began.Add(outage/2), revision.Revision{}
	var due time.Time // when the changed record must have reached all
	for time.Since(began) < outage {
		for name, x := range all {
			if _, ok := x.cache.Primary("ledger"); !ok {
				t.Fatalf("%s does not use its primary after %v; calls: %v", name, time.Since(began), calls)
			}
			if rec, _, _ := x.cache.Record("ledger"); !due.IsZero() && time.Now().After(due) && rec.Revision.Before(changed) {
				t.Fatalf("%s does not know the changed record after the validity", name)
			}
		}
		if due.IsZero() && time.Now().After(changeAt) {
			store.mu.Lock()
			changed = store.put(store.records["ledger"]).Revision
			store.mu.Unlock()
			due = time.Now().Add(InitialValidity)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("after: %v", calls)
	if made, most := calls.total()-before, callsASecond*outage.Seconds(); made > most {
		t.Errorf("%.1f calls to the store in %v, want at most %.0f", made, outage, most)
	}
	for _, x := range all {
		x.storeRefuses.Store(false)
	}
	eventually(t, "all follow the top of the tree again", func() bool {
		for _, x := range all {
			x.runner.mu.Lock()
			origin := x.runner.state.origin
			x.runner.mu.Unlock()
			if origin != top {
				return false
			}
		}
		return true
	})
}

// delayedPeers passes queries between runners and lets time pass on the way. Queries
// are not held.
type delayedPeers struct {
	now     *atomic.Int64
	delay   func() time.Duration
	runners map[string]*Runner
}

func (p delayedPeers) FetchSnapshot(ctx context.Context, address string, q SnapshotQuery) (StoreSnapshot, error) {
	r, ok := p.runners[address]
	if !ok {
		return StoreSnapshot{}, errNetwork
	}
	q.Wait = 0
	p.now.Add(int64(p.delay()))
	s, ok := r.Snapshot(ctx, q)
	p.now.Add(int64(p.delay()))
	if !ok {
		return StoreSnapshot{}, errStoreDown
	}
	return s, nil
}

func (delayedPeers) Vote(context.Context, string, Record) (Vote, error) { return Vote{}, errNetwork }

// newSubstitutedRunner returns a registered runner of a fleet that is not started.
func newSubstitutedRunner(name string, fleet []Registration, peers Peers, now func() time.Duration) *Runner {
	r := NewRunner(Config{
		Instance: name, Incarnation: name, DataCentre: name[:1], Peers: peers, Cache: NewRecordCache(name, InitialValidity, now),
		Now: now, Log: zerolog.Nop(), Listings: &fakeListings{},
	})
	r.published.incarnation = name
	r.knownInstances = fleet
	r.substitution.setFleet(fleet)
	return r
}

// Guards against two instances without the store that are each other's substitute and
// keep a record valid beyond its age, or never ask the store again.
func TestSubstitutesOfEachOtherOnlyAge(t *testing.T) {
	fleet := newFleet(fanOut+1, 2)
	a, b := fleet[1], fleet[len(fleet)-1]
	rapid.Check(t, func(t *rapid.T) {
		asked := time.Hour
		var now atomic.Int64 // candidates are asked concurrently
		now.Store(int64(asked))
		peers := delayedPeers{&now, func() time.Duration { return time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * ms }, map[string]*Runner{}}
		clock := func() time.Duration { return time.Duration(now.Load()) }
		pair := []*Runner{newSubstitutedRunner(a.Instance, fleet, peers, clock), newSubstitutedRunner(b.Instance, fleet, peers, clock)}
		peers.runners[a.Address], peers.runners[b.Address] = pair[0], pair[1]
		rec := Record{Service: "ledger", Revision: revision.Revision{Number: 5}, Token: 1, Phase: Serving, Primary: "db-1", Term: 1}
		origin := rapid.SampledFrom([]string{fleet[0].Instance, a.Instance, b.Instance, ""}).Draw(t, "origin")
		for _, r := range pair {
			r.noteOrigin(origin, asked)
			r.confirmRecords([]Record{rec}, rec.Revision, asked)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now.Add(int64(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms))
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			r, other := pair[i], []Registration{b, a}[i]
			r.setSubstitute(instanceOf(other))
			began := clock()
			if r.renewFromSubstitute(t.Context()) && began-asked > headMaxAge {
				t.Fatalf("a state of age %v does not make the instance leave its substitute", began-asked)
			}
			if r.findSubstitute(t.Context()) && began-asked > storeContactMaxAge {
				t.Fatalf("an instance whose state has age %v counts as in contact with the store", began-asked)
			}
			for _, r := range pair {
				if _, confirmed, _ := r.cfg.Cache.Record("ledger"); confirmed > asked || r.state.asked > asked {
					t.Fatalf("confirmed at %v by a request to the store at %v", confirmed, asked)
				}
				if _, ok := r.cfg.Cache.Primary("ledger"); ok && clock()-asked >= InitialValidity {
					t.Fatalf("the primary is used %v after the request to the store", clock()-asked)
				}
			}
		}
	})
}

func instanceOf(reg Registration) ownership.Instance {
	return ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre}
}

// Guards against two instances that query the store where one suffices, against both of
// them giving way to each other, and against an instance that waits for its own state.
func TestOneOfTwoOriginsGivesWay(t *testing.T) {
	fleet := newFleet(40, 4)
	var s substitution
	s.setFleet(fleet)
	for _, x := range fleet {
		for _, y := range fleet {
			if x.Instance != y.Instance && s.precedes(x.Instance, y.Instance) == s.precedes(y.Instance, x.Instance) {
				t.Fatalf("%s and %s: no order", x.Instance, y.Instance)
			}
		}
		if x.Instance != s.heads[0] && !s.precedes(s.heads[0], x.Instance) {
			t.Errorf("the top of the tree gives way to %s", x.Instance)
		}
	}
	r := newSubstitutedRunner(s.heads[1], fleet, &fakePeers{}, clock.SinceBoot)
	if !r.acceptOrigin(s.heads[1], 1) {
		t.Error("a process that starts must accept what its predecessor asked the store for")
	}
	r.state.asked = 1
	accepts := func(origin string) bool { return r.acceptOrigin(origin, 1) }
	if accepts(s.heads[1]) || !accepts(s.heads[2]) || !accepts(s.heads[0]) || !accepts("") {
		t.Error("an instance without the store must accept all snapshots but its own")
	}
	r.substitution.direct = true
	if accepts(s.heads[2]) || !accepts(s.heads[0]) || !accepts("") {
		t.Error("an instance that queries the store must give way to those before it only")
	}
}

// Guards against a changed behaviour of small fleets, which have no substitutes.
func TestSmallFleetHasNoSubstitutes(t *testing.T) {
	peers := &fakePeers{snapshots: map[string]StoreSnapshot{}}
	for _, reg := range newFleet(fanOut+1, 1) {
		peers.snapshots[reg.Address] = StoreSnapshot{Origin: "a-1"}
	}
	for n, want := range map[int]bool{fanOut: false, fanOut + 1: true} {
		r := newSubstitutedRunner("a-0", newFleet(n, 1), peers, clock.SinceBoot)
		if !r.renewFromSubstitutesOrPeers(t.Context()) {
			t.Errorf("%d instances: no peer is in contact with the store", n)
		}
		if got := r.substitution.upstream.Address != ""; got != want {
			t.Errorf("%d instances: substitute %q", n, r.substitution.upstream.Name)
		}
		if retry := r.listRetryDelay(3); want != (retry > maxBackoff) || !want && retry != maxBackoff {
			t.Errorf("%d instances: a failed list is repeated after %v", n, retry)
		}
	}
}
