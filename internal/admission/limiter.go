package admission

import "math"

// limiter finds how many requests the database can run at once from measured
// service times. While the database has free slots, the service time does not
// depend on the concurrency; beyond its slots, the service time grows with it.
//
// Service times are divided by the class's usual service time at the current
// limit, so a change in the mix of classes does not look like a change of the
// database. All comparisons are over a number of samples, not over time, so
// the limiter works the same for fast and slow statements.
//
// A probe upwards lets limit+step requests run and accepts the new limit when
// the service time stays nearly the same. A probe downwards runs limit-step
// requests and accepts when the service time falls in proportion. A probe
// downwards follows a sustained rise of the service time, and otherwise runs
// rarely, to correct a limit that was raised by chance.
type limiter struct {
	limit, max int
	phase      phase
	epoch      uint32
	n          int     // samples of the phase
	sum        float64 // of the phase's ratios
	ref        float64 // ratio at the limit, for a probe downwards
	recent     float64 // moving average of the ratio
	norm       float64 // factor between the classes' base and the expected time
	sinceUp    int     // samples since the last probe upwards
	sinceDown  int
	upEvery    int
	saturated  bool // work was waiting when the last request started
	fixed      bool // the limit is max and is not searched for
}

type phase uint8

const (
	phaseSteady phase = iota
	phaseConfirm
	phaseUp
	phaseDown
)

// sample identifies the conditions under which a request was started.
type sample struct {
	level int // requests running, this one included
	epoch uint32
}

const (
	baseWindow     = 256 // samples in a class's base
	recentWeight   = 1.0 / 24
	suspectRatio   = 1.4  // 3 standard deviations of recent for exponential times
	confirmSamples = 60   // mean ± 0.13 for exponential times
	confirmedRatio = 1.25 // between 1 and the 1.5 of one request too many on 2 slots
	maxRatio       = 4.0  // limits the weight of a single slow request
	warmSamples    = 8    // before a class's base is used
	upThreshold    = 0.35 // accepted part of the growth expected beyond the slots
	downThreshold  = 0.5
	maxSamples     = 400
	upPause        = 32  // pause after a failed probe, in lengths of a probe
	downPause      = 256 // the limit was raised by chance in 2 of 100 probes
)

func newLimiter(maxLimit int, fixed bool) limiter {
	l := limiter{limit: 1, max: max(1, maxLimit), recent: 1, norm: 1, fixed: fixed}
	if fixed {
		l.limit = l.max
	}
	return l
}

// setMax changes the bound of the limit.
func (l *limiter) setMax(n int) {
	l.max = max(1, n)
	l.limit = min(l.limit, l.max)
	if l.fixed {
		l.limit = l.max
	}
}

func (l *limiter) step() int { return max(1, l.limit/3) }

// allowed is how many requests may run now.
func (l *limiter) allowed() int {
	switch l.phase {
	case phaseUp:
		return min(l.max, l.limit+l.step())
	case phaseDown:
		return max(1, l.limit-l.step())
	default:
		return l.limit
	}
}

// upSamples is the length of a probe upwards. The difference to detect is
// step/limit, so the number of samples grows with the square of its inverse.
func (l *limiter) upSamples() int {
	if l.limit == 1 {
		return 40
	}
	f := l.limit / l.step()
	return min(maxSamples, 25*f*f)
}

func (l *limiter) downSamples() int {
	f := l.limit / l.step()
	return min(maxSamples, 20*f*f)
}

func (l *limiter) started(level int, waiting bool) sample {
	l.saturated = waiting
	return sample{level: level, epoch: l.epoch}
}

// finished takes the service time in seconds of a request. base is the class's
// service time.
func (l *limiter) finished(s sample, base *average, service float64) {
	if l.fixed {
		return
	}
	if base.n < warmSamples {
		base.add(service/l.norm, baseWindow)
		return
	}
	ratio := min(service/(base.mean*l.norm), maxRatio)
	if l.phase == phaseSteady {
		if s.level <= l.limit {
			base.add(service/l.norm, baseWindow)
			l.recent += (ratio - l.recent) * recentWeight
		}
		l.sinceUp++
		l.sinceDown++
		l.leaveSteady()
		return
	}
	if s.epoch != l.epoch || (l.phase != phaseDown && s.level != l.allowed()) || s.level > l.allowed() {
		return
	}
	l.n++
	l.sum += ratio
	switch l.phase {
	case phaseConfirm:
		l.judgeConfirm()
	case phaseUp:
		l.judgeUp()
	case phaseDown:
		l.judgeDown()
	}
}

func (l *limiter) leaveSteady() {
	switch {
	case l.recent > suspectRatio:
		l.enter(phaseConfirm)
	case l.limit < l.max && l.saturated && l.sinceUp >= l.upEvery:
		l.enter(phaseUp)
	case l.limit > 1 && l.sinceDown >= l.downPause():
		l.ref = 1
		l.enter(phaseDown)
	}
}

// downPause is the number of samples between routine probes downwards. A probe
// costs throughput, so a busy queue postpones it.
func (l *limiter) downPause() int {
	if l.saturated {
		return 2 * downPause * l.downSamples()
	}
	return downPause * l.downSamples()
}

func (l *limiter) enter(p phase) {
	l.phase, l.n, l.sum = p, 0, 0
	l.epoch++
	if p == phaseSteady {
		l.recent = 1
	}
}

func (l *limiter) mean() float64 { return l.sum / float64(l.n) }

// judgeConfirm tells a sustained rise of the service time from chance.
func (l *limiter) judgeConfirm() {
	if l.n < confirmSamples {
		return
	}
	switch m := l.mean(); {
	case m < confirmedRatio:
		l.enter(phaseSteady)
	case l.limit > 1:
		l.ref = m
		l.enter(phaseDown)
	default:
		l.norm *= m // one request at a time: the work itself became slower
		l.enter(phaseSteady)
	}
}

func (l *limiter) judgeUp() {
	need := l.upSamples()
	accept := 1 + upThreshold*float64(l.step())/float64(l.limit)
	m := l.mean()
	clear := l.n >= need/4 && m > accept+1/math.Sqrt(float64(l.n))
	if l.n < need && !clear {
		return
	}
	l.sinceUp = 0
	if l.n >= need && m < accept {
		l.limit = min(l.max, l.limit+l.step())
		l.sinceDown = 0
		l.upEvery = l.upSamples()
	} else {
		l.upEvery = upPause * need * l.limit // the gain of a raise is 1/limit
	}
	l.enter(phaseSteady)
}

func (l *limiter) judgeDown() {
	need := l.downSamples()
	accept := l.ref * (1 - downThreshold*float64(l.step())/float64(l.limit))
	m := l.mean()
	clear := l.n >= need/4 && m > accept+l.ref/math.Sqrt(float64(l.n))
	if l.n < need && !clear {
		return
	}
	l.sinceDown = 0
	if l.n >= need && m < accept {
		l.limit = max(1, l.limit-l.step())
		l.norm *= m
		l.sinceUp, l.upEvery = 0, l.upSamples()
	} else {
		l.norm *= l.ref // the work itself became slower
	}
	l.enter(phaseSteady)
}
