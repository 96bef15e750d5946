package primacy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// fakeListings records the calls of a runner. The zero value has no listing.
type fakeListings struct {
	mu        sync.Mutex
	listing   *topology.Listing
	currentAt time.Duration
	adopted   []*topology.Listing
	relayed   bool
	leaving   []topology.LeavingAge

	adoptedAges   []topology.LeavingAge
	adoptedAgesAt time.Duration
}

func (f *fakeListings) Listing() (*topology.Listing, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listing, f.currentAt
}

func (f *fakeListings) Adopt(l *topology.Listing, currentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adopted, f.currentAt = append(f.adopted, l), currentAt
}

func (f *fakeListings) SetRelayed(relayed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayed = relayed
}

func (f *fakeListings) LeavingAges() []topology.LeavingAge { return f.leaving }

func (f *fakeListings) AdoptLeavingAges(ages []topology.LeavingAge, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adoptedAges, f.adoptedAgesAt = ages, at
}

func (f *fakeListings) ObserveRevision(revision.Revision, time.Duration) {}

// network passes requests between the instances of a test. Their names serve as
// addresses.
type network struct {
	mu          sync.Mutex
	runners     map[string]*Runner
	partitioned bool
	isolated    string // an instance that can't be reached
}

// isolate makes an instance unreachable for the others.
func (n *network) isolate(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = name
}

func (n *network) runner(address string) (*Runner, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.runners[address]
	if !ok || n.partitioned || address == n.isolated {
		return nil, errNetwork
	}
	return r, nil
}

func (n *network) FetchSnapshot(ctx context.Context, address string, q SnapshotQuery) (StoreSnapshot, error) {
	r, err := n.runner(address)
	if err != nil {
		return StoreSnapshot{}, err
	}
	snapshot, ok := r.Snapshot(ctx, q)
	if !ok {
		return StoreSnapshot{}, errStoreDown
	}
	return snapshot, nil
}

func (n *network) Vote(_ context.Context, address string, rec Record) (Vote, error) {
	r, err := n.runner(address)
	if err != nil {
		return Vote{}, err
	}
	return r.Vote(rec), nil
}

// fakeGroup is a service with three databases, of which db-1 is primary at first.
type fakeGroup struct {
	mu              sync.Mutex
	members         []Member
	status          map[string]statement.Status
	stopped         map[string]bool
	unreachableFrom map[string]bool    // instances that can't reach db-1
	cut             map[[2]string]bool // pairs of an instance and a database that it can't reach
	notRunning      map[string]bool    // databases whose promotion fails with ErrNotRunning
	promoted        []string
	tokens          []uint64
	promotionFails  bool // promotions fail without an effect
	promotionStalls bool // promotions are accepted without an effect
	syncReplicas    int
	lapsed          []string       // members whose registrations have lapsed
	unanswered      map[string]int // further PAUSE commands that a database does not answer
	unresumed       int            // further RESUME commands that no database answers
	unknownTo       string         // instance that does not know the new members
	onPromote       func()         // called before a promotion takes effect; may be nil
}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{
		status: map[string]statement.Status{}, stopped: map[string]bool{}, unreachableFrom: map[string]bool{},
		cut: map[[2]string]bool{}, notRunning: map[string]bool{}, unanswered: map[string]int{},
	}
	for i, id := range []string{"db-1", "db-2", "db-3"} {
		g.members = append(g.members, Member{ID: id, Primary: i == 0})
		g.status[id] = statement.Status{Primary: i == 0, Term: 1, Received: statement.Position{Term: 1, Number: uint64(10 - i)}}
	}
	return g
}

func (g *fakeGroup) set(id string, change func(*statement.Status)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.status[id]
	change(&s)
	g.status[id] = s
}

func (g *fakeGroup) get(id string) statement.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status[id]
}

// promotions returns the databases that were promoted and the tokens used.
func (g *fakeGroup) promotions() ([]string, []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promoted), slices.Clone(g.tokens)
}

func (g *fakeGroup) stop(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped[id] = true
}

func (g *fakeGroup) start(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.stopped, id)
}

func (g *fakeGroup) Promote(_ context.Context, p Promotion) error {
	id, token := p.Database, p.Token
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.notRunning[id] {
		return ErrNotRunning
	}
	if g.onPromote != nil {
		g.onPromote()
	}
	g.promoted = append(g.promoted, id)
	g.tokens = append(g.tokens, token)
	if g.promotionFails {
		return errStoreDown
	}
	if g.promotionStalls {
		return nil
	}
	s := g.status[id]
	s.Primary, s.Term, s.HeldTerm = true, g.latestTerm()+1, 0
	g.status[id] = s
	return nil
}

