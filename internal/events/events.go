// Package events keeps the decisions of an instance in a bounded ring buffer,
// so that operators can ask afterwards what happened to a request or a group.
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

	counts *expvar.Map // by kind

	mu sync.Mutex
	// requests holds the events of single requests, decisions all others, so
	// that a burst of refused requests does not push out a change of primary.
	requests  buffer
	decisions buffer
}

// buffer holds the newest events.
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

// DefaultSize is the number of events an instance keeps; with texts of about
// 200 bytes it takes less than 2 MB.
const DefaultSize = 4096

// decisionShare is the part of a ring that holds events without a request. At
// 12 changes of primary a day it covers days.
const decisionShare = 4

// NewRing returns a ring of size events, at least 2. sink, if not nil, also receives each
// event, for logging; it must not block.
func NewRing(instance string, size int, now func() time.Time, sink func(Event)) *Ring {
	decisions := max(1, size/decisionShare)
	return &Ring{
		instance: instance, now: now, sink: sink,
		counts:    new(expvar.Map).Init(),
		requests:  buffer{events: make([]Event, size-decisions)},
		decisions: buffer{events: make([]Event, decisions)},
	}
}

// Vars returns the number of events by kind since the start.
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

// Find returns up to limit of the newest events that match, oldest first. An
// empty request or group matches all; limit 0 means no limit.
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

// Decisions returns up to limit of the newest events about a group that belong
// to no request, oldest first. An empty group matches all; limit 0 means no
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
