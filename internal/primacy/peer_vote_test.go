package primacy

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/revision"
	"github.com/rs/zerolog"
)

// refuseStore makes the store refuse the named instances, once all instances know
// each other's addresses.
func refuseStore(t *testing.T, all map[string]*instance, names ...string) {
	t.Helper()
	for name, x := range all {
		eventually(t, name+" knows the others", func() bool {
			x.runner.mu.Lock()
			defer x.runner.mu.Unlock()
			return len(x.runner.knownInstances) == len(all)
		})
	}
	for _, name := range names {
		all[name].storeRefuses.Store(true)
	}
}

// Guards against a service without a primary when the store refuses most
// instances, so that it does not hold their suspicions, and against instances
// that learn of the new primary only when the store answers them again.
func TestPrimaryIsReplacedWhileTheStoreRefusesMost(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c", "d")
	refuseStore(t, all, "b", "c", "d")
	g.stop("db-1")
	eventually(t, "db-2 leads for all", allUse(all, "db-2"))
	if r := store.record(); len(r.Excluded) != 0 {
		t.Errorf("instances that confirmed that they stopped are excluded: %v", r.Excluded)
	}
	if promoted, _ := g.promotions(); len(promoted) != 1 {
		t.Errorf("promoted %v", promoted)
	}
	for end := time.Now().Add(2 * InitialValidity); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !allUse(all, "db-2")() {
			t.Fatal("an instance that the store refuses does not use the new primary")
		}
	}
}

// Guards against an instance that relies on a peer for contact with the store
// although both were cut off together, and therefore stays in rotation.
func TestPeersCutOffTogetherAreIsolated(t *testing.T) {
	for _, c := range []struct {
		age       time.Duration
		inContact bool
	}{{renewInterval, true}, {storeContactMaxAge + ms, false}, {relayMaxAge + ms, false}} {
		peers := &fakePeers{snapshots: map[string]StoreSnapshot{"x:1": {Records: []Record{{Service: "ledger", Revision: revision.Revision{Number: 5}, Phase: Serving}}, Age: c.age}}}
		cache := NewRecordCache("self", validity, clock.SinceBoot)
		r := NewRunner(Config{Instance: "self", Peers: peers, Cache: cache, Listings: &fakeListings{}, Now: clock.SinceBoot, Log: zerolog.Nop()})
		r.knownInstances = []Registration{{Instance: "x", Address: "x:1"}}
		if got := r.renewFromPeers(t.Context()); got != c.inContact {
			t.Errorf("a peer that asked the store %v ago: in contact %v, want %v", c.age, got, c.inContact)
		}
	}
}

// Guards against a promotion without a majority: an instance that loses its
// network must not count peers that do not answer it as suspecting the primary.
func TestUnreachablePeersDoNotCountAsSuspicions(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	refuseStore(t, all, "b", "c")
	all["a"].network.mu.Lock()
	all["a"].network.partitioned = true
	all["a"].network.mu.Unlock()
	g.stop("db-1")
	time.Sleep(InitialValidity)
	if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Phase != Serving {
		t.Errorf("promoted %v, record %+v", promoted, store.record())
	}
}

// Guards against an instance that confirms that it stopped using a primary and
// then uses it again, for example after a late response of the store, and against
// a vote under another incarnation than the registered one.
func TestVoteStopsTheFormerPrimary(t *testing.T) {
	now := time.Hour
	cache := NewRecordCache("a", validity, func() time.Duration { return now })
	cache.SetIncarnation("a")
	r := NewRunner(Config{Instance: "a", Incarnation: "a", Cache: cache, Now: func() time.Duration { return now }, Log: zerolog.Nop()})
	serving := Record{Service: "ledger", Revision: revision.Revision{Number: 5}, Token: 1, Phase: Serving, Primary: "db-1", Term: 1}
	cache.Confirm([]Record{serving}, 0, now)
	if v := r.Vote(serving); v.Incarnation != "" || v.Stopped != 1 || v.Suspects {
		t.Errorf("before the registration: %+v", v)
	}
	r.published.incarnation = "a"
	r.reg.Suspects["ledger"] = 1
	if v := r.Vote(serving); v.Incarnation != "a" || !v.Suspects {
		t.Errorf("registered and suspecting: %+v", v)
	}
	replacing := serving
	replacing.Revision.Number, replacing.Token, replacing.Phase = 6, 2, Replacing
	if v := r.Vote(replacing); v.Stopped != 2 || v.Suspects {
		t.Errorf("after the record of a replacement: %+v", v)
	}
	cache.Confirm([]Record{serving}, 0, now)
	if p, ok := cache.Primary("ledger"); ok {
		t.Errorf("%+v is used after the instance confirmed that it stopped", p)
	}
	if r.reg.Stopped["ledger"] != 2 {
		t.Errorf("the registration will state %v", r.reg.Stopped)
	}
}

