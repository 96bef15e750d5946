package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"geraniumbeam/internal/catalog"
)

// Faults are the failures that the server simulates. They can be changed at run
// time; the zero value is a healthy platform.
type Faults struct {
	// Outage closes each connection without a response.
	Outage bool `json:"outage,omitempty"`
	// FlapUp and FlapDown make the platform alternate between healthy for
	// FlapUp and unavailable for FlapDown, if both are set.
	FlapUp   catalog.Duration `json:"flap_up,omitempty" validate:"gte=0"`
	FlapDown catalog.Duration `json:"flap_down,omitempty" validate:"gte=0"`
	// Latency is the delay added to each response.
	Latency catalog.Duration `json:"latency,omitempty" validate:"gte=0"`
	// LostPuts is the fraction of Put and Delete calls whose response is lost
	// after the change took effect.
	LostPuts float64 `json:"lost_puts,omitempty" validate:"gte=0,lte=1"`
	// OldReads is the fraction of Get and List calls that return stale data:
	// the store as it was OldAge ago.
	OldReads float64          `json:"old_reads,omitempty" validate:"gte=0,lte=1"`
	OldAge   catalog.Duration `json:"old_age,omitempty" validate:"gte=0"`
	// ListLag, if set, replaces the lag of the instance list.
	ListLag *catalog.Duration `json:"list_lag,omitempty"`
}

// faultState holds the current faults and decides at random which calls they
// affect. It is safe for concurrent use.
type faultState struct {
	now func() time.Time

	mu      sync.Mutex
	current Faults
	since   time.Time // start of the flap cycle
	random  *rand.Rand
	changed chan struct{} // closed at the next change
}

func newFaultState(now func() time.Time, seed uint64) *faultState {
	return &faultState{
		now: now, since: now(), changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (f *faultState) set(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current, f.since = v, f.now()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

// inOutage reports whether the platform is unavailable now.
func (f *faultState) inOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Outage {
		return true
	}
	up, down := f.current.FlapUp.Std(), f.current.FlapDown.Std()
	if up <= 0 || down <= 0 {
		return false
	}
	return f.now().Sub(f.since)%(up+down) >= up
}

// randomHit returns true with probability share.
func (f *faultState) randomHit(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

// readAge returns the staleness of the data for the next read.
func (f *faultState) readAge() time.Duration {
	v, _ := f.get()
	if v.OldReads > 0 && f.randomHit(v.OldReads) {
		return v.OldAge.Std()
	}
	return 0
}
