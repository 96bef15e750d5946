package primacy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/statement"
)

// fleet is a number of instances with one service, in a bubble with a clock of its own.
// Instances that are cut off from db-1, the first primary, reach it through others.
type fleet struct {
	store     *fakeStore
	group     *fakeGroup
	peers     *network
	rng       *rand.Rand
	began     time.Time
	names     []string
	instances map[string]*instance
	links     map[string]*fleetLink // group.mu protects them
}

// fleetLink is the connection between an instance and db-1.
type fleetLink struct {
	lostAt     time.Duration // 0: the instance reaches it
	idle       bool          // the instance sends no requests
	noticeable time.Duration // when the first request meets the loss
	probed     time.Duration // sending time of the first probe that failed
	detourAt   time.Duration
	detour     string
}

func (f *fleet) now() time.Duration { return time.Hour + time.Since(f.began) }

// startFleet starts n instances and waits until they know each other and the primary.
func startFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{
		store: newFakeStore(), group: newFakeGroup(), peers: &network{runners: make(map[string]*Runner)}, rng: rand.New(rand.NewPCG(seed, 0)),
		began: time.Now(), instances: make(map[string]*instance), links: make(map[string]*fleetLink),
	}
	for i := range n {
		name := fmt.Sprintf("i-%d", i)
		f.names = append(f.names, name)
		f.links[name] = &fleetLink{}
	}
	for i, name := range f.names {
		f.start(name, fmt.Sprintf("dc-%d", i%3))
	}
	time.Sleep(secondListDelay + 2*time.Second)
	if !allUse(f.instances, "db-1")() {
		t.Fatal("some instances do not use db-1")
	}
	return f
}

