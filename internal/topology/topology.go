// Package topology holds the routes, services and databases that an instance
// knows, and keeps them up to date from the store.
//
// Invariants: the version of the configuration never decreases while a process
// runs. A database that is leaving, or has left within departedRetention, is never
// listed as usable again under the same start time.
package topology

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/organisation"
)

// Consistency is the guarantee that a route gives about the age of its reads.
type Consistency uint8

// Consistencies.
const (
	FromPrimary    Consistency = iota // reads see every acknowledged commit
	BoundedAge                        // reads see all commits that are older than MaxAge
	ReadYourWrites                    // as BoundedAge, and the session's own commits
)

// Route maps the database name that a caller connects to to a service.
type Route struct {
	Database      string // the name that callers connect to
	Service       string
	Consistency   Consistency
	MaxAge        time.Duration // of reads from replicas
	Timeout       time.Duration // of one statement
	LatencyTarget time.Duration // latency objective of an operation
	Priority      int           // 0 is the most urgent
	// Public is set if callers without the key of an organisation may use the route.
	Public bool
}

// Service is a group of databases with one primary.
type Service struct {
	Name           string
	MaxConnections int // to one database, over all instances
	// SyncReplicas is the number of replicas that have received a commit when the
	// primary acknowledges it.
	SyncReplicas int
}

// Configuration is what the operators set.
type Configuration struct {
	Version       uint64
	Routes        map[string]Route // by Route.Database
	Services      map[string]Service
	TxIdleTimeout time.Duration // after which an idle transaction may be ended; 0 means no limit
	// Organisations is nil if the deployment has none: then keys are not checked and a
	// connection to a database serves all callers.
	Organisations []organisation.Organisation
}

// Database is the registration of a backend server.
type Database struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	Leaving     bool
	Primary     bool  // as the database reports it
	StartMillis int64 // start time in Unix milliseconds, as the database reports it

	// leavingSince is the earliest time at which the database may have reported that it
	// leaves, or leavingSinceUnknown.
	leavingSince time.Duration
	// knownSince is when the registration was first seen, or 0 if it was in the
	// first list after this instance started.
	knownSince time.Duration
}

// KnownFor returns how long the instance has known the registration. One that was
// in the first list counts as known since boot.
func (d Database) KnownFor(now time.Duration) time.Duration { return now - d.knownSince }

// leavingSinceUnknown stands for a report that may have been made at any time before this
// instance first saw it.
const leavingSinceUnknown = -24 * time.Hour

// LeavingFor returns how long the database has been leaving at most, counted from its
// report to the store, or 0 if it stays.
func (d Database) LeavingFor(now time.Duration) time.Duration {
	if !d.Leaving {
		return 0
	}
	return max(1, now-d.leavingSince)
}

// RemovalDelay is how long a database stays listed after its registration
// disappeared. Registrations that expired during a store outage are back within
// 2 s of its end.
const RemovalDelay = 2500 * time.Millisecond

type entry struct {
	Database
	missingSince time.Duration // 0: registered
}

// departedRetention is how long a database that has left is remembered. A store that
// is restored from a copy some seconds old may list it again as it was before.
const departedRetention = 10 * time.Minute

// departure describes a database that has left.
type departure struct {
	startMillis  int64
	leavingSince time.Duration
	removedAt    time.Duration
}

// lapsedRetention is how long a database counts as a member of its service after its
// registration disappeared although it was not leaving. One that crashed is back within
// seconds, with its log; one that is gone for good must not block its service for ever.
const lapsedRetention = 30 * time.Second

// lapse describes a database whose registration disappeared although it was not leaving.
type lapse struct {
	service   string
	removedAt time.Duration
}

// Topology is the state of one instance. It is safe for concurrent use.
type Topology struct {
	mu       sync.Mutex
	entries  map[string]entry
	departed map[string]departure // by id; databases that were removed while leaving
	lapsed   map[string]lapse     // by id; databases that were removed while they were not leaving
	listed   bool                 // whether the registrations were listed at least once
	changed  chan struct{}        // closed at each change

	current atomic.Pointer[Snapshot]
}

// Snapshot is an immutable view of a Topology.
type Snapshot struct {
	Configuration
	Databases map[string][]Database // by service; includes leaving ones
	// Directory finds the organisations of the configuration. It is nil if the deployment
	// has none.
	Directory *organisation.Directory
}

// New returns an empty topology.
func New() *Topology {
	t := &Topology{entries: make(map[string]entry), departed: make(map[string]departure), lapsed: make(map[string]lapse), changed: make(chan struct{})}
	t.current.Store(&Snapshot{})
	return t
}

// Snapshot returns the current view.
func (t *Topology) Snapshot() *Snapshot { return t.current.Load() }

