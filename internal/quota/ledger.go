package quota

import (
	"math"
	"time"
)

const (
	// minShareDemand is the demand, in operations per second, from which an instance
	// gets a share. One with less would leave most of its permits unused while others
	// need them; it asks for single permits.
	minShareDemand = 1
	// minCap is the least cap of a share. With caps of 1, shares took so much of the
	// storage that too little was left for the single permits under way.
	minCap = 2
	// minScarceCap is the least cap of a share while the demand exceeds the limit, or
	// the pool was empty lately. A smaller bucket is often full although more is needed
	// on average, and what it discards nobody can use.
	minScarceCap = 4
	// maxSurplus bounds a share in relation to the demand while there is room.
	maxSurplus = 2
	// The part of the rate that is divided into shares starts at initialSharedPart. It
	// grows while the pool stays almost full and shrinks when the pool can't give the
	// permits that are needed, down to minSharedPart. The rest is for single permits.
	initialSharedPart = 0.5
	minSharedPart     = 0.3
	maxSharedPart     = 0.9
	sharedPartStep    = 0.01
	sharedPartCut     = 0.8
	// storedPart is the part of the storage for shares.
	storedPart = 0.5
	// satisfiedPart is the part of its demand that an instance gets as a share while
	// the demand exceeds the limit. A bucket that is filled at the rate of the demand
	// is often full, and what it then discards nobody can use.
	satisfiedPart = 0.8
	// shareSeconds is how much of its rate a share should store.
	shareSeconds = 1.0
	// scarcePart is the part of the rate from which the demand counts as excessive.
	scarcePart = 0.95
	// poolReserve is the part of its storage that the pool holds when it is almost full.
	poolReserve = 0.8
	// deniedTime is how long the shared part does not grow after a denial.
	deniedTime = 30 * time.Second
	// divideInterval is the minimum interval between two computations of the fair
	// shares of an organisation.
	divideInterval = 200 * time.Millisecond
	// expireInterval is the minimum interval between two searches for what has expired
	// when the pool is empty.
	expireInterval = 20 * time.Millisecond
	// demandTimeout is the age from which the demand of an instance is ignored.
	demandTimeout = 10 * time.Second
)

// holding is an upper bound of what an instance holds of an organisation: parts of the
// limit, and permits.
type holding struct {
	rate, cap, permits float64
	expires            time.Duration // of rate and cap
	permitsExpire      time.Duration
	demand             float64
	demandAt           time.Duration
}

// ledger divides the limit of one organisation.
//
// Invariants: the rates of all holdings add up to at most budget.Rate, and their caps to at
// most budget.Storage. These are parts of the limit, so a change of the limit does not
// affect them. The permits of all holdings and the pool fit into the rest of the storage,
// except shortly after the limit was lowered.
type ledger struct {
	limit    Limit
	reported Limit // parts of the limit that instances have reported under the token
	budget   Limit // parts of the limit that may be divided
	holdings map[string]*holding
	sum      Limit   // of the holdings
	permits  float64 // of the holdings

	pool     float64 // permits that were created and are held by nobody
	filledAt time.Duration

	expiredAt time.Duration
	dividedAt time.Duration
	divided   bool
	scarce    bool
	part      float64 // of the rate that is divided into shares
	deniedAt  time.Duration
	denied    bool    // within deniedTime
	level     float64 // of the fair shares, if scarce
	factor    float64 // of demand to share, otherwise
}

// fill creates the permits of the part of the rate that no instance holds.
func (l *ledger) fill(now time.Duration) {
	if now > l.filledAt {
		l.pool += max(0, l.budget.Rate-l.sum.Rate) * l.limit.Rate * (now - l.filledAt).Seconds()
		l.filledAt = now
	}
	l.clip()
}

// clip discards the permits that the pool has no room for.
func (l *ledger) clip() {
	l.pool = max(0, min(l.pool, l.room()))
}

// room returns how many permits the pool may hold.
func (l *ledger) room() float64 {
	return (l.budget.Storage-l.sum.Storage)*l.limit.Storage - l.permits
}

// set replaces what an instance is assumed to hold. fill must have been called.
func (l *ledger) set(h *holding, rate, capacity, permits float64) {
	l.sum.Rate += rate - h.rate
	l.sum.Storage += capacity - h.cap
	l.permits += permits - h.permits
	h.rate, h.cap, h.permits = rate, capacity, permits
}

// setLimit takes over the limit and whether all of it may be divided. A reduction counts
// from the latest request.
func (l *ledger) setLimit(now time.Duration, limit Limit, open bool) {
	l.limit.Rate = min(l.limit.Rate, limit.Rate)
	l.fill(now)
	l.limit, l.budget = limit, wholeLimit
	if !open {
		l.budget = Limit{Rate: min(1, l.reported.Rate), Storage: min(1, l.reported.Storage)}
	}
	l.clip()
}

// wholeLimit is a budget of the whole limit.
var wholeLimit = Limit{Rate: 1, Storage: 1}

// expire releases what has expired.
func (l *ledger) expire(now time.Duration) {
	l.expiredAt = now
	for name, h := range l.holdings {
		rate, capacity, permits := h.rate, h.cap, h.permits
		if now >= h.expires {
			rate, capacity = 0, 0
		}
		if now >= h.permitsExpire {
			permits = 0
		}
		l.set(h, rate, capacity, permits)
		if rate == 0 && capacity == 0 && permits == 0 && now-h.demandAt > demandTimeout {
			delete(l.holdings, name)
		}
	}
	if len(l.holdings) == 0 {
		l.sum, l.permits = Limit{}, 0 // without rounding errors
	}
}

