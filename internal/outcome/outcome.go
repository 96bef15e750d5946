// Package outcome is the state machine of a request at the pool. It decides
// what may be reported and whether the request may be run again. It does no
// I/O.
//
// Invariants: "not run" is reported only while no byte was sent or when the
// database itself proved that nothing took effect. A request is run again only
// if it was not run, or if it is repeatable.
package outcome

import "geraniumbeam/internal/result"

// State of a request.
type State int

// States, in the order in which a request passes them.
const (
	Queued State = iota // no byte was sent to the database
	Sent                // sending began
	Done                // the whole answer arrived
)

// String returns the state's name.
func (s State) String() string { return [...]string{"queued", "sent", "done"}[s] }

// Effect is what the answer proves about effects that the caller cannot see.
type Effect int

// Proofs.
const (
	// EffectUnknown says nothing: the batch may have had effects.
	EffectUnknown Effect = iota
	// EffectNone means that the database took no write: it was not a primary
	// before and after the batch, or its log did not advance.
	EffectNone
	// EffectConfirmed means that the batch's effect is confirmed.
	EffectConfirmed
)

// Request is the state of one request.
type Request struct {
	state      State
	proof      Effect
	repeatable bool
}

// New returns a queued request.
func New(repeatable bool) Request { return Request{repeatable: repeatable} }

// State returns the current state.
func (r *Request) State() State { return r.state }

// MarkSent records that sending begins. It must be called before the first byte.
func (r *Request) MarkSent() {
	if r.state == Queued {
		r.state = Sent
	}
}

// MarkDone records that the whole answer arrived and what it proves. It has no
// effect on a request that was not sent.
func (r *Request) MarkDone(p Effect) {
	if r.state != Queued {
		r.state, r.proof = Done, p
	}
}

// Ran returns what may be said about whether the request was run.
func (r *Request) Ran() result.Ran {
	switch {
	case r.state == Queued:
		return result.RanNo
	case r.state == Done && r.proof == EffectNone:
		return result.RanNo
	case r.state == Done && r.proof == EffectConfirmed:
		return result.RanYes
	default:
		return result.RanUnknown
	}
}

// MayRetry reports whether the request may be run again after a failure.
func (r *Request) MayRetry() bool {
	switch r.Ran() {
	case result.RanNo:
		return true
	case result.RanYes:
		return false
	default:
		return r.repeatable
	}
}

// Failure returns the failure to report for err. The code notRun is used while
// the request was not run; otherwise the outcome is unknown, unless err
// carries a code that describes the outcome better.
func (r *Request) Failure(notRun result.Code, err error) *result.Error {
	coded := result.From(err)
	switch ran := r.Ran(); ran {
	case result.RanNo:
		if coded.Code == result.Internal || coded.Code == result.OutcomeUnknown {
			return result.Errorf(notRun, "%w", err).WithRan(result.RanNo)
		}
		if r.state == Queued {
			return coded // such as a duplicate of a request that may have been run
		}
		return coded.WithRan(result.RanNo)
	default:
		if coded.Code == result.AnswerTooLarge || coded.Code == result.NotSupported {
			if r.state == Sent && coded.Code == result.NotSupported {
				return coded // the adapter knows whether a COPY had an effect
			}
			return coded.WithRan(ran)
		}
		return result.Errorf(result.OutcomeUnknown, "%w", err).WithRan(ran)
	}
}
