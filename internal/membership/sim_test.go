package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// sim runs states on one fake clock over a network that loses messages.
type sim struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	states  map[string]*State
	names   []string
	loss    float64 // share of calls whose request or answer is lost
	down    map[string]bool
	cut     func(a, b Member) bool
	pending []delivery
	seq     int
	deaths  map[string]int // events that declare an instance dead
	bytes   int
}

type delivery struct {
	at  time.Time
	seq int
	run func()
}

const (
	step    = 10 * time.Millisecond
	latency = 5 * time.Millisecond
)

// newSim creates n instances; dataCentre gives the place of each.
func newSim(t testing.TB, seed uint64, n int, dataCentre func(i int) string) *sim {
	s := &sim{
		t: t, now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 7)),
		states: make(map[string]*State), down: make(map[string]bool), deaths: make(map[string]int),
		cut: func(Member, Member) bool { return false },
	}
	var list []platform.Instance
	for i := range n {
		in := platform.Instance{Name: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dataCentre(i)}
		list = append(list, in)
		s.names = append(s.names, in.Name)
	}
	for i, in := range list {
		st := NewState(ownership.Instance(ownership.Instance{Name: in.Name, Address: in.Address, DataCentre: in.DataCentre}),
			uint64(1000*i+1), seed, s.now)
		st.MergeInstanceList(s.now, list)
		s.states[in.Name] = st
	}
	return s
}

func oneDataCentre(int) string { return "a" }

// fourDataCentres is the placement of 7 instances in 4 data centres.
func fourDataCentres(i int) string { return []string{"a", "a", "b", "b", "c", "c", "d"}[i%7] }

func (s *sim) later(d time.Duration, f func()) {
	s.seq++
	s.pending = append(s.pending, delivery{s.now.Add(d), s.seq, f})
}

// call delivers an action; done gets its result at the sender.
func (s *sim) call(from string, a Message, done func(reached, ok bool, updates []Member)) {
	sender := s.states[from].Self()
	for _, m := range a.Updates {
		s.bytes += sizeOf(m)
	}
	timedOut := func() { done(false, false, nil) }
	lost := s.random.Float64() < s.loss
	lostAnswer := lost && s.random.IntN(2) == 0
	to, ok := s.states[a.To.Name]
	if !ok || s.down[a.To.Name] || s.down[from] || s.cut(sender, a.To) || (lost && !lostAnswer) {
		s.later(a.Timeout, timedOut)
		return
	}
	s.later(latency, func() {
		if s.down[a.To.Name] {
			s.later(a.Timeout-latency, timedOut)
			return
		}
		reply := to.HandleMessage(s.now, from, a.Updates)
		if a.Target == "" {
			s.answer(a, lostAnswer, true, reply.Updates, done)
			return
		}
		probe, known := to.IndirectProbe(a.Target)
		if !known {
			s.answer(a, lostAnswer, false, reply.Updates, done)
			return
		}
		s.call(a.To.Name, probe, func(reached, ok bool, updates []Member) {
			to.HandleResult(s.now, probe, reached, ok, updates)
			if t, ok := to.Member(a.Target); ok {
				reply.Updates = append(reply.Updates, t)
			}
			s.answer(a, lostAnswer, reached, reply.Updates, done)
		})
	})
}

func (s *sim) answer(a Message, lost, ok bool, updates []Member, done func(bool, bool, []Member)) {
	if lost {
		s.later(a.Timeout-latency, func() { done(false, false, nil) })
		return
	}
	s.later(latency, func() { done(true, ok, updates) })
}

func (s *sim) send(from string, actions []Message) {
	for _, a := range actions {
		s.call(from, a, func(reached, ok bool, updates []Member) {
			if !s.down[from] {
				s.states[from].HandleResult(s.now, a, reached, ok, updates)
			}
		})
	}
}

// run advances the clock.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		slices.SortFunc(s.pending, func(a, b delivery) int { return cmp.Or(a.at.Compare(b.at), a.seq-b.seq) })
		for len(s.pending) > 0 && !s.pending[0].at.After(s.now) {
			next := s.pending[0]
			s.pending = s.pending[1:]
			next.run()
		}
		for _, name := range s.names {
			if s.down[name] {
				continue
			}
			s.send(name, s.states[name].Tick(s.now))
			for _, e := range s.states[name].TakeEvents() {
				if e.Status == Dead {
					s.deaths[e.Name]++
				}
			}
		}
	}
}

// until advances the clock until cond holds and returns how long it took.
func (s *sim) until(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !cond() {
		if s.now.Sub(start) > limit {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
		s.run(step)
	}
	return s.now.Sub(start)
}

// sees reports whether viewer has member among its live instances.
func (s *sim) sees(viewer, member string) bool {
	live, _ := s.states[viewer].Live()
	return slices.ContainsFunc(live, func(in ownership.Instance) bool { return in.Name == member })
}

// agree reports whether all running instances see exactly the running ones.
func (s *sim) agree() bool {
	for _, a := range s.names {
		for _, b := range s.names {
			if !s.down[a] && s.sees(a, b) == s.down[b] {
				return false
			}
		}
	}
	return true
}
