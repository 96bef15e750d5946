package admission

import "math"

// costWindow is the number of service times in an estimate: its error is 6 %
// for exponential service times.
const costWindow = 128

// average is an exponentially weighted mean with mean absolute deviation. The
// first window values have equal weight.
type average struct {
	n         int
	mean, dev float64
}

func (a *average) add(v float64, window int) {
	if a.n < window {
		a.n++
	}
	w := 1 / float64(a.n)
	a.dev += (math.Abs(v-a.mean) - a.dev) * w
	if a.n == 1 {
		a.dev = 0
	}
	a.mean += (v - a.mean) * w
}
