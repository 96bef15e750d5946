package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against retries that multiply the load during an outage: once the burst
// is used up, a class whose requests all ask for retries gets one per ten requests.
func TestBudgetLimitsRetryRatio(t *testing.T) {
	const requests = 10000
	b := NewBudgets().Class("c")
	retries := 0
	for range requests {
		b.Earn()
		for range 5 {
			if b.Spend() {
				retries++
			}
		}
	}
	// The first request earns nothing, because the budget starts full.
	if want := (requests-1)/10 + Burst; retries != want {
		t.Errorf("%d retries for %d requests, want %d", retries, requests, want)
	}
}

// Guards against delays above the ceiling, delays that do not grow and delays that
// are equal for all callers.
func TestBackoffDelay(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	r := rand.New(rand.NewPCG(1, 2))
	for n, ceiling := range map[int]time.Duration{0: 10, 1: 20, 3: 80, 4: 100, 200: 100} {
		seen := make(map[time.Duration]bool)
		longest := time.Duration(0)
		for range 1000 {
			w := b.Delay(n, r)
			seen[w] = true
			longest = max(longest, w)
		}
		if longest >= ceiling*time.Millisecond || longest < ceiling*time.Millisecond*9/10 || len(seen) < 900 {
			t.Errorf("retry %d: longest delay %s, %d distinct delays, ceiling %dms", n, longest, len(seen), ceiling)
		}
	}
	if w := (Backoff{}).Delay(3, r); w != 0 {
		t.Errorf("delay of the zero Backoff is %s, want 0", w)
	}
}
