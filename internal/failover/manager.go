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

// checkInterval is the interval between checks of the owned databases' statuses.
const checkInterval = 50 * time.Millisecond

// PoolClients returns clients of the Pool service of other instances. It is
// implemented by *wire.Clients.
type PoolClients interface {
	Pool(address string) wire.Pool
}

// Config configures a Manager. All fields are required except Thresholds,
// NoFencing and ReplicasUnreachableFor.
type Config struct {
	Self      ownership.Instance
	Directory *directory.Directory
	Clients   PoolClients
	Platform  platform.API
	// Statuses returns the latest statuses of the databases that this
	// instance owns; an empty group means all groups.
	Statuses func(group string) []*wire.DatabaseStatus
	// ReplicasUnreachableFor returns for how long no instance in the replicas'
	// data centres has answered the owner of a primary with pending
	// confirmations. If it is nil, this instance never resigns as an owner.
	ReplicasUnreachableFor func(database string) time.Duration
	// Open returns the adapter of a database.
	Open       func(platform.Database) backend.Database
	Events     events.Recorder
	Log        zerolog.Logger
	Clock      clock.Clock
	Seed       uint64
	Thresholds Thresholds // zero means DefaultThresholds
	// NoFencing skips raising the term on a majority before a promotion. It is
	// unsafe and for tests only.
	NoFencing bool
}

// Manager monitors the groups of the databases that this instance owns, replaces
// failed primaries and repairs databases that do not follow their primary.
type Manager struct {
	cfg        Config
	goroutines sync.WaitGroup
	vars       *expvar.Map

	mu           sync.Mutex
	groups       map[string]*groupState  // by group
	repairs      map[string]*repairState // by database
	groupOf      map[string]string       // group of each database
	groupOfStale <-chan struct{}         // closed when groupOf is out of date
}

type groupState struct {
	group       string
	detector    *Detector
	backoff     *CandidateBackoff
	attempting  bool      // an attempt is running
	nextAttempt time.Time // earliest start of the next attempt
	lastErr     string    // of the latest failed attempt; a repeated error is not logged
}

// New returns a Manager; Run starts it.
func New(cfg Config) *Manager {
	if cfg.Thresholds == (Thresholds{}) {
		cfg.Thresholds = DefaultThresholds
	}
	m := &Manager{cfg: cfg, vars: new(expvar.Map).Init(), groups: make(map[string]*groupState), repairs: make(map[string]*repairState)}
	for _, name := range []string{"attempts", "promoted", "failed", "followed", "follow_failed"} {
		m.vars.Add(name, 0) // alerts need the counters before the first event
	}
	return m
}

// Vars returns the counters: attempts to replace a primary, promotions, failed
// attempts, and successful and failed repairs of replication.
func (m *Manager) Vars() expvar.Var { return m.vars }

// Run monitors the groups until ctx ends and returns when all its goroutines have
// ended.
func (m *Manager) Run(ctx context.Context) error {
	defer m.goroutines.Wait()
	for {
		m.checkGroups(ctx)
		select {
		case <-m.cfg.Clock.After(checkInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// checkGroups processes one round of statuses and starts the repairs and
// attempts that are due.
func (m *Manager) checkGroups(ctx context.Context) {
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshGroupOf()
	rounds := make(map[string][]Observation)
	for _, s := range m.cfg.Statuses("") {
		if g, ok := m.groupOf[s.GetDatabase()]; ok {
			rounds[g] = append(rounds[g], Observation{Database: s.GetDatabase(), Reachable: s.GetReachable(), Status: wire.StatusOf(s)})
		}
	}
	for name := range m.groups {
		if _, ok := rounds[name]; !ok && !m.groups[name].attempting {
			delete(m.groups, name)
		}
	}
	for name, round := range rounds {
		g, ok := m.cfg.Directory.Group(name)
		if !ok {
			continue
		}
		gs := m.groupState(name)
		gs.detector.Observe(now, newView(g), round)
		m.updateDirectory(g, gs.detector.View())
		m.startRepairs(ctx, now, g, gs.detector, round)
		if gs.attempting || now.Before(gs.nextAttempt) {
			continue
		}
		attempt := m.tryPromote
		if !gs.detector.Suspect(now) {
			switch {
			case !m.ownsPrimary(g):
				continue
			case gs.detector.SwitchoverDue(now):
				attempt = m.trySwitchover
			case m.cfg.ReplicasUnreachableFor != nil && m.cfg.ReplicasUnreachableFor(g.Primary) >= resignAfter && gs.detector.View().Primary == g.Primary:
				attempt = m.tryResign
			default:
				continue
			}
		}
		gs.attempting = true
		m.goroutines.Go(func() { m.runAttempt(ctx, gs, attempt) })
	}
}

// ownsPrimary reports whether this instance is the active owner of the
// group's primary.
func (m *Manager) ownsPrimary(g directory.Group) bool {
	db, ok := g.Database(g.Primary)
	return ok && m.cfg.Directory.OwnerIndex(db) == 0
}

func (m *Manager) refreshGroupOf() {
	if m.groupOfStale != nil {
		select {
		case <-m.groupOfStale:
		default:
			return
		}
	}
	m.groupOfStale = m.cfg.Directory.Changed()
	m.groupOf = make(map[string]string)
	for _, g := range m.cfg.Directory.Groups() {
		for _, d := range g.Databases {
			m.groupOf[d.Name] = g.Name
		}
	}
}

func (m *Manager) groupState(group string) *groupState {
	gs, ok := m.groups[group]
	if !ok {
		seed := m.cfg.Seed ^ xxhash.Sum64String(m.cfg.Self.Name+"/"+group)
		gs = &groupState{group: group, detector: NewDetector(m.cfg.Thresholds), backoff: NewCandidateBackoff(seed)}
		m.groups[group] = gs
	}
	return gs
}

func newView(g directory.Group) View {
	v := View{Term: g.Term, Primary: g.Primary, Members: make([]string, len(g.Databases))}
	for i, d := range g.Databases {
		v.Members[i] = d.Name
	}
	return v
}

// updateDirectory reports a newer term or primary found on the databases to the
// directory.
func (m *Manager) updateDirectory(g directory.Group, v View) {
	if v.Term > g.Term || (v.Term == g.Term && v.Primary != "" && v.Primary != g.Primary) {
		m.cfg.Directory.LearnPrimary(g.Name, v.Term, v.Primary)
	}
}

// Vote answers the request of another instance that suspects the primary of a
// group. It is the Vote call of the Pool service.
func (m *Manager) Vote(_ context.Context, req *wire.VoteRequest) (*wire.VoteResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gs, ok := m.groups[req.GetGroup()]
	if !ok {
		return &wire.VoteResponse{Databases: m.cfg.Statuses(req.GetGroup())}, nil
	}
	vote := gs.vote(m.cfg.Clock.Now())
	resp := &wire.VoteResponse{Suspect: vote.Suspect && gs.detector.View().Term <= req.GetTerm()}
	for _, h := range vote.Health {
		s := wire.NewStatus(h.Database, h.Status)
		s.Reachable = h.Reachable
		resp.Databases = append(resp.Databases, s)
	}
	return resp, nil
}

func (gs *groupState) vote(now time.Time) InstanceVote {
	return InstanceVote{Suspect: gs.detector.Suspect(now), Health: gs.detector.Health(now)}
}

func (m *Manager) recordEvent(group, database, text string) {
	m.cfg.Events.Record(events.Event{Kind: events.KindPromotion, Group: group, Database: database, Text: text})
}
