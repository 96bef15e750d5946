package admission

import (
	"fmt"
	"time"

	"geraniumbeam/internal/result"
)

const (
	// waitMargin scales the estimated wait before it is compared with the
	// deadline, because later requests with earlier deadlines overtake this one.
	waitMargin = 1.5
	// deviationMargin is the reserve before the deadline, in mean absolute
	// deviations of the service time, so that requests served under overload
	// still meet their deadline.
	deviationMargin = 2.0
	// minCapacity is the least share of the capacity that a rank is assumed to
	// get. It keeps the estimate finite when higher ranks use all slots.
	minCapacity = 0.02
)

// admit decides whether a new request of class cq may be queued in queue.
func (c *core) admit(now time.Duration, rank int, queue, cq *classQueue, caller string, deadline time.Duration) (refusal, bool) {
	backlog := queue.backlog(caller)
	free := c.maxQueued - c.ranks[rank].count
	if c.policy != PolicyTargets {
		if free <= 0 {
			return refusal{result.Overloaded, "the queue is full", c.retryAfter(0)}, false
		}
		return refusal{}, true
	}
	wait := c.estimateWait(now, rank, queue, backlog, (deadline - now).Seconds())
	// A caller may have at most as many requests waiting as there are free
	// places, so one caller never fills the queue.
	if backlog >= free {
		return refusal{result.Overloaded, "the queue is full", c.retryAfter(wait)}, false
	}
	if wait == 0 || deadline == noDeadline {
		return refusal{}, true
	}
	need := seconds(waitMargin*wait.Seconds() + cq.cost.mean + deviationMargin*cq.cost.deviation)
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

// estimateRankWait estimates the wait of a new request whose caller has no other
// requests waiting.
func (c *core) estimateRankWait(now time.Duration, rank int) time.Duration {
	return c.estimateWait(now, rank, nil, 0, 0)
}

// estimateWait estimates the wait of a new request: the work ahead of it divided by
// the capacity that its rank gets. A lower rank gets the capacity that higher ranks
// leave unused or its guaranteed share, whichever serves it earlier.
func (c *core) estimateWait(now time.Duration, rank int, cq *classQueue, backlog int, budget float64) time.Duration {
	if c.inFlight < c.limiter.allowed() && c.queued == 0 {
		return 0
	}
	slots := float64(c.limiter.limit)
	// The first term is the time until the next completion: on average the
	// service time of one request, divided by the slots below.
	ahead := c.shares.meanCost + c.ranks[rank].workAhead(cq, backlog, budget, c.shares.meanCost)
	above := 0.0
	for r := range rank {
		above += c.ranks[r].workAhead(nil, 0, 0, c.shares.meanCost)
	}
	capacity := 1 - c.shares.utilisationAbove(now, rank, c.limiter.limit)
	for r := rank + 1; r < len(c.ranks); r++ {
		if c.ranks[r].count > 0 && c.policy == PolicyTargets {
			capacity -= GuaranteedShare
		}
	}
	wait := (ahead + above) / (slots * max(capacity, minCapacity))
	if rank > 0 && c.policy == PolicyTargets {
		deficit := max(0, -c.shares.credit[rank])
		wait = min(wait, (ahead+deficit)/(slots*GuaranteedShare))
	}
	return seconds(wait)
}

// workAhead returns the slot time in seconds of the waiting requests that are served
// before a new request of class cq whose caller has backlog requests waiting. If cq
// is nil, it counts one request of each caller in each class.
func (r *rankQueue) workAhead(cq *classQueue, backlog int, budget, meanCost float64) float64 {
	sum := float64(len(r.pinned)) * meanCost
	for _, a := range r.active {
		n := float64(a.count)
		switch {
		case a == cq || cq == nil:
			// By fair queueing, each caller has at most backlog+1 requests ahead.
			n = min(n, float64((backlog+1)*len(a.active)))
		case a.budget > budget:
			// Only requests with an earlier deadline are served first.
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

const (
	minRetryAfter   = 50 * time.Millisecond
	maxRetryAfter   = 10 * time.Second
	maxRefusalRatio = 64 // bounds refusals per served request, which lengthen retry-after
)

// retryAfter returns a random delay from a window that grows with the wait and with
// the number of refusals per served request, so that refused callers do not retry
// at the same time.
func (c *core) retryAfter(wait time.Duration) time.Duration {
	base := max(wait, minRetryAfter)
	window := min(seconds(base.Seconds()*(1+c.refusalRatio)), maxRetryAfter-base/2)
	return min(base/2+time.Duration(c.rng.Int64N(int64(max(window, minRetryAfter)))), maxRetryAfter)
}
