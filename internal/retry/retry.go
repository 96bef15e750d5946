// Package retry decides whether and when a request is retried. A retry budget per
// class bounds the load that retries add, and exponential back-off with full
// jitter spreads them over time.
//
// golang.org/x/time/rate refills its tokens by time, and cenkalti/backoff uses the
// global random source. With either, a decision would depend on more than its
// inputs, so neither is used here.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of a budget.
const (
	// EarnedPerRequest is the fraction of a retry that each request adds to the
	// budget. It limits the load that retries add in the long run to 10 %.
	EarnedPerRequest = 0.1
	// Burst is the maximum and the initial budget in retries. A class with little
	// traffic can retry because its budget starts full.
	Burst = 10
)

// unitsPerRetry is the number of budget units that one retry costs. The balance is
// counted in units so that it stays an integer.
const unitsPerRetry = 10

// Budget bounds the retries of one class. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance int // in units
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{balance: Burst * unitsPerRetry} }

// Earn adds the share of one request to the budget.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+EarnedPerRequest*unitsPerRetry, Burst*unitsPerRetry)
}

// Spend takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unitsPerRetry {
		return false
	}
	b.balance -= unitsPerRetry
	return true
}

// Budgets holds one budget per class. It is safe for concurrent use.
type Budgets struct {
	mu      sync.RWMutex
	classes map[string]*Budget
}

// NewBudgets returns a set without budgets; Class creates them.
func NewBudgets() *Budgets { return &Budgets{classes: make(map[string]*Budget)} }

// Class returns the budget of a class. It creates a full budget on the first call.
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

// Backoff computes retry delays: a random time below a ceiling that doubles with
// each retry from Base to Max.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before retry n, counted from 0.
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
