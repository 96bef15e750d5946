package pace

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// queueLength is the number of statements that the modelled database keeps waiting; it
// refuses further ones.
const queueLength = 32

// scenario is a database that returns at time 0 to callers that wait already.
type scenario struct {
	slots, owners int
	work          time.Duration // mean when warm
	cold          float64       // factor of the work until coldTime
	coldFrom      time.Duration
	coldTime      time.Duration // end of the slow time
	bound         int           // per owner
	callers       int           // per owner, each with one request at a time
	adaptive      bool
	hint          bool          // the owners know coldTime
	lateFirst     time.Duration // when the first owner begins, if it begins late
	oneOwner      bool          // only the first owner has callers
}

// outcome is what a run measured.
type outcome struct {
	served, served5s int
	perOwner         []int // statements served after the first 5 s
	refused5s        int
	wait             time.Duration // mean time at the database per served statement in the first 5 s
	maxIdle          time.Duration // longest time of idle slots while a request waited
	fullPaceAfter    time.Duration // from coldTime until 90 % of the warm throughput is reached
}

type job struct {
	owner int
	class string
	sent  time.Duration
}

type event struct {
	at   time.Duration
	seq  int
	fire func()
}

type events []*event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(*event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type model struct {
	scenario
	now       time.Duration
	seq       int
	events    events
	rng       *rand.Rand
	limiters  []*Limiter
	waiting   []int // requests per owner
	running   []int // statements sent per owner
	busy      int
	queue     []*job
	idleSince time.Duration // 0 if no slot is idle while a request waits
	out       outcome
	waitSum   time.Duration
	ends      []time.Duration
}

// refusalRetry is the time after which the caller of a refused statement asks again.
const refusalRetry = 50 * time.Millisecond

func run(s scenario, seed uint64, length time.Duration) outcome {
	m := &model{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), out: outcome{perOwner: make([]int, s.owners)}, waiting: make([]int, s.owners), running: make([]int, s.owners)}
	cold := time.Duration(0)
	if s.hint {
		cold = s.coldTime
	}
	for i := range s.owners {
		m.limiters = append(m.limiters, New(s.bound, 0, cold))
		if i == 0 && s.lateFirst > 0 {
			m.at(s.lateFirst, func() { m.begin(0) })
			continue
		}
		if i == 0 || !s.oneOwner {
			m.waiting[i] = s.callers
		}
	}
	m.at(time.Microsecond, func() {
		for i := range s.owners {
			m.dispatch(i)
		}
	})
	for len(m.events) > 0 && m.events[0].at <= length {
		e := heap.Pop(&m.events).(*event)
		m.now = e.at
		e.fire()
		m.trackIdle()
	}
	m.out.wait = m.waitSum / time.Duration(max(1, m.out.served5s))
	m.out.fullPaceAfter = m.fullPace(length)
	return m.out
}

// begin lets an owner begin now.
func (m *model) begin(owner int) {
	m.limiters[owner] = New(m.bound, m.now, 0)
	m.waiting[owner] = m.callers
	m.dispatch(owner)
}

func (m *model) at(t time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, &event{at: t, seq: m.seq, fire: f})
}

func (m *model) limit(owner int) int {
	if !m.adaptive {
		return m.bound
	}
	return m.limiters[owner].Limit()
}

func (m *model) dispatch(owner int) {
	for m.waiting[owner] > 0 && m.running[owner] < m.limit(owner) {
		m.waiting[owner]--
		m.running[owner]++
		j := &job{owner: owner, sent: m.now}
		switch {
		case m.busy < m.slots:
			m.start(j)
		case len(m.queue) < queueLength:
			m.queue = append(m.queue, j)
		default:
			m.at(m.now+200*time.Microsecond, func() { m.end(j, Refused) })
		}
	}
}

// start runs a statement. Its class and work are drawn here, so that the n-th statement
// that the database runs is the same with and without the limiter.
func (m *model) start(j *job) {
	m.busy++
	took := time.Duration(float64(m.work) * (0.5 + m.rng.Float64()) * 0.5)
	j.class = "short"
	if m.rng.IntN(2) == 0 {
		j.class = "long"
		took *= 3
	}
	if m.now >= m.coldFrom && m.now < m.coldTime {
		took = time.Duration(float64(took) * m.cold)
	}
	m.at(m.now+took, func() {
		m.busy--
		if len(m.queue) > 0 {
			next := m.queue[0]
			m.queue = m.queue[1:]
			m.start(next)
		}
		m.end(j, Answered)
	})
}

func (m *model) end(j *job, o Outcome) {
	in5s := m.now <= 5*time.Second
	switch {
	case o == Refused && in5s:
		m.out.refused5s++
	case o == Answered:
		m.ends = append(m.ends, m.now)
		m.out.served++
		if !in5s {
			m.out.perOwner[j.owner]++
		}
		if in5s {
			m.out.served5s++
			m.waitSum += m.now - j.sent
		}
	}
	m.limiters[j.owner].Observe(End{Class: j.class, Began: j.sent, Ended: m.now, Outcome: o, Waited: m.waiting[j.owner] > 0})
	m.running[j.owner]--
	again := func() { m.waiting[j.owner]++; m.dispatch(j.owner) }
	if o == Refused {
		m.at(m.now+refusalRetry, again)
		m.dispatch(j.owner)
		return
	}
	again()
}

func (m *model) trackIdle() {
	waits := false
	for _, n := range m.waiting {
		waits = waits || n > 0
	}
	if !waits || m.busy >= m.slots {
		m.idleSince = 0
		return
	}
	if m.idleSince == 0 {
		m.idleSince = m.now
	}
	m.out.maxIdle = max(m.out.maxIdle, m.now-m.idleSince)
}

// fullPace returns the time after coldTime until 500 ms begin with 90 % of the throughput of
// all slots.
func (m *model) fullPace(length time.Duration) time.Duration {
	const window = 500 * time.Millisecond
	want := 0.9 * float64(m.slots) * float64(window) / float64(m.work)
	for from := m.coldTime; from+window <= length; from += 50 * time.Millisecond {
		n := 0
		for _, t := range m.ends {
			if t >= from && t < from+window {
				n++
			}
		}
		if float64(n) >= want {
			return from - m.coldTime
		}
	}
	return length
}
