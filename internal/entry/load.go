package entry

import (
	"sync"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/wire"
)

// Limits of load shedding before a request is sent to a pool.
const (
	// loadLifetime is how long a reported load is used. A queue whose last
	// report is older may be empty by now.
	loadLifetime = 1 * time.Second
	// probeInterval is the number of requests of which one is sent although the
	// database is overloaded. Without these no answer would bring a new load
	// report.
	probeInterval = 20
)

// reportedLoads holds the last reported load of each database.
type reportedLoads struct {
	mu         sync.RWMutex
	byDatabase map[string]*databaseLoad
}

type databaseLoad struct {
	mu         sync.Mutex
	reportedAt time.Time
	waits      map[string]time.Duration // by rank
	overLimit  int                      // requests whose wait exceeded their time left
}

func newReportedLoads() *reportedLoads {
	return &reportedLoads{byDatabase: make(map[string]*databaseLoad)}
}

func (l *reportedLoads) get(database string) *databaseLoad {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byDatabase[database]
}

// update stores the load that a pool reported with an answer.
func (l *reportedLoads) update(v *wire.Load, now time.Time) {
	if v.GetDatabase() == "" {
		return
	}
	d := l.get(v.GetDatabase())
	if d == nil {
		l.mu.Lock()
		if d = l.byDatabase[v.GetDatabase()]; d == nil {
			d = &databaseLoad{waits: make(map[string]time.Duration, len(v.GetRanks()))}
			l.byDatabase[v.GetDatabase()] = d
		}
		l.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportedAt = now
	for _, r := range v.GetRanks() {
		d.waits[r.GetRank()] = time.Duration(r.GetWaitMs()) * time.Millisecond
	}
}

// wait returns the queue wait that a database last reported for a rank, or 0 if
// there is no recent report.
func (l *reportedLoads) wait(database string, rank catalog.Rank, now time.Time) time.Duration {
	d := l.get(database)
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.reportedAt) > loadLifetime {
		return 0
	}
	return d.waits[string(rank)]
}

// waitExceeds returns the expected queue wait of a request of the rank, and
// whether the request must be shed because the wait is longer than left.
func (l *reportedLoads) waitExceeds(database string, rank catalog.Rank, left time.Duration, now time.Time) (time.Duration, bool) {
	d := l.get(database)
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := d.waits[string(rank)]
	if wait <= left || now.Sub(d.reportedAt) > loadLifetime {
		return 0, false
	}
	d.overLimit++
	return wait, d.overLimit%probeInterval != 0
}
