package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

// Voter tells whether a group's primary looks failed from this instance.
type Voter interface {
	Vote(ctx context.Context, req *wire.VoteRequest) (*wire.VoteResponse, error)
}

// Clients makes clients for other instances' pools.
type Clients interface {
	Pool(address string) wire.Pool
}

// Config configures a Pool. All fields but Voter are required.
type Config struct {
	Settings  settings.Settings
	Directory *directory.Directory
	Clients   Clients
	Events    events.Recorder
	Log       zerolog.Logger
	Clock     clock.Clock
	// Open returns the adapter of a database. It does not connect.
	Open func(platform.Database) backend.Database
	// Voter answers Vote; it may be set later with SetVoter.
	Voter Voter
}

// Bounds of the worker pool that opens connections and does background work.
const (
	maxWorkers = 32
	workQueue  = 4096
)

// maintainEvery is the interval of lease checks and connection maintenance. It
// adds to the keep-alive lapse, which has to stay near 2 s.
const maintainEvery = 200 * time.Millisecond

// Pool implements wire.Pool. It is safe for concurrent use.
type Pool struct {
	cfg          Config
	transactions *transactions
	workers      pond.Pool
	voter        atomic.Pointer[Voter]

	draining atomic.Bool
	inFlight inFlight

	owners     ownerCache // used by Run only
	background sync.WaitGroup

	mu       sync.RWMutex
	units    map[string]*unit   // by database name
	retiring map[*unit]struct{} // given up, with work in flight
}

var _ wire.Pool = (*Pool)(nil)

// New returns a pool that owns nothing until Run.
func New(cfg Config) *Pool {
	p := &Pool{
		cfg:          cfg,
		transactions: newTransactions(),
		workers:      pond.NewPool(maxWorkers, pond.WithQueueSize(workQueue), pond.WithNonBlocking(true)),
		units:        make(map[string]*unit),
		retiring:     make(map[*unit]struct{}),
		owners:       make(ownerCache),
	}
	p.inFlight.init()
	if cfg.Voter != nil {
		p.SetVoter(cfg.Voter)
	}
	return p
}

// SetVoter sets what answers Vote.
func (p *Pool) SetVoter(v Voter) { p.voter.Store(&v) }

// Run follows the directory until ctx ends, then closes all connections. Work
// is accepted while Run is active.
func (p *Pool) Run(ctx context.Context) error {
	defer p.stop()
	for {
		changed := p.cfg.Directory.Changed()
		p.refresh(ctx)
		if !p.maintainUntil(ctx, changed) {
			return nil
		}
	}
}

// maintainUntil does periodic work until the directory changes. It returns
// false when ctx ended.
func (p *Pool) maintainUntil(ctx context.Context, changed <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-p.cfg.Clock.After(maintainEvery):
			now := p.cfg.Clock.Now()
			p.transactions.expire(now)
			for _, u := range p.owned() {
				u.maintain(now)
			}
		}
	}
}

func (p *Pool) stop() {
	p.mu.Lock()
	units := p.units
	p.units = make(map[string]*unit)
	p.mu.Unlock()
	p.transactions.closeAll()
	for _, u := range units {
		u.retire()
		u.shut()
	}
	p.background.Wait()
	p.workers.StopAndWait()
}

// refresh opens units for databases that the instance owns and retires the
// others.
func (p *Pool) refresh(ctx context.Context) {
	want := make(map[string]bool)
	self, live := p.cfg.Directory.Self().Name, p.cfg.Directory.Live()
	signatures := signaturesOf(live)
	for _, g := range p.cfg.Directory.Groups() {
		for _, db := range g.Databases {
			index := p.owners.index(self, live, signatures, db)
			if index < 0 {
				continue
			}
			want[db.Name] = true
			p.ensure(ctx, g, db, index)
		}
	}
	p.mu.Lock()
	var gone []*unit
	for name, u := range p.units {
		if !want[name] {
			gone = append(gone, u)
			delete(p.units, name)
		}
	}
	p.mu.Unlock()
	for _, u := range gone {
		p.handOver(u)
	}
}

func (p *Pool) ensure(ctx context.Context, g directory.Group, db platform.Database, index int) {
	p.mu.RLock()
	u := p.units[db.Name]
	p.mu.RUnlock()
	moved := u != nil && (u.db.Address != db.Address || u.group != g.Name)
	if u == nil || moved {
		next := newUnit(ctx, p, g.Name, db)
		next.update(g, db, index)
		p.mu.Lock()
		p.units[db.Name] = next
		p.mu.Unlock()
		next.start()
		p.record(events.Event{
			Kind: events.KindOwnership, Group: g.Name, Database: db.Name,
			Text: "took over the connections to the database: " + role(index),
		})
		if moved {
			p.handOver(u)
		}
		return
	}
	u.update(g, db, index)
}

func role(index int) string {
	if index == 0 {
		return "requests for it come here"
	}
	return "standby for the instance that serves it"
}

// handOver ends a unit once its open transactions are done.
func (p *Pool) handOver(u *unit) {
	u.retire()
	p.transactions.bound(u, p.cfg.Clock.Now().Add(p.cfg.Settings.DrainTimeout.Std()))
	p.record(events.Event{
		Kind: events.KindOwnership, Group: u.group, Database: u.db.Name,
		Text: "gave up the connections to the database; open transactions may end first",
	})
	p.mu.Lock()
	p.retiring[u] = struct{}{}
	p.mu.Unlock()
	p.background.Go(func() {
		select {
		case <-u.inFlight.idle():
		case <-u.ctx.Done():
		}
		u.shut()
		p.mu.Lock()
		delete(p.retiring, u)
		p.mu.Unlock()
	})
}

// unit returns the unit of a database, or nil.
func (p *Pool) unit(database string) *unit {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.units[database]
}

func (p *Pool) owned() []*unit {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*unit, 0, len(p.units))
	for _, u := range p.units {
		out = append(out, u)
	}
	return out
}

// withRetiring returns all units that may have work in flight.
func (p *Pool) withRetiring() []*unit {
	out := p.owned()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for u := range p.retiring {
		out = append(out, u)
	}
	return out
}

func (p *Pool) record(e events.Event) { p.cfg.Events.Record(e) }
