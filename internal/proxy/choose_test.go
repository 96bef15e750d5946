package proxy

import (
	"testing"
	"time"

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/statement"
)

// Guards against a cost estimate that ignores one of its inputs: each of them must
// raise the cost above that of the same database without it.
func TestEachInputRaisesCost(t *testing.T) {
	at := statement.Position{Term: 1, Number: 9}
	plain := dbpool.Load{MeanLatency: 10 * time.Millisecond, MaxOpen: 2, Idle: 1, Position: at}
	base := cost(plain, false, false, at)
	change := func(f func(*dbpool.Load)) dbpool.Load {
		l := plain
		f(&l)
		return l
	}
	for name, c := range map[string]time.Duration{
		"another data centre": cost(plain, true, false, at),
		"the primary":         cost(plain, false, true, at),
		"behind":              cost(change(func(l *dbpool.Load) { l.Position.Number = 1 }), false, false, at),
		"no open connection":  cost(change(func(l *dbpool.Load) { l.Idle = 0 }), false, false, at),
		"slower":              cost(change(func(l *dbpool.Load) { l.MeanLatency *= 2 }), false, false, at),
		"a queue":             cost(change(func(l *dbpool.Load) { l.Queued = 1 }), false, false, at),
		"at its limit":        cost(change(func(l *dbpool.Load) { l.AtLimit = true }), false, false, at),
	} {
		if c <= base {
			t.Errorf("%s costs %v, want more than %v", name, c, base)
		}
	}
	scarce := change(func(l *dbpool.Load) { l.Idle, l.Oversubscribed = 0, true })
	if cost(scarce, false, false, at) <= cost(change(func(l *dbpool.Load) { l.Idle = 0 }), false, false, at) {
		t.Error("opening a connection to an oversubscribed database costs no more than to another")
	}
}
