package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
)

// core makes the admission decisions for one database. Times are durations since
// the queue was created. It is not safe for concurrent use.
type core struct {
	policy       Policy
	maxQueued    int // per rank
	rng          *rand.Rand
	limiter      limiter
	shares       shares
	ranks        []rankQueue
	queued       int
	inFlight     int
	seq          uint64
	refusalRatio float64 // refusals per start, moving average
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

// refusal is the reason why a request was refused. The request was not run.
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
	stateDone // finished, or removed before it started
)

// item is one admitted request.
type item struct {
	class    *classQueue // has the service times
	queue    *classQueue // in which the item waits: class, or that of all organisations
	flow     *flow
	rank     int
	pinned   bool
	state    itemState
	index    int // in its heap
	deadline time.Duration
	target   time.Duration
	late     bool  // the target can't be met
	order    int64 // sort key within the flow: the target or the deadline, or the sequence number for the baselines
	seq      uint64
	arrived  time.Duration
	debited  float64 // estimated slot time in seconds, debited at the start
	sample   sample  // for the limiter
	refusal  refusal
	ready    chan struct{}
}

const noDeadline = time.Duration(math.MaxInt64)

// enqueue adds a request to its queue or refuses it. next returns the item of a
// queued request when it may start.
func (c *core) enqueue(now time.Duration, r Request, start time.Time) (*item, refusal) {
	deadline := noDeadline
	if !r.Deadline.IsZero() {
		deadline = r.Deadline.Sub(start)
	}
	if deadline <= now {
		return nil, refusal{code: result.DeadlineBeforeRun, reason: "the deadline had passed on arrival"}
	}
	rank, class, caller := c.queueKey(r)
	rq := &c.ranks[rank]
	cq := rq.class(class)
	queue := cq
	if r.Organisation != "" && c.policy == PolicyTargets {
		queue = rq.class(organisationsClass)
	}
	if !r.Pinned {
		if ref, ok := c.admit(now, rank, queue, cq, caller, deadline); !ok {
			c.refusalRatio += (1 - c.refusalRatio/maxRefusalRatio) / 16
			return nil, ref
		}
	}
	c.seq++
	it := &item{class: cq, queue: queue, rank: rank, pinned: r.Pinned, deadline: deadline, target: noDeadline, order: int64(deadline), seq: c.seq, arrived: now}
	switch {
	case c.policy != PolicyTargets:
		it.order = int64(c.seq)
	case !r.Target.IsZero():
		it.target = r.Target.Sub(start)
		it.order = int64(min(it.target, deadline))
	}
	if deadline != noDeadline {
		queue.observeBudget(deadline - now)
	}
	rq.push(it, caller)
	c.queued++
	return it, refusal{}
}

// queueKey returns the rank, the class and the caller under which a request is
// queued. The baselines ignore classes and callers, and FIFO also ignores ranks.
func (c *core) queueKey(r Request) (rank int, class, caller string) {
	switch c.policy {
	case PolicyFIFO:
		return 0, "", ""
	case PolicyStrict:
		return r.Rank.Index(), "", ""
	default:
		return r.Rank.Index(), r.Class, r.Caller
	}
}

// next removes an item from the queue and returns it: one that starts now
// (stateRunning) or one that is refused because its deadline can no longer be
// met (stateRefused). It returns nil if no item can start.
func (c *core) next(now time.Duration) *item {
	if c.queued == 0 {
		return nil
	}
	var it *item
	switch {
	case c.inFlight < c.limiter.allowed():
		it = c.popOnTime(now)
	case c.inFlight == c.limiter.allowed():
		it = c.popBeyondLimit(now)
	}
	if it == nil {
		return nil
	}
	c.queued--
	if ref, late := c.missesDeadline(now, it); late {
		it.state, it.refusal = stateRefused, ref
		it.queue.restoreStartTag(it.flow)
		return it
	}
	c.start(it)
	return it
}

// popOnTime removes the next item. One that can no longer meet its target is put back
// once, behind those of its rank that can: without that, a queue that is longer than
// the targets makes all of its requests late, although the database could serve most
// of them in time.
func (c *core) popOnTime(now time.Duration) *item {
	for {
		rq := &c.ranks[c.pickRank()]
		it := rq.pop()
		if it == nil || it.pinned || it.late || rq.count == 0 || now+seconds(it.class.cost.mean) <= it.target {
			return it
		}
		it.late, it.order = true, int64(it.deadline)
		it.queue.restoreStartTag(it.flow)
		rq.push(it, it.flow.caller)
	}
}

func (c *core) start(it *item) {
	it.state = stateRunning
	c.inFlight++
	c.refusalRatio -= c.refusalRatio / 16
	it.sample = c.limiter.start(c.inFlight, c.queued > 0)
	it.debited = it.class.cost.mean
	c.shares.debit(it.rank, it.debited)
}

// popBeyondLimit removes a statement of an open transaction that has waited for
// long while all slots are in use. The running statements may be waiting for a
// lock that its transaction holds, so one such statement may run beyond the limit.
func (c *core) popBeyondLimit(now time.Duration) *item {
	if c.policy != PolicyTargets {
		return nil
	}
	maxWait := seconds(maxPinnedWaitFactor * c.shares.meanCost)
	for i := range c.ranks {
		p := &c.ranks[i].pinned
		if len(*p) > 0 && now-(*p)[0].arrived > maxWait && c.shares.meanCost > 0 {
			return c.ranks[i].popPinned()
		}
	}
	return nil
}

// maxPinnedWaitFactor is the wait, in mean service times, after which a statement
// of an open transaction may run beyond the limit.
const maxPinnedWaitFactor = 8

func (c *core) missesDeadline(now time.Duration, it *item) (refusal, bool) {
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

// finish ends a started item. service is its service time, or 0 if the request was
// not run.
func (c *core) finish(now time.Duration, it *item, service time.Duration) {
	if it.state != stateRunning {
		return
	}
	it.state = stateDone
	c.inFlight--
	c.shares.settle(now, it.rank, it.debited, service.Seconds())
	if service <= 0 {
		return
	}
	it.class.cost.add(service.Seconds(), costSamples)
	c.limiter.finish(it.sample, &it.class.base, service.Seconds())
}

// remove removes a waiting item from its queue.
func (c *core) remove(it *item) {
	if it.state != stateWaiting {
		return
	}
	it.state = stateDone
	c.ranks[it.rank].remove(it)
	c.queued--
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
