package primacy

import (
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"github.com/rs/zerolog"
)

// refuse lets the store refuse some instances that know the addresses of all.
func refuse(t *testing.T, all map[string]*instance, names ...string) {
	t.Helper()
	for name, x := range all {
		eventually(t, name+" knows the others", func() bool {
			x.runner.mu.Lock()
			defer x.runner.mu.Unlock()
			return len(x.runner.knownInstances) == len(all)
		})
	}
	for _, name := range names {
		all[name].refused.Store(true)
	}
}

// Guards against a service without a primary because the store refuses most of
// the instances, so that their suspicions are not in it, and against instances
// that do not learn of the new primary before the store answers them again.
func TestPrimaryIsReplacedWhileTheStoreRefusesMost(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c", "d")
	refuse(t, all, "b", "c", "d")
	g.kill("db-1")
	eventually(t, "db-2 leads for all", leads(all, "db-2"))
	if r := store.record(); len(r.Excluded) != 0 {
		t.Errorf("instances that said that they stopped are excluded: %v", r.Excluded)
	}
	if promoted, _ := g.promotions(); len(promoted) != 1 {
		t.Errorf("promoted %v", promoted)
	}
	for end := time.Now().Add(2 * InitialValidity); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !leads(all, "db-2")() {
			t.Fatal("an instance that the store refuses does not use the new primary")
		}
	}
}

// Guards against an instance that takes another one for its contact with the
// store although both were cut off together, and stays in rotation for it.
func TestPeersCutOffTogetherAreIsolated(t *testing.T) {
	for _, c := range []struct {
		age   time.Duration
		touch bool
	}{{renewInterval, true}, {storeContactMaxAge + ms, false}, {relayMaxAge + ms, false}} {
		peers := &fakePeers{reports: map[string]StoreSnapshot{"x:1": {Records: []Record{{Service: "ledger", Revision: 5, Phase: Serving}}, Age: c.age}}}
		b := NewRecordCache("self", validity, clock.SinceBoot)
		r := NewRunner(Config{Instance: "self", Peers: peers, Cache: b, Now: clock.SinceBoot, Log: zerolog.Nop()})
		r.knownInstances = []Registration{{Instance: "x", Address: "x:1"}}
		if got := r.renewFromPeers(t.Context()); got != c.touch {
			t.Errorf("a peer that asked the store %v ago: in touch %v, want %v", c.age, got, c.touch)
		}
	}
}

// Guards against a promotion without the votes of most: one instance that loses
// its path must not count others that don't answer it.
func TestSilentPeersDoNotSuspect(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	refuse(t, all, "b", "c")
	all["a"].network.mu.Lock()
	all["a"].network.cut = true
	all["a"].network.mu.Unlock()
	g.kill("db-1")
	time.Sleep(InitialValidity)
	if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Phase != Serving {
		t.Errorf("promoted %v, record %+v", promoted, store.record())
	}
}

// Guards against an instance that says that it stopped and goes on, also with a
// late answer of the store, and against one that answers for another life.
func TestVoteStopsTheFormerPrimary(t *testing.T) {
	now := time.Hour
	b := NewRecordCache("a", validity, func() time.Duration { return now })
	b.SetIncarnation("a")
	r := NewRunner(Config{Instance: "a", Incarnation: "a", Cache: b, Now: func() time.Duration { return now }, Log: zerolog.Nop()})
	serving := Record{Service: "ledger", Revision: 5, Token: 1, Phase: Serving, Primary: "db-1", Term: 1}
	b.Confirm([]Record{serving}, now)
	if v := r.Vote(serving); v.Incarnation != "" || v.Stopped != 1 || v.Suspects {
		t.Errorf("before the registration: %+v", v)
	}
	r.published.incarnation = "a"
	r.reg.Suspects["ledger"] = 1
	if v := r.Vote(serving); v.Incarnation != "a" || !v.Suspects {
		t.Errorf("registered and suspecting: %+v", v)
	}
	replacing := serving
	replacing.Revision, replacing.Token, replacing.Phase = 6, 2, Replacing
	if v := r.Vote(replacing); v.Stopped != 2 || v.Suspects {
		t.Errorf("told of a replacement: %+v", v)
	}
	b.Confirm([]Record{serving}, now)
	if p, ok := b.Primary("ledger"); ok {
		t.Errorf("%+v is used after the instance said that it stopped", p)
	}
	if r.reg.Stopped["ledger"] != 2 {
		t.Errorf("the registration will say %v", r.reg.Stopped)
	}
}

// Guards against a primary that is replaced because instances heard of its record
// before they listed it: 100 instances that started together replaced two.
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
	heard := time.Now()
	for time.Since(heard) < unknownPrimaryTimeout/2 {
		if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Phase != Serving {
			t.Fatalf("promoted %v, record %+v after %v", promoted, store.record(), time.Since(heard))
		}
		time.Sleep(10 * time.Millisecond)
	}
	eventually(t, "a primary that stays unknown is replaced", leads(all, "db-2"))
}

// Guards against a question to each of thousands of instances when the store
// refuses all of them, and against questions to excluded lives.
func TestOnlyAFewInstancesAreAsked(t *testing.T) {
	peers := &fakePeers{}
	r := NewRunner(Config{Instance: "self", Peers: peers, Now: clock.SinceBoot, Log: zerolog.Nop()})
	rec := Record{Service: "ledger", Revision: 5, Token: 1, Excluded: []string{"x-0"}}
	for _, c := range []struct{ instances, asked int }{{1, 0}, {5, 4}, {maxDirectQueries + 1, voteSampleSize}, {maxDirectQueries + 2, 0}} {
		peers.votes = 0
		r.addDirectSuspicions(t.Context(), rec, fleet(c.instances, "x"))
		if peers.votes != c.asked {
			t.Errorf("%d instances: %d were asked, want %d", c.instances, peers.votes, c.asked)
		}
	}
}
