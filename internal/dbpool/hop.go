package dbpool

import (
	"errors"
	"fmt"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// NotSentError means that an owner did not start a request; nothing of it was
// run.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the owner's reason.
func (e *NotSentError) Unwrap() error { return e.Cause }

// refusedByOwner reports whether an owner that works refused a request, for load
// or for its deadline.
func refusedByOwner(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent) && !result.Is(notSent.Cause, result.DatabaseDown)
}

// Prioritizer is a connection that passes the order of work on.
type Prioritizer interface {
	// Prioritize sets what the next exchanges are for.
	Prioritize(r admission.Request)
}

// ReleaseNotSent ends the lease of a request that an owner did not start. The connection
// is kept if the owner works: a new one costs both sides more than a statement.
func (l *Lease) ReleaseNotSent(notSent *NotSentError) {
	if refusedByOwner(notSent) {
		l.Release()
		return
	}
	l.Discard()
}

// RunCommands runs commands of another instance's session, which names prepared
// statements as shapes does. An error means that the outcome is unknown; the
// lease must be discarded then.
func (l *Lease) RunCommands(deadline time.Time, variables map[string]string, shapes map[string]PreparedStatement, commands []statement.Command) ([]statement.Answer, error) {
	setup := l.conn.align(variables)
	named := make([]statement.Command, len(commands))
	for i, c := range commands {
		if c.Name != "" {
			shape, ok := shapes[c.Name]
			if !ok {
				return nil, fmt.Errorf("the prepared statement %s is not known", c.Name)
			}
			name, prepare := l.conn.prepare(shape)
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
