package pace

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestReturn guards against a database that is flooded or left idle after its return, for
// several sizes, speeds and numbers of owners.
func TestReturn(t *testing.T) {
	for _, slots := range []int{2, 4, 16} {
		for _, work := range []time.Duration{4 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond} {
			for _, cold := range []float64{1.6, 5} {
				for _, owners := range []int{4, 5, 7} {
					for _, hint := range []bool{false, true} {
						s := scenario{slots: slots, owners: owners, work: work, cold: cold, coldTime: 5 * time.Second, bound: 8, callers: 12, hint: hint}
						t.Run(fmt.Sprintf("slots=%d,work=%v,cold=%v,owners=%d,hint=%v", slots, work, cold, owners, hint), func(t *testing.T) { checkReturn(t, s) })
					}
				}
			}
		}
	}
}

func checkReturn(t *testing.T, s scenario) {
	const length = 8 * time.Second
	for seed := range uint64(3) {
		off := run(s, seed, length)
		adaptive := s
		adaptive.adaptive = true
		on := run(adaptive, seed, length)
		t.Logf("off: %+v; on: %+v", off, on)
		if on.refused5s*4 > off.refused5s {
			t.Errorf("seed %d: %d refusals, %d without the limiter; want at most a quarter", seed, on.refused5s, off.refused5s)
		}
		if float64(on.served5s) < 0.95*float64(off.served5s) {
			t.Errorf("seed %d: %d statements served in 5 s, %d without the limiter; want at least 0.95 of them", seed, on.served5s, off.served5s)
		}
		if on.fullPaceAfter > time.Second {
			t.Errorf("seed %d: full pace %v after the database was warm, want at most 1 s", seed, on.fullPaceAfter)
		}
		if on.maxIdle > 200*time.Millisecond {
			t.Errorf("seed %d: slots were idle for %v while requests waited, want at most 200 ms", seed, on.maxIdle)
		}
	}
}

// TestOtherLoad guards against slots that stay idle because one owner alone has callers or
// because the database becomes slower for another reason than the load.
func TestOtherLoad(t *testing.T) {
	for _, slots := range []int{2, 4, 8, 16} {
		for _, s := range []scenario{
			{slots: min(slots, 8), oneOwner: true, cold: 1},
			{slots: slots, cold: 5, coldFrom: 2 * time.Second, coldTime: 5 * time.Second},
		} {
			s.owners, s.bound, s.callers, s.work = 4, 8, 12, 12*time.Millisecond
			on := s
			on.adaptive = true
			for seed := range uint64(5) {
				x, y := run(s, seed, 8*time.Second), run(on, seed, 8*time.Second)
				t.Logf("%+v seed %d: served %d, %d without the limiter; idle %v", s, seed, y.served, x.served, y.maxIdle)
				if float64(y.served) < 0.95*float64(x.served) {
					t.Errorf("%+v, seed %d: %d statements served, %d without the limiter; want at least 0.95 of them", s, seed, y.served, x.served)
				}
				if y.maxIdle > 200*time.Millisecond {
					t.Errorf("%+v, seed %d: slots were idle for %v while requests waited, want at most 200 ms", s, seed, y.maxIdle)
				}
			}
		}
	}
}

// TestLateOwner guards against owners that hold the whole queue of the database, so that
// one that begins later, or was refused first, stays at a limit of 1.
func TestLateOwner(t *testing.T) {
	for _, slots := range []int{2, 4, 16} {
		for seed := range uint64(5) {
			s := scenario{slots: slots, owners: 6, work: 12 * time.Millisecond, cold: 1, bound: 8, callers: 12, adaptive: true, lateFirst: 3 * time.Second}
			o := run(s, seed, 20*time.Second)
			equal := float64(s.slots) * (15 * time.Second).Seconds() / s.work.Seconds() / float64(s.owners)
			t.Logf("%d slots, seed %d: served per owner %d", slots, seed, o.perOwner)
			if least := slices.Min(o.perOwner); float64(least) < equal/3 {
				t.Errorf("%d slots, seed %d: an owner had %d statements served, want at least a third of %.0f", slots, seed, least, equal)
			}
		}
	}
}

// answers reports n answers of the class, one after the other, and returns the time after
// them.
func answers(l *Limiter, class string, now, took time.Duration, n int) time.Duration {
	for range n {
		l.Observe(End{Class: class, Began: now, Ended: now + took, Waited: true})
		now += took
	}
	return now
}

// TestMixOfClasses guards against taking a change of the mix of work for a slower database.
func TestMixOfClasses(t *testing.T) {
	l := New(8, 0, 0)
	now := answers(l, "short", 0, 2*time.Millisecond, 50)
	now = answers(l, "long", now, 40*time.Millisecond, 50)
	answers(l, "short", now, 2*time.Millisecond, 50)
	if l.Limit() != 8 {
		t.Errorf("limit %d after a change of the mix, want 8", l.Limit())
	}
}

// TestSlowerForLong guards against a limit that stays low because the database became
// slower for a reason other than the load.
func TestSlowerForLong(t *testing.T) {
	l := New(8, 0, 0)
	now := answers(l, "read", 0, 4*time.Millisecond, 100)
	answers(l, "read", now, 20*time.Millisecond, 100)
	if l.Limit() != 8 {
		t.Errorf("limit %d at a database that is 5 times slower for 2 s, want 8", l.Limit())
	}
}

// TestRefusalAndRestart guards against a limit outside its bounds and against full load at
// a database that comes back after failing.
func TestRefusalAndRestart(t *testing.T) {
	l := New(8, 0, 0)
	now := answers(l, "read", 0, 4*time.Millisecond, 100)
	if r := l.Observe(End{Began: now, Ended: now + 1, Outcome: Refused}); r != Refusal || l.Limit() != 4 {
		t.Errorf("limit %d for reason %q after a refusal, want 4 for %q", l.Limit(), r, Refusal)
	}
	for i := range 10 {
		l.Observe(End{Began: now + time.Duration(10*i+10), Ended: now + time.Duration(10*i+15), Outcome: Refused})
	}
	if l.Limit() != 1 {
		t.Errorf("limit %d after many refusals, want 1", l.Limit())
	}
	now = answers(l, "read", now+3*time.Second, 4*time.Millisecond, 200)
	if l.Limit() != 8 {
		t.Errorf("limit %d after the refusals have ended, want 8", l.Limit())
	}
	l.Observe(End{Began: now - 1, Ended: now + 1, Outcome: NoAnswer})
	if l.Limit() != 8 {
		t.Errorf("limit %d after one lost answer among others, want 8", l.Limit())
	}
	if r := l.Observe(End{Began: now + 1, Ended: now + 2, Outcome: NoAnswer}); r != Restart || l.Limit() != initialLimit {
		t.Errorf("limit %d for reason %q after a failure, want %d", l.Limit(), r, initialLimit)
	}
	l.SetBound(1)
	if l.Limit() != 1 {
		t.Errorf("limit %d with bound 1", l.Limit())
	}
}
