package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/result"
)

// Options configures Compute.
type Options struct {
	// Classes give the objectives. A class that is not listed has Objective.
	Classes   []catalog.Class
	Objective float64
	// Period is the time over which an objective holds.
	Period time.Duration
}

// AllDataCentres is the data centre name of a class's total.
const AllDataCentres = "all"

// Report tells how much of the objectives is used.
type Report struct {
	From, To    time.Time             `json:"-"`
	FastSeconds float64               `json:"fast_window_s"`
	SlowSeconds float64               `json:"slow_window_s"`
	Period      string                `json:"period"`
	Budgets     []BudgetStatus        `json:"burns"`
	Unreachable []UnreachableInstance `json:"unreachable,omitempty"`
	Warnings    []string              `json:"warnings,omitempty"`
}

// BudgetStatus is the use of one class's objective in one data centre.
type BudgetStatus struct {
	Service    string  `json:"service"`
	Class      string  `json:"class"`
	DataCentre string  `json:"data_centre"`
	Objective  float64 `json:"objective"`
	// Requests and BadRequests are totals since the instances started. Requests that
	// failed by the caller's own fault do not count.
	Requests    int64 `json:"requests"`
	BadRequests int64 `json:"bad"`
	// BudgetUsed is the share of the allowed bad requests that is used: 1 means all.
	BudgetUsed float64 `json:"objective_used"`
	// FastBurnRate and SlowBurnRate are burn rates: 1 uses up the objective exactly within
	// the period. FastBurnRate covers the last two samples, SlowBurnRate all of them.
	FastBurnRate float64 `json:"burn_fast"`
	SlowBurnRate float64 `json:"burn_slow"`
	// ExhaustedInSeconds is the time until the period's allowance is used at
	// the slow window's rate; -1 means not at this rate.
	ExhaustedInSeconds float64 `json:"exhausted_in_s"`
	// Reasons are the shares of bad requests by reason.
	Reasons map[metrics.Reason]float64 `json:"reasons,omitempty"`
}

type budgetKey struct{ service, class, dataCentre string }

// requestCounts counts requests against the objective.
type requestCounts struct {
	requests, bad int64
	reasons       map[metrics.Reason]int64
}

func (t *requestCounts) add(v requestCounts) {
	t.requests += v.requests
	t.bad += v.bad
	if t.reasons == nil {
		t.reasons = make(map[metrics.Reason]int64)
	}
	for r, n := range v.reasons {
		t.reasons[r] += n
	}
}

func countRequests(v metrics.ClassValues) requestCounts {
	t := requestCounts{reasons: make(map[metrics.Reason]int64)}
	t.requests = v.Requests - v.Missed[metrics.ReasonCaller]
	t.bad = max(0, t.requests-v.WithinTarget)
	var explained int64
	for r, n := range v.Missed {
		if r != metrics.ReasonCaller && n > 0 {
			t.reasons[r] = n
			explained += n
		}
	}
	if rest := t.bad - explained; rest > 0 {
		t.reasons[metrics.ReasonOther] += rest
	}
	return t
}