// Guards against replacing a primary because instances received its record before
// they listed the database. This happened to two primaries when 100 instances
// started together.
func TestUnknownPrimaryIsNotSuspectedAtOnce(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.members = g.members[1:]
	g.mu.Unlock()
	store.mu.Lock()
	r := store.records["ledger"]
	r.Token++
	store.put(r)
	store.mu.Unlock()
	changed := time.Now()
	for time.Since(changed) < unknownPrimaryTimeout/2 {
		if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Phase != Serving {
			t.Fatalf("promoted %v, record %+v after %v", promoted, store.record(), time.Since(changed))
		}
		time.Sleep(10 * time.Millisecond)
	}
	eventually(t, "a primary that stays unknown is replaced", allUse(all, "db-2"))
}

// Guards against requests to thousands of instances when the store refuses all of
// them, and against requests to excluded incarnations.
func TestDirectQueriesAreLimited(t *testing.T) {
	peers := &fakePeers{}
	r := NewRunner(Config{Instance: "self", Peers: peers, Now: clock.SinceBoot, Log: zerolog.Nop()})
	rec := Record{Service: "ledger", Revision: revision.Revision{Number: 5}, Token: 1, Excluded: []string{"x-0"}}
	for _, c := range []struct{ instances, asked int }{{1, 0}, {5, 4}, {maxDirectQueries + 1, voteSampleSize}, {maxDirectQueries + 2, 0}} {
		peers.votes = 0
		r.addDirectSuspicions(t.Context(), rec, newRegistrations(c.instances, "x"))
		if peers.votes != c.asked {
			t.Errorf("%d instances: %d were asked, want %d", c.instances, peers.votes, c.asked)
		}
	}
}

// Guards against instances that the store refuses and that are excluded from a service
// until it answers them, because a promoter of a fleet of hundreds asked none of them
// directly, and against a query to all instances at once.
func TestManySilentInstancesAreQueriedInTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		peers := &votingPeers{}
		r := NewRunner(Config{Instance: "self", Peers: peers, Now: now, Log: zerolog.Nop()})
		rec := Record{Service: "ledger", Revision: revision.Revision{Number: 5}, Token: 2, Phase: Replacing}
		registered, tracker := newRegistrations(100, "x"), newStopTracker(now())
		for missing := registered; len(missing) > 0; missing = tracker.missing(registered, rec) {
			if now() > validity {
				t.Fatalf("%d instances were not queried within the validity", len(missing))
			}
			if now() < storeConfirmTime && peers.asked > 0 {
				t.Fatal("instances are queried before they could confirm in the store")
			}
			r.requestStops(t.Context(), rec, missing, tracker)
			time.Sleep(confirmPollInterval)
		}
		if peers.most > maxDirectQueries {
			t.Errorf("%d queries at once, want at most %d", peers.most, maxDirectQueries)
		}
	})
}

// votingPeers stop for each record, and count the votes that are requested.
type votingPeers struct {
	mu                  sync.Mutex
	asked, atOnce, most int
}

func (p *votingPeers) FetchSnapshot(context.Context, string, SnapshotQuery) (StoreSnapshot, error) {
	return StoreSnapshot{}, errNetwork
}

func (p *votingPeers) Vote(_ context.Context, address string, rec Record) (Vote, error) {
	p.count(1)
	defer p.count(-1)
	time.Sleep(100 * ms)
	return Vote{Incarnation: strings.TrimSuffix(address, ":1"), Stopped: rec.Token}, nil
}

// count notes the begin (1) or the end (-1) of a request.
func (p *votingPeers) count(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atOnce += n
	p.asked += max(n, 0)
	p.most = max(p.most, p.atOnce)
}
