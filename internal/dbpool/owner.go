package dbpool

import (
	"errors"
	"fmt"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// NotSentError means that an owner did not send a request to the database.
// Nothing of the request was run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the owner's error.
func (e *NotSentError) Unwrap() error { return e.Cause }

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

// RunCommands runs commands of another instance's session with its session
// variables. The commands name prepared statements by the keys of prepared. An
// error means that the outcome is unknown and the lease must be discarded.
func (l *Lease) RunCommands(deadline time.Time, variables map[string]string, prepared map[string]PreparedStatement, commands []statement.Command) ([]statement.Answer, error) {
	setup := l.conn.syncVariables(variables)
	named := make([]statement.Command, len(commands))
	for i, c := range commands {
		if c.Name != "" {
			stmt, ok := prepared[c.Name]
			if !ok {
				return nil, fmt.Errorf("prepared statement %s does not exist in the session", c.Name)
			}
			name, prepare := l.conn.prepare(stmt)
			setup = append(setup, prepare...)
			c.Name = name
		}
		named[i] = c
	}
	answers, err := l.do(deadline, append(setup, named...))
	if err != nil {
		return nil, err
	}
	if err := l.checkSetup(answers[:len(setup)]); err != nil {
		return nil, err
	}
	return answers[len(setup):], nil
}
