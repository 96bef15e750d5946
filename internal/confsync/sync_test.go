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

func service(name string) []byte {
	return fmt.Appendf(nil, `{"name":%q,"groups":["g"]}`, name)
}

// Guards against instances that miss a change, and against platform calls that
// grow with the number of instances.
func TestPushReachesAllInstances(t *testing.T) {
	f := newFleet(t, 24, "a", "b")
	f.watching()
	before := f.standin.Counts().Total()
	for i := range 10 {
		start := time.Now()
		o := f.standin.PutObject(platform.KindService, "s", fmt.Appendf(nil, `{"name":"s","groups":["g%d"]}`, i))
		f.everywhere(o.Version, func() {})
		t.Logf("change %d in effect on all instances after %v", i, time.Since(start).Round(time.Millisecond))
	}
	calls := f.standin.Counts().Total() - before
	if want := int64(10 * 2 * RelaysPerDataCentre); calls > want {
		t.Fatalf("10 changes cost %d platform calls, want at most %d", calls, want)
	}
}

// Guards against a change that is lost with a failed push: digests must show
// and repair it, in the own data centre and in one that cannot reach the
// platform.
func TestDigestsRepair(t *testing.T) {
	f := newFleet(t, 12, "a", "b")
	f.watching()
	for i, p := range f.peers {
		f.gates[i].closed.Store(f.live[i].DataCentre == "b")
		p.refuse.Store(i%3 == 0)
	}
	o := f.standin.PutObject(platform.KindService, "s", service("s"))
	f.everywhere(o.Version, f.gossip)
	if err := f.platform.Delete(f.ctx, platform.KindService, "s", o.Version); err != nil {
		t.Fatal(err)
	}
	f.everywhere(o.Version+1, f.gossip)
	for _, p := range f.peers {
		if len(p.cfg.Directory.Catalog().Services()) != 0 {
			t.Fatalf("%s still has the deleted service", p.self.Name)
		}
	}
}

// Guards against an object below the highest version that stays missing.
func TestRepairOfOlderVersions(t *testing.T) {
	f := newFleet(t, 2, "a", "b") // b does not receive a's pushes
	for _, g := range f.gates {
		g.closed.Store(true)
	}
	low := platform.Object{Kind: platform.KindService, Name: "low", Version: 5, Data: service("low")}
	high := platform.Object{Kind: platform.KindService, Name: "high", Version: 9, Data: service("high")}
	f.peers[0].apply([]platform.Object{low, high}, "test")
	f.peers[1].apply([]platform.Object{high}, "test")
	f.eventually("the older object arrives", func() bool {
		f.gossip()
		_, ok := f.peers[1].cfg.Directory.Catalog().Service("low")
		return ok
	})
}

// Guards against a surge of calls while the platform is down. Pauses have a
// minimum, so a slow machine only makes fewer calls.
func TestOutageDoesNotCauseSurge(t *testing.T) {
	f := newFleet(t, 2, "a")
	f.watching()
	f.standin.SetFaults(standin.Faults{Outage: true})
	before := f.standin.Counts().Total()
	time.Sleep(2 * time.Second)
	// Each pause is at least half of 100 ms, 150 ms, 225 ms and so on: at most
	// 9 attempts in 2 s.
	if calls := f.standin.Counts().Total() - before; calls > 2*3*9 {
		t.Fatalf("%d calls in 2 s of outage", calls)
	}
	f.standin.SetFaults(standin.Faults{})
	o := f.standin.PutObject(platform.KindService, "s", service("s"))
	f.everywhere(o.Version, func() {})
}

// Guards against a version that decreases on an instance: late, repeated and
// reordered pushes, older platform reads and objects that are not valid.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New(ownership.Instance{Name: "i", Address: "127.0.0.1:1", DataCentre: "a"})
		s := New(Config{Directory: d, Clients: wire.NewClients(nil), Log: zerolog.Nop()})
		defer s.pushes.StopAndWait()
		object := rapid.Custom(func(t *rapid.T) platform.Object {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			v := rapid.Uint64Range(1, 40).Draw(t, "version")
			o := platform.Object{Kind: platform.KindService, Name: name, Version: v, Data: service(name)}
			switch v % 5 { // the same version always has the same value
			case 0:
				o.Data = []byte(`{"name":""}`)
			case 1:
				o.Data, o.Deleted = nil, true
			}
			return o
		})
		versions, best := map[string]uint64{}, map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			batch := rapid.SliceOfN(object, 1, 4).Draw(t, "batch")
			if rapid.Bool().Draw(t, "push") {
				_, _ = s.PushObjects(context.Background(), &wire.PushObjectsRequest{From: "p", Objects: toWire(batch)})
			} else {
				s.apply(batch, "platform")
			}
			for _, o := range batch {
				if o.Version%5 != 0 {
					best[o.Name] = max(best[o.Name], o.Version)
				}
			}
			for _, o := range d.Objects() {
				if o.Version < versions[o.Name] {
					t.Fatalf("%s fell from %d to %d", o.Name, versions[o.Name], o.Version)
				}
				versions[o.Name] = o.Version
			}
		}
		for name, v := range best {
			if versions[name] != v {
				t.Fatalf("%s has version %d, want %d", name, versions[name], v)
			}
			if _, ok := d.Catalog().Service(name); ok == (v%5 == 1) {
				t.Fatalf("%s in force: %v at version %d", name, ok, v)
			}
		}
	})
}

func TestSplitCoversAllTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, width := rapid.IntRange(0, 100).Draw(t, "n"), rapid.IntRange(1, 9).Draw(t, "width")
		targets := make([]ownership.Instance, n)
		for i := range targets {
			targets[i].Name = fmt.Sprint(i)
		}
		next := 0
		parts := split(targets, width)
		if len(parts) > width {
			t.Fatalf("%d parts, want at most %d", len(parts), width)
		}
		for _, p := range parts {
			for _, in := range append([]ownership.Instance{p.child}, p.below...) {
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

// Guards against a subtree that is lost because its first instance fails.
func TestPushSkipsFailedChild(t *testing.T) {
	f := newFleet(t, 3, "a")
	f.peers[1].refuse.Store(true)
	o := platform.Object{Kind: platform.KindService, Name: "s", Version: 7, Data: service("s")}
	f.peers[0].pushSubtree(f.ctx, toWire([]platform.Object{o}), subtree{child: f.live[1], below: f.live[2:]})
	if v := f.peers[2].cfg.Directory.Version(); v != 7 {
		t.Fatalf("the instance below has version %d, want 7", v)
	}
}

// Guards against a data centre without news after its relays died.
func TestRelayTakesOver(t *testing.T) {
	f := newFleet(t, 6, "a")
	f.watching()
	rest := slices.Clone(f.live)
	for _, i := range slices.Backward(f.relays()) {
		f.gates[i].closed.Store(true)
		f.peers[i].refuse.Store(true)
		rest = slices.Delete(rest, i, i+1)
	}
	for i, p := range f.peers {
		if slices.Contains(rest, f.live[i]) {
			p.cfg.Directory.SetLive(rest, false)
		}
	}
	o := f.standin.PutObject(platform.KindService, "s", service("s"))
	f.eventually("the others have it", func() bool {
		for i, p := range f.peers {
			if slices.Contains(rest, f.live[i]) && p.cfg.Directory.Version() < o.Version {
				return false
			}
		}
		return true
	})
}

// Guards against repairs that repeat in a loop, or that never compare all
// versions, when a peer holds an object that is not valid here.
func TestRepairBacksOff(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := peerDigest{digest: 1, version: 9}
	var r repairState
	if above, wanted := r.next(now, p, 2, 5); !above || !wanted {
		t.Fatal("a peer that is ahead must be asked for higher versions first")
	}
	r.done(now, false)
	fetches := 0
	for range 600 {
		now = now.Add(time.Second)
		above, wanted := r.next(now, p, 2, 5)
		if above {
			t.Fatal("asked for higher versions again without progress")
		}
		if wanted {
			fetches++
			r.done(now, false)
		}
	}
	if fetches < 10 || fetches > 20 {
		t.Fatalf("%d repairs in ten minutes without progress, want 10 to 20", fetches)
	}
	if _, wanted := r.next(now, p, 1, 9); wanted || r.full {
		t.Fatal("equal digests must end the repair")
	}
}

// Guards against a restarted instance that has no configuration, or an older
// one, because the platform is down or answers with older state.
func TestStartTakesHighestOfPeers(t *testing.T) {
	f := newFleet(t, 4, "a", "b")
	f.watching()
	for _, g := range f.gates {
		g.closed.Store(true)
	}
	for i, p := range f.peers[1:] {
		p.apply([]platform.Object{{
			Kind: platform.KindService, Name: "s", Version: uint64(5 + i), Data: service("s"),
		}}, "test")
	}
	d := directory.New(f.live[0])
	d.SetLive(f.live, false)
	s := New(Config{Directory: d, Clients: f.peers[0].cfg.Clients, Platform: f.gates[0], Log: zerolog.Nop()})
	defer s.pushes.StopAndWait()
	s.start(f.ctx)
	select {
	case <-s.Loaded():
	default:
		t.Fatal("not loaded although peers answered")
	}
	if v := d.Version(); v != 7 {
		t.Fatalf("version %d, want the highest of the peers, 7", v)
	}
}
