package admission

import (
	"testing"
	"time"
)

var (
	simSeeds    = []uint64{1, 2, 3}
	simPolicies = []Policy{PolicyTargets, PolicyFIFO, PolicyStrict}
)

// Short runs suffice for the baselines, which miss the targets by far.
var simLength = map[Policy]time.Duration{PolicyTargets: 120 * time.Second, PolicyFIFO: 20 * time.Second, PolicyStrict: 20 * time.Second}

// normalLoad is 80 % of the capacity, the "normal load" to which the targets refer.
func normalLoad() []stream { return []stream{urgent(0.30), normal(0.25), background(0.25)} }

// runAll runs all policies and returns the results by policy, one per seed.
func runAll(t *testing.T, streams ...stream) map[Policy][]map[string]*outcome {
	t.Helper()
	all := make(map[Policy][]map[string]*outcome)
	for _, p := range simPolicies {
		for _, seed := range simSeeds {
			rs := newSim(p, seed, simLength[p], streams...).run()
			logOutcomes(t, p, seed, rs)
			all[p] = append(all[p], rs)
		}
	}
	return all
}

func totalGoodput(rs map[string]*outcome) (goodput float64) {
	for _, o := range rs {
		goodput += o.goodput
	}
	return goodput
}

// Guards against background overload that delays urgent work, as it does with FIFO.
func TestBackgroundOverload(t *testing.T) {
	t.Parallel()
	normalRuns := runAll(t, normalLoad()...)
	overloadRuns := runAll(t, urgent(0.30), normal(0.25), background(10))
	var normalP99, overloadP99 time.Duration
	for i := range simSeeds {
		o := overloadRuns[PolicyTargets][i]
		if got := o["confirm"].onTargetRatio(); got < 0.99 {
			t.Errorf("seed %d: %.4f of urgent work within target, want at least 0.99", simSeeds[i], got)
		}
		if got := totalGoodput(o); got < 0.90 {
			t.Errorf("seed %d: goodput %.3f of capacity, want at least 0.90", simSeeds[i], got)
		}
		normalP99 += normalRuns[PolicyTargets][i]["confirm"].p99()
		overloadP99 += o["confirm"].p99()
		if got := overloadRuns[PolicyFIFO][i]["confirm"].onTargetRatio(); got > 0.9 {
			t.Errorf("seed %d: FIFO served %.4f of urgent work within target; the scenario is too easy", simSeeds[i], got)
		}
	}
	ratio := float64(overloadP99) / float64(normalP99)
	t.Logf("urgent p99 under overload is %.3f times that under normal load", ratio)
	if ratio > 1.05 {
		t.Errorf("urgent p99 grew by a factor of %.3f, want at most 1.05", ratio)
	}
}

// Guards against urgent overload that starves the lower ranks, as it does with strict
// priority.
func TestUrgentOverload(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name          string
		streams       []stream
		normal, back  float64 // least share of capacity
		urgent, total float64
	}{
		{"one lower rank waits", []stream{urgent(3), normal(0), background(0.25)}, 0, 0.10, 0.85, 0.90},
		{"one waits and one asks for little", []stream{urgent(3), normal(0.25), background(0.03)}, 0.10, 0.028, 0.85, 0.90},
		// The two targets exclude each other here; see GuaranteedShare.
		{"both lower ranks wait", []stream{urgent(3), normal(0.25), background(0.25)}, 0.10, 0.10, 0.75, 0.90},
		{"both overload", []stream{urgent(3), normal(0.25), background(10)}, 0.10, 0.10, 0.75, 0.90},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			all := runAll(t, c.streams...)
			for i, seed := range simSeeds {
				o := all[PolicyTargets][i]
				for class, least := range map[string]float64{"confirm": c.urgent, "book": c.normal, "browse": c.back} {
					if got := o[class].goodput; got < least {
						t.Errorf("seed %d: %s got %.3f of capacity, want at least %.3f", seed, class, got, least)
					}
				}
				if got := totalGoodput(o); got < c.total {
					t.Errorf("seed %d: goodput %.3f of capacity, want at least %.2f", seed, got, c.total)
				}
				if got := all[PolicyStrict][i]["browse"].goodput; got > 0.01 {
					t.Errorf("seed %d: strict priority left %.3f to background work; the scenario is too easy", seed, got)
				}
				if got := all[PolicyFIFO][i]["confirm"].goodput; got > 0.75 {
					t.Errorf("seed %d: FIFO gave urgent work %.3f of capacity; the scenario is too easy", seed, got)
				}
			}
		})
	}
}

// Guards against a caller that takes the capacity of other callers by sending more
// requests.
func TestFloodingCaller(t *testing.T) {
	t.Parallel()
	book := normal(1.2)
	book.callers, book.skew = 8, 10
	all := runAll(t, urgent(0.2), book, background(0.1))
	for i, seed := range simSeeds {
		counts := all[PolicyTargets][i]["book"].perCaller
		got, fifo, strict := jainIndex(counts), jainIndex(all[PolicyFIFO][i]["book"].perCaller), jainIndex(all[PolicyStrict][i]["book"].perCaller)
		t.Logf("seed %d: Jain's index over 8 callers, one sending 10 times as much: targets %.3f, FIFO %.3f, strict %.3f", seed, got, fifo, strict)
		if got < 0.95 {
			t.Errorf("seed %d: Jain's index %.3f, want at least 0.95", seed, got)
		}
		if fifo > 0.8 || strict > 0.8 {
			t.Errorf("seed %d: Jain's index of a baseline is above 0.8; the scenario is too easy", seed)
		}
	}
}

// Guards against a concurrency limit that stays above the database's slots, so that
// urgent work queues in the database, or below them, so that capacity is lost.
func TestLimitFollowsSlots(t *testing.T) {
	t.Parallel()
	for _, seed := range simSeeds {
		s := newSim(PolicyTargets, seed, 170*time.Second, urgent(0.2), normal(0.2), background(5))
		s.at(60*time.Second, func() { s.slots = 1 })
		s.at(120*time.Second, func() { s.slots = 2 })
		s.run()
		for _, w := range []struct{ from, to, want int }{{10, 60, 2}, {65, 120, 1}, {135, 180, 2}} {
			matches := 0
			for at := w.from; at < w.to; at++ {
				if s.limitAt[time.Duration(at)*time.Second] == w.want {
					matches++
				}
			}
			share := float64(matches) / float64(w.to-w.from)
			t.Logf("seed %d: limit %d during %.0f %% of seconds %d to %d", seed, w.want, 100*share, w.from, w.to)
			if share < 0.9 {
				t.Errorf("seed %d: the limit was %d during %.2f of seconds %d to %d, want at least 0.9", seed, w.want, share, w.from, w.to)
			}
		}
	}
}