// Compute evaluates samples in order of time.
func Compute(samples []Sample, o Options) (*Report, error) {
	if len(samples) < 2 {
		return nil, result.Errorf(result.Invalid, "there are %d samples: want at least 2", len(samples))
	}
	first, last := samples[0], samples[len(samples)-1]
	rep := &Report{From: first.At, To: last.At, Period: o.Period.String(), SlowSeconds: last.At.Sub(first.At).Seconds()}
	rep.FastSeconds = last.At.Sub(samples[len(samples)-2].At).Seconds()
	if rep.FastSeconds <= 0 || o.Period <= 0 {
		return nil, result.Errorf(result.Invalid, "window %v s and period %v: want more than 0", rep.FastSeconds, o.Period)
	}
	total := make(map[budgetKey]*requestCounts)
	for _, in := range last.Instances {
		addInstance(total, in, metrics.Values{})
	}
	fast, _ := increaseOver(samples[len(samples)-2:])
	slow, restarted := increaseOver(samples)
	for _, name := range restarted {
		rep.Warnings = append(rep.Warnings, fmt.Sprintf("instance %s restarted between samples; requests before its restart may be missing", name))
	}
	for k, t := range total {
		rep.Budgets = append(rep.Budgets, o.budgetStatus(k, *t, countsOf(fast, k), countsOf(slow, k), rep.SlowSeconds))
	}
	slices.SortFunc(rep.Budgets, func(a, b BudgetStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class),
			-compareBool(a.DataCentre == AllDataCentres, b.DataCentre == AllDataCentres), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	rep.Unreachable = unreachable(samples)
	return rep, nil
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// increaseOver adds up the increase over consecutive samples and names the instances
// that restarted in it.
func increaseOver(samples []Sample) (map[budgetKey]*requestCounts, []string) {
	out := make(map[budgetKey]*requestCounts)
	restarted := make(map[string]bool)
	previous := make(map[string]metrics.Values)
	for i, s := range samples {
		for _, in := range s.Instances {
			before, known := previous[in.Instance]
			previous[in.Instance] = in
			if i == 0 || !known {
				// The increase of an instance that was not seen before is
				// unknown, so it counts from the next sample on.
				continue
			}
			if countersReset(before, in) {
				restarted[in.Instance] = true
				before = metrics.Values{}
			}
			addInstance(out, in, before)
		}
	}
	return out, slices.Sorted(maps.Keys(restarted))
}

func countersReset(before, after metrics.Values) bool {
	counts := make(map[budgetKey]int64)
	for _, c := range after.Classes {
		counts[budgetKey{c.Service, c.Class, ""}] = c.Requests
	}
	return slices.ContainsFunc(before.Classes, func(c metrics.ClassValues) bool {
		return counts[budgetKey{c.Service, c.Class, ""}] < c.Requests
	})
}

// addInstance adds the increase of one instance to its data centre and to the
// total.
func addInstance(out map[budgetKey]*requestCounts, in, before metrics.Values) {
	old := make(map[budgetKey]requestCounts)
	for _, c := range before.Classes {
		old[budgetKey{c.Service, c.Class, ""}] = countRequests(c)
	}
	for _, c := range in.Classes {
		t := countRequests(c)
		if b, ok := old[budgetKey{c.Service, c.Class, ""}]; ok {
			t = t.minus(b)
		}
		for _, dc := range []string{in.DataCentre, AllDataCentres} {
			k := budgetKey{c.Service, c.Class, dc}
			if out[k] == nil {
				out[k] = &requestCounts{}
			}
			out[k].add(t)
		}
	}
}

// minus never goes below zero: counters of one instance are not read at the
// same moment, so a difference may be off by requests in flight.
func (t requestCounts) minus(b requestCounts) requestCounts {
	out := requestCounts{requests: max(0, t.requests-b.requests), bad: max(0, t.bad-b.bad), reasons: make(map[metrics.Reason]int64)}
	for r, n := range t.reasons {
		out.reasons[r] = max(0, n-b.reasons[r])
	}
	return out
}

func countsOf(m map[budgetKey]*requestCounts, k budgetKey) requestCounts {
	if t := m[k]; t != nil {
		return *t
	}
	return requestCounts{}
}

func (o Options) objective(service, class string) float64 {
	for _, c := range o.Classes {
		if c.Service == service && c.Name == class {
			return c.EffectiveObjective()
		}
	}
	return o.Objective
}

func (o Options) budgetStatus(k budgetKey, total, fast, slow requestCounts, slowSeconds float64) BudgetStatus {
	b := BudgetStatus{
		Service: k.service, Class: k.class, DataCentre: k.dataCentre, Objective: o.objective(k.service, k.class),
		Requests: total.requests, BadRequests: total.bad, ExhaustedInSeconds: -1,
	}
	allowed := 1 - b.Objective
	b.BudgetUsed = badShare(total) / allowed
	b.FastBurnRate = badShare(fast) / allowed
	b.SlowBurnRate = badShare(slow) / allowed
	if slow.bad > 0 {
		// The allowance of a whole period at the present request rate.
		allowance := allowed * float64(slow.requests) / slowSeconds * o.Period.Seconds()
		left := max(0, allowance-float64(total.bad))
		b.ExhaustedInSeconds = left / (float64(slow.bad) / slowSeconds)
	}
	var sum int64
	for _, n := range total.reasons {
		sum += n
	}
	for r, n := range total.reasons {
		if b.Reasons == nil {
			b.Reasons = make(map[metrics.Reason]float64)
		}
		b.Reasons[r] = float64(n) / float64(sum)
	}
	return b
}

func badShare(t requestCounts) float64 {
	if t.requests == 0 {
		return 0
	}
	return float64(t.bad) / float64(t.requests)
}

// unreachable lists each instance that did not answer in any sample, with its
// last error.
func unreachable(samples []Sample) []UnreachableInstance {
	last := make(map[string]UnreachableInstance)
	for _, s := range samples {
		for _, u := range s.Unreachable {
			last[u.Address] = u
		}
	}
	out := slices.Collect(maps.Values(last))
	slices.SortFunc(out, func(a, b UnreachableInstance) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
