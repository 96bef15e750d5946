package admission

import "math"

// limiter adapts the concurrency limit to the number of requests that the database
// can run at once, which it infers from service times. While the database has free
// slots, the service time does not depend on the concurrency; beyond its slots, the
// service time grows with it.
//
// Service times are divided by the class's mean service time at the current limit,
// so that a change in the mix of classes does not look like a change of the
// database. All comparisons are over a number of samples, not over time, so the
// limiter works the same for fast and slow statements.
//
// A probe upwards lets limit+step requests run and raises the limit if the service
// time stays nearly the same. A probe downwards lets limit-step requests run and
// lowers the limit if the service time falls in proportion. A probe downwards follows
// a sustained rise of the service time. Without one it runs rarely, to correct a
// limit that was raised by chance.
type limiter struct {
	limit, max       int
	phase            phase
	epoch            uint32  // number of phase changes
	samples          int     // in the phase
	ratioSum         float64 // over the samples of the phase
	refRatio         float64 // ratio at the limit, to which a probe downwards is compared
	recentRatio      float64 // moving average of the ratio
	baseScale        float64 // factor from a class's base to the expected service time
	samplesSinceUp   int     // since the last probe upwards
	samplesSinceDown int     // since the last probe downwards
	upProbeInterval  int     // samples between probes upwards
	saturated        bool    // work was waiting when the last request started
	fixed            bool    // the limit is always max
}

type phase uint8

const (
	phaseSteady phase = iota
	phaseConfirmRise
	phaseProbeUp
	phaseProbeDown
)

// sample identifies the conditions under which a request was started.
type sample struct {
	level int // requests running, including this one
	epoch uint32
}

const (
	baseSamples        = 256 // window of a class's base
	recentWeight       = 1.0 / 24
	riseThreshold      = 1.4  // 3 standard deviations of recentRatio for exponential times
	confirmSamples     = 60   // the mean ratio is accurate to ±0.13 for exponential times
	confirmedRise      = 1.25 // between 1 and 1.5, the ratio with one request too many on 2 slots
	maxRatio           = 4.0  // limits the weight of a single slow request
	minBaseSamples     = 8    // needed before a class's base is used
	upAcceptFraction   = 0.35 // accepted part of the growth expected beyond the slots
	downAcceptFraction = 0.5  // required part of the fall expected beyond the slots
	maxProbeSamples    = 400
	upRetryDelay       = 32  // delay after a failed probe, in lengths of a probe
	downInterval       = 256 // in lengths of a probe; 2 in 100 probes upwards succeed by chance
)

func newLimiter(maxLimit int, fixed bool) limiter {
	l := limiter{limit: 1, max: max(1, maxLimit), recentRatio: 1, baseScale: 1, fixed: fixed}
	if fixed {
		l.limit = l.max
	}
	return l
}

// setMax changes the upper bound of the limit.
func (l *limiter) setMax(n int) {
	l.max = max(1, n)
	l.limit = min(l.limit, l.max)
	if l.fixed {
		l.limit = l.max
	}
}

func (l *limiter) step() int { return max(1, l.limit/3) }

// allowed returns the number of requests that may run in the current phase.
func (l *limiter) allowed() int {
	switch l.phase {
	case phaseProbeUp:
		return min(l.max, l.limit+l.step())
	case phaseProbeDown:
		return max(1, l.limit-l.step())
	default:
		return l.limit
	}
}

// upProbeSamples returns the length of a probe upwards. The difference to detect is
// step/limit, so the number of samples grows with the square of its inverse.
func (l *limiter) upProbeSamples() int {
	if l.limit == 1 {
		return 40
	}
	f := l.limit / l.step()
	return min(maxProbeSamples, 25*f*f)
}

func (l *limiter) downProbeSamples() int {
	f := l.limit / l.step()
	return min(maxProbeSamples, 20*f*f)
}

func (l *limiter) start(level int, waiting bool) sample {
	l.saturated = waiting
	return sample{level: level, epoch: l.epoch}
}

