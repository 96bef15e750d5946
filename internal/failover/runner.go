package failover

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// tick is the interval between looks at the statuses of owned databases.
const tick = 50 * time.Millisecond

// PoolClients gives the Pool clients of other instances; *wire.Clients does.
type PoolClients interface {
	Pool(address string) wire.Pool
}

// Config holds what a Manager needs. All fields but Thresholds and NoFencing
// are required.
type Config struct {
	Self      ownership.Instance
	Directory *directory.Directory
	Clients   PoolClients
	Platform  platform.API
	// Statuses returns the latest statuses of the databases that this
	// instance owns; an empty group means all groups.
	Statuses func(group string) []*wire.DatabaseStatus
	// ReplicasUnreachableFor returns for how long nobody in the replicas' data centres has
	// answered the owner of a primary that waits for confirmations; nil: never.
	ReplicasUnreachableFor func(database string) time.Duration
	// Open returns the adapter of a database.
	Open       func(platform.Database) backend.Database
	Events     events.Recorder
	Log        zerolog.Logger
	Clock      clock.Clock
	Seed       uint64
	Thresholds Thresholds // zero means DefaultThresholds
	// NoFencing promotes without raising a majority first. For tests only.
	NoFencing bool
}

// Manager watches the groups whose databases this instance owns, replaces lost
// primaries and repairs databases that do not follow the primary.
type Manager struct {
	cfg     Config
	running sync.WaitGroup
	vars    *expvar.Map

	mu      sync.Mutex
	watches map[string]*watch // by group
	repairs map[string]*repair
	index   map[string]string // group of each database
	stale   <-chan struct{}   // closed when index is out of date
}

// watch is the state of one group.
type watch struct {
	group    string
	detector *Detector
	election *CandidateBackoff
	busy     bool      // an attempt is running
	next     time.Time // no attempt before
	lastErr  string    // of the latest failed attempt
}

// New returns a Manager; Run starts it.
func New(cfg Config) *Manager {
	if cfg.Thresholds == (Thresholds{}) {
		cfg.Thresholds = DefaultThresholds
	}
	r := &Manager{cfg: cfg, vars: new(expvar.Map).Init(), watches: make(map[string]*watch), repairs: make(map[string]*repair)}
	for _, name := range []string{"attempts", "promoted", "failed", "followed", "follow_failed"} {
		r.vars.Add(name, 0) // an alert needs the counter before the first event
	}
	return r
}

// Vars returns the counters: attempts to replace a primary, promotions, attempts
// that failed, and databases that were made to follow or could not be.
func (r *Manager) Vars() expvar.Var { return r.vars }

// Run watches until ctx ends and returns after its last goroutine.
func (r *Manager) Run(ctx context.Context) error {
	defer r.running.Wait()
	for {
		r.look(ctx)
		select {
		case <-r.cfg.Clock.After(tick):
		case <-ctx.Done():
			return nil
		}
	}
}

// look takes one round of statuses and starts what they call for.
func (r *Manager) look(ctx context.Context) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshIndex()
	rounds := make(map[string][]Observation)
	for _, s := range r.cfg.Statuses("") {
		if g, ok := r.index[s.GetDatabase()]; ok {
			rounds[g] = append(rounds[g], Observation{Database: s.GetDatabase(), Reachable: s.GetReachable(), Status: wire.StatusOf(s)})
		}
	}
	for name := range r.watches {
		if _, ok := rounds[name]; !ok && !r.watches[name].busy {
			delete(r.watches, name)
		}
	}
	for name, round := range rounds {
		g, ok := r.cfg.Directory.Group(name)
		if !ok {
			continue
		}
		w := r.watch(name)
		w.detector.Observe(now, viewOf(g), round)
		r.learn(g, w.detector.View())
		r.repair(ctx, now, g, w.detector, round)
		if w.busy || now.Before(w.next) {
			continue
		}
		attempt := r.tryPromote
		if !w.detector.Suspect(now) {
			switch {
			case !r.ownsPrimary(g):
				continue
			case w.detector.SwitchoverDue(now):
				attempt = r.tryHandover
			case r.cfg.ReplicasUnreachableFor != nil && r.cfg.ReplicasUnreachableFor(g.Primary) >= resignAfter && w.detector.View().Primary == g.Primary:
				attempt = r.tryResign
			default:
				continue
			}
		}
		w.busy = true
		r.running.Go(func() { r.campaign(ctx, w, attempt) })
	}
}

// ownsPrimary reports whether this instance is the active owner of the
// group's primary.
func (r *Manager) ownsPrimary(g directory.Group) bool {
	db, ok := g.Database(g.Primary)
	return ok && r.cfg.Directory.OwnerIndex(db) == 0
}

func (r *Manager) refreshIndex() {
	if r.stale != nil {
		select {
		case <-r.stale:
		default:
			return
		}
	}
	r.stale = r.cfg.Directory.Changed()
	r.index = make(map[string]string)
	for _, g := range r.cfg.Directory.Groups() {
		for _, d := range g.Databases {
			r.index[d.Name] = g.Name
		}
	}
}

func (r *Manager) watch(group string) *watch {
	w, ok := r.watches[group]
	if !ok {
		seed := r.cfg.Seed ^ xxhash.Sum64String(r.cfg.Self.Name+"/"+group)
		w = &watch{group: group, detector: NewDetector(r.cfg.Thresholds), election: NewCandidateBackoff(seed)}
		r.watches[group] = w
	}
	return w
}

func viewOf(g directory.Group) View {
	v := View{Term: g.Term, Primary: g.Primary, Members: make([]string, len(g.Databases))}
	for i, d := range g.Databases {
		v.Members[i] = d.Name
	}
	return v
}

// learn passes on what the databases say of a newer term or primary.
func (r *Manager) learn(g directory.Group, v View) {
	if v.Term > g.Term || (v.Term == g.Term && v.Primary != "" && v.Primary != g.Primary) {
		r.cfg.Directory.LearnPrimary(g.Name, v.Term, v.Primary)
	}
}

// Vote answers another instance that suspects the primary of a group.
func (r *Manager) Vote(_ context.Context, req *wire.VoteRequest) (*wire.VoteResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.watches[req.GetGroup()]
	if !ok {
		return &wire.VoteResponse{Databases: r.cfg.Statuses(req.GetGroup())}, nil
	}
	b := w.ballot(r.cfg.Clock.Now())
	resp := &wire.VoteResponse{Suspect: b.Suspect && w.detector.View().Term <= req.GetTerm()}
	for _, e := range b.Databases {
		s := wire.NewStatus(e.Database, e.Status)
		s.Reachable = e.Reachable
		resp.Databases = append(resp.Databases, s)
	}
	return resp, nil
}

func (w *watch) ballot(now time.Time) Vote {
	return Vote{Suspect: w.detector.Suspect(now), Databases: w.detector.Health(now)}
}

func (r *Manager) record(group, database, text string) {
	r.cfg.Events.Record(events.Event{Kind: events.KindPromotion, Group: group, Database: database, Text: text})
}
