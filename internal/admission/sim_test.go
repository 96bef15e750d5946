package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
)

// stream is open-loop Poisson work of one class.
type stream struct {
	class   string
	rank    catalog.Rank
	load    float64 // offered slot time as a multiple of the capacity of two slots
	callers int     // equal callers; zero means 4
	flood   float64 // factor on the load of caller 0; zero means 1
	mean    time.Duration
	within  time.Duration
}

const simSlots = 2

func urgent(load float64) stream {
	return stream{class: "confirm", rank: catalog.RankUrgent, load: load, mean: 4 * time.Millisecond, within: 200 * time.Millisecond}
}

func normal(load float64) stream {
	return stream{class: "book", rank: catalog.RankNormal, load: load, mean: 5 * time.Millisecond, within: 500 * time.Millisecond}
}

func background(load float64) stream {
	return stream{class: "browse", rank: catalog.RankBackground, load: load, mean: 6 * time.Millisecond, within: time.Second}
}

// outcome is what one class got after the warm-up.
type outcome struct {
	sent, within int
	refused      int     // on arrival
	late         int     // refused after waiting, or answered after the target
	busy         float64 // slot time of requests answered within their target, share of capacity
	latencies    []time.Duration
	perCaller    []int
}

func (o outcome) inTarget() float64 { return float64(o.within) / float64(max(1, o.sent)) }

func (o outcome) p99() time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*99/100]
}

func jain(counts []int) float64 {
	var sum, squares float64
	for _, n := range counts {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	return sum * sum / (float64(len(counts)) * squares)
}

type simEvent struct {
	at     time.Duration
	seq    int
	action func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

type simJob struct {
	it      *item
	out     *outcome
	caller  int
	work    time.Duration
	started time.Duration // sent to the database
	within  time.Duration
}

// sim drives one core in front of a database that runs at most slots requests
// at once and queues the others in the order in which they were sent.
type sim struct {
	core    *core
	rng     *rand.Rand
	now     time.Duration
	warmUp  time.Duration
	end     time.Duration
	events  eventHeap
	seq     int
	slots   int
	running int
	waiting []*simJob
	jobs    map[*item]*simJob
	results map[string]*outcome
	limits  map[time.Duration]int // limit at the end of each second
}

const simWarmUp = 10 * time.Second

func newSim(p Policy, seed uint64, length time.Duration, streams ...stream) *sim {
	s := &sim{
		core: newCore(Config{Policy: p, MaxConcurrency: 15, Seed: seed}), rng: rand.New(rand.NewPCG(seed, 7)),
		warmUp: simWarmUp, end: simWarmUp + length, slots: simSlots,
		jobs: make(map[*item]*simJob), results: make(map[string]*outcome), limits: make(map[time.Duration]int),
	}
	for _, st := range streams {
		if st.callers == 0 {
			st.callers = 4
		}
		if st.flood == 0 {
			st.flood = 1
		}
		s.results[st.class] = &outcome{perCaller: make([]int, st.callers)}
		for i := range st.callers {
			rate := st.load * simSlots / st.mean.Seconds() / float64(st.callers)
			if i == 0 {
				rate *= st.flood
			}
			s.arrivals(st, i, rate)
		}
	}
	for t := time.Second; t <= s.end; t += time.Second {
		s.at(t, func() { s.limits[t] = s.core.limiter.limit })
	}
	return s
}

func (s *sim) at(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{t, s.seq, f})
}

func (s *sim) arrivals(st stream, caller int, rate float64) {
	if rate == 0 {
		return
	}
	var arrive func()
	next := func() { s.at(s.now+seconds(s.rng.ExpFloat64()/rate), arrive) }
	arrive = func() {
		next()
		j := &simJob{out: s.results[st.class], caller: caller, work: seconds(s.rng.ExpFloat64() * st.mean.Seconds()), within: st.within}
		if s.now >= s.warmUp {
			j.out.sent++
		}
		r := Request{Class: st.class, Caller: fmt.Sprint("caller", caller), Rank: st.rank, Deadline: simStart.Add(s.now + st.within)}
		if it, _ := s.core.enqueue(s.now, r, simStart); it != nil {
			j.it = it
			s.jobs[it] = j
		} else if s.now >= s.warmUp {
			j.out.refused++
		}
	}
	next()
}

var simStart = time.Unix(0, 0)

func (s *sim) run() map[string]*outcome {
	for len(s.events) > 0 && s.events[0].at <= s.end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.action()
		for it := s.core.next(s.now); it != nil; it = s.core.next(s.now) {
			if j := s.jobs[it]; it.state == stateRunning {
				j.started = s.now
				s.waiting = append(s.waiting, j)
			} else if s.now >= s.warmUp {
				j.out.late++
			}
			delete(s.jobs, it)
		}
		for s.running < s.slots && len(s.waiting) > 0 {
			j := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.running++
			s.at(s.now+j.work, func() { s.finish(j) })
		}
	}
	return s.results
}

func (s *sim) finish(j *simJob) {
	s.running--
	s.core.finish(s.now, j.it, s.now-j.started)
	if s.now < s.warmUp {
		return
	}
	latency := s.now - j.it.arrived
	j.out.latencies = append(j.out.latencies, latency)
	if latency > j.within {
		j.out.late++
	} else {
		j.out.within++
		j.out.perCaller[j.caller]++
		j.out.busy += j.work.Seconds() / (s.end - s.warmUp).Seconds() / simSlots
	}
}

func logOutcomes(t *testing.T, p Policy, seed uint64, rs map[string]*outcome) {
	t.Helper()
	for _, class := range []string{"confirm", "book", "browse"} {
		if o := rs[class]; o != nil && len(o.latencies) > 0 {
			t.Logf("%-8s seed %d %-8s sent %7d refused %7d late %6d within target %6.2f %% goodput %5.1f %% of capacity p99 %v",
				p, seed, class, o.sent, o.refused, o.late, 100*o.inTarget(), 100*o.busy, o.p99().Round(100*time.Microsecond))
		}
	}
}
