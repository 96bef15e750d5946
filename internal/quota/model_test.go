package quota

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scenario draws faults for a fleet and runs it under overload.
type scenario struct {
	t     *rapid.T
	f     *fleet
	loads []*load
}

// fleetSizes is weighted: small fleets are cheap and find most faults.
var fleetSizes = []int{3, 3, 3, 3, 7, 7, 7, 79, 300}

func runScenario(t *rapid.T, fault string) string {
	n := rapid.SampledFrom(fleetSizes).Draw(t, "instances")
	orgs := []*simOrg{newOrg("a", 100, 100), newOrg("b", 20, 0), newOrg("c", 50, 400)}
	f := newFleet(rapid.Uint64().Draw(t, "seed"), n, testWindow, orgs...)
	f.fault = fault
	steps := 25
	if n > 7 {
		f.step, steps = 20*time.Millisecond, 10
	}
	f.returns = rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "returns")
	s := &scenario{t: t, f: f}
	for _, o := range orgs {
		s.loads = append(s.loads, &load{f: f, org: o, rate: o.limits[0].rate * 3, weights: zipf(f.rng, n, 1), next: f.now})
	}
	f.runLoad(3*time.Second, s.loads...)
	for range steps {
		s.act()
		f.runLoad(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause"))*100*time.Millisecond, s.loads...)
	}
	return f.check()
}

// act injects one fault or ends some.
func (s *scenario) act() {
	f, t := s.f, s.t
	in := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")]
	if rapid.Bool().Draw(t, "coordinator") && f.store.record.token != 0 {
		in = f.instances[f.store.record.instance]
	}
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0:
		in.side = 1 - in.side
	case 1:
		for _, x := range f.instances {
			x.side = f.rng.IntN(2)
		}
	case 2:
		for _, x := range f.instances {
			x.side, x.noStore = 0, false
		}
		f.loss, f.maxDelay, f.storeDown = 0, 6*time.Millisecond, false
	case 3:
		in.pausedUntil = f.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "suspended"))*100*time.Millisecond
	case 4:
		f.start(in)
	case 5:
		f.storeDown = !f.storeDown
	case 6:
		in.noStore = !in.noStore
	case 7:
		f.loss = []float64{0, 0.1, 0.5}[f.rng.IntN(3)]
	case 8:
		f.maxDelay = []time.Duration{6 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[f.rng.IntN(3)]
	case 9:
		s.changeLimit()
	case 10:
		f.takeOver(in) // whatever the reason
	case 11:
		f.restore()
	case 12:
		if in.alloc != nil {
			in.alloc.Stop()
		}
	case 13:
		for _, x := range f.instances {
			f.start(x)
		}
	case 14, 16:
		s.burst()
	case 15, 17:
		for _, l := range s.loads {
			l.rate = l.org.limits[0].rate * []float64{0, 0.5, 0.9, 3}[f.rng.IntN(4)]
			l.weights = zipf(f.rng, len(f.instances), []float64{0, 1, 3}[f.rng.IntN(3)])
		}
	}
}

// changeLimit changes a limit, which the instances learn of at different times.
func (s *scenario) changeLimit() {
	f := s.f
	o := f.orgs[f.rng.IntN(len(f.orgs))]
	o.limits = append(o.limits, simLimit{f.now, []float64{0, 5, 50, 200}[f.rng.IntN(4)], []float64{0, 10, 200}[f.rng.IntN(3)]})
	o.stored = math.MaxFloat64 // cut down to the storage
	for _, x := range f.instances {
		x.configLag = time.Duration(f.rng.Int64N(int64(configTime)))
	}
}

// burst takes all permits that the instances have stored.
func (s *scenario) burst() {
	for _, x := range s.f.instances {
		for _, o := range s.f.orgs {
			for range 300 {
				if s.f.operate(x, o) != Admitted {
					break
				}
			}
		}
	}
}

// Guards against any sequence of faults by which instances together run more operations
// in a window than the limit allows.
func TestModelNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if s := runScenario(t, ""); s != "" {
			t.Fatal(s)
		}
	})
}

// Guards against a model that would not notice a missing mechanism.
func TestModelFindsFaults(t *testing.T) {
	for _, fault := range []string{faultBudget, faultSilence, faultBooks, faultFullStart} {
		t.Run(fault, func(t *testing.T) {
			gen := rapid.Custom(func(t *rapid.T) string { return runScenario(t, fault) })
			for seed := range 100 {
				if s := gen.Example(seed); s != "" {
					t.Logf("example %d: %s", seed, s)
					return
				}
			}
			t.Error("no scenario exceeds the limit with the mechanism off")
		})
	}
}
