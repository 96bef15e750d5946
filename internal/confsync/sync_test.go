package confsync

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	standin "geraniumbeam/internal/standin/platform"
	"geraniumbeam/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serviceData(name string) []byte {
	return fmt.Appendf(nil, `{"name":%q,"groups":["g"]}`, name)
}

// Guards against instances that miss a change, and against platform calls whose
// number grows with the number of instances.
func TestPushReachesAllInstances(t *testing.T) {
	f := newFleet(t, 24, "a", "b")
	f.awaitWatches()
	before := f.standin.Counts().Total()
	for i := range 10 {
		start := time.Now()
		o := f.standin.PutObject(platform.KindService, "s", fmt.Appendf(nil, `{"name":"s","groups":["g%d"]}`, i))
		f.awaitVersion(o.Version, func() {})
		t.Logf("change %d in effect on all instances after %v", i, time.Since(start).Round(time.Millisecond))
	}
	calls := f.standin.Counts().Total() - before
	if want := int64(10 * 2 * RelaysPerDataCentre); calls > want {
		t.Fatalf("10 changes cost %d platform calls, want at most %d", calls, want)
	}
}

// Guards against a change that stays missing after a failed push: it must be
// repaired through digests, in the relay's data centre and in one that cannot reach
// the platform.
func TestDigestsRepair(t *testing.T) {
	f := newFleet(t, 12, "a", "b")
	f.awaitWatches()
	for i, p := range f.peers {
		f.platforms[i].blocked.Store(f.live[i].DataCentre == "b")
		p.rejectPushes.Store(i%3 == 0)
	}
	o := f.standin.PutObject(platform.KindService, "s", serviceData("s"))
	f.awaitVersion(o.Version, f.exchangeDigests)
	if err := f.platform.Delete(f.ctx, platform.KindService, "s", o.Version); err != nil {
		t.Fatal(err)
	}
	f.awaitVersion(o.Version+1, f.exchangeDigests)
	for _, p := range f.peers {
		if len(p.cfg.Directory.Catalog().Services()) != 0 {
			t.Fatalf("%s still has the deleted service", p.self.Name)
		}
	}
}

// Guards against a missing object that is never fetched because its version is below
// the instance's highest.
func TestRepairOfOlderVersions(t *testing.T) {
	f := newFleet(t, 2, "a", "b") // b does not receive a's pushes
	for _, g := range f.platforms {
		g.blocked.Store(true)
	}
	low := platform.Object{Kind: platform.KindService, Name: "low", Version: 5, Data: serviceData("low")}
	high := platform.Object{Kind: platform.KindService, Name: "high", Version: 9, Data: serviceData("high")}
	f.peers[0].apply([]platform.Object{low, high}, "test")
	f.peers[1].apply([]platform.Object{high}, "test")
	f.eventually("the older object arrives", func() bool {
		f.exchangeDigests()
		_, ok := f.peers[1].cfg.Directory.Catalog().Service("low")
		return ok
	})
}

// Guards against a surge of calls while the platform is unavailable. Retry delays
// have a minimum, so a slow machine only makes fewer calls.
func TestOutageDoesNotCauseSurge(t *testing.T) {
	f := newFleet(t, 2, "a")
	f.awaitWatches()
	f.standin.SetFaults(standin.Faults{Outage: true})
	before := f.standin.Counts().Total()
	time.Sleep(2 * time.Second)
	// Each retry delay is at least half of 100 ms, 150 ms, 225 ms and so on: at
	// most 9 attempts in 2 s.
	if calls := f.standin.Counts().Total() - before; calls > 2*3*9 {
		t.Fatalf("%d calls in 2 s of outage", calls)
	}
	f.standin.SetFaults(standin.Faults{})
	o := f.standin.PutObject(platform.KindService, "s", serviceData("s"))
	f.awaitVersion(o.Version, func() {})
}

// Guards against a version that decreases on an instance after late, repeated or
// reordered pushes, older platform reads or invalid objects.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New(ownership.Instance{Name: "i", Address: "127.0.0.1:1", DataCentre: "a"})
		s := New(Config{Directory: d, Clients: wire.NewClients(nil), Log: zerolog.Nop()})
		defer s.pushes.StopAndWait()
		object := rapid.Custom(func(t *rapid.T) platform.Object {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			v := rapid.Uint64Range(1, 40).Draw(t, "version")
			o := platform.Object{Kind: platform.KindService, Name: name, Version: v, Data: serviceData(name)}
			switch v % 5 { // the same version always has the same value
			case 0:
				o.Data = []byte(`{"name":""}`)
			case 1:
				o.Data, o.Deleted = nil, true
			}
			return o
		})
		versions, highest := map[string]uint64{}, map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			batch := rapid.SliceOfN(object, 1, 4).Draw(t, "batch")
			if rapid.Bool().Draw(t, "push") {
				_, _ = s.PushObjects(context.Background(), &wire.PushObjectsRequest{From: "p", Objects: toWire(batch)})
			} else {
				s.apply(batch, "platform")
			}
			for _, o := range batch {
				if o.Version%5 != 0 {
					highest[o.Name] = max(highest[o.Name], o.Version)
				}
			}
			for _, o := range d.Objects() {
				if o.Version < versions[o.Name] {
					t.Fatalf("%s decreased from %d to %d", o.Name, versions[o.Name], o.Version)
				}
				versions[o.Name] = o.Version
			}
		}
		for name, v := range highest {
			if versions[name] != v {
				t.Fatalf("%s has version %d, want %d", name, versions[name], v)
			}
			if _, ok := d.Catalog().Service(name); ok == (v%5 == 1) {
				t.Fatalf("%s in force: %v at version %d", name, ok, v)
			}
		}
	})
}

func TestSubtreesCoverAllTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, width := rapid.IntRange(0, 100).Draw(t, "n"), rapid.IntRange(1, 9).Draw(t, "width")
		targets := make([]ownership.Instance, n)
		for i := range targets {
			targets[i].Name = fmt.Sprint(i)
		}
		next := 0
		parts := splitSubtrees(targets, width)
		if len(parts) > width {
			t.Fatalf("%d parts, want at most %d", len(parts), width)
		}
		for _, p := range parts {
			for _, in := range append([]ownership.Instance{p.child}, p.descendants...) {
				if in.Name != fmt.Sprint(next) {
					t.Fatalf("got %s, want %d", in.Name, next)
				}
				next++
			}
		}
		if next != n {
			t.Fatalf("covered %d of %d", next, n)
		}
	})
}

// Guards against a subtree that receives no push because its child fails.
func TestPushSkipsFailedChild(t *testing.T) {
	f := newFleet(t, 3, "a")
	f.peers[1].rejectPushes.Store(true)
	o := platform.Object{Kind: platform.KindService, Name: "s", Version: 7, Data: serviceData("s")}
	f.peers[0].pushSubtree(f.ctx, toWire([]platform.Object{o}), subtree{child: f.live[1], descendants: f.live[2:]})
	if v := f.peers[2].cfg.Directory.Version(); v != 7 {
		t.Fatalf("the instance below has version %d, want 7", v)
	}
}

// Guards against a data centre that receives no changes after its relays failed.
func TestRelayTakesOver(t *testing.T) {
	f := newFleet(t, 6, "a")
	f.awaitWatches()
	rest := slices.Clone(f.live)
	for _, i := range slices.Backward(f.relays()) {
		f.platforms[i].blocked.Store(true)
		f.peers[i].rejectPushes.Store(true)
		rest = slices.Delete(rest, i, i+1)
	}
	for i, p := range f.peers {
		if slices.Contains(rest, f.live[i]) {
			p.cfg.Directory.SetLive(rest, false)
		}
	}
	o := f.standin.PutObject(platform.KindService, "s", serviceData("s"))
	f.eventually("the others have it", func() bool {
		for i, p := range f.peers {
			if slices.Contains(rest, f.live[i]) && p.cfg.Directory.Version() < o.Version {
				return false
			}
		}
		return true
	})
}

// Guards against repairs that repeat without delay, or that never compare all
// versions, when a peer holds an object that this instance rejects.
func TestRepairBacksOff(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := peerDigest{digest: 1, version: 9}
	var r repairState
	if above, wanted := r.decide(now, p, 2, 5); !above || !wanted {
		t.Fatal("a peer that is ahead must be asked for higher versions first")
	}
	r.finish(now, false)
	fetches := 0
	for range 600 {
		now = now.Add(time.Second)
		above, wanted := r.decide(now, p, 2, 5)
		if above {
			t.Fatal("asked for higher versions again without progress")
		}
		if wanted {
			fetches++
			r.finish(now, false)
		}
	}
	if fetches < 10 || fetches > 20 {
		t.Fatalf("%d repairs in ten minutes without progress, want 10 to 20", fetches)
	}
	if _, wanted := r.decide(now, p, 1, 9); wanted || r.compareAll {
		t.Fatal("equal digests must end the repair")
	}
}

// Guards against a restarted instance that has no configuration, or an old one,
// because the platform is unavailable or answers with an older state.
func TestLoadTakesHighestVersionOfPeers(t *testing.T) {
	f := newFleet(t, 4, "a", "b")
	f.awaitWatches()
	for _, g := range f.platforms {
		g.blocked.Store(true)
	}
	for i, p := range f.peers[1:] {
		p.apply([]platform.Object{{
			Kind: platform.KindService, Name: "s", Version: uint64(5 + i), Data: serviceData("s"),
		}}, "test")
	}
	d := directory.New(f.live[0])
	d.SetLive(f.live, false)
	s := New(Config{Directory: d, Clients: f.peers[0].cfg.Clients, Platform: f.platforms[0], Log: zerolog.Nop()})
	defer s.pushes.StopAndWait()
	s.load(f.ctx)
	select {
	case <-s.Loaded():
	default:
		t.Fatal("not loaded although peers answered")
	}
	if v := d.Version(); v != 7 {
		t.Fatalf("version %d, want the highest of the peers, 7", v)
	}
}

// Guards against instances that keep the objects from before a restore of the platform,
// because the versions of the restored ones are lower.
func TestObjectsOfARestoredPlatformAreUsed(t *testing.T) {
	f := newFleet(t, 2, "a")
	f.awaitWatches()
	copied := f.standin.Backup()
	var last platform.Object
	for range 20 {
		last = f.standin.PutObject(platform.KindService, "before", serviceData("before"))
	}
	f.awaitVersion(last.Version, func() {})
	f.standin.Restore(copied)
	f.standin.PutObject(platform.KindService, "after", serviceData("after"))
	f.eventually("all instances have the object of the restored platform", func() bool {
		for _, p := range f.peers {
			if _, ok := p.cfg.Directory.Catalog().Service("after"); !ok {
				return false
			}
		}
		return true
	})
}
