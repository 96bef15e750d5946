package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/platform"
)

// period is a time in which an instance was listed with the same values.
type period struct {
	platform.Instance
	from  time.Time
	until time.Time // zero: still listed
	beat  time.Time // zero: not kept by heartbeats
}

func (p period) covers(at time.Time, ttl time.Duration) bool {
	if p.from.After(at) || (!p.until.IsZero() && !p.until.After(at)) {
		return false
	}
	return p.beat.IsZero() || p.beat.Add(ttl).After(at)
}

// instanceList shows changes only after a lag. It is safe for concurrent use.
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

// set lists an instance from a time on. With heartbeat it stays listed only for
// the time to live after the latest call.
func (l *instanceList) set(in platform.Instance, heartbeat bool, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	next := period{Instance: in, from: from}
	if heartbeat {
		next.beat = now
	}
	ps := l.periods[in.Name]
	if n := len(ps); n > 0 && ps[n-1].covers(now, l.ttl) {
		last := &ps[n-1]
		if last.Instance == in {
			last.beat = next.beat
			return
		}
		last.until = from
	}
	l.periods[in.Name] = append(l.prune(ps), next)
}

// remove ends an instance's entry.
func (l *instanceList) remove(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	ps := l.periods[name]
	if n := len(ps); n > 0 && ps[n-1].covers(now, l.ttl) {
		ps[n-1].until = now
		return true
	}
	return false
}

func (l *instanceList) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// view returns the list as it was lag ago, by name.
func (l *instanceList) view() []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.now().Add(-l.lag)
	out := []platform.Instance{}
	for name, ps := range l.periods {
		for _, p := range ps {
			if p.covers(at, l.ttl) {
				out = append(out, p.Instance)
				break
			}
		}
		l.periods[name] = l.prune(ps)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// historyTime is how long ended entries are kept, so that a longer lag can be
// set later.
const historyTime = 10 * time.Minute

func (l *instanceList) prune(ps []period) []period {
	oldest := l.now().Add(-l.lag - historyTime)
	return slices.DeleteFunc(ps, func(p period) bool { return !p.until.IsZero() && p.until.Before(oldest) })
}
