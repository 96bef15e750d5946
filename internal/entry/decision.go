package entry

import (
	"context"
	"errors"
	"net"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
	"geraniumbeam/internal/wire"
)

// sqlStateReadOnly is read_only_sql_transaction, the SQLSTATE with which a replica
// refuses a write. It proves that the batch changed nothing.
const sqlStateReadOnly = "25006"

// action is what to do after an attempt.
type action int

const (
	actionAnswer action = iota // return the answer
	actionRefuse               // return the error
	actionRetry                // try another database or pool, or the same one later
)

type decision struct {
	action action
	err    *result.Error
}

// evaluate decides what to do after an attempt.
func (r *requestRunner) evaluate(at attempt, resp *wire.ExecuteResponse, err error) decision {
	failure := callFailure(at, r.inFlight, resp, err)
	r.server.breakers.update(at, failure, r.server.now())
	if failure != nil && isNotHandled(failure.Code) {
		r.notHandledBy[at.address] = true
	}
	if failure == nil && !at.target.Primary && firstError(resp.GetAnswer()) == sqlStateReadOnly {
		r.primaryOnly = true
		return decision{actionRetry, result.Errorf(result.NotPrimary, "a replica refused the batch because it writes")}
	}
	if failure == nil {
		return decision{actionAnswer, nil}
	}
	if failure.Ran != result.RanNo {
		return r.evaluateUncertain(at, failure)
	}
	if !isRetryable(failure.Code) {
		return decision{actionRefuse, failure}
	}
	if needsPrimaryLookup(at.target, failure.Code) {
		r.server.resolver.trigger(r.request.group)
	}
	return decision{actionRetry, failure}
}

// evaluateUncertain decides for a request that was run or may have been run. It is
// repeated only if running it twice is safe.
func (r *requestRunner) evaluateUncertain(at attempt, failure *result.Error) decision {
	if failure.Code == result.AnswerTooLarge || failure.Code == result.Cancelled || failure.Ran == result.RanYes {
		return decision{actionRefuse, failure}
	}
	if !r.mayRunTwice(at) {
		return decision{actionRefuse, outcomeUnknown(failure)}
	}
	if !r.server.budgets.Class(r.request.class.ObjectName()).Spend() {
		if r.request.onlyBegins {
			return decision{actionRefuse, result.Errorf(result.RolledBack, "the transaction was not started: %s", failure.Message)}
		}
		return decision{actionRefuse, outcomeUnknown(failure)}
	}
	r.mayHaveRun = r.mayHaveRun || !r.cannotHaveWritten(at)
	return decision{actionRetry, failure}
}

func outcomeUnknown(failure *result.Error) *result.Error {
	return result.Errorf(result.OutcomeUnknown, "the request was sent but its answer was lost: %s", failure.Message)
}

// mayRunTwice reports whether the batch may run a second time.
func (r *requestRunner) mayRunTwice(at attempt) bool {
	return r.request.class.Repeatable || r.request.hasNoEffect() || r.cannotHaveWritten(at) || r.server.cfg.Settings.Unsafe.RetryAfterSend
}

// cannotHaveWritten reports whether an attempt cannot have written: it went to a
// replica, which refuses writes, and the statements are read-only as well, because
// the replica may have been promoted since.
func (r *requestRunner) cannotHaveWritten(at attempt) bool {
	return !at.target.Primary && r.request.readOnly
}

// isRetryable reports whether another attempt may succeed after a refusal with c.
// Refusals because of load are never retried, as retries would add to the load.
func isRetryable(c result.Code) bool {
	switch c {
	case result.Overloaded, result.ConnectionsBusy, result.RetryBudgetSpent, result.RateLimited,
		result.DeadlineBeforeRun, result.RolledBack:
		return false
	}
	return result.Lookup(c).Retryable
}

// isNotHandled reports whether the code means that the pool did not handle the
// request, so that the other owner of the database should be tried.
func isNotHandled(c result.Code) bool {
	switch c {
	case result.NotOwner, result.InstanceDown, result.ShuttingDown, result.OutcomeUnknown:
		return true
	}
	return false
}

// needsPrimaryLookup reports whether a failure suggests that the known primary is
// outdated.
func needsPrimaryLookup(t route.Target, c result.Code) bool {
	switch c {
	case result.NotPrimary, result.NoPrimary:
		return true
	case result.DatabaseDown, result.DatabaseLeaving, result.Unverified, result.InstanceDown:
		return t.Primary
	}
	return false
}

// callFailure returns the error of a call, or nil if the request was answered. A
// call that broke off after it was sent is InstanceDown with an unknown outcome.
func callFailure(at attempt, f *inFlightRequest, resp *wire.ExecuteResponse, err error) *result.Error {
	switch {
	case err != nil && notSent(err):
		return result.Errorf(result.InstanceDown, "instance at %s is unreachable: %w", at.address, err)
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		return result.Errorf(result.InstanceDown, "no answer from the instance at %s before the deadline",
			at.address).WithRan(result.RanUnknown)
	case err != nil:
		return result.Errorf(result.InstanceDown, "call to the instance at %s failed: %w",
			at.address, err).WithRan(result.RanUnknown)
	case !f.matches(resp):
		return result.Errorf(result.OutcomeUnknown, "the instance at %s returned the answer of another request", at.address)
	}
	if e := result.From(resp.GetFailure().Err()); e != nil {
		return e
	}
	if _, _, err := splitReady(resp.GetAnswer()); err != nil {
		return result.From(err)
	}
	return nil
}

// notSent reports whether a call failed before any byte of it was sent, because
// the connection could not be opened.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
