package dbpool

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one exchange in the moving average.
	latencyWeight = 0.15
	// latencyHalfLife is the time in which an average without new exchanges
	// falls by half, so that a database that was slow gets requests again.
	latencyHalfLife = 1 * time.Second
)

// decayingMean is an exponentially weighted moving average of the duration of
// exchanges. It decays while there are none.
type decayingMean struct {
	mean    float64 // nanoseconds
	updated time.Duration
}

func (m *decayingMean) add(took, now time.Duration) {
	if m.updated == 0 {
		m.mean = float64(took)
	} else {
		m.mean += (float64(took) - m.mean) * latencyWeight
	}
	m.updated = now
}

// at returns the average, decayed until now.
func (m *decayingMean) at(now time.Duration) time.Duration {
	idle := now - m.updated
	return time.Duration(m.mean * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
}
