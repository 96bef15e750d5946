package load

import (
	"math/rand/v2"
	"time"
)

// rateAt returns the rate of one caller at time t of the run in requests per
// second.
func (c Class) rateAt(caller int, t time.Duration) float64 {
	rate := c.Rate / float64(c.Callers)
	for _, p := range c.Phases {
		if inInterval(t, p.Start.Std(), p.Duration.Std()) {
			rate *= p.Multiplier
		}
	}
	if caller == c.Flood.Caller && inInterval(t, c.Flood.Start.Std(), c.Flood.Duration.Std()) {
		rate *= c.Flood.Factor
	}
	return rate
}

func inInterval(t, start, length time.Duration) bool { return t >= start && t < start+length }

// peakRate is an upper bound of rateAt.
func (c Class) peakRate(caller int) float64 {
	rate := c.Rate / float64(c.Callers)
	if caller == c.Flood.Caller {
		rate *= max(1, c.Flood.Factor)
	}
	for _, p := range c.Phases {
		rate *= max(1, p.Multiplier)
	}
	return rate
}

// arrivals yields the intended send times of one caller: a Poisson process
// whose rate follows the schedule, by thinning.
type arrivals struct {
	class  Class
	caller int
	rng    *rand.Rand
	peak   float64
	now    time.Duration
}

func newArrivals(c Class, caller int, rng *rand.Rand) *arrivals {
	return &arrivals{class: c, caller: caller, rng: rng, peak: c.peakRate(caller)}
}

// next returns the time of the next arrival and false after end.
func (a *arrivals) next(end time.Duration) (time.Duration, bool) {
	for a.now < end {
		a.now += time.Duration(a.rng.ExpFloat64() / a.peak * float64(time.Second))
		if a.now < end && a.rng.Float64()*a.peak < a.class.rateAt(a.caller, a.now) {
			return a.now, true
		}
	}
	return 0, false
}
