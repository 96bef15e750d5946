package dbpool

import (
	"sync"
	"time"

	"geraniumbeam/internal/placement"
)

// occupation is how many connections of a database the requests of this instance's callers
// use through owners, by organisation. Each instance has about an equal share of the
// callers, so it estimates the use by all of them from its own. It is safe for concurrent
// use.
type occupation struct {
	mu   sync.Mutex
	uses map[string]*placement.Use // in seconds of use
}

// add records that a request of an organisation has used a connection for a time.
func (o *occupation) add(now time.Duration, organisation string, held time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.uses[organisation]
	if u == nil {
		if o.uses == nil || len(o.uses) >= maxUses {
			o.uses = make(map[string]*placement.Use)
		}
		u = &placement.Use{}
		o.uses[organisation] = u
	}
	u.Add(now, held.Seconds())
}

// inUse returns the mean number of connections that an organisation uses.
func (o *occupation) inUse(now time.Duration, organisation string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	u := o.uses[organisation]
	if u == nil {
		return 0
	}
	return u.Rate(now)
}

// recordOccupation records the end of the lease, if its connection leads to an owner.
func (l *Lease) recordOccupation() {
	if l.organisation == "" {
		return
	}
	now := l.pool.now()
	l.pool.occupation.add(now, l.organisation, now-l.began)
}