// finish records the service time of a request in seconds. base is the mean service
// time of its class.
func (l *limiter) finish(s sample, base *average, service float64) {
	if l.fixed {
		return
	}
	if base.n < minBaseSamples {
		base.add(service/l.baseScale, baseSamples)
		return
	}
	ratio := min(service/(base.mean*l.baseScale), maxRatio)
	if l.phase == phaseSteady {
		if s.level <= l.limit {
			base.add(service/l.baseScale, baseSamples)
			l.recentRatio += (ratio - l.recentRatio) * recentWeight
		}
		l.samplesSinceUp++
		l.samplesSinceDown++
		l.startProbeIfDue()
		return
	}
	if s.epoch != l.epoch || (l.phase != phaseProbeDown && s.level != l.allowed()) || s.level > l.allowed() {
		return
	}
	l.samples++
	l.ratioSum += ratio
	switch l.phase {
	case phaseConfirmRise:
		l.evaluateRise()
	case phaseProbeUp:
		l.evaluateProbeUp()
	case phaseProbeDown:
		l.evaluateProbeDown()
	}
}

func (l *limiter) startProbeIfDue() {
	switch {
	case l.recentRatio > riseThreshold:
		l.setPhase(phaseConfirmRise)
	case l.limit < l.max && l.saturated && l.samplesSinceUp >= l.upProbeInterval:
		l.setPhase(phaseProbeUp)
	case l.limit > 1 && l.samplesSinceDown >= l.downProbeInterval():
		l.refRatio = 1
		l.setPhase(phaseProbeDown)
	}
}

// downProbeInterval returns the number of samples between routine probes downwards. A
// probe costs throughput, so it runs less often while requests are waiting.
func (l *limiter) downProbeInterval() int {
	if l.saturated {
		return 2 * downInterval * l.downProbeSamples()
	}
	return downInterval * l.downProbeSamples()
}

func (l *limiter) setPhase(p phase) {
	l.phase, l.samples, l.ratioSum = p, 0, 0
	l.epoch++
	if p == phaseSteady {
		l.recentRatio = 1
	}
}

func (l *limiter) mean() float64 { return l.ratioSum / float64(l.samples) }

// evaluateRise distinguishes a sustained rise of the service time from chance.
func (l *limiter) evaluateRise() {
	if l.samples < confirmSamples {
		return
	}
	switch m := l.mean(); {
	case m < confirmedRise:
		l.setPhase(phaseSteady)
	case l.limit > 1:
		l.refRatio = m
		l.setPhase(phaseProbeDown)
	default:
		l.baseScale *= m // at one request at a time, the statements themselves became slower
		l.setPhase(phaseSteady)
	}
}

func (l *limiter) evaluateProbeUp() {
	need := l.upProbeSamples()
	accept := 1 + upAcceptFraction*float64(l.step())/float64(l.limit)
	m := l.mean()
	clearlySlower := l.samples >= need/4 && m > accept+1/math.Sqrt(float64(l.samples))
	if l.samples < need && !clearlySlower {
		return
	}
	l.samplesSinceUp = 0
	if l.samples >= need && m < accept {
		l.limit = min(l.max, l.limit+l.step())
		l.samplesSinceDown = 0
		l.upProbeInterval = l.upProbeSamples()
	} else {
		l.upProbeInterval = upRetryDelay * need * l.limit // raising the limit gains 1/limit of throughput
	}
	l.setPhase(phaseSteady)
}

func (l *limiter) evaluateProbeDown() {
	need := l.downProbeSamples()
	accept := l.refRatio * (1 - downAcceptFraction*float64(l.step())/float64(l.limit))
	m := l.mean()
	clearlySlower := l.samples >= need/4 && m > accept+l.refRatio/math.Sqrt(float64(l.samples))
	if l.samples < need && !clearlySlower {
		return
	}
	l.samplesSinceDown = 0
	if l.samples >= need && m < accept {
		l.limit = max(1, l.limit-l.step())
		l.baseScale *= m
		l.samplesSinceUp, l.upProbeInterval = 0, l.upProbeSamples()
	} else {
		l.baseScale *= l.refRatio // the statements themselves became slower
	}
	l.setPhase(phaseSteady)
}