// Changed returns a channel that is closed at the next change.
func (t *Topology) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Apply puts a configuration in force if it is newer than the current one, and
// reports whether it was.
func (t *Topology) Apply(c Configuration) bool {
	if c.Version <= t.Snapshot().Version {
		return false
	}
	var directory *organisation.Directory
	if c.Organisations != nil {
		directory = organisation.NewDirectory(c.Organisations)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Version <= t.current.Load().Version {
		return false
	}
	t.publish(c, directory)
	return true
}

// Register adds or updates one registration, which has changed now.
func (t *Topology) Register(d Database, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.register(d, now, now)
	t.publishDatabases()
}

// register is Register without publishing a snapshot, for a registration that has not
// changed before changedAfter. t.mu is held.
func (t *Topology) register(d Database, now, changedAfter time.Duration) {
	d.leavingSince = changedAfter
	old, known := t.entries[d.ID]
	switch {
	case known && old.StartMillis == d.StartMillis:
		d.knownSince = old.knownSince
	case t.listed:
		d.knownSince = now
	}
	if since, ok := t.leavingSince(d); ok {
		d.Leaving, d.leavingSince = true, since
	}
	t.entries[d.ID] = entry{Database: d}
	delete(t.lapsed, d.ID)
}

// leavingSince returns since when a database may have been leaving, and whether it is
// known to leave, whatever its registration says. t.mu is held.
func (t *Topology) leavingSince(d Database) (time.Duration, bool) {
	if old, known := t.entries[d.ID]; known && old.Leaving && old.StartMillis == d.StartMillis {
		return old.leavingSince, true
	}
	gone, known := t.departed[d.ID]
	return gone.leavingSince, known && gone.startMillis == d.StartMillis
}

// MarkLeaving returns the registrations with those marked that this instance knows to
// leave or to have left.
func (t *Topology) MarkLeaving(all []Database) []Database {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(all)
	for i, d := range out {
		_, leaving := t.leavingSince(d)
		out[i].Leaving = d.Leaving || leaving
	}
	return out
}

// unregister records that the store no longer has a registration. The database
// stays listed for RemovalDelay; see Expire. t.mu is held.
func (t *Topology) unregister(id string, now time.Duration) {
	e, ok := t.entries[id]
	if !ok || e.missingSince != 0 {
		return
	}
	e.missingSince = max(now, 1)
	t.entries[id] = e
}

// Replace applies a complete list of registrations. What differs from the list before it
// has changed after changedAfter, which is earlier than now if this instance was suspended
// or out of contact with the store.
func (t *Topology) Replace(all []Database, now, changedAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, d := range all {
		listed[d.ID] = true
		t.register(d, now, changedAfter)
	}
	for id := range t.entries {
		if !listed[id] {
			t.unregister(id, now)
		}
	}
	t.listed = true
	t.publishDatabases()
}

// Expire removes databases whose registrations have been missing for RemovalDelay
// and returns their ids. While the store is unavailable, StoreUnavailable must be
// called at least that often, so that nothing expires.
func (t *Topology) Expire(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []string
	for id, e := range t.entries {
		if e.missingSince != 0 && now-e.missingSince >= RemovalDelay {
			removed = append(removed, id)
			delete(t.entries, id)
			if e.Leaving {
				t.departed[id] = departure{e.StartMillis, e.leavingSince, now}
			} else {
				t.lapsed[id] = lapse{e.Service, now}
			}
		}
	}
	maps.DeleteFunc(t.lapsed, func(_ string, l lapse) bool { return now-l.removedAt > lapsedRetention })
	for id, gone := range t.departed {
		if now-gone.removedAt > departedRetention {
			delete(t.departed, id)
		}
	}
	if removed != nil {
		t.publishDatabases()
	}
	return removed
}

// Lapsed returns the ids of the databases of a service whose registrations disappeared
// within lapsedRetention although they were not leaving.
func (t *Topology) Lapsed(service string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, l := range t.lapsed {
		if l.service == service {
			ids = append(ids, id)
		}
	}
	return ids
}

// StoreUnavailable restarts the RemovalDelay of all missing registrations,
// because they can't reappear while the store is unavailable.
func (t *Topology) StoreUnavailable(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.missingSince != 0 {
			e.missingSince = max(now, 1)
			t.entries[id] = e
		}
	}
}

// publishDatabases publishes the databases under the current configuration. t.mu is held.
func (t *Topology) publishDatabases() {
	s := t.current.Load()
	t.publish(s.Configuration, s.Directory)
}

// publish stores a new snapshot and wakes the waiters. directory is that of c. t.mu is
// held.
func (t *Topology) publish(c Configuration, directory *organisation.Directory) {
	s := &Snapshot{Configuration: c, Databases: make(map[string][]Database), Directory: directory}
	for e := range maps.Values(t.entries) {
		s.Databases[e.Service] = append(s.Databases[e.Service], e.Database)
	}
	t.current.Store(s)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Find returns the database of a service with the given id.
func (s *Snapshot) Find(service, id string) (Database, bool) {
	for _, d := range s.Databases[service] {
		if d.ID == id {
			return d, true
		}
	}
	return Database{}, false
}
