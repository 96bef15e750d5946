package limits

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/peer"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/quota"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/topology"
)

var errDown = errors.New("out of reach")

// fakeStore keeps the record and the registrations.
type fakeStore struct {
	mu     sync.Mutex
	era    uint64
	number uint64
	record *primacy.Record
	regs   map[string]primacy.Registration
	down   bool
	calls  int
}

func (s *fakeStore) call() error {
	s.calls++
	if s.down {
		return errDown
	}
	return nil
}

func (s *fakeStore) Records(context.Context) ([]primacy.Record, revision.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := revision.Revision{Era: s.era, Number: s.number}
	if err := s.call(); err != nil || s.record == nil {
		return nil, at, err
	}
	return []primacy.Record{*s.record}, at, nil
}

func (s *fakeStore) write(r primacy.Record) primacy.Record {
	s.number++
	r.Revision = revision.Revision{Era: s.era, Number: s.number}
	s.record = &r
	return r
}

func (s *fakeStore) CreateRecord(_ context.Context, era uint64, r primacy.Record) (primacy.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return r, err
	}
	if s.record != nil {
		return r, primacy.ErrConflict
	}
	if era != s.era {
		return r, primacy.ErrRestored
	}
	return s.write(r), nil
}

func (s *fakeStore) UpdateRecord(_ context.Context, era uint64, r primacy.Record) (primacy.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return r, err
	}
	if s.record == nil || s.record.Revision.Number != r.Revision.Number {
		return r, primacy.ErrConflict
	}
	if era != s.era {
		return r, primacy.ErrRestored
	}
	return s.write(r), nil
}

func (s *fakeStore) Registrations(context.Context) ([]primacy.Registration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return nil, err
	}
	return slices.Collect(maps.Values(s.regs)), nil
}

func (s *fakeStore) register(instance, incarnation string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.regs[instance] = primacy.Registration{Instance: instance, Incarnation: incarnation, Revision: revision.Revision{Era: s.era, Number: s.number}}
	return s.era
}

// cluster runs limiters against a fake store, in the fake time of a synctest bubble.
type cluster struct {
	t     *testing.T
	store *fakeStore
	began time.Time
	nodes []*node

	mu       sync.Mutex
	topology *topology.Topology
	version  uint64
	admitted map[string][]time.Duration
	window   quota.Window
}

// node is an instance.
type node struct {
	c        *cluster
	name     string
	starts   int
	limiter  *Limiter
	cache    *primacy.RecordCache
	cancel   context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	cut      bool // from the other instances
	noStore  bool
	era      uint64
	eraAt    time.Duration
	known    []primacy.Registration
	messages int
}

func newCluster(t *testing.T, n int, orgs ...organisation.Organisation) *cluster {
	c := &cluster{
		t: t, store: &fakeStore{era: 1, regs: make(map[string]primacy.Registration)}, began: time.Now(), topology: topology.New(),
		admitted: make(map[string][]time.Duration), window: quota.Window{Length: 5 * time.Second, Overage: 0.1, Slack: 20},
	}
	c.configure(orgs...)
	for i := range n {
		x := &node{c: c, name: fmt.Sprintf("inst-%d", i)}
		c.nodes = append(c.nodes, x)
		x.start()
	}
	t.Cleanup(func() {
		for _, x := range c.nodes {
			x.stop()
		}
	})
	return c
}

func (c *cluster) configure(orgs ...organisation.Organisation) {
	c.version++
	c.topology.Apply(topology.Configuration{Version: c.version, Organisations: orgs})
}

func (c *cluster) now() time.Duration { return time.Since(c.began) + time.Hour }

func (x *node) incarnation() string { return fmt.Sprintf("%s#%d", x.name, x.starts) }

func (x *node) start() {
	x.starts++
	x.era, x.known = 0, nil
	x.cache = primacy.NewRecordCache(x.incarnation(), primacy.InitialValidity, x.c.now)
	limiter := New(Config{
		Instance: x.name, Incarnation: x.incarnation(), Address: x.name, Window: x.c.window, Store: x, Records: x.cache, Registry: x,
		Peers: x, Topology: x.c.topology, Now: x.c.now, Log: zerolog.Nop(),
	})
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(context.Background())
	done := make(chan struct{})
	x.mu.Lock()
	x.limiter, x.done = limiter, done
	x.mu.Unlock()
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = limiter.Run(ctx) }) // returns when ctx ends
		wg.Go(func() { x.renew(ctx) })
		wg.Wait()
	}()
}

