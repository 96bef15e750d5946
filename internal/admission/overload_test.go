package admission

import (
	"fmt"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
)

// overloadResult counts the requests of a simulated overload.
type overloadResult struct{ arrived, inTarget, late, refused int }

// simulateOverload lets requests of 10 ms arrive at a database with two slots, at the
// given multiple of its capacity for two seconds and at half of it for two more.
func simulateOverload(load float64, target time.Duration) overloadResult {
	const work, timeout = 10 * time.Millisecond, 800 * time.Millisecond
	start := time.Unix(0, 0)
	c := newCore(Config{Policy: PolicyTargets, MaxConcurrency: 2, FixedConcurrency: true, Seed: 1})
	var (
		r       overloadResult
		running []*item
		ends    []time.Duration
		next    time.Duration
	)
	for now := time.Duration(0); now < 4*time.Second; now += time.Millisecond {
		for i := len(running) - 1; i >= 0; i-- {
			if now < ends[i] {
				continue
			}
			if now-running[i].arrived <= 250*time.Millisecond {
				r.inTarget++
			} else {
				r.late++
			}
			c.finish(now, running[i], work)
			running, ends = append(running[:i], running[i+1:]...), append(ends[:i], ends[i+1:]...)
		}
		rate := load
		if now >= 2*time.Second {
			rate = 0.5
		}
		for next <= now {
			next += time.Duration(float64(work) / 2 / rate)
			req := Request{Class: "adjust", Caller: fmt.Sprint(r.arrived), Rank: catalog.Ranks[1], Deadline: start.Add(now + timeout)}
			if target > 0 {
				req.Target = start.Add(now + target)
			}
			r.arrived++
			if it, _ := c.enqueue(now, req, start); it == nil {
				r.refused++
			}
		}
		for it := c.next(now); it != nil; it = c.next(now) {
			if it.state == stateRefused {
				r.refused++
				continue
			}
			running, ends = append(running, it), append(ends, now+work)
		}
	}
	return r
}

// Guards against a primary that serves every request late while its replicas lag: the
// load is a fifth or more above its capacity, and a queue as long as the timeouts
// makes all answers miss a target that most could meet.
func TestOverloadServesWhatCanMeetItsTarget(t *testing.T) {
	const target = 250 * time.Millisecond
	for _, load := range []float64{1.2, 1.5, 2} {
		with, without := simulateOverload(load, target), simulateOverload(load, 0)
		t.Logf("load %.1f: with targets %+v, without %+v", load, with, without)
		if 10*with.inTarget < 6*with.arrived*10/int(10*load) {
			t.Errorf("load %.1f: %+v: fewer than six in ten of those that fit are served in their target", load, with)
		}
		if with.inTarget < without.inTarget {
			t.Errorf("load %.1f: %+v with targets, %+v without", load, with, without)
		}
		// The users' worth of an answer in its target and of a late one: catalogue and
		// order work, and browsing, of which a late answer is worth the most.
		for _, worth := range []struct{ inTarget, late float64 }{{2, 0.3}, {0.45, 0.34}} {
			got := worth.inTarget*float64(with.inTarget) + worth.late*float64(with.late)
			if old := worth.inTarget*float64(without.inTarget) + worth.late*float64(without.late); got < old {
				t.Errorf("load %.1f, worth %+v: %.0f with targets, %.0f without", load, worth, got, old)
			}
		}
	}
}
