package membership

// queue holds values that are to be sent a number of times, those sent least
// often first. A newer value for a key replaces the older one.
type queue[T any] struct {
	limit   int // entries; the ones sent most often are dropped first
	entries map[string]*entry[T]
	byCount [][]*entry[T] // by times sent; replaced entries are skipped
}

type entry[T any] struct {
	key   string
	value T
	sent  int
	gone  bool
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{limit: limit, entries: make(map[string]*entry[T])}
}

func (q *queue[T]) put(key string, value T) {
	if old, ok := q.entries[key]; ok {
		old.gone = true
	} else if len(q.entries) >= q.limit {
		q.dropMostSent()
	}
	e := &entry[T]{key: key, value: value}
	q.entries[key] = e
	q.push(e)
}

func (q *queue[T]) remove(key string) {
	if e, ok := q.entries[key]; ok {
		e.gone = true
		delete(q.entries, key)
	}
}

func (q *queue[T]) push(e *entry[T]) {
	for len(q.byCount) <= e.sent {
		q.byCount = append(q.byCount, nil)
	}
	q.byCount[e.sent] = append(q.byCount[e.sent], e)
}

// retry takes back the count of one sending that did not arrive. A value that
// was replaced since stays replaced.
func (q *queue[T]) retry(key string, same func(T) bool, value T, times int) {
	old, ok := q.entries[key]
	switch {
	case !ok && len(q.entries) < q.limit:
		e := &entry[T]{key: key, value: value, sent: times - 1}
		q.entries[key] = e
		q.push(e)
	case ok && same(old.value) && old.sent > 0:
		old.gone = true
		e := &entry[T]{key: key, value: value, sent: old.sent - 1}
		q.entries[key] = e
		q.push(e)
	}
}

func (q *queue[T]) dropMostSent() {
	for i := len(q.byCount) - 1; i >= 0; i-- {
		for len(q.byCount[i]) > 0 {
			e := q.byCount[i][0]
			q.byCount[i] = q.byCount[i][1:]
			if !e.gone {
				delete(q.entries, e.key)
				return
			}
		}
	}
}

// budget bounds what a message takes from a queue.
type budget struct {
	count, bytes int
	times        int // a value that was sent so often is removed
}

// take returns values within the budget and counts them as sent. Values that
// skip, if not nil, selects are left in the queue.
func (q *queue[T]) take(b budget, size func(T) int, skip func(T) bool) []T {
	var out []T
	count, bytes := b.count, b.bytes
	var again []*entry[T]
	for i := range q.byCount {
		for len(q.byCount[i]) > 0 && count > 0 {
			last := len(q.byCount[i]) - 1
			e := q.byCount[i][last]
			if !e.gone && size(e.value) > bytes {
				count = 0
				break
			}
			q.byCount[i] = q.byCount[i][:last]
			if e.gone {
				continue
			}
			if skip != nil && skip(e.value) {
				again = append(again, e)
				continue
			}
			out = append(out, e.value)
			bytes -= size(e.value)
			count--
			if e.sent++; e.sent < b.times {
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
