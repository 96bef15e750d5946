package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"geraniumbeam/internal/catalog"
)

// Faults can be changed at run time. The zero value is a healthy platform.
type Faults struct {
	// Outage closes each connection without an answer.
	Outage bool `json:"outage,omitempty"`
	// FlapUp and FlapDown alternate between healthy and Outage, if both are
	// set.
	FlapUp   catalog.Duration `json:"flap_up,omitempty" validate:"gte=0"`
	FlapDown catalog.Duration `json:"flap_down,omitempty" validate:"gte=0"`
	// Latency is added to each answer.
	Latency catalog.Duration `json:"latency,omitempty" validate:"gte=0"`
	// LostPuts is the share of Put and Delete calls whose answer is lost after
	// the change took effect.
	LostPuts float64 `json:"lost_puts,omitempty" validate:"gte=0,lte=1"`
	// OldReads is the share of Get and List calls that see the store as it was
	// OldAge ago.
	OldReads float64          `json:"old_reads,omitempty" validate:"gte=0,lte=1"`
	OldAge   catalog.Duration `json:"old_age,omitempty" validate:"gte=0"`
	// ListLag replaces the lag of the instance list if it is set.
	ListLag *catalog.Duration `json:"list_lag,omitempty"`
}

type faultState struct {
	now func() time.Time

	mu      sync.Mutex
	current Faults
	since   time.Time
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

// down reports whether the platform does not answer now.
func (f *faultState) down() bool {
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

func (f *faultState) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

// readAge returns how old the data of this read is.
func (f *faultState) readAge() time.Duration {
	v, _ := f.get()
	if v.OldReads > 0 && f.chance(v.OldReads) {
		return v.OldAge.Std()
	}
	return 0
}
