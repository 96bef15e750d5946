package distance

import (
	"sync"
	"time"
)

const (
	// fallWeight and riseWeight are the weights of a measurement in the smoothed time. A
	// measurement also contains delays by the instances at both ends, so a shorter one
	// is closer to the time on the way.
	fallWeight = 0.5
	riseWeight = 0.05
	// maxAge is how long a measured time is used. A change of the network's paths is
	// noticed by the next exchanges; without any, the default is as good.
	maxAge = 60 * time.Second
)

// Times holds the measured round-trip times from one data centre to the others. It is
// safe for concurrent use.
type Times struct {
	regions Regions
	own     string

	mu       sync.Mutex
	measured map[string]measurement // by data centre
}

type measurement struct {
	smoothed time.Duration
	at       time.Duration
}

// NewTimes returns the times from the data centre own, without measurements.
func NewTimes(regions Regions, own string) *Times {
	return &Times{regions: regions, own: own, measured: make(map[string]measurement)}
}

// Tier returns the tier of a data centre.
func (t *Times) Tier(dataCentre string) Tier { return t.regions.Tier(t.own, dataCentre) }

// Observe records a round trip to a data centre.
func (t *Times) Observe(dataCentre string, took, now time.Duration) {
	if took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.measured[dataCentre]
	switch {
	case !known || now-m.at > maxAge:
		m.smoothed = took
	case took < m.smoothed:
		m.smoothed -= time.Duration(float64(m.smoothed-took) * fallWeight)
	default:
		m.smoothed += time.Duration(float64(took-m.smoothed) * riseWeight)
	}
	m.at = now
	t.measured[dataCentre] = m
}

// RoundTrip returns the round-trip time to a data centre and the age of its latest
// measurement. Without a recent measurement it returns the default of the tier and false.
func (t *Times) RoundTrip(dataCentre string, now time.Duration) (took, age time.Duration, measured bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.measured[dataCentre]
	if !known || now-m.at > maxAge {
		return t.Tier(dataCentre).RoundTrip(), 0, false
	}
	return m.smoothed, now - m.at, true
}
