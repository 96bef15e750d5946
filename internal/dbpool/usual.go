package dbpool

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of one exchange in the moving average.
	usualWeight = 0.15
	// usualHalfLife is the time in which an average without new exchanges
	// falls by half, so that a database that was slow is tried again.
	usualHalfLife = 1 * time.Second
)

// usual is a moving average of the time that exchanges take.
type usual struct {
	mean    float64 // nanoseconds
	updated time.Duration
}

func (u *usual) add(took, now time.Duration) {
	if u.updated == 0 {
		u.mean = float64(took)
	} else {
		u.mean += (float64(took) - u.mean) * usualWeight
	}
	u.updated = now
}

// at returns the average as it is believed at the time now.
func (u *usual) at(now time.Duration) time.Duration {
	idle := now - u.updated
	return time.Duration(u.mean * math.Exp2(-float64(idle)/float64(usualHalfLife)))
}
