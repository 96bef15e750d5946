package dbpool

import (
	"context"
	"errors"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/result"
)

// NotSentError means that the statement of a request was not sent to the database, by
// this instance or by an owner. Nothing of the request was run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the owner's error.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IsNotSent reports whether err is or wraps a NotSentError.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// ownerRefused reports whether err is the refusal of a request by a healthy
// owner, because of load or because of the request's deadline.
func ownerRefused(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent) && !result.Is(notSent.Cause, result.DatabaseDown)
}

// Prioritizer is a connection that forwards the identity and the priority of
// requests to an owner, which has a queue of its own.
type Prioritizer interface {
	// Prioritize sets the request to which the next exchanges belong.
	Prioritize(r admission.Request)
}

// Withdrawer is a connection to an owner that can withdraw a request which the owner has
// not started.
type Withdrawer interface {
	// WithdrawAfter makes the next exchanges end with a NotSentError if ctx ends before
	// the owner has started them.
	WithdrawAfter(ctx context.Context)
}

// ProgressReporter is a connection to an owner that reports while a request waits
// in the owner's queue or runs, so that an owner that is only slow does not count as
// failed.
type ProgressReporter interface {
	// OnProgress sets a function to call for each report.
	OnProgress(f func())
}

// observeProgress records that an owner reported progress.
func (p *Pool) observeProgress() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.answered(now)
}

// ReleaseNotSent ends the lease of a request that an owner did not send. It keeps
// the connection if the owner is healthy: opening a new one costs both sides more
// than a statement.
func (l *Lease) ReleaseNotSent(notSent *NotSentError) {
	if ownerRefused(notSent) {
		l.Release()
		return
	}
	l.Discard()
}
