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
	// remoteShare divides the connections of an owner that stands in for
	// another data centre.
	remoteShare = 4
	// warmConnections is how many connections an active owner keeps open, so
	// that urgent work does not wait 12 ms for a new one.
	warmConnections = 2
)

// peer is another database of the group and who answers for it.
type peer struct {
	name       string
	dataCentre string
	owners     []ownership.Instance
}

// unit is the state of one owned database.
type unit struct {
	pool    *Pool
	group   string
	db      platform.Database
	backend backend.Database
	queue   *admission.Queue
	conns   *connSet
	prober  *prober
	confirm *confirmer
	ages    *history

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// inFlight counts requests and open transactions.
	inFlight inFlight

	retired atomic.Bool
	standby atomic.Bool
	leaving atomic.Bool   // according to the platform
	keyed   atomic.Uint64 // term at which the table of request keys was used
	swept   time.Time     // of the last removal of request keys; maintenance only
	peers   atomic.Pointer[[]peer]

	mu      sync.Mutex
	seen    observation
	changed chan struct{} // closed when seen changes
	running map[string]*running
	ended   bool // no background work may start
}

// observation is the latest status of a database.
type observation struct {
	status backend.Status
	known  bool // a status was seen and the control connection works
	failed bool // the last attempt to get a status failed
}

func newUnit(ctx context.Context, p *Pool, group string, db platform.Database) *unit {
	u := &unit{
		pool: p, group: group, db: db,
		backend: p.cfg.Open(db),
		changed: make(chan struct{}),
		running: make(map[string]*running),
		swept:   p.cfg.Clock.Now(),
	}
	u.inFlight.init()
	u.ctx, u.cancel = context.WithCancel(ctx)
	limit := connectionLimit(p.cfg.Settings.Database.ConnectionLimit, p.remote(db))
	u.conns = newConnSet(u, limit)
	u.queue = admission.New(admission.Config{
		Clock: p.cfg.Clock, MaxConcurrency: limit,
		Policy: admission.Policy(p.cfg.Settings.Unsafe.AdmissionPolicy),
	})
	u.prober = newProber(u)
	u.confirm = newConfirmer(u)
	u.ages = newHistory(u)
	u.peers.Store(&[]peer{})
	return u
}

// connectionLimit returns how many work connections one owner may open.
func connectionLimit(all int, remote bool) int {
	n := all/ownership.OwnersPerDatabase - controlConnections
	if remote {
		n /= remoteShare
	}
	return max(n, 1)
}

// remote reports whether the instance stands in for another data centre.
func (p *Pool) remote(db platform.Database) bool {
	_, remote := ownership.OwnersOf(db.Name, db.DataCentre, p.cfg.Directory.Live())
	return remote
}

// update takes what the directory says of the database and its group.
func (u *unit) update(g directory.Group, db platform.Database, index int) {
	u.standby.Store(index > 0)
	u.leaving.Store(db.Leaving)
	peers := make([]peer, 0, len(g.Databases))
	for _, d := range g.Databases {
		if d.Name != u.db.Name {
			peers = append(peers, peer{name: d.Name, dataCentre: d.DataCentre, owners: u.pool.cfg.Directory.Owners(d)})
		}
	}
	u.peers.Store(&peers)
}

func (u *unit) start() {
	u.spawn(u.follow)
}

// spawn runs f in the background unless the unit was shut.
func (u *unit) spawn(f func()) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return false
	}
	u.background.Go(f)
	return true
}

// retire stops new work. Requests and transactions in flight continue.
func (u *unit) retire() {
	if !u.retired.Swap(true) {
		u.conns.dropIdle()
	}
}

// shut closes everything and waits for background work.
func (u *unit) shut() {
	u.cancel()
	u.conns.close()
	u.mu.Lock()
	u.ended = true
	u.mu.Unlock()
	u.background.Wait()
	u.prober.close()
}

// observe records a status from a control connection.
func (u *unit) observe(s backend.Status) {
	u.mu.Lock()
	old := u.seen
	u.seen = observation{status: s, known: true}
	if old != u.seen {
		close(u.changed)
		u.changed = make(chan struct{})
	}
	u.mu.Unlock()
	if s.Role == backend.RolePrimary && (old.status.Role != s.Role || old.status.Term != s.Term) {
		u.pool.cfg.Directory.LearnPrimary(u.group, s.Term, u.db.Name)
	}
}

// lose records that the database does not answer.
func (u *unit) lose() {
	u.mu.Lock()
	u.seen.known, u.seen.failed = false, true
	close(u.changed)
	u.changed = make(chan struct{})
	u.mu.Unlock()
	u.conns.dropIdle()
}

// look returns the latest status and a channel that is closed when it changes.
func (u *unit) look() (observation, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen, u.changed
}

// isLeaving reports whether the database takes no new work.
func (u *unit) isLeaving() bool {
	if u.leaving.Load() {
		return true
	}
	seen, _ := u.look()
	return seen.known && seen.status.Leaving
}

// admits refuses new work that the database must not or cannot take now. A
// database whose first status is not known yet is waited for.
func (u *unit) admits(ctx context.Context, wantPrimary bool) error {
	for {
		if u.retired.Load() {
			return result.Errorf(result.NotOwner, "database %s is owned by another instance", u.db.Name)
		}
		if u.leaving.Load() {
			return result.Errorf(result.DatabaseLeaving, "database %s is leaving", u.db.Name)
		}
		seen, changed := u.look()
		switch {
		case seen.known && seen.status.Leaving:
			return result.Errorf(result.DatabaseLeaving, "database %s is leaving", u.db.Name)
		case seen.known && wantPrimary && seen.status.Role != backend.RolePrimary:
			return result.Errorf(result.NotPrimary, "database %s is %s at term %d", u.db.Name, seen.status.Role, seen.status.Term)
		case seen.known && !wantPrimary && seen.status.Role == backend.RoleFenced:
			return result.Errorf(result.DatabaseDown, "database %s follows no primary", u.db.Name)
		case seen.known:
			return nil
		case seen.failed:
			return result.Errorf(result.DatabaseDown, "database %s does not answer", u.db.Name)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.Errorf(result.DeadlineBeforeRun, "database %s was not seen in time: %w", u.db.Name, ctx.Err())
		}
	}
}

// maintain does what is due at now.
func (u *unit) maintain(now time.Time) {
	if u.leaving.Load() || u.isLeaving() {
		u.pool.transactions.bound(u, now.Add(u.pool.cfg.Settings.DrainTimeout.Std()))
	}
	seen, _ := u.look()
	if !seen.known || u.retired.Load() {
		return
	}
	warm := warmConnections
	if u.standby.Load() {
		warm = 0
	}
	u.conns.maintain(now, warm)
	u.sweep(now)
}
