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
	maxWorkers      = 32
	workerQueueSize = 4096
)

// maintenanceInterval is the interval of lease checks and connection maintenance. It
// adds to the keep-alive lapse, which has to stay near 2 s.
const maintenanceInterval = 200 * time.Millisecond

// Pool implements wire.Pool. It is safe for concurrent use.
type Pool struct {
	cfg          Config
	transactions *transactionRegistry
	workers      pond.Pool
	voter        atomic.Pointer[Voter]

	draining atomic.Bool
	inFlight inFlight

	owners     ownerCache // used by Run only
	background sync.WaitGroup

	mu        sync.RWMutex
	databases map[string]*ownedDatabase   // by database name
	retiring  map[*ownedDatabase]struct{} // given up, with work in flight
}

var _ wire.Pool = (*Pool)(nil)

// New returns a pool that owns nothing until Run.
func New(cfg Config) *Pool {
	p := &Pool{
		cfg:          cfg,
		transactions: newTransactionRegistry(),
		workers:      pond.NewPool(maxWorkers, pond.WithQueueSize(workerQueueSize), pond.WithNonBlocking(true)),
		databases:    make(map[string]*ownedDatabase),
		retiring:     make(map[*ownedDatabase]struct{}),
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
	defer p.closeAll()
	for {
		changed := p.cfg.Directory.Changed()
		p.updateOwnership(ctx)
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
		case <-p.cfg.Clock.After(maintenanceInterval):
			now := p.cfg.Clock.Now()
			p.transactions.rollBackExpired(now)
			for _, d := range p.ownedDatabases() {
				d.maintain(now)
			}
		}
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	databases := p.databases
	p.databases = make(map[string]*ownedDatabase)
	p.mu.Unlock()
	p.transactions.rollBackAll()
	for _, d := range databases {
		d.retire()
		d.close()
	}
	p.background.Wait()
	p.workers.StopAndWait()
}

// updateOwnership opens units for databases that the instance owns and retires the
// others.
func (p *Pool) updateOwnership(ctx context.Context) {
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
			p.openOrUpdate(ctx, g, db, index)
		}
	}
	p.mu.Lock()
	var lost []*ownedDatabase
	for name, d := range p.databases {
		if !want[name] {
			lost = append(lost, d)
			delete(p.databases, name)
		}
	}
	p.mu.Unlock()
	for _, d := range lost {
		p.release(d)
	}
}

func (p *Pool) openOrUpdate(ctx context.Context, g directory.Group, db platform.Database, index int) {
	p.mu.RLock()
	d := p.databases[db.Name]
	p.mu.RUnlock()
	moved := d != nil && (d.info.Address != db.Address || d.group != g.Name)
	if d == nil || moved {
		next := newOwnedDatabase(ctx, p, g.Name, db)
		next.updateFromDirectory(g, db, index)
		p.mu.Lock()
		p.databases[db.Name] = next
		p.mu.Unlock()
		next.start()
		p.record(events.Event{
			Kind: events.KindOwnership, Group: g.Name, Database: db.Name,
			Text: "took over the connections to the database: " + ownerRole(index),
		})
		if moved {
			p.release(d)
		}
		return
	}
	d.updateFromDirectory(g, db, index)
}

func ownerRole(index int) string {
	if index == 0 {
		return "requests for it come here"
	}
	return "standby for the instance that serves it"
}

// release ends a unit once its open transactions are done.
func (p *Pool) release(d *ownedDatabase) {
	d.retire()
	p.transactions.setDeadline(d, p.cfg.Clock.Now().Add(p.cfg.Settings.DrainTimeout.Std()))
	p.record(events.Event{
		Kind: events.KindOwnership, Group: d.group, Database: d.info.Name,
		Text: "gave up the connections to the database; open transactions may end first",
	})
	p.mu.Lock()
	p.retiring[d] = struct{}{}
	p.mu.Unlock()
	p.background.Go(func() {
		select {
		case <-d.inFlight.drained():
		case <-d.ctx.Done():
		}
		d.close()
		p.mu.Lock()
		delete(p.retiring, d)
		p.mu.Unlock()
	})
}

// database returns the database of a database, or nil.
func (p *Pool) database(database string) *ownedDatabase {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.databases[database]
}

func (p *Pool) ownedDatabases() []*ownedDatabase {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*ownedDatabase, 0, len(p.databases))
	for _, d := range p.databases {
		out = append(out, d)
	}
	return out
}

// allDatabases returns all units that may have work in flight.
func (p *Pool) allDatabases() []*ownedDatabase {
	out := p.ownedDatabases()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for d := range p.retiring {
		out = append(out, d)
	}
	return out
}

func (p *Pool) record(e events.Event) { p.cfg.Events.Record(e) }
