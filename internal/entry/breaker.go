package entry

import (
	"sync"
	"time"

	"geraniumbeam/internal/result"
)

// Limits of circuit breakers.
const (
	databaseFailureThreshold = 3 // consecutive failures that open a database's breaker
	instanceFailureThreshold = 1
	minOpenTime              = 100 * time.Millisecond
	maxOpenTime              = 500 * time.Millisecond // bounds how long a database stays unused after it has recovered
)

// breakers holds the circuit breakers of databases and instances, by name or
// address. Consecutive failures open a breaker. When its open time has passed, a
// single request probes the target, so that a complete outage sees a few probes a
// second instead of every request.
type breakers struct {
	mu     sync.Mutex
	byName map[string]*breaker
}

type breaker struct {
	consecutiveFailures int
	openFor             time.Duration
	openUntil           time.Time
}

func newBreakers() *breakers { return &breakers{byName: make(map[string]*breaker)} }

// allow reports whether name may be tried. If it returns true for a breaker
// that was open, the request is the probe.
func (b *breakers) allow(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	br := b.byName[name]
	if br == nil || br.openUntil.IsZero() {
		return true
	}
	if now.Before(br.openUntil) {
		return false
	}
	br.openUntil = now.Add(br.openFor)
	return true
}

// update records the result of an attempt: nil if it was answered.
func (b *breakers) update(at attempt, failure *result.Error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch code := codeOf(failure); {
	case code == result.InstanceDown:
		b.recordFailure(at.address, instanceFailureThreshold, now)
		return
	case code == result.DatabaseDown:
		b.recordFailure(at.target.Database.Name, databaseFailureThreshold, now)
	case failure == nil:
		delete(b.byName, at.target.Database.Name)
	}
	if failure == nil || failure.Code != result.OutcomeUnknown {
		delete(b.byName, at.address)
	}
}

func (b *breakers) recordFailure(name string, limit int, now time.Time) {
	br := b.byName[name]
	if br == nil {
		br = &breaker{}
		b.byName[name] = br
	}
	br.consecutiveFailures++
	if br.consecutiveFailures < limit {
		return
	}
	br.openFor = min(max(2*br.openFor, minOpenTime), maxOpenTime)
	br.openUntil = now.Add(br.openFor)
}
