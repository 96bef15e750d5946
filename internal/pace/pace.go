// Package pace limits the concurrent statements of one owner at a database by how the
// database answers.
//
// Invariants: the limit is at least 1 and at most the bound. The decisions do no I/O and
// get the time as an argument.
package pace

import "time"

// Outcome is how a statement ended.
type Outcome uint8

// Outcomes of statements.
const (
	Answered Outcome = iota
	Refused          // because the queue of the database is full
	NoAnswer
)

// Reason is why the limit changed. None means that it did not.
type Reason string

// Reasons for a change of the limit.
const (
	None      Reason = ""
	SlowStart Reason = "slow_start" // doubling per round of answers
	Growth    Reason = "growth"
	Refusal   Reason = "refused"
	Slower    Reason = "slower"   // service times are above those of light load
	NotLoad   Reason = "not_load" // lowering the limit did not shorten the service times
	Yield     Reason = "yield"    // for a time, in favour of other owners
	Restart   Reason = "restart"
)

// End describes the end of a statement.
type End struct {
	Class        string
	Began, Ended time.Duration
	Outcome      Outcome
	Waited       bool // requests wait because the limit is in use
}

const (
	// initialLimit is the limit after a start. With four owners, four answers fill 16
	// slots; with 2, slots of a database that is five times slower stayed idle for 290 ms.
	initialLimit = 3
	// provisionalLimit bounds the limit until the base of a class is known. It is more than
	// a quarter of 16 slots, because an owner whose first statements are long grows late.
	provisionalLimit = 5
	// baseSamples is the number of service times in a mean that may become a base.
	baseSamples = 8
	// minRoundSamples is the least number of answers on which a decision is based.
	minRoundSamples = 4
	// growBelow and shrinkAbove are ratios of the service time to its base. With all
	// slots in use and half as many statements waiting for one, the ratio is 1.5.
	growBelow   = 1.5
	shrinkAbove = 2.5
	// shrinkFactor is applied when service times are above shrinkAbove, refusalFactor
	// after a refusal.
	shrinkFactor  = 0.75
	refusalFactor = 0.5
	// helpedBelow is the ratio, relative to that before the limit was lowered, below which
	// the load was the reason for long service times.
	helpedBelow = 0.9
	// holdRounds is the number of rounds between increases while the ratio is between
	// growBelow and shrinkAbove, so that a base that is too low can't keep the limit low.
	holdRounds = 4
	// ceilingFactor and ceilingPeriod keep the limit below the one at which the database
	// refused a statement.
	ceilingFactor = 0.75
	ceilingPeriod = 2 * time.Second
	// yieldFrom and yieldPeriod: an owner whose statements take the places that its own have
	// just left is never refused, while one with a lower limit is at each increase.
	yieldFrom   = 6
	yieldPeriod = 500 * time.Millisecond
	// maxClasses bounds the classes with a base of their own. An entry takes about 100 bytes.
	maxClasses = 256
)

// class has the service times of one class of work, in seconds.
type class struct {
	base float64 // 0 until baseSamples are known
	sum  float64
	n    int
}

// Limiter computes the limit. It is not safe for concurrent use.
type Limiter struct {
	bound   int
	limit   float64
	classes map[string]*class

	slowStart  bool
	coldUntil  time.Duration
	lastAnswer time.Duration
	roundBegan time.Duration // statements that began earlier ran under another limit
	ratioSum   float64       // over the answers of the round
	samples    int
	waited     bool // a request waited when a statement of the round ended
	held       int  // rounds since the last change
	before     trial
	ceiling    float64
	ceilingEnd time.Duration
	yielded    time.Duration // when the limit was last lowered in favour of other owners
}

// trial is the state before the limit was lowered; the zero value means that it was not.
type trial struct{ limit, ratio float64 }

// New returns a limiter for a database that the owner has just begun to use. The database
// is expected to be slow until coldUntil.
func New(bound int, now, coldUntil time.Duration) *Limiter {
	l := &Limiter{bound: max(1, bound)}
	l.Restart(now, coldUntil)
	return l
}

// Limit returns the number of statements that may run at a time.
func (l *Limiter) Limit() int { return max(1, min(l.bound, int(l.limit))) }

// SetBound changes the upper bound of the limit.
func (l *Limiter) SetBound(bound int) { l.bound = max(1, bound) }

// Restart begins again with a small limit and unknown service times, for a database that
// has started, recovered or was promoted, and is expected to be slow until coldUntil.
func (l *Limiter) Restart(now, coldUntil time.Duration) {
	*l = Limiter{bound: l.bound, limit: initialLimit, classes: make(map[string]*class), slowStart: true, coldUntil: coldUntil, roundBegan: now, yielded: now, lastAnswer: l.lastAnswer}
}