// divide computes the fair shares.
func (l *ledger) divide(now time.Duration) {
	if l.divided && now-l.dividedAt < divideInterval {
		return
	}
	l.expire(now)
	l.clip()
	l.divided, l.dividedAt = true, now
	demands := make([]float64, 0, len(l.holdings))
	total := 0.0
	for _, h := range l.holdings {
		if h.demand > 0 && now-h.demandAt <= demandTimeout {
			demands = append(demands, h.demand)
			total += h.demand
		}
	}
	l.adapt(now)
	rate := l.budget.Rate * l.limit.Rate
	if l.factor = maxSurplus; total > 0 {
		l.factor = min(maxSurplus, l.part*rate/total)
	}
	if l.level, l.scarce = 0, total > scarcePart*rate; l.scarce {
		var ok bool
		if l.level, ok = fairLevel(rate, demands); !ok {
			l.level = math.Inf(1)
		}
	}
}

// adapt changes the part of the rate that is divided into shares.
func (l *ledger) adapt(now time.Duration) {
	switch {
	case l.part == 0:
		l.part = initialSharedPart
	case l.denied:
		if now-l.deniedAt > deniedTime {
			l.denied = false
		}
	case l.pool >= poolReserve*l.room():
		l.part = min(maxSharedPart, l.part+sharedPartStep)
	}
}

// deny notes that the pool had not all permits that were needed.
func (l *ledger) deny(now time.Duration) {
	if !l.denied || now-l.deniedAt > divideInterval {
		l.part = max(minSharedPart, l.part*sharedPartCut)
		l.deniedAt, l.denied = now, true
	}
}

// target returns the fair share of an instance, as parts of the limit.
func (l *ledger) target(h *holding) (rate, capacity float64) {
	switch {
	case h.demand < minShareDemand:
		return 0, 0
	case !l.scarce:
		rate = h.demand * l.factor
	default:
		rate = satisfiedPart * min(h.demand, l.level)
	}
	whole := l.budget.Rate * l.limit.Rate
	if whole <= 0 {
		return 0, 0
	}
	storage := l.budget.Storage * l.limit.Storage
	capacity = min(rate*shareSeconds, storedPart*storage*rate/whole)
	if capacity < minCap || ((l.scarce || l.denied) && capacity < minScarceCap) {
		return 0, 0
	}
	return roundDown(rate / l.limit.Rate), roundDown(capacity / l.limit.Storage)
}

// roundDown shortens the parts of a limit in messages.
func roundDown(part float64) float64 { return math.Floor(part*partUnits) / partUnits }

const partUnits = 1e6

// ask decides what an instance gets. what must be what the instance holds at most.
func (l *ledger) ask(h *holding, what Ask, now time.Duration) Grant {
	l.set(h, what.Rate, what.Cap, what.Permits)
	h.expires, h.permitsExpire = now+ShareValidity+clockMargin, now+PermitValidity+clockMargin
	h.demand, h.demandAt = what.Demand, now
	l.divide(now)
	rate, capacity := l.target(h)
	rate = roundDown(min(rate, max(0, l.budget.Rate-(l.sum.Rate-h.rate))))
	free := l.budget.Storage - (l.sum.Storage - h.cap)
	capacity = min(capacity, free-(1-storedPart)*l.budget.Storage)
	if l.limit.Storage > 0 {
		capacity = min(capacity, free-l.permits/l.limit.Storage)
	}
	if capacity = roundDown(max(0, capacity)); capacity*l.limit.Storage < minCap || rate <= 0 {
		rate, capacity = 0, 0
	}
	l.set(h, max(h.rate, rate), max(h.cap, capacity), h.permits)
	l.clip()
	n := l.take(what.Need)
	if n < what.Need && now-l.expiredAt >= expireInterval {
		l.expire(now)
		l.clip()
		n += l.take(what.Need - n)
	}
	l.set(h, h.rate, h.cap, h.permits+float64(n))
	g := Grant{Organisation: what.Organisation, Rate: rate, Cap: capacity, Permits: n}
	if n < what.Need {
		l.deny(now)
		if g.RetryAfter = l.retryAfter(what.Need - n); !l.scarce && g.RetryAfter <= maxWait {
			g.RetryAfter = 0
		}
	}
	return g
}

// take takes up to n permits from the pool.
func (l *ledger) take(n int) int {
	n = int(min(float64(max(n, 0)), math.Floor(l.pool+roundingError)))
	l.pool = max(0, l.pool-float64(n))
	return n
}

// retryAfter returns when the pool will have n more permits, without regard to others
// that ask.
func (l *ledger) retryAfter(n int) time.Duration {
	rate := l.budget.Rate * l.limit.Rate
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(float64(n)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxWait bounds the time for which operations wait for the pool to get permits while
// the demand is below the limit.
const maxWait = 100 * time.Millisecond

// maxRetryAfter bounds the time that a refused caller is asked to wait.
const maxRetryAfter = 5 * time.Second

// isIdle reports whether the ledger holds nothing that a new one would not have.
func (l *ledger) isIdle() bool {
	return len(l.holdings) == 0 && (l.pool >= l.room()-roundingError || l.limit.Rate == 0)
}
