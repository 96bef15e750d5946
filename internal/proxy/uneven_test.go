package proxy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/primacy"
)

// The model of uneven demand: 67 instances in six data centres of two regions, and 8
// services of 3 databases with 4 slots and a queue of 32 each, two of them in the first
// region. Demand comes in waves of 50 % and 8 s, out of step between the data centres,
// and rises 1.8 times for 5 s. An instance learns the load of a database 1 to 200 ms
// after each answer. A refused read is sent once more.
const (
	modelInstances = 67
	modelServices  = 8
	modelReplicas  = 3
	modelSlots     = 4
	modelQueue     = 32
	burstStart     = 10 * time.Second
	burstEnd       = 15 * time.Second
	burstFactor    = 1.8
	wavePeriod     = 8 * time.Second
	primaryShare   = 0.15 // of the requests, which only the primary may run
)

var (
	modelCentres = []string{"a", "b", "c", "d", "e", "f"}
	modelRegions = distance.Regions{"a": "north", "b": "north", "c": "north", "d": "south", "e": "south", "f": "south"}
)

type modelDatabase struct {
	service    int
	dataCentre string
	primary    bool
	running    int
	queue      []*modelRequest
	busy, mean float64 // as an owner reports them
	refusals   balance.Refusals
	work       time.Duration // accepted during the burst
}

// modelView is what an instance knows about a database.
type modelView struct {
	inUse    int
	mean     float64 // nanoseconds
	updated  time.Duration
	report   balance.Report
	reportAt time.Duration
	refusals balance.Refusals
}

type modelInstance struct {
	dataCentre string
	times      *distance.Times
	views      []modelView
}

type modelRequest struct {
	from     *modelInstance
	sentAt   time.Duration
	work     time.Duration
	read     bool
	attempts map[int]int
}

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	balanced  bool
	rng       *rand.Rand
	now       time.Duration
	seq       int
	events    modelEvents
	databases []*modelDatabase
	refused   int // during the burst
	far       int // reads sent to the other region
	reads     int
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now + d, m.seq, do})
}

// arrive lets requests arrive at an instance at the given mean rate per second.
func (m *model) arrive(in *modelInstance, centre int, rate float64) {
	peak := rate * burstFactor * 1.5
	m.after(time.Duration(m.rng.ExpFloat64()/peak*float64(time.Second)), func() {
		now := rate * (1 + 0.5*math.Sin(2*math.Pi*(float64(m.now)/float64(wavePeriod)+float64(centre)/6)))
		if m.now >= burstStart && m.now < burstEnd {
			now *= burstFactor
		}
		if m.rng.Float64() < now/peak {
			// Urgent, normal and background operations of the second deployment.
			work := [...]float64{3.8, 12, 12, 12, 12, 12, 19}[m.rng.IntN(7)] * (0.5 + m.rng.Float64())
			r := &modelRequest{from: in, work: time.Duration(work * float64(time.Millisecond)), read: m.rng.Float64() >= primaryShare, attempts: map[int]int{}}
			m.send(r, m.rng.IntN(modelServices))
		}
		m.arrive(in, centre, rate)
	})
}

func (m *model) send(r *modelRequest, service int) {
	id := service * modelReplicas
	if r.read {
		id = m.choose(r, service)
		m.reads++
	}
	db, view := m.databases[id], &r.from.views[id]
	tier := modelRegions.Tier(r.from.dataCentre, db.dataCentre)
	if r.read && tier == distance.OtherRegion {
		m.far++
	}
	view.inUse++
	r.sentAt = m.now
	m.after(tier.RoundTrip()/2, func() { m.reach(r, id) })
}

// choose returns the database of a read, by the former costs or by the balanced choice.
func (m *model) choose(r *modelRequest, service int) int {
	var options []option
	for i := range modelReplicas {
		id := service*modelReplicas + i
		v, db := &r.from.views[id], m.databases[id]
		load := dbpool.Load{
			InUse: v.inUse, Idle: 1, MaxOpen: 8, Report: v.report, ReportAge: m.now - v.reportAt, RefusedFor: v.refusals.Remaining(m.now),
			MeanLatency: time.Duration(v.mean * math.Exp2(-float64(m.now-v.updated)/float64(time.Second))),
		}
		o := option{load: load, dataCentre: db.dataCentre, extra: time.Duration(r.attempts[id]) * repeatPenalty}
		if db.primary {
			o.target.primary = primacy.Primary{ID: "primary"}
		}
		options = append(options, o)
	}
	best := 0
	if m.balanced {
		candidates := make([]balance.Candidate, len(options))
		for i, o := range options {
			candidates[i] = candidate(o, r.from.times, m.now)
		}
		best, _ = balance.Choose(candidates, m.rng.Float64)
	} else {
		lowest := time.Duration(math.MaxInt64)
		for i, o := range options {
			if c := cost(o.load, o.dataCentre != r.from.dataCentre, o.target.usesPrimary(), o.required) + o.extra; c < lowest {
				best, lowest = i, c
			}
		}
	}
	return service*modelReplicas + best
}

