package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
)

// The load of the tests in this file: a database with 4 slots, of which this queue has all;
// 82 organisations, whose shares follow Zipf's law with exponent 1.2; normal operations
// with 18 ms of work on average (exponential), a target of 400 ms and a deadline of
// 2,500 ms; together 0.55 of the capacity. Then one organisation sends 7.5 times its usual
// load.
const (
	loadOrganisations = 82
	loadSlots         = 4
	loadShare         = 0.55
	loadWork          = 18 * time.Millisecond
	loadTarget        = 400 * time.Millisecond
	loadDeadline      = 2500 * time.Millisecond
	loadSurge         = 7.5
	loadLength        = 60 * time.Second
)

// organisationLoad is one run of the load.
type organisationLoad struct {
	surging int                 // organisation that sends more; -1: none
	class   func(int) string    // of the requests of an organisation
	request func(*Request, int) // changes a request of an organisation
	waits   [][]time.Duration   // by organisation
	refused []int               // by organisation
	core    *core
}

type organisationArrival struct {
	at           time.Duration
	organisation int
	work         time.Duration
}

// arrivals returns the requests of the run in order of time. The usual requests are the
// same with and without a surge.
func (l *organisationLoad) arrivals() []organisationArrival {
	var sum float64
	for i := range loadOrganisations {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var all []organisationArrival
	for i := range loadOrganisations {
		rng := rand.New(rand.NewPCG(uint64(i), 5))
		rate := loadShare * loadSlots / loadWork.Seconds() * math.Pow(float64(i+1), -1.2) / sum
		if i == l.surging {
			rate *= loadSurge
		}
		for at := seconds(rng.ExpFloat64() / rate); at < loadLength; at += seconds(rng.ExpFloat64() / rate) {
			all = append(all, organisationArrival{at, i, seconds(rng.ExpFloat64() * loadWork.Seconds())})
		}
	}
	slices.SortFunc(all, func(a, b organisationArrival) int { return int(a.at - b.at) })
	return all
}

// run serves the load with a queue in front of the slots.
func (l *organisationLoad) run() {
	l.core = newCore(Config{MaxConcurrency: loadSlots, FixedConcurrency: true, Seed: 3})
	l.waits, l.refused = make([][]time.Duration, loadOrganisations), make([]int, loadOrganisations)
	type running struct {
		ends time.Duration
		it   *item
		work time.Duration
	}
	var inFlight []running
	queued := make(map[*item]organisationArrival)
	start := func(now time.Duration) {
		for it := l.core.next(now); it != nil; it = l.core.next(now) {
			a := queued[it]
			delete(queued, it)
			if it.state != stateRunning {
				l.refused[a.organisation]++
				continue
			}
			l.waits[a.organisation] = append(l.waits[a.organisation], now-a.at)
			inFlight = append(inFlight, running{now + a.work, it, a.work})
		}
	}
	finish := func(until time.Duration) {
		for len(inFlight) > 0 {
			next := 0
			for i := range inFlight {
				if inFlight[i].ends < inFlight[next].ends {
					next = i
				}
			}
			r := inFlight[next]
			if r.ends > until {
				return
			}
			inFlight = slices.Delete(inFlight, next, next+1)
			l.core.finish(r.ends, r.it, r.work)
			start(r.ends)
		}
	}
	for i, a := range l.arrivals() {
		finish(a.at)
		r := Request{
			ID: fmt.Sprint(i), Class: l.class(a.organisation), Caller: fmt.Sprint("session", i%4000), Rank: catalog.RankNormal,
			Deadline: simStart.Add(a.at + loadDeadline), Target: simStart.Add(a.at + loadTarget),
		}
		l.request(&r, a.organisation)
		it, _ := l.core.enqueue(a.at, r, simStart)
		if it == nil {
			l.refused[a.organisation]++
			continue
		}
		queued[it] = a
		start(a.at)
	}
}

// others returns the waits of all organisations but one, in order, and the number of their
// requests that were refused.
func (l *organisationLoad) others(but int) (waits []time.Duration, refused int) {
	for i := range loadOrganisations {
		if i != but {
			waits = append(waits, l.waits[i]...)
			refused += l.refused[i]
		}
	}
	slices.Sort(waits)
	return waits, refused
}

func asOrganisation(r *Request, i int) {
	r.Organisation = fmt.Sprint("organisation", i)
	r.Caller = r.Organisation
}

func oneRoute(int) string { return "confirm" }

// wait returns the given quantile of ordered waits.
func wait(ordered []time.Duration, quantile float64) time.Duration {
	return ordered[int(float64(len(ordered)-1)*quantile)].Round(100 * time.Microsecond)
}

// surge runs the load with and without the surge of an organisation, logs the waits of the
// others and returns them in order, with the number of refused requests.
func surge(t *testing.T, surging int, class func(int) string, request func(*Request, int)) (before, during []time.Duration, refused int) {
	t.Helper()
	usual := organisationLoad{surging: -1, class: class, request: request}
	usual.run()
	l := organisationLoad{surging: surging, class: class, request: request}
	l.run()
	before, _ = usual.others(surging)
	during, refused = l.others(surging)
	t.Logf("organisation %d surges: the others wait p50 %v p90 %v p99 %v, without the surge %v %v %v; of %d, %d are refused; of its own, %d are served and %d refused",
		surging, wait(during, .5), wait(during, .9), wait(during, .99), wait(before, .5), wait(before, .9), wait(before, .99),
		len(during)+refused, refused, len(l.waits[surging]), l.refused[surging])
	return before, during, refused
}

// Guards against one organisation that makes the others wait, with the load above, through
// a route that all use and through one of its own. The largest one surges beyond the
// capacity of the database; then the others wait for one piece of work to end.
func TestSurgeOfOneOrganisation(t *testing.T) {
	for _, surging := range []int{0, 3, 20} {
		for name, class := range map[string]func(int) string{
			"route of all": oneRoute,
			"own route": func(i int) string {
				if i == surging {
					return "own"
				}
				return oneRoute(i)
			},
		} {
			t.Run(fmt.Sprintf("%d/%s", surging, name), func(t *testing.T) {
				before, during, refused := surge(t, surging, class, asOrganisation)
				if refused > 0 {
					t.Errorf("%d requests of others are refused", refused)
				}
				for quantile, margin := range map[float64]time.Duration{.5: loadWork / 2, .9: loadWork * 3 / 2, .99: 3 * loadWork} {
					if was, is := wait(before, quantile), wait(during, quantile); is > was+margin {
						t.Errorf("quantile %v of the wait is %v, want at most %v more than the %v without the surge", quantile, is, margin, was)
					}
				}
			})
		}
	}
}

// Guards against a load that is too easy to show anything: with fairness between sessions,
// the surge of the largest organisation delays all.
func TestSurgeDelaysOthersWithoutOrganisations(t *testing.T) {
	_, during, refused := surge(t, 0, oneRoute, func(*Request, int) {})
	if refused == 0 || wait(during, .5) < loadTarget/4 {
		t.Errorf("%d refused, median wait %v", refused, wait(during, .5))
	}
}

// Guards against requests of one organisation that are not served by target and deadline,
// whatever their session or class, and against organisations that are not served in turn.
func TestOrderWithinAnOrganisation(t *testing.T) {
	c := newCore(Config{MaxConcurrency: 1, FixedConcurrency: true, Seed: 1})
	var order []string
	names := make(map[*item]string)
	for i, r := range []Request{
		{ID: "a3", Class: "x", Organisation: "a", Target: simStart.Add(300 * time.Millisecond)},
		{ID: "a1", Class: "y", Organisation: "a", Target: simStart.Add(100 * time.Millisecond)},
		{ID: "a4", Class: "y", Organisation: "a"},
		{ID: "a2", Class: "x", Organisation: "a", Target: simStart.Add(200 * time.Millisecond)},
		{ID: "b1", Class: "x", Organisation: "b", Target: simStart.Add(400 * time.Millisecond)},
	} {
		r.Caller, r.Rank, r.Deadline = r.Organisation, catalog.RankNormal, simStart.Add(time.Second+time.Duration(i))
		it, ref := c.enqueue(0, r, simStart)
		if it == nil {
			t.Fatal(ref.reason)
		}
		names[it] = r.ID
	}
	for it := c.next(0); it != nil; it = c.next(0) {
		order = append(order, names[it])
		c.finish(0, it, 0)
	}
	if want := []string{"a1", "b1", "a2", "a3", "a4"}; !slices.Equal(order, want) {
		t.Errorf("served %v, want %v", order, want)
	}
	if c.queued != 0 || len(c.ranks[catalog.RankNormal.Index()].active) != 0 {
		t.Errorf("%d requests are left", c.queued)
	}
}
