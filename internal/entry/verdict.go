package entry

import (
	"context"
	"errors"
	"net"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
	"geraniumbeam/internal/wire"
)

// stateReadOnly is the SQLSTATE with which a replica refuses a write. It
// proves that the batch changed nothing.
const stateReadOnly = "25006"

// step is what follows an attempt.
type step int

const (
	finished step = iota // answered
	refused              // answered with an error
	another              // try elsewhere or later
)

type verdict struct {
	next step
	err  *result.Error
}

// judge decides what follows an attempt.
func (x *runner) judge(at attempt, resp *wire.ExecuteResponse, err error) verdict {
	failure := failureOf(at, x.flight, resp, err)
	x.s.health.learn(at, failure, x.s.now())
	if failure != nil && handledElsewhere(failure.Code) {
		x.turnedAway[at.address] = true
	}
	if failure == nil && !at.target.Primary && firstError(resp.GetAnswer()) == stateReadOnly {
		x.primaryOnly = true
		return verdict{another, result.Errorf(result.NotPrimary, "a replica refused the batch as a write")}
	}
	if failure == nil {
		return verdict{finished, nil}
	}
	if failure.Ran != result.RanNo {
		return x.judgeUncertain(at, failure)
	}
	if !worthAnother(failure.Code) {
		return verdict{refused, failure}
	}
	if needsPrimary(at.target, failure.Code) {
		x.s.resolver.wake(x.r.group)
	}
	return verdict{another, failure}
}

// judgeUncertain handles a request that was run or may have been run. It is
// repeated only if a second run makes no difference.
func (x *runner) judgeUncertain(at attempt, failure *result.Error) verdict {
	if failure.Code == result.AnswerTooLarge || failure.Code == result.Cancelled || failure.Ran == result.RanYes {
		return verdict{refused, failure}
	}
	if !x.repeatable(at) {
		return verdict{refused, unknown(failure)}
	}
	if !x.s.budgets.Class(x.r.class.ObjectName()).Spend() {
		if x.r.begin {
			return verdict{refused, result.Errorf(result.RolledBack, "the transaction was not started: %s", failure.Message)}
		}
		return verdict{refused, unknown(failure)}
	}
	x.maybeRan = x.maybeRan || !x.readOnlyAt(at)
	return verdict{another, failure}
}

func unknown(failure *result.Error) *result.Error {
	return result.Errorf(result.OutcomeUnknown, "the request was sent and its answer was lost: %s", failure.Message)
}

// repeatable reports whether the batch may run a second time.
func (x *runner) repeatable(at attempt) bool {
	return x.r.class.Repeatable || x.r.harmless() || x.readOnlyAt(at) || x.s.cfg.Settings.Unsafe.RetryAfterSend
}

// readOnlyAt reports that an attempt cannot have written: it went to a replica,
// which refuses writes, and the text shows no write either, in case the replica
// was promoted meanwhile.
func (x *runner) readOnlyAt(at attempt) bool { return !at.target.Primary && x.r.pure }

// worthAnother reports whether another attempt may succeed where a request was
// refused with c. Refusals because of load are never repeated, as that would
// add to it.
func worthAnother(c result.Code) bool {
	switch c {
	case result.Overloaded, result.ConnectionsBusy, result.RetryBudgetSpent, result.RateLimited,
		result.DeadlineBeforeRun, result.RolledBack:
		return false
	}
	return result.Lookup(c).Retryable
}

// handledElsewhere reports that a pool did not handle the request, so that the
// other owner of the database is worth asking.
func handledElsewhere(c result.Code) bool {
	switch c {
	case result.NotOwner, result.InstanceDown, result.ShuttingDown, result.OutcomeUnknown:
		return true
	}
	return false
}

// needsPrimary reports that a failure is a reason to ask for the primary.
func needsPrimary(t route.Target, c result.Code) bool {
	switch c {
	case result.NotPrimary, result.NoPrimary:
		return true
	case result.DatabaseDown, result.DatabaseLeaving, result.Unverified, result.InstanceDown:
		return t.Primary
	}
	return false
}

// failureOf turns the result of a call into an error; nil means answered. A
// call that was cut is InstanceDown with an unknown outcome.
func failureOf(at attempt, f *flight, resp *wire.ExecuteResponse, err error) *result.Error {
	switch {
	case err != nil && notSent(err):
		return result.Errorf(result.InstanceDown, "instance at %s could not be reached: %w", at.address, err)
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		return result.Errorf(result.InstanceDown, "no answer from the instance at %s before the deadline",
			at.address).WithRan(result.RanUnknown)
	case err != nil:
		return result.Errorf(result.InstanceDown, "the call to the instance at %s failed: %w",
			at.address, err).WithRan(result.RanUnknown)
	case !f.matches(resp):
		return result.Errorf(result.OutcomeUnknown, "the instance at %s answered another request", at.address)
	}
	if e := result.From(resp.GetFailure().Err()); e != nil {
		return e
	}
	if _, _, err := splitReady(resp.GetAnswer()); err != nil {
		return result.From(err)
	}
	return nil
}

// notSent reports that a call failed before any byte of it was sent: the
// connection could not be opened.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