func (f *fleet) start(name, dataCentre string) {
	refused := &atomic.Bool{}
	cache := NewRecordCache(name, InitialValidity, f.now)
	r := NewRunner(Config{
		Instance: name, DataCentre: dataCentre, Address: name, Peers: delayedNetwork{f.peers}, Incarnation: name, Store: storeView{f.store, refused},
		Databases: fleetView{databaseView{f.group, name}, f}, Promotions: slowPromotions{f.group}, Cache: cache,
		Services: func() []string { return []string{"ledger"} }, Now: f.now, Log: zerolog.Nop(),
		OnStoreUnavailable: func() {}, Listings: &fakeListings{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	f.peers.mu.Lock()
	f.peers.runners[name] = r
	f.peers.mu.Unlock()
	f.instances[name] = &instance{r, cache, func() { cancel(); <-done }, refused, f.peers}
}

// stop ends all instances and their background work.
func (f *fleet) stop() {
	f.group.mu.Lock()
	clear(f.group.unreachableFrom)
	f.group.mu.Unlock()
	for _, x := range f.instances {
		x.stop()
	}
	time.Sleep(resumeTimeout + time.Second)
}

// cut cuts instances off from db-1. Their requests meet that within a second.
func (f *fleet) cut(names []string) {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	for _, name := range names {
		l := f.links[name]
		if l.lostAt != 0 {
			continue
		}
		l.lostAt = f.now()
		l.noticeable = l.lostAt + time.Duration(f.rng.IntN(1000))*ms
		f.group.unreachableFrom[name] = true
	}
}

// delayedNetwork is a network between data centres.
type delayedNetwork struct{ *network }

func (n delayedNetwork) FetchSnapshot(ctx context.Context, address string, q SnapshotQuery) (StoreSnapshot, error) {
	time.Sleep(5 * ms)
	return n.network.FetchSnapshot(ctx, address, q)
}

func (n delayedNetwork) Vote(ctx context.Context, address string, rec Record) (Vote, error) {
	time.Sleep(10 * ms)
	return n.network.Vote(ctx, address, rec)
}

// slowPromotions takes as long for a promotion as the platform.
type slowPromotions struct{ *fakeGroup }

func (p slowPromotions) Promote(ctx context.Context, promotion Promotion) error {
	time.Sleep(600 * ms)
	return p.fakeGroup.Promote(ctx, promotion)
}

// fleetView is the service as seen by one instance. A database that is cut off does not
// answer, and status requests to it take detours.
type fleetView struct {
	databaseView
	fleet *fleet
}

func (v fleetView) lost(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.reaches(id)
}

// detour returns an instance through which this one reaches the database.
func (v fleetView) detour(id string) (string, bool) {
	v.fleet.peers.mu.Lock()
	r := v.fleet.peers.runners[v.instance]
	v.fleet.peers.mu.Unlock()
	for _, o := range r.Detours(id, "dc-0") {
		if !(fleetView{databaseView{v.fakeGroup, o.Name}, v.fleet}).lost(id) {
			return o.Name, true
		}
	}
	return "", false
}

func (v fleetView) Status(ctx context.Context, service, id string, timeout time.Duration) (statement.Status, error) {
	return v.Control(ctx, service, id, statement.Command{Op: statement.OpStatus}, timeout)
}

func (v fleetView) Control(ctx context.Context, service, id string, c statement.Command, timeout time.Duration) (statement.Status, error) {
	time.Sleep(5 * ms)
	if v.lost(id) {
		through, ok := v.detour(id)
		if c.Op != statement.OpStatus || !ok {
			time.Sleep(timeout)
			return statement.Status{}, errNetwork
		}
		return databaseView{v.fakeGroup, through}.Control(ctx, service, id, c, timeout)
	}
	return v.databaseView.Control(ctx, service, id, c, timeout)
}

func (v fleetView) Reach(_, id string) Reach {
	now := v.fleet.now()
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.fleet.links[v.instance]
	if v.reaches(id) {
		return Reach{} // the age of the answer lets a query of another instance cause a probe
	}
	r := Reach{Answered: l.lostAt, DetourAnswered: l.detourAt, Detour: l.detour}
	switch {
	case !l.idle && now >= l.noticeable:
		r.LostSince, r.Requests = l.noticeable, true
	case l.probed != 0:
		r.LostSince = l.probed
	}
	return r
}

func (v fleetView) Probe(_ context.Context, service, id string, timeout time.Duration) Reach {
	sent := v.fleet.now()
	if !v.lost(id) {
		time.Sleep(5 * ms)
		return v.Reach(service, id)
	}
	through, ok := v.detour(id)
	time.Sleep(timeout)
	v.mu.Lock()
	l := v.fleet.links[v.instance]
	if l.probed == 0 {
		l.probed = sent
	}
	// Detours fail at times under load.
	if ok && v.fleet.rng.IntN(4) != 0 {
		l.detourAt, l.detour = sent, through
	}
	v.mu.Unlock()
	return v.Reach(service, id)
}

// fleetCase is one run.
type fleetCase struct {
	seed      uint64
	instances int
	lostFirst int    // instances that lose the primary 6 s before most others do
	reaching  int    // instances that reach the primary until the end
	storeless string // which of these the store refuses: "none", "some", "all"
	idle      int    // instances in a hundred that send the primary no requests
}

func (c fleetCase) String() string {
	return fmt.Sprintf("seed %d: %d instances, %d lose the primary first, %d keep it, the store refuses %s of these, %d %% send no requests",
		c.seed, c.instances, c.lostFirst, c.reaching, c.storeless, c.idle)
}

func newFleetCase(seed uint64) fleetCase {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := fleetCase{seed: seed, instances: []int{3, 7, 64, 300}[seed%4]}
	c.lostFirst = rng.IntN((c.instances-1)/2 + 1)
	c.reaching = 1 + rng.IntN(c.instances/3)
	c.storeless = []string{"none", "some", "all"}[seed/4%3]
	c.idle = []int{0, 30, 60}[rng.IntN(3)]
	return c
}

// minorityTime is how long a minority has lost the primary, which must not be replaced.
const minorityTime = 6 * time.Second

// run returns how long after the loss all instances use another primary.
func (c fleetCase) run(t *testing.T) time.Duration {
	f := startFleet(t, c.instances, c.seed)
	defer f.stop()
	shuffled := append([]string(nil), f.names...)
	f.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	lost, kept := shuffled[:c.instances-c.reaching], shuffled[c.instances-c.reaching:]
	for i, name := range lost {
		f.links[name].idle = i != 0 && f.rng.IntN(100) < c.idle
	}
	f.cut(lost[:c.lostFirst])
	time.Sleep(minorityTime)
	if promoted, _ := f.group.promotions(); len(promoted) != 0 || f.store.record().Token != 1 {
		t.Fatalf("%v: replaced while most reach it: promoted %v, record %+v", c, promoted, f.store.record())
	}
	for i, name := range kept {
		f.instances[name].storeRefuses.Store(c.storeless == "all" || c.storeless == "some" && i%2 == 0)
	}
	f.cut(lost)
	at := f.now()
	for replaced := allUse(f.instances, "db-2"); !replaced(); time.Sleep(10 * ms) {
		if f.now()-at > 30*time.Second {
			t.Fatalf("%v: not replaced after 30 s, record %+v", c, f.store.record())
		}
	}
	if promoted, _ := f.group.promotions(); len(promoted) != 1 {
		t.Errorf("%v: promoted %v, want one promotion", c, promoted)
	}
	return f.now() - at
}

// maxLoss is how long after its loss by most instances a primary must be replaced.
const maxLoss = 9 * time.Second

// Guards against a primary that most instances have lost and that is replaced late or not
// at all, because the few that reach it serve as detours for the others, and against one
// that is replaced while most instances reach it.
func TestPrimaryLostByMostIsReplaced(t *testing.T) {
	longest, runs := make(map[int]time.Duration), 0
	for seed := range uint64(200) {
		if newFleetCase(seed).instances > maxFleet {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			c := newFleetCase(seed)
			took := c.run(t)
			if took > maxLoss {
				t.Errorf("%v: replaced after %v, want at most %v", c, took, maxLoss)
			}
			runs++
			longest[c.instances] = max(longest[c.instances], took)
		})
	}
	t.Logf("%d runs; the longest replacements, by the number of instances: %v", runs, longest)
}
