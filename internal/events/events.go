// Package events keeps the decisions of an instance in a bounded ring buffer,
// so that operators can ask afterwards what happened to a request or a group.
package events

import (
	"sync"
	"time"

	"geraniumbeam/internal/result"
)

// Kind is the type of a decision.
type Kind string

// Kinds.
const (
	KindPromotion     Kind = "promotion"
	KindOwnership     Kind = "ownership"
	KindConfiguration Kind = "configuration"
	KindShed          Kind = "shed"
	KindRetry         Kind = "retry"
	KindStaleRead     Kind = "stale_read"
	KindRefusal       Kind = "refusal"
	KindUnknown       Kind = "outcome_unknown"
	KindMembership    Kind = "membership"
	KindDrain         Kind = "drain"
)

// Event is one decision. Empty fields do not apply.
type Event struct {
	Time     time.Time
	Instance string
	Kind     Kind
	Request  string
	Group    string
	Database string
	Class    string
	Code     result.Code
	Text     string // one short sentence
}

// Recorder takes events.
type Recorder interface {
	Record(e Event)
}

// Ring keeps the newest events. It is safe for concurrent use.
type Ring struct {
	instance string
	now      func() time.Time
	sink     func(Event) // may be nil

	mu   sync.Mutex
	buf  []Event
	next int
	full bool
}

// DefaultSize is the number of events an instance keeps; with texts of about
// 200 bytes it takes less than 2 MB.
const DefaultSize = 4096

// NewRing returns a ring of size events. sink, if not nil, also receives each
// event, for logging; it must not block.
func NewRing(instance string, size int, now func() time.Time, sink func(Event)) *Ring {
	return &Ring{instance: instance, now: now, sink: sink, buf: make([]Event, size)}
}

// Record implements Recorder. It sets Time and Instance.
func (r *Ring) Record(e Event) {
	e.Time = r.now()
	e.Instance = r.instance
	r.mu.Lock()
	r.buf[r.next] = e
	r.next++
	if r.next == len(r.buf) {
		r.next, r.full = 0, true
	}
	r.mu.Unlock()
	if r.sink != nil {
		r.sink(e)
	}
}

// Find returns up to limit of the newest events that match, oldest first. An
// empty request or group matches all.
func (r *Ring) Find(request, group string, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.ordered() {
		if (request == "" || e.Request == request) && (group == "" || e.Group == group) {
			out = append(out, e)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

func (r *Ring) ordered() []Event {
	if !r.full {
		return r.buf[:r.next]
	}
	out := make([]Event, 0, len(r.buf))
	out = append(out, r.buf[r.next:]...)
	return append(out, r.buf[:r.next]...)
}
