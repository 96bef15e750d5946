// Package ctl implements the commands of geraniumbeamctl.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// Exit codes of geraniumbeamctl.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the system refused the operation
	ExitUsage       = 2 // the command line or an input file is wrong
	ExitUnreachable = 3 // the platform or an instance did not answer
)

// callTimeout bounds each call to the platform or an instance.
const callTimeout = 5 * time.Second

// Env is what the commands use.
type Env struct {
	Out      io.Writer
	Platform platform.API
	Clients  *wire.Clients
	// Instances are addresses given by the operator; empty means the
	// platform's list.
	Instances []string
}

// ErrUsage marks wrong input.
var ErrUsage = errors.New("bad input")

// ErrUnreachable marks a platform or an instance that did not answer.
var ErrUnreachable = errors.New("unreachable")

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUnreachable), result.Is(err, result.PlatformDown):
		return ExitUnreachable
	case errors.Is(err, ErrUsage), result.Is(err, result.Invalid):
		return ExitUsage
	default:
		return ExitRefused
	}
}

func (e *Env) printf(format string, args ...any) {
	fmt.Fprintf(e.Out, format, args...)
}

// target is an instance to ask.
type target struct {
	name    string
	address string
}

// targets returns the instances to ask, from the command line or from the
// platform's list.
func (e *Env) targets(ctx context.Context) ([]target, error) {
	if len(e.Instances) > 0 {
		out := make([]target, len(e.Instances))
		for i, a := range e.Instances {
			out[i] = target{name: a, address: a}
		}
		return out, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := e.Platform.Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("list instances (give --instance to ask without the platform): %w", err)
	}
	out := make([]target, len(list))
	for i, in := range list {
		out[i] = target{name: in.Name, address: in.Address}
	}
	return out, nil
}

// answer is what one instance answered.
type answer[T any] struct {
	target target
	value  T
	err    error
}

// askAll calls all targets at once and returns the answers in order.
func askAll[T any](ctx context.Context, e *Env, ts []target, call func(context.Context, wire.Admin) (T, error)) []answer[T] {
	out := make([]answer[T], len(ts))
	done := make(chan int)
	for i, t := range ts {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			v, err := call(ctx, e.Clients.Admin(t.address))
			out[i] = answer[T]{target: t, value: v, err: err}
			done <- i
		}()
	}
	for range ts {
		<-done
	}
	return out
}

func unreachable(names []string) error {
	if len(names) == 0 {
		return nil
	}
	return fmt.Errorf("%w: no answer from %v", ErrUnreachable, names)
}
