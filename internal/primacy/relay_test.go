package primacy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/topology"
)

// newRegistrations returns the registrations of n instances in a data centre.
func newRegistrations(n int, dataCentre string) []Registration {
	var all []Registration
	for i := range n {
		name := fmt.Sprintf("%s-%d", dataCentre, i)
		all = append(all, Registration{Instance: name, Incarnation: name, DataCentre: dataCentre, Address: name + ":1"})
	}
	return all
}

// newFleet returns the registrations of n instances in data centres of similar size.
func newFleet(n, dataCentres int) []Registration {
	var all []Registration
	for d := range dataCentres {
		all = append(all, newRegistrations((n+d)/dataCentres, string(rune('a'+d)))...)
	}
	return all
}

// Guards against a number of instances that query the store that grows with the
// fleet, as when hundreds of instances start together, and against instances that
// no state reaches, whichever one of them is lost.
func TestOneInstanceOfAFleetQueriesTheStore(t *testing.T) {
	for _, c := range []struct{ instances, dataCentres int }{{1, 1}, {2, 2}, {7, 4}, {9, 4}, {64, 4}, {295, 6}, {517, 6}} {
		all := newFleet(c.instances, c.dataCentres)
		parents := make(map[string][]string)
		children := make(map[string]int)
		remote, direct := 0, 0
		for _, reg := range all {
			ups := Upstreams(all, reg.Instance, reg.DataCentre)
			if len(ups) == 0 {
				direct++
			} else {
				children[ups[0].Name]++
				if ups[0].DataCentre != reg.DataCentre {
					remote++
				}
			}
			for _, u := range ups {
				if u.Name == reg.Instance {
					t.Errorf("%+v: %s is its own upstream", c, u.Name)
				}
				parents[reg.Instance] = append(parents[reg.Instance], u.Name)
			}
		}
		if direct != 1 || remote != c.dataCentres-1 {
			t.Errorf("%+v: %d instances query the store and %d another data centre", c, direct, remote)
		}
		for name, n := range children {
			if n > fanOut+c.dataCentres-1 {
				t.Errorf("%+v: %d instances ask %s first", c, n, name)
			}
		}
		checkReach(t, all, parents)
	}
}

// Guards against a tree that grows too deep at the size to design for: each step adds
// the delay between two instances to the age of what the last one knows.
func TestTreeStaysFlat(t *testing.T) {
	all := newFleet(3900, 9)
	dataCentre := make(map[string]string)
	for _, reg := range all {
		dataCentre[reg.Instance] = reg.DataCentre
	}
	for i := 0; i < len(all); i += 100 {
		steps := 0
		for at := all[i].Instance; ; steps++ {
			ups := Upstreams(all, at, dataCentre[at])
			if len(ups) == 0 {
				break
			}
			at = ups[0].Name
		}
		if steps > 5 {
			t.Errorf("%s is %d steps from the store", all[i].Instance, steps)
		}
	}
}

// checkReach checks that each instance is at most 5 steps from one that queries the
// store, by its first upstream.
func checkReach(t *testing.T, all []Registration, parents map[string][]string) {
	t.Helper()
	for _, reg := range all {
		steps := 0
		for at := reg.Instance; len(parents[at]) > 0; at = parents[at][0] {
			if steps++; steps > 5 {
				t.Fatalf("%s does not lead to the store: %v", reg.Instance, parents[reg.Instance])
			}
		}
	}
}

// Guards against an instance that starts and queries the store only because the
// others' list does not name it yet.
func TestNewInstanceHasUpstreams(t *testing.T) {
	all := newFleet(40, 4)
	if ups := Upstreams(all, "new", "a"); len(ups) == 0 || ups[0].DataCentre != "a" {
		t.Errorf("upstreams in a known data centre: %+v", ups)
	}
	if ups := Upstreams(all, "new", "z"); len(ups) == 0 {
		t.Error("no upstreams in a new data centre")
	}
	if ups := Upstreams(nil, "new", "a"); len(ups) != 0 {
		t.Errorf("upstreams of the first instance: %+v", ups)
	}
}

