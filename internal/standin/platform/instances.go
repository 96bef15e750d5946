package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/platform"
)

// period is a time span in which an instance was listed with the same values.
type period struct {
	platform.Instance
	from          time.Time
	until         time.Time // zero: still listed
	lastHeartbeat time.Time // zero: does not expire
}

// covers reports whether the instance was listed at a time. An instance that
// sends heartbeats is listed for ttl after the last one.
func (p period) covers(at time.Time, ttl time.Duration) bool {
	if p.from.After(at) || (!p.until.IsZero() && !p.until.After(at)) {
		return false
	}
	return p.lastHeartbeat.IsZero() || p.lastHeartbeat.Add(ttl).After(at)
}

// instanceList is the list of instances. Readers see each change after a lag. It
// is safe for concurrent use.
type instanceList struct {
	now func() time.Time
	ttl time.Duration

	mu      sync.Mutex
	lag     time.Duration
	periods map[string][]period // oldest first
}

func newInstanceList(now func() time.Time, lag, ttl time.Duration) *instanceList {
	return &instanceList{now: now, lag: lag, ttl: ttl, periods: make(map[string][]period)}
}

// set lists an instance from the given time. With heartbeat, the entry expires
// when the time to live has passed since the last call.
func (l *instanceList) set(in platform.Instance, heartbeat bool, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	next := period{Instance: in, from: from}
	if heartbeat {
		next.lastHeartbeat = now
	}
	periods := l.periods[in.Name]
	if n := len(periods); n > 0 && periods[n-1].covers(now, l.ttl) {
		last := &periods[n-1]
		if last.Instance == in {
			last.lastHeartbeat = next.lastHeartbeat
			return
		}
		last.until = from
	}
	l.periods[in.Name] = append(l.prune(periods), next)
}

// remove ends an instance's entry now. It reports whether there was one.
func (l *instanceList) remove(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	periods := l.periods[name]
	if n := len(periods); n > 0 && periods[n-1].covers(now, l.ttl) {
		periods[n-1].until = now
		return true
	}
	return false
}

func (l *instanceList) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// list returns the instances that were listed lag ago, sorted by name.
func (l *instanceList) list() []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.now().Add(-l.lag)
	out := []platform.Instance{}
	for name, periods := range l.periods {
		for _, p := range periods {
			if p.covers(at, l.ttl) {
				out = append(out, p.Instance)
				break
			}
		}
		l.periods[name] = l.prune(periods)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// historyRetention is how long ended periods are kept beyond the current lag, so
// that the lag can be raised at run time.
const historyRetention = 10 * time.Minute

func (l *instanceList) prune(periods []period) []period {
	oldest := l.now().Add(-l.lag - historyRetention)
	return slices.DeleteFunc(periods, func(p period) bool { return !p.until.IsZero() && p.until.Before(oldest) })
}
