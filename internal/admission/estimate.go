package admission

import (
	"fmt"
	"time"

	"geraniumbeam/internal/result"
)

const (
	// waitMargin scales the estimated wait before it is compared with the
	// deadline, because later requests with earlier deadlines pass this one.
	waitMargin = 1.5
	// devMargin is how many mean deviations of the service time are kept free
	// before the deadline, so that work served under overload is still in time.
	devMargin = 2.0
	// minCapacity keeps the estimate finite when higher ranks use everything.
	minCapacity = 0.02
)

// check decides whether a new request may queue.
func (c *core) check(now time.Duration, rank int, cq *classQueue, caller string, deadline time.Duration) (refusal, bool) {
	backlog := cq.backlog(caller)
	free := c.maxQueued - c.ranks[rank].count
	if c.policy != PolicyTargets {
		if free <= 0 {
			return refusal{result.Overloaded, "the queue is full", c.retryAfter(0)}, false
		}
		return refusal{}, true
	}
	wait := c.wait(now, rank, cq, backlog, (deadline - now).Seconds())
	// A caller may fill at most the space that is still free, so one caller
	// never takes all of a full queue.
	if backlog >= free {
		return refusal{result.Overloaded, "the queue is full", c.retryAfter(wait)}, false
	}
	if wait == 0 || deadline == noDeadline {
		return refusal{}, true
	}
	need := seconds(waitMargin*wait.Seconds() + cq.cost.mean + devMargin*cq.cost.dev)
	if need > deadline-now {
		return refusal{
			result.Overloaded,
			fmt.Sprintf("about %s are needed for the queue and the work, %s are left until the deadline", round(need), round(deadline-now)),
			c.retryAfter(wait),
		}, false
	}
	return refusal{}, true
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// rankWait estimates the wait of a new request of a caller that has none
// waiting.
func (c *core) rankWait(now time.Duration, rank int) time.Duration {
	return c.wait(now, rank, nil, 0, 0)
}

// wait estimates the wait of a new request: the work ahead of it divided by
// the capacity that its rank gets. A lower rank gets what higher ranks leave
// or its guaranteed share, whichever serves it earlier.
func (c *core) wait(now time.Duration, rank int, cq *classQueue, backlog int, budget float64) time.Duration {
	if c.inFlight < c.limiter.allowed() && c.queued == 0 {
		return 0
	}
	slots := float64(c.limiter.limit)
	// The next completion is one service time of one slot away on average.
	ahead := c.shares.meanCost + c.ranks[rank].work(cq, backlog, budget, c.shares.meanCost)
	above := 0.0
	for r := range rank {
		above += c.ranks[r].work(nil, 0, 0, c.shares.meanCost)
	}
	capacity := 1 - c.shares.utilisationAbove(now, rank, c.limiter.limit)
	for r := rank + 1; r < len(c.ranks); r++ {
		if c.ranks[r].count > 0 && c.policy == PolicyTargets {
			capacity -= GuaranteedShare
		}
	}
	wait := (ahead + above) / (slots * max(capacity, minCapacity))
	if rank > 0 && c.policy == PolicyTargets {
		owed := max(0, -c.shares.credit[rank])
		wait = min(wait, (ahead+owed)/(slots*GuaranteedShare))
	}
	return seconds(wait)
}

// work returns the slot time in seconds of waiting requests that go before a
// new request of class cq whose caller has backlog requests waiting. Without
// a class it counts one turn of each class.
func (r *rankQueue) work(cq *classQueue, backlog int, budget, meanCost float64) float64 {
	sum := float64(len(r.pinned)) * meanCost
	for _, a := range r.active {
		n := float64(a.count)
		switch {
		case a == cq || cq == nil:
			// Callers take turns: each has at most backlog+1 requests ahead.
			n = min(n, float64((backlog+1)*len(a.active)))
		case a.budget > budget:
			// Only requests with an earlier deadline go first.
			n *= budget / a.budget
		}
		cost := a.cost.mean
		if cost == 0 {
			cost = meanCost
		}
		sum += n * cost
	}
	return sum
}

// Bounds of retry-after.
const (
	minRetryAfter   = 50 * time.Millisecond
	maxRetryAfter   = 10 * time.Second
	maxRefusedRatio = 64
)

// retryAfter spreads refused callers over a window that grows with the wait
// and with the number of refusals per served request, so that they do not come
// back together.
func (c *core) retryAfter(wait time.Duration) time.Duration {
	base := max(wait, minRetryAfter)
	window := min(seconds(base.Seconds()*(1+c.refused)), maxRetryAfter-base/2)
	return min(base/2+time.Duration(c.rng.Int64N(int64(max(window, minRetryAfter)))), maxRetryAfter)
}
