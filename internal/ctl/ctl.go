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
	ExitUsage       = 2 // the command line or an input file is invalid
	ExitUnreachable = 3 // the platform or an instance did not answer
)

// callTimeout limits each call to the platform or an instance.
const callTimeout = 5 * time.Second

// Env holds the output, the clients and the options that the commands share.
type Env struct {
	Out      io.Writer
	Platform platform.API
	Clients  *wire.Clients
	// Instances are addresses given by the operator; empty means the
	// platform's list.
	Instances []string
}

// ErrUsage marks errors in the command line or an input file.
var ErrUsage = errors.New("bad input")

// ErrUnreachable marks errors about instances that did not answer.
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

// target is an instance to call.
type target struct {
	name    string
	address string
}

// targets returns the instances to call, from the command line or from the
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
		return nil, fmt.Errorf("list instances (use --instance if the platform is unavailable): %w", err)
	}
	out := make([]target, len(list))
	for i, in := range list {
		out[i] = target{name: in.Name, address: in.Address}
	}
	return out, nil
}

// response is the result of a call to one instance.
type response[T any] struct {
	target target
	value  T
	err    error
}

// callAll calls all targets concurrently and returns the responses in their order.
func callAll[T any](ctx context.Context, e *Env, ts []target, call func(context.Context, wire.Admin) (T, error)) []response[T] {
	out := make([]response[T], len(ts))
	done := make(chan int)
	for i, t := range ts {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			v, err := call(ctx, e.Clients.Admin(t.address))
			out[i] = response[T]{target: t, value: v, err: err}
			done <- i
		}()
	}
	for range ts {
		<-done
	}
	return out
}

func unreachableError(names []string) error {
	if len(names) == 0 {
		return nil
	}
	return fmt.Errorf("%w: no answer from %v", ErrUnreachable, names)
}
