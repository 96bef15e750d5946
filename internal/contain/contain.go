// Package contain keeps a panic from ending the process.
//
// Invariant: a panic is contained only where the state that the function shares with
// others is whole at any point where it may panic, such as one session, one request
// of a peer or one pass of a background task. It is always logged with its stack and
// counted.
package contain

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// restartDelay is the delay before a background task is run again after a panic.
const restartDelay = 1 * time.Second

var panics atomic.Int64

// Panics returns the number of contained panics since the process started.
func Panics() int64 { return panics.Load() }

// Run calls f and reports whether it panicked.
func Run(log zerolog.Logger, what string, f func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			panics.Add(1)
			log.Error().Str("task", what).Interface("panic", cause).Str("stack", string(debug.Stack())).
				Msg("A panic was contained. The rest of the process goes on.")
		}
	}()
	f()
	return false
}

// Loop calls f, which works until ctx ends, and calls it again after a panic.
func Loop(ctx context.Context, log zerolog.Logger, what string, f func(context.Context)) {
	for Run(log, what, func() { f(ctx) }) {
		t := time.NewTimer(restartDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