// Guards against an upstream that failed and is asked again at once, and against one
// that is never asked again.
func TestFailedUpstreamIsAvoided(t *testing.T) {
	var u upstreams
	u.set([]ownership.Instance{{Name: "x", Address: "x:1"}, {Name: "y", Address: "y:1"}})
	pick := func(now time.Duration) string { i, _ := u.pick(now); return i.Name }
	u.record("x:1", false, 0)
	if got := pick(upstreamRetryMin - 1); got != "y" {
		t.Errorf("%q is asked after x failed", got)
	}
	u.record("y:1", false, 0)
	if got := pick(upstreamRetryMin - 1); got != "" {
		t.Errorf("%q is asked after both failed", got)
	}
	if got := pick(upstreamRetryMin); got != "x" {
		t.Errorf("%q is asked after the back-off", got)
	}
	u.record("x:1", false, upstreamRetryMin)
	if got := pick(2 * upstreamRetryMin); got != "y" {
		t.Errorf("%q is asked; the back-off did not grow", got)
	}
	u.record("x:1", true, 2*upstreamRetryMin)
	if got := pick(2 * upstreamRetryMin); got != "x" {
		t.Errorf("%q is asked after x recovered", got)
	}
}

// fakePeers returns fixed snapshots by address, and no votes. It counts the
// requests.
type fakePeers struct {
	mu        sync.Mutex
	snapshots map[string]StoreSnapshot
	fetches   int
	votes     int
}

func (f *fakePeers) FetchSnapshot(_ context.Context, address string, _ SnapshotQuery) (StoreSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetches++
	r, ok := f.snapshots[address]
	if !ok {
		return r, errors.New("unreachable")
	}
	return r, nil
}

func (f *fakePeers) Vote(context.Context, string, Record) (Vote, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.votes++
	return Vote{}, errors.New("unreachable")
}

// Guards against a validity that counts from the upstream's response instead of the
// request to the store, and against using an upstream that lost the store itself.
func TestRelayedRecordsKeepTheirAge(t *testing.T) {
	peers := &fakePeers{snapshots: map[string]StoreSnapshot{}}
	r := NewRunner(Config{
		Instance: "self", Peers: peers, Cache: NewRecordCache("self", validity, clock.SinceBoot), Listings: &fakeListings{},
		Now: clock.SinceBoot, Log: zerolog.Nop(),
	})
	r.published.incarnation = "self"
	r.upstreams.set([]ownership.Instance{{Name: "x-0", Address: "x-0:1"}, {Name: "x-1", Address: "x-1:1"}})
	rec := Record{Service: "ledger", Revision: revision.Revision{Number: 5}, Token: 1, Phase: Serving, Primary: "db-1", Term: 1}
	const age = 500 * time.Millisecond
	peers.snapshots["x-1:1"] = StoreSnapshot{Records: []Record{rec}, Revision: revision.Revision{Number: 99}, Age: age}
	before := r.cfg.Now()
	if !r.renewFromUpstream(t.Context()) || peers.fetches != 2 {
		t.Fatalf("the second upstream was not used at once; %d were asked", peers.fetches)
	}
	got, confirmed, _ := r.cfg.Cache.Record("ledger")
	if got.Revision != rec.Revision {
		t.Errorf("record %+v", got)
	}
	if confirmed > r.cfg.Now()-age || confirmed < before-age {
		t.Errorf("confirmed at %v; asked at %v for records of age %v", confirmed, before, age)
	}
	peers.snapshots["x-1:1"] = StoreSnapshot{Records: []Record{rec}, Age: relayMaxAge + 1}
	if r.renewFromUpstream(t.Context()) {
		t.Error("the snapshot of an upstream without the store is used")
	}
}

// Guards against a snapshot that appears newer to the last instance of a chain than
// it is, whatever the delays of the requests and responses, the time for which they
// are held and the clocks of the instances, and against one that appears much older:
// held requests must not count as age.
func TestAgeAlongAChainOfInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 400).Draw(t, name)) * ms
		}
		now := time.Hour           // true time
		storeAsked := now          // true time of the request to the store
		known := storeAsked        // the same, as the instance believes, on its own clock
		var offset time.Duration   // of the instance's clock
		var onTheWay time.Duration // sum of the delays of the queries
		for range rapid.IntRange(1, 6).Draw(t, "instances") {
			next := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "clock")) * ms
			query, held, response := delay("query"), delay("held"), delay("response")
			sent := now + next
			now += query + held
			s := StoreSnapshot{Age: now + offset - known, Held: held}
			now += response
			known, offset, onTheWay = askedAt(s, sent, now+next), next, onTheWay+query
			if believed := known - offset; believed > storeAsked || believed < storeAsked-onTheWay {
				t.Fatalf("the store was asked at %v; the instance believes %v with %v of delays", storeAsked, believed, onTheWay)
			}
			now += delay("pause")
		}
	})
}

