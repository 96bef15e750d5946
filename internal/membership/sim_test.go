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

// sim runs states on one simulated clock and a network that loses messages.
type sim struct {
	t           testing.TB
	now         time.Time
	random      *rand.Rand
	states      map[string]*State
	names       []string
	loss        float64 // probability that a call loses its request or its answer
	down        map[string]bool
	partitioned func(a, b Member) bool
	pending     []delivery
	seq         int
	deaths      map[string]int // events that declare an instance dead
	bytes       int
}

type delivery struct {
	at  time.Time
	seq int
	run func()
}

const (
	simStep    = 10 * time.Millisecond
	simLatency = 5 * time.Millisecond
)

// newSim creates n instances; dataCentre returns the data centre of instance i.
func newSim(t testing.TB, seed uint64, n int, dataCentre func(i int) string) *sim {
	s := &sim{
		t: t, now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 7)),
		states: make(map[string]*State), down: make(map[string]bool), deaths: make(map[string]int),
		partitioned: func(Member, Member) bool { return false },
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

// fourDataCentres places 7 instances in 4 data centres.
func fourDataCentres(i int) string { return []string{"a", "a", "b", "b", "c", "c", "d"}[i%7] }

func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	s.pending = append(s.pending, delivery{s.now.Add(d), s.seq, f})
}

// call delivers a message and passes its outcome to done.
func (s *sim) call(from string, msg Message, done func(reached, ok bool, updates []Member)) {
	sender := s.states[from].Self()
	for _, m := range msg.Updates {
		s.bytes += sizeOf(m)
	}
	timedOut := func() { done(false, false, nil) }
	lost := s.random.Float64() < s.loss
	lostAnswer := lost && s.random.IntN(2) == 0
	to, ok := s.states[msg.To.Name]
	if !ok || s.down[msg.To.Name] || s.down[from] || s.partitioned(sender, msg.To) || (lost && !lostAnswer) {
		s.schedule(msg.Timeout, timedOut)
		return
	}
	s.schedule(simLatency, func() {
		if s.down[msg.To.Name] {
			s.schedule(msg.Timeout-simLatency, timedOut)
			return
		}
		reply := to.HandleMessage(s.now, from, msg.Updates)
		if msg.Target == "" {
			s.answer(msg, lostAnswer, true, reply.Updates, done)
			return
		}
		probe, known := to.IndirectProbe(msg.Target)
		if !known {
			s.answer(msg, lostAnswer, false, reply.Updates, done)
			return
		}
		s.call(msg.To.Name, probe, func(reached, ok bool, updates []Member) {
			to.HandleResult(s.now, probe, reached, ok, updates)
			if t, ok := to.Member(msg.Target); ok {
				reply.Updates = append(reply.Updates, t)
			}
			s.answer(msg, lostAnswer, reached, reply.Updates, done)
		})
	})
}

func (s *sim) answer(msg Message, lost, ok bool, updates []Member, done func(bool, bool, []Member)) {
	if lost {
		s.schedule(msg.Timeout-simLatency, func() { done(false, false, nil) })
		return
	}
	s.schedule(simLatency, func() { done(true, ok, updates) })
}

func (s *sim) send(from string, messages []Message) {
	for _, msg := range messages {
		s.call(from, msg, func(reached, ok bool, updates []Member) {
			if !s.down[from] {
				s.states[from].HandleResult(s.now, msg, reached, ok, updates)
			}
		})
	}
}

// run advances the clock by d.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
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

// runUntil advances the clock until cond holds and returns how long it took.
func (s *sim) runUntil(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !cond() {
		if s.now.Sub(start) > limit {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
		s.run(simStep)
	}
	return s.now.Sub(start)
}

// sees reports whether member is live in viewer's state.
func (s *sim) sees(viewer, member string) bool {
	live, _ := s.states[viewer].Live()
	return slices.ContainsFunc(live, func(in ownership.Instance) bool { return in.Name == member })
}

// agree reports whether each running instance has exactly the running ones as
// live.
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
