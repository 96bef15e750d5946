package admission

import (
	"container/heap"
	"time"
)

// rankQueue holds the waiting requests of one rank. It serves statements of open
// transactions first, then the class whose first request has the earliest deadline.
type rankQueue struct {
	pinned  itemHeap
	classes map[string]*classQueue
	active  []*classQueue // classes with waiting requests
	count   int           // waiting requests, including pinned ones
}

// organisationsClass is the name of the queue in which the requests of organisations wait,
// whatever their class. Fairness between organisations must span classes: classes are
// served by the earliest target, so a long queue of one organisation in a class of its own
// would be served before the others. No class has a name with a blank.
const organisationsClass = "of organisations"

// maxClasses bounds the classes whose service times are kept.
const maxClasses = 256

func (r *rankQueue) class(name string) *classQueue {
	if cq := r.classes[name]; cq != nil {
		return cq
	}
	if r.classes == nil || len(r.classes) >= maxClasses {
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
	if it.queue.count == 0 {
		r.active = append(r.active, it.queue)
	}
	it.queue.push(it, caller)
}

func (r *rankQueue) pop() *item {
	if len(r.pinned) > 0 {
		return r.popPinned()
	}
	var best *classQueue
	for _, cq := range r.active {
		if best == nil || cq.first().before(best.first()) {
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
	it.queue.remove(it)
	r.dropIfEmpty(it.queue)
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

// classQueue holds the waiting requests of one class, in one flow per caller. It
// serves the flows by start-time fair queueing: each request has a start tag, and a
// caller's next request has a later start tag than its last one. Among equal start
// tags the earliest deadline is served first.
type classQueue struct {
	name        string
	flows       map[string]*flow // by caller, including idle ones already served at virtualTime
	active      flowHeap
	virtualTime uint64 // start tag of the last request popped
	count       int
	cost        average // service time, seconds
	base        average // service time at the current limit, for the limiter
	budget      float64 // mean time from arrival to deadline, seconds
}

// flow holds the waiting requests of one caller in one class.
type flow struct {
	caller   string
	items    itemHeap
	startTag uint64 // of the first waiting request, or of the next one if none waits
	index    int
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
		f.startTag = max(f.startTag, q.virtualTime)
		heap.Push(&q.active, f)
		return
	}
	heap.Fix(&q.active, f.index)
}

// first returns the next request. The class must not be empty.
func (q *classQueue) first() *item { return q.active[0].items[0] }

func (q *classQueue) pop() *item {
	f := q.active[0]
	if f.startTag > q.virtualTime {
		q.virtualTime = f.startTag
		q.dropIdleFlows()
	}
	it := heap.Pop(&f.items).(*item)
	f.startTag++
	q.updateFlow(f)
	return it
}

// restoreStartTag undoes the advance of a flow's start tag after the request that
// was popped is refused. Otherwise a caller whose first requests all miss their
// deadline would never get its share.
func (q *classQueue) restoreStartTag(f *flow) {
	if f == nil {
		return
	}
	f.startTag--
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
	}
}

func (q *classQueue) remove(it *item) {
	heap.Remove(&it.flow.items, it.index)
	q.updateFlow(it.flow)
}

// updateFlow restores the heap order after a request was removed from the flow.
func (q *classQueue) updateFlow(f *flow) {
	q.count--
	if len(f.items) > 0 {
		heap.Fix(&q.active, f.index)
		return
	}
	heap.Remove(&q.active, f.index)
	if q.count == 0 {
		clear(q.flows)
		q.virtualTime = 0
		return
	}
	if f.startTag <= q.virtualTime {
		delete(q.flows, f.caller)
	}
}

// dropIdleFlows removes flows without waiting requests whose start tag has been
// reached. It runs once per advance of the virtual time, so its amortised cost per
// request is constant.
func (q *classQueue) dropIdleFlows() {
	for caller, f := range q.flows {
		if len(f.items) == 0 && f.startTag <= q.virtualTime {
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

func (q *classQueue) observeBudget(d time.Duration) {
	if q.budget == 0 {
		q.budget = d.Seconds()
		return
	}
	q.budget += (d.Seconds() - q.budget) / 16
}

// before reports whether an item is served before another one of its flow: items that
// can meet their target first, then by sort key, then by arrival.
func (it *item) before(other *item) bool {
	if it.late != other.late {
		return other.late
	}
	if it.order != other.order {
		return it.order < other.order
	}
	return it.seq < other.seq
}

// itemHeap is a heap of items in the order of before.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
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

// flowHeap is a heap of flows: those whose first request can meet its target first,
// then by start tag, then by the first request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i].head(), h[j].head()
	if a.late != b.late {
		return b.late
	}
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return a.before(b)
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