// Guards against a snapshot without records that confirms a record which the
// requester has and the responder knows to be replaced.
func TestSnapshotWithoutRecordsNamesTheirVersion(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	r := startInstances(t, store, g, "a")["a"].runner
	full, ok := r.Snapshot(t.Context(), SnapshotQuery{})
	if !ok || len(full.Records) != 1 {
		t.Fatalf("%+v, %v", full, ok)
	}
	q := SnapshotQuery{Process: full.Process, Records: full.RecordsVersion, After: full.Sequence, Wait: time.Second}
	if s, ok := r.Snapshot(t.Context(), q); !ok || s.Records != nil || s.Sequence == full.Sequence {
		t.Errorf("%+v, %v: want a newer snapshot without records", s, ok)
	}
	rec := store.record()
	rec.Revision.Number, rec.Phase = rec.Revision.Number+1, Replacing
	r.applyRecord(rec, "test")
	s, ok := r.Snapshot(t.Context(), q)
	if !ok || len(s.Records) != 1 || s.Records[0].Phase != Replacing || s.RecordsVersion == full.RecordsVersion {
		t.Errorf("%+v, %v: want the changed record", s, ok)
	}
	q.Process = "another"
	if s, ok := r.Snapshot(t.Context(), q); !ok || s.Records == nil {
		t.Errorf("%+v, %v: want records for a requester that comes from another process", s, ok)
	}
}

// Guards against an instance that waits for an upstream which lost the store, and
// against the use of records before the registration, of which no promoter knows.
func TestSnapshotsBeforeRegistration(t *testing.T) {
	rec := Record{Service: "ledger", Revision: revision.Revision{Number: 5}, Token: 1, Phase: Serving, Primary: "db-1", Term: 1}
	listing := &topology.Listing{Content: 3}
	peers := &fakePeers{snapshots: map[string]StoreSnapshot{"x:1": {Records: []Record{rec}, Listing: listing}}}
	cache, listings := NewRecordCache("self", validity, clock.SinceBoot), &fakeListings{}
	r := NewRunner(Config{Instance: "self", DataCentre: "a", Peers: peers, Cache: cache, Listings: listings, Now: clock.SinceBoot, Log: zerolog.Nop()})
	r.setInstances(t.Context(), []Registration{{Instance: "x", DataCentre: "a", Address: "x:1"}})
	if _, ok := cache.Primary("ledger"); ok {
		t.Error("a primary is used before the registration")
	}
	if len(listings.adopted) != 1 || !listings.relayed {
		t.Errorf("adopted %v, relayed %v: want the upstream's listing", listings.adopted, listings.relayed)
	}
	r.state.asked = r.cfg.Now() - relayMaxAge - ms
	began := time.Now()
	if _, ok := r.Snapshot(t.Context(), SnapshotQuery{Process: r.cfg.Incarnation, Wait: 30 * time.Second}); ok {
		t.Error("an instance without the store returns a snapshot")
	}
	if time.Since(began) > 20*time.Second {
		t.Error("an instance without the store holds a query")
	}
}

// Guards against an instance that does not learn from the others how long a database has
// been leaving, or takes it for shorter than it is because the answer was on its way.
func TestSnapshotBoundsAgeOfLeavingDatabases(t *testing.T) {
	const age, held = 3 * time.Second, 40 * ms
	want := []topology.LeavingAge{{ID: "db-1", StartMillis: 7, AtMost: age}}
	r := NewRunner(Config{
		Instance: "x", Cache: NewRecordCache("x", validity, clock.SinceBoot), Now: clock.SinceBoot, Log: zerolog.Nop(),
		Listings: &fakeListings{listing: &topology.Listing{Content: 3}, leaving: want},
	})
	r.state.asked = r.cfg.Now()
	if s, ok := r.Snapshot(t.Context(), SnapshotQuery{Content: 3}); !ok || !slices.Equal(s.Leaving, want) {
		t.Errorf("%+v, %v: want the ages also if the listing is known", s, ok)
	}
	peers := &fakePeers{snapshots: map[string]StoreSnapshot{"x:1": {Age: 100 * ms, Held: held, Leaving: want}}}
	listings := &fakeListings{}
	other := NewRunner(Config{Instance: "self", Peers: peers, Cache: NewRecordCache("self", validity, clock.SinceBoot), Listings: listings, Now: clock.SinceBoot, Log: zerolog.Nop()})
	before := other.cfg.Now()
	if !other.fetchUpstream(t.Context(), ownership.Instance{Name: "x", Address: "x:1"}, SnapshotQuery{}) {
		t.Fatal("the upstream did not respond")
	}
	if at := listings.adoptedAgesAt; !slices.Equal(listings.adoptedAges, want) || at < before || at > other.cfg.Now() {
		t.Errorf("adopted %+v as determined at %v; want those of the upstream, between %v and now", listings.adoptedAges, at, before)
	}
}

