package admission

import "math"

// costSamples is the window of the mean service time, in samples. The error of the
// mean is 6 % for exponentially distributed service times.
const costSamples = 128

// average is an exponentially weighted mean with its mean absolute deviation. The
// values have equal weight until there are as many as the window.
type average struct {
	n               int
	mean, deviation float64
}

func (a *average) add(v float64, window int) {
	if a.n < window {
		a.n++
	}
	w := 1 / float64(a.n)
	a.deviation += (math.Abs(v-a.mean) - a.deviation) * w
	if a.n == 1 {
		a.deviation = 0
	}
	a.mean += (v - a.mean) * w
}