func (m *model) reach(r *modelRequest, id int) {
	db := m.databases[id]
	inBurst := m.now >= burstStart && m.now < burstEnd
	switch {
	case db.running < modelSlots:
		m.start(r, id)
	case len(db.queue) < modelQueue:
		db.queue = append(db.queue, r)
	default:
		db.refusals.Refused(m.now, m.rng.Float64())
		if inBurst {
			m.refused++
		}
		m.answer(r, id, true)
		return
	}
	if inBurst {
		db.work += r.work
	}
}

func (m *model) start(r *modelRequest, id int) {
	db := m.databases[id]
	db.running++
	m.after(r.work, func() {
		db.busy += (float64(db.running+len(db.queue))/modelSlots - db.busy) * 0.1
		db.mean += (float64(r.work) - db.mean) * 0.15
		db.running--
		m.answer(r, id, false)
		if len(db.queue) > 0 {
			next := db.queue[0]
			db.queue = db.queue[1:]
			m.start(next, id)
		}
	})
}

func (m *model) answer(r *modelRequest, id int, refused bool) {
	db, view := m.databases[id], &r.from.views[id]
	report := balance.Report{
		Queued: len(db.queue), InUse: db.running, Limit: modelSlots, Busy: db.busy, Mean: time.Duration(db.mean), RefusedFor: db.refusals.Remaining(m.now),
	}
	m.after(time.Duration(1+m.rng.IntN(200))*time.Millisecond, func() {
		view.report, view.reportAt = report, m.now
		view.refusals.Learn(m.now, report.RefusedFor)
	})
	m.after(modelRegions.Tier(r.from.dataCentre, db.dataCentre).RoundTrip()/2, func() {
		view.inUse--
		if refused {
			view.refusals.Refused(m.now, m.rng.Float64())
			if r.attempts[id]++; r.read && len(r.attempts) == 1 && r.attempts[id] == 1 {
				m.send(r, db.service)
			}
			return
		}
		took := float64(m.now - r.sentAt)
		if view.updated == 0 {
			view.mean = took
		}
		view.mean += (took - view.mean) * 0.15
		view.updated = m.now
	})
}

// runModel runs the model at the given share of the databases' capacity, without the
// burst, and returns the work of the busiest database in relation to the mean.
func runModel(balanced bool, utilisation float64, seed uint64) (m *model, ratio float64) {
	m = &model{balanced: balanced, rng: rand.New(rand.NewPCG(seed, 7))}
	for s := range modelServices {
		for i, centre := range []int{s % 3, (s + 1) % 3, 3 + s%3} {
			m.databases = append(m.databases, &modelDatabase{service: s, dataCentre: modelCentres[centre], primary: i == 0, mean: 1e7})
		}
	}
	const meanWork = (3.8 + 5*12 + 19) / 7 / 1000 // seconds
	total := utilisation * modelSlots * float64(len(m.databases)) / meanWork
	for i := range modelInstances {
		centre := i % len(modelCentres)
		in := &modelInstance{dataCentre: modelCentres[centre], views: make([]modelView, len(m.databases))}
		in.times = distance.NewTimes(modelRegions, in.dataCentre)
		m.arrive(in, centre, total/modelInstances*(0.5+float64(i)/(modelInstances-1)))
	}
	for len(m.events) > 0 && m.now < burstEnd {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	var busiest, sum time.Duration
	for _, db := range m.databases {
		busiest, sum = max(busiest, db.work), sum+db.work
	}
	return m, float64(busiest) * float64(len(m.databases)) / float64(sum)
}

// Guards against instances that all choose the same database, so that it is overloaded in
// a burst while others have room. At rest the databases are used at the shares given here;
// the last one is 81 % in the burst.
func TestReadsSpreadInABurst(t *testing.T) {
	formerRefused, refused := 0, 0
	for _, utilisation := range []float64{0.16, 0.3, 0.45} {
		for seed := uint64(1); seed <= 3; seed++ {
			former, formerRatio := runModel(false, utilisation, seed)
			m, ratio := runModel(true, utilisation, seed)
			t.Logf("use %.2f, seed %d: busiest / mean %.2f (former choice %.2f), refused %d (%d), reads to the other region %.0f %% (%.0f %%)", utilisation, seed,
				ratio, formerRatio, m.refused, former.refused, 100*float64(m.far)/float64(m.reads), 100*float64(former.far)/float64(former.reads))
			if ratio > 1.25 {
				t.Errorf("the busiest database has %.2f times the mean work, want at most 1.25", ratio)
			}
			formerRefused, refused = formerRefused+former.refused, refused+m.refused
		}
	}
	if formerRefused == 0 || refused > formerRefused/10 {
		t.Errorf("%d refusals, %d with the former choice, want at most a tenth", refused, formerRefused)
	}
}
