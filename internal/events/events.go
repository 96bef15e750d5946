// Package events records the decisions of an instance in a bounded ring buffer, so
// that operators can look up what happened to a request or a group.
package events

import (
	"expvar"
	"slices"
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

// Event is one recorded decision. Fields that do not apply are empty.
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

// Recorder records events.
type Recorder interface {
	Record(e Event)
}

// Ring keeps the newest events. It is safe for concurrent use.
type Ring struct {
	instance string
	now      func() time.Time
	sink     func(Event) // may be nil

	counts *expvar.Map // by kind

	mu sync.Mutex
	// requests holds events that belong to a request, decisions all others, so
	// that a burst of refused requests does not evict the events of a failover.
	requests  buffer
	decisions buffer
}

// buffer is a ring buffer of events.
type buffer struct {
	events []Event
	next   int
	full   bool
}

func (b *buffer) add(e Event) {
	b.events[b.next] = e
	b.next++
	if b.next == len(b.events) {
		b.next, b.full = 0, true
	}
}

// ordered returns the events, oldest first. The result must not be changed.
func (b *buffer) ordered() []Event {
	if !b.full {
		return b.events[:b.next]
	}
	return slices.Concat(b.events[b.next:], b.events[:b.next])
}

// DefaultSize is the number of events that an instance keeps. With texts of about
// 200 bytes they take less than 2 MB.
const DefaultSize = 4096

// decisionDivisor sets the fraction of a ring, 1/decisionDivisor, for events that do
// not belong to a request. At 12 failovers per day it covers several days.
const decisionDivisor = 4

// NewRing returns a ring of size events, at least 2. If sink is not nil, it is called
// with each event, for logging. It must not block.
func NewRing(instance string, size int, now func() time.Time, sink func(Event)) *Ring {
	decisions := max(1, size/decisionDivisor)
	return &Ring{
		instance: instance, now: now, sink: sink,
		counts:    new(expvar.Map).Init(),
		requests:  buffer{events: make([]Event, size-decisions)},
		decisions: buffer{events: make([]Event, decisions)},
	}
}

// Vars returns the number of recorded events by kind.
func (r *Ring) Vars() expvar.Var { return r.counts }

// Record implements Recorder. It sets Time and Instance.
func (r *Ring) Record(e Event) {
	e.Time = r.now()
	e.Instance = r.instance
	r.counts.Add(string(e.Kind), 1)
	r.mu.Lock()
	if e.Request != "" {
		r.requests.add(e)
	} else {
		r.decisions.add(e)
	}
	r.mu.Unlock()
	if r.sink != nil {
		r.sink(e)
	}
}

// Find returns the newest events that match, at most limit, oldest first. An empty
// request or group matches all events; limit 0 means no limit.
func (r *Ring) Find(request, group string, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := match(r.requests.ordered(), request, group)
	if request == "" {
		out = append(out, match(r.decisions.ordered(), "", group)...)
		slices.SortStableFunc(out, func(a, b Event) int { return a.Time.Compare(b.Time) })
	}
	return newest(out, limit)
}

// Decisions returns the newest events of a group that do not belong to a request, at
// most limit, oldest first. An empty group matches all events; limit 0 means no
// limit.
func (r *Ring) Decisions(group string, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return newest(match(r.decisions.ordered(), "", group), limit)
}

func match(in []Event, request, group string) []Event {
	var out []Event
	for _, e := range in {
		if (request == "" || e.Request == request) && (group == "" || e.Group == group) {
			out = append(out, e)
		}
	}
	return out
}

func newest(in []Event, limit int) []Event {
	if limit > 0 && len(in) > limit {
		return in[len(in)-limit:]
	}
	return in
}
