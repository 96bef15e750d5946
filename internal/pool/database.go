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
	// controlConnections is how many control connections a unit may hold: one
	// waits for the next position, one answers questions about the present.
	controlConnections = 2
	// remoteLimitDivisor divides the connections of an owner that stands in for
	// another data centre.
	remoteLimitDivisor = 4
	// warmConnections is how many connections an active owner keeps open, so
	// that urgent work does not wait 12 ms for a new one.
	warmConnections = 2
)

// peerDatabase is another database of the group and who answers for it.
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
	keysTableTerm atomic.Uint64 // term at which the table of request keys was used
	lastKeyExpiry time.Time     // of the last removal of request keys; maintenance only
	peers         atomic.Pointer[[]peerDatabase]

	mu      sync.Mutex
	state   databaseState
	changed chan struct{} // closed when seen changes
	active  map[string]*activeRequest
	closed  bool // no background work may start
}

// databaseState is the latest status of a database.
type databaseState struct {
	status    backend.Status
	reachable bool // a status was seen and the control connection works
	failed    bool // the last attempt to get a status failed
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

// connectionLimit returns how many work connections one owner may open.
func connectionLimit(all int, remote bool) int {
	n := all/ownership.OwnersPerDatabase - controlConnections
	if remote {
		n /= remoteLimitDivisor
	}
	return max(n, 1)
}

// isRemoteOwner reports whether the instance stands in for another data centre.
func (p *Pool) isRemoteOwner(db platform.Database) bool {
	_, remote := ownership.OwnersOf(db.Name, db.DataCentre, p.cfg.Directory.Live())
	return remote
}

// updateFromDirectory takes what the directory says of the database and its group.
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

// spawn runs f in the background unless the unit was shut.
func (d *ownedDatabase) spawn(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.background.Go(f)
	return true
}

// retire stops new work. Requests and transactions in flight continue.
func (d *ownedDatabase) retire() {
	if !d.retired.Swap(true) {
		d.conns.dropIdle()
	}
}

// close closes everything and waits for background work.
func (d *ownedDatabase) close() {
	d.cancel()
	d.conns.close()
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.background.Wait()
	d.prober.close()
}

// setStatus records a status from a control connection.
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

// currentState returns the latest status and a channel that is closed when it changes.
func (d *ownedDatabase) currentState() (databaseState, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// isLeaving reports whether the database takes no new work.
func (d *ownedDatabase) isLeaving() bool {
	if d.leaving.Load() {
		return true
	}
	state, _ := d.currentState()
	return state.reachable && state.status.Leaving
}

// awaitReady refuses new work that the database must not or cannot take now. A
// database whose first status is not known yet is waited for.
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
			return result.Errorf(result.DatabaseDown, "database %s follows no primary", d.info.Name)
		case state.reachable:
			return nil
		case state.failed:
			return result.Errorf(result.DatabaseDown, "database %s does not answer", d.info.Name)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.Errorf(result.DeadlineBeforeRun, "database %s was not seen in time: %w", d.info.Name, ctx.Err())
		}
	}
}

// maintain does what is due at now.
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
