package dbpool

import (
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/result"
)

// busyPeriod is the mean time for which an instance passes over an owner that had no
// connection for a request. The owner dials again 30 ms after a refusal on average.
const busyPeriod = 100 * time.Millisecond

// observeRefusal records that a request of an organisation got no connection because all
// are in use or the database is at its limit. An owner that has lost its last connection at
// the limit gets none until another one closes some, while the others can replace idle ones.
func (p *Pool) observeRefusal(organisation string, err error) {
	if organisation == "" || err == nil || !result.Is(err, result.ConnectionsBusy) {
		return
	}
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyUntil = now + busyPeriod/2 + rand.N(busyPeriod) // jitter, so that instances do not return together
}

// isBusy reports whether requests of organisations should prefer another owner.
func (p *Pool) isBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busyUntil != 0 && p.now() < p.busyUntil
}

// withoutBusy leaves out the pools that are busy, unless all are.
func withoutBusy(pools []*Pool, names []string) ([]*Pool, []string) {
	var free []*Pool
	var freeNames []string
	for i, pool := range pools {
		if !pool.isBusy() {
			free, freeNames = append(free, pool), append(freeNames, names[i])
		}
	}
	if len(free) == 0 {
		return pools, names
	}
	return free, freeNames
}