// Guards against a database that has no owners or whose owners together exceed
// half of its connection limit, and against instances that compute different
// owners.
func TestOwnersOfADatabase(t *testing.T) {
	for _, c := range []struct{ local, remote, limit, owners int }{
		{16, 48, 46, 4}, {75, 225, 46, 4}, {16, 48, 16, 2}, {433, 3467, 400, 8}, {1, 40, 46, 4}, {0, 1, 46, 1}, {0, 0, 46, 0},
	} {
		all := append(newRegistrations(c.local, "a"), newRegistrations(c.remote, "b")...)
		selves, firsts := 0, make(map[string]int)
		for _, reg := range all {
			owners, self := Owners(all, reg.Instance, "db-1", "a", c.limit)
			if len(owners) != c.owners {
				t.Fatalf("%+v: %d owners, want %d", c, len(owners), c.owners)
			}
			if self {
				selves++
			}
			firsts[owners[0].Name]++
			for _, o := range owners {
				if o.DataCentre != "a" && c.local >= minOwners {
					t.Errorf("%+v: owner %s is in another data centre", c, o.Name)
				}
			}
		}
		if selves != c.owners {
			t.Errorf("%+v: %d instances count themselves as owners", c, selves)
		}
		if c.owners > 1 && len(firsts) != c.owners {
			t.Errorf("%+v: only %d owners are asked first", c, len(firsts))
		}
	}
}

// Guards against direct connections of hundreds of instances to a database whose
// owners they do not reach in time, and against newcomers that all count themselves
// among the few that may open one.
func TestFewInstancesConnectWithoutAnOwner(t *testing.T) {
	for _, c := range []struct{ instances, limit, want int }{{295, 88, 22}, {75, 46, 11}, {64, 3, 1}, {517, 400, 100}} {
		all := newFleet(c.instances, 6)
		n := 0
		for _, reg := range all {
			if MayConnect(all, reg.Instance, "db-1", c.limit) {
				n++
			}
		}
		if n != c.want {
			t.Errorf("%+v: %d instances may connect", c, n)
		}
		if MayConnect(all, "newcomer", "db-1", c.limit) {
			t.Errorf("%+v: an instance that is not listed may connect", c)
		}
	}
}

// Guards against all instances listing the registrations at once when a primary
// fails, and against a vote that no instance counts immediately.
func TestFewInstancesCountVotesAtOnce(t *testing.T) {
	for _, n := range []int{1, 7, 64, 300} {
		all := newRegistrations(n, "a")
		at := make(map[time.Duration]int)
		for _, reg := range all {
			at[voteCountDelay(all, reg.Instance, "ledger")]++
		}
		if at[0] != min(n, countersPerTurn) {
			t.Errorf("%d instances: %d count immediately", n, at[0])
		}
		for wait, k := range at {
			if k > countersPerTurn {
				t.Errorf("%d instances: %d count after %v", n, k, wait)
			}
		}
	}
	if listInterval(7) != confirmPollInterval || listInterval(64) != 64*listIntervalPerInstance || listInterval(3900) != maxListInterval {
		t.Errorf("list intervals: %v, %v, %v", listInterval(7), listInterval(64), listInterval(3900))
	}
}

// Guards against a detour through the instance itself, and against detours that all
// lead through one instance.
func TestDetoursAreSpread(t *testing.T) {
	all := newFleet(9, 4)
	first := make(map[string]int)
	for _, reg := range all {
		detours := Detours(all, reg.Instance, "db-1", reg.DataCentre, "a")
		if len(detours) != maxDetours || detours[0].DataCentre != reg.DataCentre {
			t.Errorf("%s: detours %v, want %d, the first in its own data centre", reg.Instance, detours, maxDetours)
		}
		for _, d := range detours {
			if d.Name == reg.Instance {
				t.Errorf("%s is its own detour", d.Name)
			}
		}
		first[detours[0].Name]++
	}
	for name, n := range first {
		if n > 4 {
			t.Errorf("%d instances take their detour through %s first", n, name)
		}
	}
}
