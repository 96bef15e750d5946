package admission

import (
	"container/heap"
	"time"
)

// rankQueue holds the waiting requests of one rank: statements of open
// transactions first, then by earliest deadline over the classes.
type rankQueue struct {
	pinned  itemHeap
	classes map[string]*classQueue
	active  []*classQueue // classes with waiting requests
	count   int           // waiting requests, pinned included
}

// maxIdleClasses bounds the classes that are remembered for their service
// times.
const maxIdleClasses = 256

func (r *rankQueue) class(name string) *classQueue {
	if cq := r.classes[name]; cq != nil {
		return cq
	}
	if r.classes == nil || len(r.classes) >= maxIdleClasses {
		kept := make(map[string]*classQueue)
		for _, cq := range r.active {
			kept[cq.name] = cq
		}
		r.classes = kept
	}
	cq := &classQueue{name: name, flows: make(map[string]*flow)}
	r.classes[name] = cq
	return cq
}

func (r *rankQueue) push(it *item, caller string) {
	r.count++
	if it.pinned {
		heap.Push(&r.pinned, it)
		return
	}
	if it.class.count == 0 {
		r.active = append(r.active, it.class)
	}
	it.class.push(it, caller)
}

func (r *rankQueue) pop() *item {
	if len(r.pinned) > 0 {
		return r.popPinned()
	}
	var best *classQueue
	for _, cq := range r.active {
		if best == nil || cq.headOrder() < best.headOrder() {
			best = cq
		}
	}
	if best == nil {
		return nil
	}
	r.count--
	it := best.pop()
	r.dropIfEmpty(best)
	return it
}

func (r *rankQueue) popPinned() *item {
	r.count--
	return heap.Pop(&r.pinned).(*item)
}

func (r *rankQueue) remove(it *item) {
	r.count--
	if it.pinned {
		heap.Remove(&r.pinned, it.index)
		return
	}
	it.class.remove(it)
	r.dropIfEmpty(it.class)
}

func (r *rankQueue) dropIfEmpty(cq *classQueue) {
	if cq.count > 0 {
		return
	}
	for i, v := range r.active {
		if v == cq {
			last := len(r.active) - 1
			r.active[i], r.active[last] = r.active[last], nil
			r.active = r.active[:last]
			return
		}
	}
}

// classQueue holds the waiting requests of one class, one flow per caller.
// Callers take turns by start-time fair queueing: each request carries a turn
// number, and a caller's next request has a later turn than its last one. In
// one turn the earliest deadline goes first.
type classQueue struct {
	name   string
	flows  map[string]*flow // also callers that have had this turn already
	active flowHeap
	turn   uint64 // turn of the last request taken
	count  int
	cost   average // service time
	base   average // service time at the current limit, for the limiter
	budget float64 // typical time from arrival to deadline, seconds
}

// flow is the waiting work of one caller in one class.
type flow struct {
	caller string
	items  itemHeap
	turn   uint64 // turn of its first waiting request, or of its next one
	index  int
}

func (f *flow) head() *item { return f.items[0] }

func (q *classQueue) push(it *item, caller string) {
	f := q.flows[caller]
	if f == nil {
		f = &flow{caller: caller}
		q.flows[caller] = f
	}
	it.flow = f
	heap.Push(&f.items, it)
	q.count++
	if len(f.items) == 1 {
		f.turn = max(f.turn, q.turn)
		heap.Push(&q.active, f)
		return
	}
	heap.Fix(&q.active, f.index)
}

// headOrder must not be called on an empty class.
func (q *classQueue) headOrder() int64 { return q.active[0].items[0].order }

func (q *classQueue) pop() *item {
	f := q.active[0]
	if f.turn > q.turn {
		q.turn = f.turn
		q.forgetIdle()
	}
	it := heap.Pop(&f.items).(*item)
	f.turn++
	q.settle(f)
	return it
}

// returnTurn gives a caller its turn back when the request that was taken is
// refused. Otherwise a caller whose first requests are all late would lose
// every turn.
func (q *classQueue) returnTurn(f *flow) {
	if f == nil {
		return
	}
	f.turn--
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
	}
}

func (q *classQueue) remove(it *item) {
	heap.Remove(&it.flow.items, it.index)
	q.settle(it.flow)
}

// settle updates the flow's place after one of its requests left.
func (q *classQueue) settle(f *flow) {
	q.count--
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
		return
	}
	heap.Remove(&q.active, f.index)
	if q.count == 0 {
		clear(q.flows)
		q.turn = 0
		return
	}
	if f.turn <= q.turn {
		delete(q.flows, f.caller)
	}
}

// forgetIdle drops callers without waiting work whose last turn is over. It
// runs once per turn, so its cost per request is constant on average.
func (q *classQueue) forgetIdle() {
	for caller, f := range q.flows {
		if len(f.items) == 0 && f.turn <= q.turn {
			delete(q.flows, caller)
		}
	}
}

func (q *classQueue) backlog(caller string) int {
	if f := q.flows[caller]; f != nil {
		return len(f.items)
	}
	return 0
}

func (q *classQueue) noteBudget(d time.Duration) {
	if q.budget == 0 {
		q.budget = d.Seconds()
		return
	}
	q.budget += (d.Seconds() - q.budget) / 16
}

// itemHeap orders by order, then by arrival.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].order != h[j].order {
		return h[i].order < h[j].order
	}
	return h[i].seq < h[j].seq
}
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}

// flowHeap orders by turn, then by the deadline of the first request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].turn != h[j].turn {
		return h[i].turn < h[j].turn
	}
	a, b := h[i].head(), h[j].head()
	if a.order != b.order {
		return a.order < b.order
	}
	return a.seq < b.seq
}
func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
