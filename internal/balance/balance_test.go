package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func shares(candidates []Candidate) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	const n = 20000
	out := make([]float64, len(candidates))
	for range n {
		i, _ := Choose(candidates, rng.Float64)
		out[i] += 1.0 / n
	}
	return out
}

func at(queued int, busy float64, mean, age time.Duration) Candidate {
	return Candidate{Report: Report{Queued: queued, Limit: 4, Busy: busy, Mean: mean}, Age: age}
}

// Guards against all instances choosing the same database: also the worse one of equal
// candidates must get reads.
func TestEqualCandidatesShareReads(t *testing.T) {
	same := at(0, 0.5, 10*ms, 20*ms)
	for i, share := range shares([]Candidate{same, same, same}) {
		if share < 0.31 || share > 0.36 {
			t.Errorf("candidate %d gets %.2f of the reads, want a third", i, share)
		}
	}
}

// Guards against an input that does not matter: a candidate that is busier, slower,
// farther or has a queue must get fewer reads than the others.
func TestWorseCandidateGetsFewerReads(t *testing.T) {
	usual := at(0, 0.3, 10*ms, 20*ms)
	far := usual
	far.RoundTrip, far.Penalty = 24*ms, 12*ms
	waits := usual
	waits.Age, waits.Latency = time.Second, 100*ms
	for name, worse := range map[string]Candidate{
		"busy": at(0, 0.9, 10*ms, 20*ms), "slow": at(0, 0.3, 50*ms, 20*ms), "far": far, "queue": at(20, 0.3, 10*ms, 20*ms), "usual wait": waits,
	} {
		if share := shares([]Candidate{usual, worse, usual})[1]; share > 0.3 {
			t.Errorf("%s: gets %.2f of the reads, want less than the others", name, share)
		}
	}
}

// Guards against an old report that decides although the queue it tells of is long gone.
func TestOldReportsFade(t *testing.T) {
	fresh, old, gone := at(32, 0, 10*ms, 0), at(32, 0, 10*ms, time.Second), at(32, 0, 10*ms, maxReportAge+1)
	if fresh.Expected() != 90*ms || old.Expected() > 15*ms || gone.Expected() != assumedMean {
		t.Errorf("expected times %v, %v, %v", fresh.Expected(), old.Expected(), gone.Expected())
	}
}

// Guards against reads to a database that refuses them while another one accepts them,
// and against no choice while all refuse.
func TestRefusingDatabaseIsAvoided(t *testing.T) {
	refusing, longer, usual := at(0, 0, ms, 0), at(0, 0, ms, 0), at(30, 1, 50*ms, 0)
	refusing.RefusedFor, longer.RefusedFor = 10*ms, 20*ms
	if share := shares([]Candidate{refusing, usual, longer})[1]; share < 0.999 {
		t.Errorf("the accepting database gets %.2f of the reads", share)
	}
	if i, reason := Choose([]Candidate{longer, refusing}, rand.Float64); i != 1 || reason != AllRefuse {
		t.Errorf("chose %d (%s), want the one that refuses for the shortest time", i, reason)
	}
	if i, _ := Choose(nil, rand.Float64); i != -1 {
		t.Errorf("chose %d of none", i)
	}
}

// Guards against a database that is avoided for ever, or no longer after many refusals
// than after one, and against one burst of refusals that counts many times.
func TestRefusalsLengthenThePeriod(t *testing.T) {
	var r Refusals
	now := time.Hour
	for _, want := range []time.Duration{50 * ms, 100 * ms, 200 * ms, 400 * ms, 400 * ms} {
		for range 10 {
			r.Refused(now, 0.5)
		}
		if got := r.Remaining(now); got != want {
			t.Errorf("avoided for %v, want %v", got, want)
		}
		now += r.Remaining(now)
	}
	now += refusalMemory
	if r.Refused(now, 0); r.Remaining(now) != avoidMin/2 {
		t.Errorf("avoided for %v after a pause, want %v", r.Remaining(now), avoidMin/2)
	}
	if r.Learn(now, time.Hour); r.Remaining(now) != avoidMax {
		t.Errorf("avoided for %v by another instance's report, want at most %v", r.Remaining(now), avoidMax)
	}
}
