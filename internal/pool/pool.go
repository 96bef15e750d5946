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

// Voter reports whether this instance considers a group's primary failed.
type Voter interface {
	Vote(ctx context.Context, req *wire.VoteRequest) (*wire.VoteResponse, error)
}

// Clients returns clients for the pools of other instances.
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
	// Open returns the adapter for a database without connecting to it.
	Open func(platform.Database) backend.Database
	// Voter handles Vote calls. It may be set later with SetVoter.
	Voter Voter
}

// Limits of the worker pool that opens connections and runs background work.
const (
	maxWorkers      = 32
	workerQueueSize = 4096
)

// maintenanceInterval is the interval between checks of transaction leases and
// idle connections. An abandoned transaction may outlive keepAliveTimeout by one
// interval; together they must stay within 2 s.
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
	retiring  map[*ownedDatabase]struct{} // released, with work in flight
}

var _ wire.Pool = (*Pool)(nil)

// New returns a pool that owns no databases until Run.
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

// SetVoter sets the handler of Vote calls.
func (p *Pool) SetVoter(v Voter) { p.voter.Store(&v) }

// Run updates the set of owned databases from the directory until ctx ends, then
// closes all connections. The pool accepts requests while Run is active.
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

// maintainUntil runs periodic maintenance until the directory changes. It
// returns false if ctx ended first.
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

// updateOwnership opens the databases that the instance now owns and releases
// those that it no longer owns.
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
		return "active owner"
	}
	return "standby owner"
}

// release stops new work on a database and closes it when its requests and open
// transactions have ended.
func (p *Pool) release(d *ownedDatabase) {
	d.retire()
	p.transactions.setDeadline(d, p.cfg.Clock.Now().Add(p.cfg.Settings.DrainTimeout.Std()))
	p.record(events.Event{
		Kind: events.KindOwnership, Group: d.group, Database: d.info.Name,
		Text: "released the connections to the database; open transactions may finish first",
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

// database returns an owned database by name, or nil.
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

// allDatabases returns the owned databases and those released with work in flight.
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
