// Package retry decides whether and when an attempt may be repeated. A budget
// per class bounds the load that retries add, and back-off with full jitter
// spreads them.
//
// golang.org/x/time/rate earns tokens by time and cenkalti/backoff draws from
// the global random source; both would make a decision depend on more than its
// inputs, so neither is used here.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of a budget.
const (
	// EarnedPerRequest is the share of a retry that each request earns, so
	// that retries add at most 10 % to the load.
	EarnedPerRequest = 0.1
	// Burst is the largest number of retries that a class saves up. It is also
	// what a class starts with, so that a class with little traffic can retry.
	Burst = 10
)

// budgetScale is the number of budget units that one retry costs.
const budgetScale = 10

// Budget bounds the retries of one class. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	units int
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{units: Burst * budgetScale} }

// Earn records a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.units+EarnedPerRequest*budgetScale, Burst*budgetScale)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.units < budgetScale {
		return false
	}
	b.units -= budgetScale
	return true
}

// Budgets holds one budget per class. It is safe for concurrent use.
type Budgets struct {
	mu      sync.RWMutex
	classes map[string]*Budget
}

// NewBudgets returns an empty set; a class gets a full budget at first use.
func NewBudgets() *Budgets { return &Budgets{classes: make(map[string]*Budget)} }

// Class returns the budget of a class.
func (b *Budgets) Class(name string) *Budget {
	b.mu.RLock()
	v := b.classes[name]
	b.mu.RUnlock()
	if v != nil {
		return v
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v = b.classes[name]; v == nil {
		v = NewBudget()
		b.classes[name] = v
	}
	return v
}

// Backoff computes waits between attempts: a random time below a ceiling that
// doubles from Base to Max.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the wait before retry n, counted from 0.
func (b Backoff) Delay(n int, r *rand.Rand) time.Duration {
	ceiling := b.Max
	if n < 32 && b.Base<<n < b.Max && b.Base<<n > 0 {
		ceiling = b.Base << n
	}
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(r.Int64N(int64(ceiling)))
}
