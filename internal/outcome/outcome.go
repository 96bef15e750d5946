// Package outcome implements the state machine of a request at the pool. It
// decides which outcome is reported and whether the request may be retried. It
// performs no I/O.
//
// Invariants: "not run" is reported only if no byte was sent or if the answer of
// the database proves that nothing took effect. A request is retried only if it
// was not run or is repeatable.
package outcome

import "geraniumbeam/internal/result"

// State is the progress of a request.
type State int

// States, in the order in which a request passes through them.
const (
	Queued State = iota // no byte has been sent to the database
	Sent                // sending has begun
	Done                // the complete answer has arrived
)

// String returns the state's name.
func (s State) String() string { return [...]string{"queued", "sent", "done"}[s] }

// Effect is what the answer proves about the effect of the request on the data.
type Effect int

// Effects.
const (
	// EffectUnknown means that the batch may have taken effect.
	EffectUnknown Effect = iota
	// EffectNone means that the database executed no write: it was not a primary
	// before and after the batch, or its log did not advance.
	EffectNone
	// EffectConfirmed means that the effect of the batch is confirmed.
	EffectConfirmed
)

// Request tracks the state of one request.
type Request struct {
	state      State
	effect     Effect
	repeatable bool
}

// New returns a Request in the state Queued.
func New(repeatable bool) Request { return Request{repeatable: repeatable} }

func (r *Request) State() State { return r.state }

// MarkSent records that sending begins. It must be called before the first byte is
// sent.
func (r *Request) MarkSent() {
	if r.state == Queued {
		r.state = Sent
	}
}

// MarkDone records that the complete answer has arrived and what it proves. It
// does not change a request that was not sent.
func (r *Request) MarkDone(p Effect) {
	if r.state != Queued {
		r.state, r.effect = Done, p
	}
}

// Ran returns whether the request was run, as far as it is known.
func (r *Request) Ran() result.Ran {
	switch {
	case r.state == Queued:
		return result.RanNo
	case r.state == Done && r.effect == EffectNone:
		return result.RanNo
	case r.state == Done && r.effect == EffectConfirmed:
		return result.RanYes
	default:
		return result.RanUnknown
	}
}

// MayRetry reports whether the request may be retried after a failure.
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

// Failure returns the error to report for err. If the request was not run, an
// error without a specific code gets the code notRun. Otherwise the code is
// result.OutcomeUnknown, unless err has a code that describes the outcome better.
func (r *Request) Failure(notRun result.Code, err error) *result.Error {
	coded := result.From(err)
	switch ran := r.Ran(); ran {
	case result.RanNo:
		if coded.Code == result.Internal || coded.Code == result.OutcomeUnknown {
			return result.Errorf(notRun, "%w", err).WithRan(result.RanNo)
		}
		if r.state == Queued {
			return coded // for example for a duplicate of a request that may have been run
		}
		return coded.WithRan(result.RanNo)
	default:
		if coded.Code == result.AnswerTooLarge || coded.Code == result.NotSupported {
			if r.state == Sent && coded.Code == result.NotSupported {
				return coded // the protocol adapter sets whether a refused COPY had an effect
			}
			return coded.WithRan(ran)
		}
		return result.Errorf(result.OutcomeUnknown, "%w", err).WithRan(ran)
	}
}
