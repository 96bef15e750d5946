package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var testWindow = Window{Length: 5 * time.Second, Overage: 0.1, Slack: 20}

// load sends operations at a total rate, with Poisson arrivals, to instances drawn by
// weight.
type load struct {
	f       *fleet
	org     *simOrg
	rate    float64
	weights []float64 // cumulative
	next    time.Duration
}

func zipf(rng *rand.Rand, n int, exponent float64) []float64 {
	w := make([]float64, n)
	for i, j := range rng.Perm(n) {
		w[i] = math.Pow(float64(j+1), -exponent)
	}
	sum := 0.0
	for i := range w {
		sum += w[i]
		w[i] = sum
	}
	return w
}

func (l *load) tick() {
	if l.rate <= 0 {
		l.next = l.f.now
		return
	}
	for l.next <= l.f.now {
		l.next += time.Duration(l.f.rng.ExpFloat64() / l.rate * float64(time.Second))
		x := l.f.rng.Float64() * l.weights[len(l.weights)-1]
		for i, w := range l.weights {
			if x <= w {
				l.f.operate(l.f.instances[i], l.org)
				break
			}
		}
	}
}

func (f *fleet) runLoad(d time.Duration, loads ...*load) {
	for end := f.now + d; f.now < end; {
		for _, l := range loads {
			l.tick()
		}
		f.run(f.step)
	}
}

func newOrg(name string, rate, burst float64) *simOrg {
	return &simOrg{name: name, limits: []simLimit{{0, rate, burst}}}
}

// Guards against permits that are created and then lost in shares that are too large for
// the demand at their instance.
func TestCalmOverload(t *testing.T) {
	for _, c := range []struct {
		rate, burst, factor, exponent float64
	}{
		{300, 300, 1.2, 1.2}, {300, 300, 2, 1.2}, {300, 300, 7.5, 1.2}, {60, 60, 1.5, 1.2}, {60, 60, 5, 0}, {60, 30, 5, 1.2}, {10, 10, 3, 1.2}, {1, 2, 5, 0},
	} {
		o := newOrg("o", c.rate, c.burst)
		f := newFleet(7, 79, testWindow, o)
		l := &load{f: f, org: o, rate: c.rate * c.factor, weights: zipf(f.rng, 79, c.exponent), next: f.now}
		f.runLoad(20*time.Second, l)
		f.admitted, f.requests = 0, 0
		span := 60 * time.Second
		if c.rate > 10 {
			span = 25 * time.Second // there are enough operations, and the race detector is slow
		}
		f.runLoad(span, l)
		part := float64(f.admitted) / (c.rate * span.Seconds())
		t.Logf("rate %v, demand x%v, Zipf %v: admitted %.3f of the limit, %.0f requests/s", c.rate, c.factor, c.exponent, part, float64(f.requests)/span.Seconds())
		if part < 0.98 {
			t.Errorf("admitted %.3f of the limit, want 0.98", part)
		}
		if s := f.check(); s != "" {
			t.Error(s)
		}
	}
}

// Guards against refusals of an organisation that is below its limit, although its
// callers arrive at instances that hold nothing of it.
func TestCalmBelowLimit(t *testing.T) {
	for _, c := range []struct{ rate, burst, exponent float64 }{{1, 2, 0}, {1, 1, 1.2}, {10, 10, 0}, {100, 100, 1.2}, {300, 150, 0}, {300, 300, 1.2}} {
		o := newOrg("o", c.rate, c.burst)
		f := newFleet(3, 79, testWindow, o)
		f.run(8 * time.Second)
		l := &load{f: f, org: o, rate: c.rate * 0.6, weights: zipf(f.rng, 79, c.exponent), next: f.now}
		span := 120 * time.Second
		if c.rate > 10 {
			span = 40 * time.Second
		}
		f.requests = 0
		f.runLoad(span, l)
		t.Logf("rate %v, Zipf %v: %d admitted, %d waited, %d refused, %.0f requests/s", c.rate, c.exponent, f.admitted, f.waits, f.refused, float64(f.requests)/span.Seconds())
		if f.refused > 0 {
			t.Errorf("rate %v: %d operations were refused below the limit", c.rate, f.refused)
		}
	}
}
