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

// Guards against a change of the choices in deployments of one region: these are the
// costs before reads were balanced.
func TestCostsOfOneRegionAreUnchanged(t *testing.T) {
	at, behind := statement.Position{Term: 1, Number: 9}, statement.Position{Term: 1, Number: 8}
	ms := func(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }
	for _, c := range []struct {
		load            dbpool.Load
		remote, primary bool
		want            time.Duration
	}{
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Idle: 1, Position: at}, false, false, ms(10)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Idle: 1, Position: at}, true, false, ms(14)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Idle: 1, Position: at}, false, true, ms(30)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Idle: 1, Position: behind}, false, false, ms(22)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Idle: 1, Position: behind}, false, true, ms(30)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Position: at}, false, false, ms(25)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Position: at, Oversubscribed: true}, false, false, ms(85)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, InUse: 2, Position: at}, false, false, ms(20)},
		{dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, InUse: 2, Queued: 3, Position: at, AtLimit: true}, true, false, ms(189)},
		{dbpool.Load{Position: at}, false, false, 0},
	} {
		if got := cost(c.load, c.remote, c.primary, at); got != c.want {
			t.Errorf("%+v, remote %v, primary %v: cost %v, want %v", c.load, c.remote, c.primary, got, c.want)
		}
	}
	near := option{load: dbpool.Load{MeanLatency: ms(10), MaxOpen: 2, Idle: 1, Position: at, RefusedFor: time.Second}, dataCentre: "a", required: at}
	far := option{load: dbpool.Load{MeanLatency: ms(7), MaxOpen: 2, Idle: 1, Position: at}, dataCentre: "b", required: at}
	near.target.waitFor, far.target.waitFor = at, behind
	if got, ok := cheapest([]option{far, near}, "a"); !ok || got.waitFor != at {
		t.Error("the cheapest database is not chosen")
	}
	far.extra = -ms(2)
	if got, _ := cheapest([]option{near, far}, "a"); got.waitFor != behind {
		t.Error("the cheapest database is not chosen")
	}
}
