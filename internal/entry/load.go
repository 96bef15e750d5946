package entry

import (
	"sync"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Limits of shedding before the hop.
const (
	// loadLifetime is how long a reported load counts. A queue that was not
	// heard of for longer may have drained.
	loadLifetime = 1 * time.Second
	// probeEvery lets one of so many requests through while a database is
	// overloaded, so that the estimate recovers.
	probeEvery = 20
)

// loads holds the last reported load of each database.
type loads struct {
	mu sync.RWMutex
	by map[string]*load
}

type load struct {
	mu    sync.Mutex
	at    time.Time
	waits map[string]time.Duration // by rank
	shed  int
}

func newLoads() *loads { return &loads{by: make(map[string]*load)} }

func (l *loads) get(database string) *load {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.by[database]
}

// learn takes the load that came with an answer.
func (l *loads) learn(v *wire.Load, now time.Time) {
	if v.GetDatabase() == "" {
		return
	}
	d := l.get(v.GetDatabase())
	if d == nil {
		l.mu.Lock()
		if d = l.by[v.GetDatabase()]; d == nil {
			d = &load{waits: make(map[string]time.Duration, len(v.GetRanks()))}
			l.by[v.GetDatabase()] = d
		}
		l.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = now
	for _, r := range v.GetRanks() {
		d.waits[r.GetRank()] = time.Duration(r.GetWaitMs()) * time.Millisecond
	}
}

// wait returns the wait that a database last reported for a rank, or 0 if that
// is not known.
func (l *loads) wait(database string, rank catalog.Rank, now time.Time) time.Duration {
	d := l.get(database)
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.at) > loadLifetime {
		return 0
	}
	return d.waits[string(rank)]
}

// exceeds reports whether a request of the rank would wait longer than left.
func (l *loads) exceeds(database string, rank catalog.Rank, left time.Duration, now time.Time) (time.Duration, bool) {
	d := l.get(database)
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := d.waits[string(rank)]
	if wait <= left || now.Sub(d.at) > loadLifetime {
		return 0, false
	}
	d.shed++
	return wait, d.shed%probeEvery != 0
}

// Limits of health marks.
const (
	databaseFailures = 3 // failures in a row after which a database is avoided
	instanceFailures = 1
	firstAvoid       = 100 * time.Millisecond
	maxAvoid         = 500 * time.Millisecond // bounds what an avoided database adds to an outage
)

// health avoids databases and instances that failed in a row. After the time to
// avoid one, a single request probes it; so a full outage gets a few probes a
// second instead of every request.
type health struct {
	mu sync.Mutex
	by map[string]*mark
}

type mark struct {
	failures int
	avoid    time.Duration
	until    time.Time
}

func newHealth() *health { return &health{by: make(map[string]*mark)} }

// allows reports whether name may be tried. If it returns true for a name that
// was avoided, the caller is the probe.
func (h *health) allows(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.by[name]
	if m == nil || m.until.IsZero() {
		return true
	}
	if now.Before(m.until) {
		return false
	}
	m.until = now.Add(m.avoid)
	return true
}

// learn takes the result of an attempt.
func (h *health) learn(at attempt, failure *result.Error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch code := codeOf(failure); {
	case code == result.InstanceDown:
		h.fail(at.address, instanceFailures, now)
		return
	case code == result.DatabaseDown:
		h.fail(at.target.Database.Name, databaseFailures, now)
	case failure == nil:
		delete(h.by, at.target.Database.Name)
	}
	if failure == nil || failure.Code != result.OutcomeUnknown {
		delete(h.by, at.address)
	}
}

func (h *health) fail(name string, limit int, now time.Time) {
	m := h.by[name]
	if m == nil {
		m = &mark{}
		h.by[name] = m
	}
	m.failures++
	if m.failures < limit {
		return
	}
	m.avoid = min(max(2*m.avoid, firstAvoid), maxAvoid)
	m.until = now.Add(m.avoid)
}