// latestTerm returns the highest term that a database leads. g.mu is held.
func (g *fakeGroup) latestTerm() uint64 {
	var latest uint64
	for _, s := range g.status {
		if s.Primary {
			latest = max(latest, s.Term)
		}
	}
	return latest
}

// databaseView is the group as seen by one instance.
type databaseView struct {
	*fakeGroup
	instance string
}

var errNetwork = errors.New("the network does not reach the peer or database")

func (v databaseView) Status(ctx context.Context, service, id string, timeout time.Duration) (statement.Status, error) {
	return v.Control(ctx, service, id, statement.Command{Op: statement.OpStatus}, timeout)
}

func (v databaseView) Control(_ context.Context, _, id string, c statement.Command, _ time.Duration) (statement.Status, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.reaches(id) {
		return statement.Status{}, errNetwork
	}
	if c.Op == statement.OpPause && v.unanswered[id] > 0 {
		v.unanswered[id]--
		return statement.Status{}, errNetwork
	}
	if c.Op == statement.OpResume && v.unresumed > 0 {
		v.unresumed--
		return statement.Status{}, errNetwork
	}
	s := v.status[id]
	switch c.Op {
	case statement.OpPause:
		s.HeldTerm = max(s.HeldTerm, c.Term)
	case statement.OpResume:
		s.HeldTerm = 0
	case statement.OpDemote:
		s.Primary = s.Primary && s.Term >= c.Term
	}
	v.status[id] = s
	return s, nil
}

func (v databaseView) Reach(_, id string) Reach {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reaches(id) {
		return Reach{}
	}
	return Reach{LostSince: 1, Requests: true}
}

func (v databaseView) Probe(_ context.Context, service, id string, _ time.Duration) Reach {
	return v.Reach(service, id)
}

// reaches reports whether the instance reaches a database that runs. v.mu is held.
func (v databaseView) reaches(id string) bool {
	return !v.stopped[id] && (id != "db-1" || !v.unreachableFrom[v.instance]) && !v.cut[[2]string{v.instance, id}]
}

func (v databaseView) Members(string) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(v.members), func(m Member) bool { return m.New && v.unknownTo == v.instance })
}

func (v databaseView) Lapsed(string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.lapsed)
}

func (v databaseView) SyncReplicas(string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.syncReplicas
}

// instance is a runner with its record cache.
type instance struct {
	runner       *Runner
	cache        *RecordCache
	stop         func()
	storeRefuses *atomic.Bool
	network      *network // shared by the instances of a test
}

// startInstances runs instances until the test ends. It returns when all of them
// know the primary.
func startInstances(t *testing.T, store *fakeStore, g *fakeGroup, names ...string) map[string]*instance {
	t.Helper()
	all := make(map[string]*instance)
	peers := &network{runners: make(map[string]*Runner)}
	for _, name := range names {
		all[name] = startInstance(t, store, g, peers, name, name)
	}
	for name, x := range all {
		eventually(t, name+" knows the primary", func() bool { _, ok := x.cache.Primary("ledger"); return ok })
	}
	return all
}

// startInstance runs a process of an instance until the test ends or stops it.
func startInstance(t *testing.T, store *fakeStore, g *fakeGroup, peers *network, name, incarnation string) *instance {
	refused := &atomic.Bool{}
	cache := NewRecordCache(incarnation, InitialValidity, clock.SinceBoot)
	r := NewRunner(Config{
		Instance: name, Address: name, Peers: peers, Incarnation: incarnation, Store: storeView{store, refused},
		Databases: databaseView{g, name}, Promotions: g, Cache: cache,
		Services: func() []string { return []string{"ledger"} }, Now: clock.SinceBoot, Log: zerolog.Nop(),
		OnStoreUnavailable: func() {}, Listings: &fakeListings{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	peers.mu.Lock()
	peers.runners[name] = r
	peers.mu.Unlock()
	x := &instance{r, cache, func() { cancel(); <-done }, refused, peers}
	t.Cleanup(x.stop)
	return x
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout: %s", what)
		}
	}
}

// allUse returns a condition that holds while all instances use the database as
// primary.
func allUse(all map[string]*instance, id string) func() bool {
	return func() bool {
		for _, x := range all {
			if p, ok := x.cache.Primary("ledger"); !ok || p.ID != id {
				return false
			}
		}
		return true
	}
}
