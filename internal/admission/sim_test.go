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

// stream is an open-loop Poisson stream of requests of one class.
type stream struct {
	class       string
	rank        catalog.Rank
	offered     float64 // offered slot time as a multiple of the capacity of two slots
	callers     int     // zero means 4
	skew        float64 // factor by which caller 0 sends more than the others; zero means 1
	meanService time.Duration
	target      time.Duration
}

const simSlots = 2

func urgent(load float64) stream {
	return stream{class: "confirm", rank: catalog.RankUrgent, offered: load, meanService: 4 * time.Millisecond, target: 200 * time.Millisecond}
}

func normal(load float64) stream {
	return stream{class: "book", rank: catalog.RankNormal, offered: load, meanService: 5 * time.Millisecond, target: 500 * time.Millisecond}
}

func background(load float64) stream {
	return stream{class: "browse", rank: catalog.RankBackground, offered: load, meanService: 6 * time.Millisecond, target: time.Second}
}

// outcome is the result of one class after the warm-up.
type outcome struct {
	sent, onTarget int
	refused        int     // on arrival
	late           int     // refused after waiting, or answered after the target
	goodput        float64 // slot time of requests answered within their target, as a share of the capacity
	latencies      []time.Duration
	perCaller      []int
}

func (o outcome) onTargetRatio() float64 { return float64(o.onTarget) / float64(max(1, o.sent)) }

func (o outcome) p99() time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*99/100]
}

func jainIndex(counts []int) float64 {
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
	service time.Duration
	sentAt  time.Duration // to the database
	target  time.Duration
}

// sim is a discrete-event simulation of one core in front of a database that runs at
// most slots requests at once and queues the others first in, first out.
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
	limitAt map[time.Duration]int // limit at the end of each second
}

const simWarmUp = 10 * time.Second

func newSim(p Policy, seed uint64, length time.Duration, streams ...stream) *sim {
	s := &sim{
		core: newCore(Config{Policy: p, MaxConcurrency: 15, Seed: seed}), rng: rand.New(rand.NewPCG(seed, 7)),
		warmUp: simWarmUp, end: simWarmUp + length, slots: simSlots,
		jobs: make(map[*item]*simJob), results: make(map[string]*outcome), limitAt: make(map[time.Duration]int),
	}
	for _, st := range streams {
		if st.callers == 0 {
			st.callers = 4
		}
		if st.skew == 0 {
			st.skew = 1
		}
		s.results[st.class] = &outcome{perCaller: make([]int, st.callers)}
		for i := range st.callers {
			rate := st.offered * simSlots / st.meanService.Seconds() / float64(st.callers)
			if i == 0 {
				rate *= st.skew
			}
			s.generate(st, i, rate)
		}
	}
	for t := time.Second; t <= s.end; t += time.Second {
		s.at(t, func() { s.limitAt[t] = s.core.limiter.limit })
	}
	return s
}

func (s *sim) at(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{t, s.seq, f})
}

func (s *sim) generate(st stream, caller int, rate float64) {
	if rate == 0 {
		return
	}
	var arrive func()
	next := func() { s.at(s.now+seconds(s.rng.ExpFloat64()/rate), arrive) }
	arrive = func() {
		next()
		j := &simJob{out: s.results[st.class], caller: caller, service: seconds(s.rng.ExpFloat64() * st.meanService.Seconds()), target: st.target}
		if s.now >= s.warmUp {
			j.out.sent++
		}
		r := Request{Class: st.class, Caller: fmt.Sprint("caller", caller), Rank: st.rank, Deadline: simStart.Add(s.now + st.target)}
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
				j.sentAt = s.now
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
			s.at(s.now+j.service, func() { s.finish(j) })
		}
	}
	return s.results
}

func (s *sim) finish(j *simJob) {
	s.running--
	s.core.finish(s.now, j.it, s.now-j.sentAt)
	if s.now < s.warmUp {
		return
	}
	latency := s.now - j.it.arrived
	j.out.latencies = append(j.out.latencies, latency)
	if latency > j.target {
		j.out.late++
	} else {
		j.out.onTarget++
		j.out.perCaller[j.caller]++
		j.out.goodput += j.service.Seconds() / (s.end - s.warmUp).Seconds() / simSlots
	}
}

func logOutcomes(t *testing.T, p Policy, seed uint64, rs map[string]*outcome) {
	t.Helper()
	for _, class := range []string{"confirm", "book", "browse"} {
		if o := rs[class]; o != nil && len(o.latencies) > 0 {
			t.Logf("%-8s seed %d %-8s sent %7d refused %7d late %6d within target %6.2f %% goodput %5.1f %% of capacity p99 %v",
				p, seed, class, o.sent, o.refused, o.late, 100*o.onTargetRatio(), 100*o.goodput, o.p99().Round(100*time.Microsecond))
		}
	}
}
