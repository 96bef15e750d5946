package membership

// queue holds values that are each sent a limited number of times, those sent
// least often first. A newer value for a key replaces the older one.
type queue[T any] struct {
	maxEntries  int // above it the value sent most often is evicted
	entries     map[string]*entry[T]
	byTransmits [][]*entry[T] // by number of transmissions; may hold removed entries
}

type entry[T any] struct {
	key       string
	value     T
	transmits int
	removed   bool
}

func newQueue[T any](maxEntries int) *queue[T] {
	return &queue[T]{maxEntries: maxEntries, entries: make(map[string]*entry[T])}
}

func (q *queue[T]) put(key string, value T) {
	if old, ok := q.entries[key]; ok {
		old.removed = true
	} else if len(q.entries) >= q.maxEntries {
		q.evictMostSent()
	}
	e := &entry[T]{key: key, value: value}
	q.entries[key] = e
	q.push(e)
}

func (q *queue[T]) remove(key string) {
	if e, ok := q.entries[key]; ok {
		e.removed = true
		delete(q.entries, key)
	}
}

func (q *queue[T]) push(e *entry[T]) {
	for len(q.byTransmits) <= e.transmits {
		q.byTransmits = append(q.byTransmits, nil)
	}
	q.byTransmits[e.transmits] = append(q.byTransmits[e.transmits], e)
}

// undoTransmit reverts the count of a transmission that was lost; transmitLimit
// restores the count of a value that was already removed from the queue. A value
// that was replaced in the meantime stays replaced.
func (q *queue[T]) undoTransmit(key string, same func(T) bool, value T, transmitLimit int) {
	old, ok := q.entries[key]
	switch {
	case !ok && len(q.entries) < q.maxEntries:
		e := &entry[T]{key: key, value: value, transmits: transmitLimit - 1}
		q.entries[key] = e
		q.push(e)
	case ok && same(old.value) && old.transmits > 0:
		old.removed = true
		e := &entry[T]{key: key, value: value, transmits: old.transmits - 1}
		q.entries[key] = e
		q.push(e)
	}
}

func (q *queue[T]) evictMostSent() {
	for i := len(q.byTransmits) - 1; i >= 0; i-- {
		for len(q.byTransmits[i]) > 0 {
			e := q.byTransmits[i][0]
			q.byTransmits[i] = q.byTransmits[i][1:]
			if !e.removed {
				delete(q.entries, e.key)
				return
			}
		}
	}
}

// budget limits what one message takes from a queue.
type budget struct {
	count, bytes  int
	transmitLimit int // transmissions after which a value is removed
}

// take returns values within the budget and counts a transmission of each.
// Values for which skip returns true stay in the queue; skip may be nil.
func (q *queue[T]) take(b budget, size func(T) int, skip func(T) bool) []T {
	var out []T
	count, bytes := b.count, b.bytes
	var requeue []*entry[T]
	for i := range q.byTransmits {
		for len(q.byTransmits[i]) > 0 && count > 0 {
			last := len(q.byTransmits[i]) - 1
			e := q.byTransmits[i][last]
			if !e.removed && size(e.value) > bytes {
				count = 0
				break
			}
			q.byTransmits[i] = q.byTransmits[i][:last]
			if e.removed {
				continue
			}
			if skip != nil && skip(e.value) {
				requeue = append(requeue, e)
				continue
			}
			out = append(out, e.value)
			bytes -= size(e.value)
			count--
			if e.transmits++; e.transmits < b.transmitLimit {
				requeue = append(requeue, e)
				continue
			}
			delete(q.entries, e.key)
		}
	}
	for _, e := range requeue {
		q.push(e)
	}
	return out
}
