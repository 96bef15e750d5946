package quota

import (
	"math"
	"time"
)

const (
	// PermitValidity is how long a single permit may be used, from when the request
	// for it was sent. It covers the time until the operation that waits for it has
	// taken it.
	PermitValidity = 300 * time.Millisecond
	// demandTime is the time over which demand is averaged. With 1 s the shares of
	// instances with few operations a second change with each exchange.
	demandTime = 3 * time.Second
	// denialTime is how long operations are refused at once after the coordinator had
	// fewer permits than were needed. It bounds the requests under overload.
	denialTime = 200 * time.Millisecond
	// roundingError is the difference to a whole permit that counts as one.
	roundingError = 1e-9
)

// account is the share of one organisation at one instance, a token bucket that starts
// empty, with its single permits and its demand.
type account struct {
	rate, cap float64 // parts of the limit
	limit     Limit   // at the latest refresh
	level     float64
	filledAt  time.Duration
	expires   time.Duration // of the share

	permits       float64
	permitsExpire time.Duration
	returned      float64    // permits returned, which can't be returned again
	recentTakes   [2]float64 // fresh permits taken in the present and the previous slot of ReturnTime
	slot          int64
	demand        float64
	demandAt      time.Duration
	lastArrival   time.Duration
	waiting       int
	refused       int // since the latest request
	deniedUntil   time.Duration
	retryAfter    time.Duration
	listedAt      time.Duration // when a request listed it; 0: never
	listedDemand  float64
	changed       bool // by a reply, which the coordinator does not know to have arrived
	total         Counts
}

// refresh brings the account up to date under the present limit.
func (a *account) refresh(now time.Duration, limit Limit) {
	if now >= a.permitsExpire {
		a.permits = 0
	}
	if slot := int64(now / ReturnTime); slot != a.slot {
		previous := a.recentTakes[0]
		if slot != a.slot+1 {
			previous = 0
		}
		a.recentTakes, a.slot = [2]float64{0, previous}, slot
	}
	if now >= a.expires {
		a.rate, a.cap = 0, 0
	}
	// A change of the limit counts from the latest refresh if it is a reduction, and from
	// now otherwise.
	a.level += a.rate * min(limit.Rate, a.limit.Rate) * max(0, now-a.filledAt).Seconds()
	a.filledAt = max(a.filledAt, now)
	a.limit = limit
	a.clip()
}

// clip discards the permits that the share has no room for.
func (a *account) clip() {
	a.returned = min(a.returned, math.Floor(a.storage()))
	a.level = min(a.level, a.storage()-a.returned)
}

// storage returns the number of permits that the share may store.
func (a *account) storage() float64 { return a.cap * a.limit.Storage }

// take takes a permit if there is one.
func (a *account) take() bool {
	switch {
	case a.returned >= 1:
		a.returned--
		return true
	case a.permits >= 1:
		a.permits--
	case a.level >= 1-roundingError:
		a.level = max(0, a.level-1)
	default:
		return false
	}
	a.recentTakes[0]++
	return true
}

// giveBack returns a permit to the share if it has room. Permits taken more than twice ReturnTime ago can't be
// returned, nor can any be returned twice: permits that operations in a queue take and
// return again and again would otherwise all be used at once when a database recovers.
func (a *account) giveBack() bool {
	if a.level+a.returned+1 > a.storage() {
		return false
	}
	for i := range a.recentTakes {
		if a.recentTakes[i] >= 1 {
			a.recentTakes[i]--
			a.returned++
			return true
		}
	}
	return false
}

// arrive counts an operation.
func (a *account) arrive(now time.Duration) {
	a.demand = a.demandNow(now) + 1/demandTime.Seconds()
	a.demandAt, a.lastArrival = now, now
}

func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-max(0, now-a.demandAt).Seconds()/demandTime.Seconds())
}

// grant replaces the share and adds single permits. sent is when the request was sent.
func (a *account) grant(g Grant, sent, now, validity time.Duration) {
	a.changed = g.Rate != a.rate || g.Cap != a.cap
	a.rate, a.cap, a.expires = g.Rate, g.Cap, sent+validity
	if now >= sent+validity {
		a.rate, a.cap = 0, 0
	}
	a.clip()
	if now < sent+PermitValidity {
		a.permits += float64(g.Permits)
		a.permitsExpire = sent + PermitValidity
	}
	a.deniedUntil = 0
	if g.RetryAfter > 0 {
		a.deniedUntil, a.retryAfter = now+denialTime, g.RetryAfter
	}
}

// delay returns after which time a refused operation may succeed.
func (a *account) delay(now time.Duration) time.Duration {
	d := max(a.deniedUntil-now, a.retryAfter)
	if rate := a.rate * a.limit.Rate; rate > 0 && a.storage() >= 1 {
		d = min(d, time.Duration((1-min(a.level, 1))/rate*float64(time.Second)))
	}
	return max(d, minRetryAfter)
}

const (
	// minRetryAfter is the least time that a refused caller is asked to wait.
	minRetryAfter = 10 * time.Millisecond
	// lostRetryAfter is that time while no coordinator answers.
	lostRetryAfter = 1 * time.Second
)

// isIdle reports whether the account may be forgotten.
func (a *account) isIdle(now time.Duration) bool {
	return a.waiting == 0 && a.permits == 0 && a.rate == 0 && now-a.lastArrival > idleTime && a.returned < 1
}

// idleTime is how long an organisation without a share is remembered after its latest
// operation.
const idleTime = 10 * time.Second
