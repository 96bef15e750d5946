package membership

// queue holds values that are to be sent a number of times, those sent least
// often first. A newer value for a key replaces the older one.
type queue[T any] struct {
	maxEntries  int // entries; the ones sent most often are dropped first
	entries     map[string]*entry[T]
	byTransmits [][]*entry[T] // by times sent; replaced entries are skipped
}

type entry[T any] struct {
	key       string
	value     T
	transmits int
	removed   bool
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{maxEntries: limit, entries: make(map[string]*entry[T])}
}

func (q *queue[T]) put(key string, value T) {
	if old, ok := q.entries[key]; ok {
		old.removed = true
	} else if len(q.entries) >= q.maxEntries {
		q.dropMostSent()
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

// undoTransmit takes back the count of one sending that did not arrive. A value that
// was replaced since stays replaced.
func (q *queue[T]) undoTransmit(key string, same func(T) bool, value T, times int) {
	old, ok := q.entries[key]
	switch {
	case !ok && len(q.entries) < q.maxEntries:
		e := &entry[T]{key: key, value: value, transmits: times - 1}
		q.entries[key] = e
		q.push(e)
	case ok && same(old.value) && old.transmits > 0:
		old.removed = true
		e := &entry[T]{key: key, value: value, transmits: old.transmits - 1}
		q.entries[key] = e
		q.push(e)
	}
}

func (q *queue[T]) dropMostSent() {
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

// budget bounds what a message takes from a queue.
type budget struct {
	count, bytes  int
	transmitLimit int // a value that was sent so often is removed
}

// take returns values within the budget and counts them as sent. Values that
// skip, if not nil, selects are left in the queue.
func (q *queue[T]) take(b budget, size func(T) int, skip func(T) bool) []T {
	var out []T
	count, bytes := b.count, b.bytes
	var again []*entry[T]
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
				again = append(again, e)
				continue
			}
			out = append(out, e.value)
			bytes -= size(e.value)
			count--
			if e.transmits++; e.transmits < b.transmitLimit {
				again = append(again, e)
				continue
			}
			delete(q.entries, e.key)
		}
	}
	for _, e := range again {
		q.push(e)
	}
	return out
}