// Observe records the end of a statement and returns why the limit changed, if it did.
func (l *Limiter) Observe(e End) Reason {
	before := l.Limit()
	reason := l.observe(e)
	if l.Limit() == before {
		return None
	}
	return reason
}

func (l *Limiter) observe(e End) Reason {
	if l.coldUntil > 0 && e.Ended >= l.coldUntil {
		l.coldUntil, l.slowStart = 0, true // the times of the warm database are shorter
	}
	switch e.Outcome {
	case NoAnswer:
		if l.lastAnswer > e.Began || e.Began < l.roundBegan {
			return None // the database has answered others since then
		}
		l.Restart(e.Ended, 0)
		return Restart
	case Refused:
		l.lastAnswer = e.Ended
		return l.refused(e)
	}
	l.lastAnswer = e.Ended
	ratio, known := l.ratio(e.Class, (e.Ended - e.Began).Seconds())
	l.waited = l.waited || e.Waited
	if l.slowStart && e.Waited {
		l.grow(e.Ended, 1, known)
	}
	if e.Began < l.roundBegan || !known {
		return SlowStart
	}
	l.samples++
	l.ratioSum += ratio
	if l.samples < max(minRoundSamples, l.Limit()) {
		return SlowStart
	}
	return l.endRound(e.Ended)
}

// ratio returns the service time relative to the base of its class, and whether the base
// is known. A shorter mean time becomes the new base.
func (l *Limiter) ratio(name string, took float64) (float64, bool) {
	c, ok := l.classes[name]
	if !ok {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		c = &class{}
		l.classes[name] = c
	}
	known := c.base > 0
	c.sum += took
	c.n++
	if c.n == baseSamples {
		if mean := c.sum / baseSamples; !known || mean < c.base {
			c.base = mean
		}
		c.sum, c.n = 0, 0
	}
	if !known {
		return 1, false
	}
	return took / c.base, true
}

// grow raises the limit within its ceilings.
func (l *Limiter) grow(now time.Duration, by float64, known bool) {
	top := float64(l.bound)
	if !known {
		top = min(top, provisionalLimit)
	}
	if now < l.ceilingEnd {
		top = min(top, l.ceiling)
	}
	l.limit = max(l.limit, min(l.limit+by, top))
}

// refused lowers the limit once for the statements that began under it.
func (l *Limiter) refused(e End) Reason {
	l.slowStart = false
	if e.Began < l.roundBegan {
		return None
	}
	level := min(l.limit, float64(l.bound))
	l.ceiling, l.ceilingEnd = max(1, level*ceilingFactor), e.Ended+ceilingPeriod
	l.limit, l.before = max(1, level*refusalFactor), trial{}
	l.nextRound(e.Ended)
	return Refusal
}

// endRound compares the service times of a round of answers with their bases.
func (l *Limiter) endRound(now time.Duration) Reason {
	ratio, waited := l.ratioSum/float64(l.samples), l.waited
	l.samples, l.ratioSum, l.waited = 0, 0, false
	l.limit = min(l.limit, float64(l.bound))
	if l.before.limit > 0 && ratio > l.before.ratio*helpedBelow && ratio > growBelow {
		return l.rebase(now, ratio)
	}
	l.before = trial{}
	switch {
	case ratio > shrinkAbove && l.limit > 1:
		l.slowStart = false
		l.before = trial{limit: l.limit, ratio: ratio}
		l.limit = max(1, l.limit*shrinkFactor)
		l.nextRound(now)
		return Slower
	case waited && !l.slowStart && l.limit >= yieldFrom && now-l.yielded > yieldPeriod:
		l.yielded = now
		l.limit *= shrinkFactor
		l.nextRound(now)
		return Yield
	case ratio > growBelow:
		l.slowStart = false
		l.held++
		if waited && l.held >= holdRounds {
			l.held = 0
			l.grow(now, 1, true)
		}
		return Growth
	case l.slowStart:
		return SlowStart
	case waited:
		l.held = 0
		l.grow(now, 1, true)
	}
	return Growth
}

// rebase takes the present service times for those of light load, since a lower limit
// did not shorten them, and restores the limit.
func (l *Limiter) rebase(now time.Duration, ratio float64) Reason {
	for _, c := range l.classes {
		c.base *= ratio
		c.sum, c.n = 0, 0
	}
	l.limit, l.before = max(l.limit, l.before.limit), trial{}
	l.nextRound(now)
	return NotLoad
}

// nextRound ignores the statements that have begun so far.
func (l *Limiter) nextRound(now time.Duration) {
	l.roundBegan, l.samples, l.ratioSum, l.waited, l.held = now, 0, 0, false, 0
}