// process returns the present process of the instance. Requests of other instances may be
// under way while it is started again.
func (x *node) process() (limiter *Limiter, done chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.limiter, x.done
}

// stop ends the process without a word.
func (x *node) stop() {
	x.cancel()
	<-x.done
}

// renew does the part of primacy.Runner: it registers the instance and lists the records
// and, more rarely, the instances.
func (x *node) renew(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		asked := x.c.now()
		if records, at, err := x.Records(ctx); err == nil {
			x.mu.Lock()
			if x.era != at.Era {
				x.era, x.eraAt = x.c.store.register(x.name, x.incarnation()), asked
				x.cache.SetIncarnation(x.incarnation())
				x.cache.SetEra(x.era)
			}
			x.mu.Unlock()
			x.cache.Confirm(records, at.Era, asked)
			if all, err := x.Registrations(ctx); err == nil && i%25 == 3 {
				x.mu.Lock()
				x.known = all
				x.mu.Unlock()
			}
		}
		select {
		case <-time.After(400 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// The methods of Registry.

func (x *node) RegisteredEra() (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.era, x.era != 0
}

func (x *node) EraAge() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.c.now() - x.eraAt
}

func (x *node) Instances() int { return len(x.KnownInstances()) }

func (x *node) KnownInstances() []primacy.Registration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.known
}

// The methods of Store.

func (x *node) isStoreLost() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.noStore
}

func (x *node) Records(ctx context.Context) ([]primacy.Record, revision.Revision, error) {
	if x.isStoreLost() {
		return nil, revision.Revision{}, errDown
	}
	return x.c.store.Records(ctx)
}

func (x *node) CreateRecord(ctx context.Context, era uint64, r primacy.Record) (primacy.Record, error) {
	if x.isStoreLost() {
		return r, errDown
	}
	return x.c.store.CreateRecord(ctx, era, r)
}

func (x *node) UpdateRecord(ctx context.Context, era uint64, r primacy.Record) (primacy.Record, error) {
	if x.isStoreLost() {
		return r, errDown
	}
	return x.c.store.UpdateRecord(ctx, era, r)
}

func (x *node) Registrations(ctx context.Context) ([]primacy.Registration, error) {
	if x.isStoreLost() {
		return nil, errDown
	}
	return x.c.store.Registrations(ctx)
}

func (x *node) isCut() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cut
}

// ExchangeLimits implements Peers, with 5 ms in each direction.
func (x *node) ExchangeLimits(ctx context.Context, address string, r peer.LimitsRequest) (quota.Reply, error) {
	x.mu.Lock()
	x.messages++
	x.mu.Unlock()
	i := slices.IndexFunc(x.c.nodes, func(n *node) bool { return n.name == address })
	to := x.c.nodes[i]
	limiter, done := to.process()
	select {
	case <-done:
		return quota.Reply{}, errDown
	case <-time.After(5 * time.Millisecond):
	}
	if x.isCut() || to.isCut() {
		<-ctx.Done()
		return quota.Reply{}, ctx.Err()
	}
	reply := limiter.Exchange(r)
	time.Sleep(5 * time.Millisecond)
	return reply, nil
}

// coordinator returns the node that the record names.
func (c *cluster) coordinator() *node {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, x := range c.nodes {
		if c.store.record != nil && c.store.record.Primary == x.name {
			return x
		}
	}
	return nil
}

// send sends operations of an organisation through nodes at a total rate for d, and returns
// how many were admitted and refused.
func (c *cluster) send(d time.Duration, rate float64, org string, nodes ...*node) (admitted, refused int) {
	var wg sync.WaitGroup
	for i, end := 0, c.now()+d; c.now() < end; i++ {
		x := nodes[i%len(nodes)]
		wg.Go(func() {
			err := x.limiter.Admit(context.Background(), org)
			c.mu.Lock()
			defer c.mu.Unlock()
			if err != nil {
				refused++
				return
			}
			admitted++
			c.admitted[org] = append(c.admitted[org], c.now())
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	return admitted, refused
}

// check fails the test if a window from a time on saw more operations than allowed.
func (c *cluster) check(org string, rate, burst float64, from time.Duration) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := slices.Clone(c.admitted[org])
	slices.Sort(runs)
	first := 0
	for i, end := range runs {
		for runs[first] <= end-c.window.Length {
			first++
		}
		if n := i - first + 1; runs[first] >= from && float64(n) > c.window.Bound(rate, burst) {
			c.t.Errorf("%d operations from %v to %v, bound %v", n, runs[first], end, c.window.Bound(rate, burst))
			return
		}
	}
}
