package balance

import "time"

const (
	// avoidMin is the mean time for which a database is avoided after a first refusal: half
	// of the time that four slots need for a queue of 32 statements of 12 ms.
	avoidMin = 50 * time.Millisecond
	// avoidMax bounds it after repeated refusals.
	avoidMax = 400 * time.Millisecond
	// refusalMemory is how long after the end of one period a refusal lengthens the next.
	refusalMemory = 500 * time.Millisecond
)

// Refusals tells how long a database that refused statements for a full queue should get
// no reads. The zero value is ready for use.
type Refusals struct {
	until  time.Duration
	length time.Duration // mean length of the current or last period
}

// Refused records a refusal. draw is a random number in [0, 1), so that instances do not
// return together. Refusals during a period are of statements that were sent before it,
// and do not lengthen it.
func (r *Refusals) Refused(now time.Duration, draw float64) {
	if now < r.until {
		return
	}
	if r.length > 0 && now-r.until < refusalMemory {
		r.length = min(2*r.length, avoidMax)
	} else {
		r.length = avoidMin
	}
	r.until = now + r.length/2 + time.Duration(draw*float64(r.length))
}

// Learn records that another instance avoids the database for the given time.
func (r *Refusals) Learn(now, remaining time.Duration) {
	r.until = max(r.until, now+min(remaining, avoidMax))
}

// Remaining returns how long the database should still get no reads.
func (r *Refusals) Remaining(now time.Duration) time.Duration { return max(r.until-now, 0) }
