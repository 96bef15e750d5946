package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
)

// core decides on the requests of one database. Times are durations since the
// queue was made. It is not safe for concurrent use.
type core struct {
	policy    Policy
	maxQueued int // per rank
	rng       *rand.Rand
	limiter   limiter
	shares    shares
	ranks     []rankQueue
	queued    int
	inFlight  int
	seq       uint64
	refused   float64 // refusals per start, moving average
}

func newCore(cfg Config) *core {
	c := &core{
		policy:    cfg.Policy,
		maxQueued: cfg.MaxQueued,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		limiter:   newLimiter(cfg.MaxConcurrency, cfg.FixedConcurrency),
		ranks:     make([]rankQueue, len(catalog.Ranks)),
	}
	if c.policy == "" {
		c.policy = PolicyTargets
	}
	if c.maxQueued <= 0 {
		c.maxQueued = DefaultMaxQueued
	}
	return c
}

// refusal says why a request was refused. The request was not run.
type refusal struct {
	code       result.Code
	reason     string
	retryAfter time.Duration
}

type itemState uint8

const (
	stateWaiting itemState = iota
	stateRunning
	stateRefused
	stateGone // finished or withdrawn
)

// item is one admitted request.
type item struct {
	class    *classQueue
	flow     *flow
	rank     int
	pinned   bool
	state    itemState
	index    int // in its heap
	deadline time.Duration
	order    int64 // position within the flow: deadline, or arrival for baselines
	seq      uint64
	arrived  time.Duration
	charged  float64 // seconds of slot time charged at the start
	sample   sample  // for the limiter
	refusal  refusal
	ready    chan struct{}
}

const noDeadline = time.Duration(math.MaxInt64)

// arrive queues a request or refuses it. The item of a queued request is
// returned by next when it may start.
func (c *core) arrive(now time.Duration, r Request, start time.Time) (*item, refusal) {
	deadline := noDeadline
	if !r.Deadline.IsZero() {
		deadline = r.Deadline.Sub(start)
	}
	if deadline <= now {
		return nil, refusal{code: result.DeadlineBeforeRun, reason: "the deadline had passed on arrival"}
	}
	rank, class, caller := c.place(r)
	rq := &c.ranks[rank]
	cq := rq.class(class)
	if !r.Pinned {
		if ref, ok := c.check(now, rank, cq, caller, deadline); !ok {
			c.refused += (1 - c.refused/maxRefusedRatio) / 16
			return nil, ref
		}
	}
	c.seq++
	it := &item{class: cq, rank: rank, pinned: r.Pinned, deadline: deadline, order: int64(deadline), seq: c.seq, arrived: now}
	if c.policy != PolicyTargets {
		it.order = int64(c.seq)
	}
	if deadline != noDeadline {
		cq.noteBudget(deadline - now)
	}
	rq.push(it, caller)
	c.queued++
	return it, refusal{}
}

// place returns where a request queues. The baselines ignore callers, and
// FIFO ignores ranks.
func (c *core) place(r Request) (rank int, class, caller string) {
	switch c.policy {
	case PolicyFIFO:
		return 0, "", ""
	case PolicyStrict:
		return r.Rank.Index(), "", ""
	default:
		return r.Rank.Index(), r.Class, r.Caller
	}
}

// next returns the next item whose fate is decided: one that starts now
// (stateRunning) or one that is refused because its deadline can no longer be
// met (stateRefused). It returns nil when nothing can start.
func (c *core) next(now time.Duration) *item {
	if c.queued == 0 {
		return nil
	}
	var it *item
	switch {
	case c.inFlight < c.limiter.allowed():
		it = c.ranks[c.pickRank()].pop()
	case c.inFlight == c.limiter.allowed():
		it = c.popStuck(now)
	}
	if it == nil {
		return nil
	}
	c.queued--
	if ref, late := c.tooLate(now, it); late {
		it.state, it.refusal = stateRefused, ref
		it.class.returnTurn(it.flow)
		return it
	}
	c.startItem(it)
	return it
}

func (c *core) startItem(it *item) {
	it.state = stateRunning
	c.inFlight++
	c.refused -= c.refused / 16
	it.sample = c.limiter.started(c.inFlight, c.queued > 0)
	it.charged = it.class.cost.mean
	c.shares.charge(it.rank, it.charged)
}

// popStuck takes a statement of an open transaction that has waited long
// although all slots are used. Running statements may wait for a lock that its
// transaction holds, so one such statement may exceed the limit by one.
func (c *core) popStuck(now time.Duration) *item {
	if c.policy != PolicyTargets {
		return nil
	}
	patience := seconds(stuckFactor * c.shares.meanCost)
	for i := range c.ranks {
		p := &c.ranks[i].pinned
		if len(*p) > 0 && now-(*p)[0].arrived > patience && c.shares.meanCost > 0 {
			return c.ranks[i].popPinned()
		}
	}
	return nil
}

// stuckFactor is the wait, in mean service times, after which a statement of
// an open transaction may exceed the limit.
const stuckFactor = 8

func (c *core) tooLate(now time.Duration, it *item) (refusal, bool) {
	if it.deadline <= now {
		return refusal{code: result.DeadlineBeforeRun, reason: "deadline passed in the queue"}, true
	}
	if c.policy != PolicyTargets || it.pinned || it.deadline == noDeadline {
		return refusal{}, false
	}
	if now-it.arrived > 0 && now+seconds(it.class.cost.mean) > it.deadline {
		return refusal{result.Overloaded, "the deadline can no longer be met", c.retryAfter(it.deadline - it.arrived)}, true
	}
	return refusal{}, false
}

// done returns a started item. service is 0 if the request was not run.
func (c *core) done(now time.Duration, it *item, service time.Duration) {
	if it.state != stateRunning {
		return
	}
	it.state = stateGone
	c.inFlight--
	c.shares.settle(now, it.rank, it.charged, service.Seconds())
	if service <= 0 {
		return
	}
	it.class.cost.add(service.Seconds(), costWindow)
	c.limiter.finished(it.sample, &it.class.base, service.Seconds())
}

// remove withdraws a waiting item.
func (c *core) remove(it *item) {
	if it.state != stateWaiting {
		return
	}
	it.state = stateGone
	c.ranks[it.rank].remove(it)
	c.queued--
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
