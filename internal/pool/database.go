package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

const (
	// controlConnections is the number of control connections per database: one
	// waits for the next log position, one reads the current status on demand.
	controlConnections = 2
	// remoteLimitDivisor reduces the connection limit of an owner outside the
	// database's data centre.
	remoteLimitDivisor = 4
	// warmConnections is the number of connections that an active owner keeps
	// open. Opening one takes about 12 ms, too long for urgent requests.
	warmConnections = 2
)

// peerDatabase is another database of the group and the instances that own it.
type peerDatabase struct {
	name       string
	dataCentre string
	owners     []ownership.Instance
}

// ownedDatabase is the state of one owned database.
type ownedDatabase struct {
	pool      *Pool
	group     string
	info      platform.Database
	backend   backend.Database
	queue     *admission.Queue
	conns     *connSet
	prober    *prober
	confirmer *confirmer
	history   *positionHistory

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// inFlight counts requests and open transactions.
	inFlight inFlight

	retired       atomic.Bool
	standby       atomic.Bool
	leaving       atomic.Bool   // according to the platform
	keysTableTerm atomic.Uint64 // term at which the request key table is known to exist; 0: unknown
	lastKeyExpiry time.Time     // used by maintenance only
	peers         atomic.Pointer[[]peerDatabase]

	mu      sync.Mutex
	state   databaseState
	changed chan struct{} // closed when state changes
	active  map[string]*activeRequest
	closed  bool // no background work may be started
}

// databaseState is the latest known status of a database.
type databaseState struct {
	status    backend.Status
	reachable bool // a status was received and the control connection works
	failed    bool // the last attempt to read a status failed
}

func newOwnedDatabase(ctx context.Context, p *Pool, group string, db platform.Database) *ownedDatabase {
	d := &ownedDatabase{
		pool: p, group: group, info: db,
		backend:       p.cfg.Open(db),
		changed:       make(chan struct{}),
		active:        make(map[string]*activeRequest),
		lastKeyExpiry: p.cfg.Clock.Now(),
	}
	d.inFlight.init()
	d.ctx, d.cancel = context.WithCancel(ctx)
	limit := connectionLimit(p.cfg.Settings.Database.ConnectionLimit, p.isRemoteOwner(db))
	d.conns = newConnSet(d, limit)
	d.queue = admission.New(admission.Config{
		Clock: p.cfg.Clock, MaxConcurrency: limit,
		Policy: admission.Policy(p.cfg.Settings.Unsafe.AdmissionPolicy),
	})
	d.prober = newProber(d)
	d.confirmer = newConfirmer(d)
	d.history = newPositionHistory(d)
	d.peers.Store(&[]peerDatabase{})
	return d
}

// connectionLimit returns how many work connections one owner may open to a
// database that accepts databaseLimit connections.
func connectionLimit(databaseLimit int, remote bool) int {
	n := databaseLimit/ownership.OwnersPerDatabase - controlConnections
	if remote {
		n /= remoteLimitDivisor
	}
	return max(n, 1)
}

// isRemoteOwner reports whether the database's owners are outside its data
// centre because no instance there is live.
func (p *Pool) isRemoteOwner(db platform.Database) bool {
	_, remote := ownership.OwnersOf(db.Name, db.DataCentre, p.cfg.Directory.Live())
	return remote
}

// updateFromDirectory copies the directory's view of the database and its group.
// index is this instance's rank among the owners.
func (d *ownedDatabase) updateFromDirectory(g directory.Group, db platform.Database, index int) {
	d.standby.Store(index > 0)
	d.leaving.Store(db.Leaving)
	peers := make([]peerDatabase, 0, len(g.Databases))
	for _, member := range g.Databases {
		if member.Name != d.info.Name {
			peers = append(peers, peerDatabase{name: member.Name, dataCentre: member.DataCentre, owners: d.pool.cfg.Directory.Owners(member)})
		}
	}
	d.peers.Store(&peers)
}

func (d *ownedDatabase) start() {
	d.spawn(d.followStatus)
}

// spawn runs f in the background. It returns false if d is closed.
func (d *ownedDatabase) spawn(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.background.Go(f)
	return true
}

// retire stops new work. Requests and open transactions may finish.
func (d *ownedDatabase) retire() {
	if !d.retired.Swap(true) {
		d.conns.dropIdle()
	}
}

// close closes all connections and waits for background work.
func (d *ownedDatabase) close() {
	d.cancel()
	d.conns.close()
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.background.Wait()
	d.prober.close()
}

// setStatus records a status read from a control connection.
func (d *ownedDatabase) setStatus(s backend.Status) {
	d.mu.Lock()
	old := d.state
	d.state = databaseState{status: s, reachable: true}
	if old != d.state {
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mu.Unlock()
	if s.Role == backend.RolePrimary && (old.status.Role != s.Role || old.status.Term != s.Term) {
		d.pool.cfg.Directory.LearnPrimary(d.group, s.Term, d.info.Name)
	}
}

// setUnreachable records that the database does not answer.
func (d *ownedDatabase) setUnreachable() {
	d.mu.Lock()
	d.state.reachable, d.state.failed = false, true
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
	d.conns.dropIdle()
}

// currentState returns the latest state and a channel that is closed when it
// changes.
func (d *ownedDatabase) currentState() (databaseState, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// isLeaving reports whether the platform or the database itself says that the
// database takes no new work.
func (d *ownedDatabase) isLeaving() bool {
	if d.leaving.Load() {
		return true
	}
	state, _ := d.currentState()
	return state.reachable && state.status.Leaving
}

// awaitReady returns an error if the database cannot take new work. It waits for
// the first status of a database that was just opened.
func (d *ownedDatabase) awaitReady(ctx context.Context, wantPrimary bool) error {
	for {
		if d.retired.Load() {
			return result.Errorf(result.NotOwner, "database %s is owned by another instance", d.info.Name)
		}
		if d.leaving.Load() {
			return result.Errorf(result.DatabaseLeaving, "database %s is leaving", d.info.Name)
		}
		state, changed := d.currentState()
		switch {
		case state.reachable && state.status.Leaving:
			return result.Errorf(result.DatabaseLeaving, "database %s is leaving", d.info.Name)
		case state.reachable && wantPrimary && state.status.Role != backend.RolePrimary:
			return result.Errorf(result.NotPrimary, "database %s is %s at term %d", d.info.Name, state.status.Role, state.status.Term)
		case state.reachable && !wantPrimary && state.status.Role == backend.RoleFenced:
			return result.Errorf(result.DatabaseDown, "database %s is fenced and follows no primary", d.info.Name)
		case state.reachable:
			return nil
		case state.failed:
			return result.Errorf(result.DatabaseDown, "database %s is unreachable", d.info.Name)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.Errorf(result.DeadlineBeforeRun, "no status of database %s before the deadline: %w", d.info.Name, ctx.Err())
		}
	}
}

// maintain runs the maintenance tasks that are due at now.
func (d *ownedDatabase) maintain(now time.Time) {
	if d.leaving.Load() || d.isLeaving() {
		d.pool.transactions.setDeadline(d, now.Add(d.pool.cfg.Settings.DrainTimeout.Std()))
	}
	state, _ := d.currentState()
	if !state.reachable || d.retired.Load() {
		return
	}
	warm := warmConnections
	if d.standby.Load() {
		warm = 0
	}
	d.conns.maintain(now, warm)
	d.expireKeysIfDue(now)
}
