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
	// Classes holds the classes whose objectives apply; other classes have
	// Objective.
	Classes   []catalog.Class
	Objective float64
	// Period is the time over which the objectives are evaluated, and for which
	// an error budget lasts.
	Period time.Duration
}

// AllDataCentres is the data centre name of the totals over all data centres.
const AllDataCentres = "all"

// Report holds the error budgets of all classes. The fast window spans the last
// two samples, the slow window all of them.
type Report struct {
	From, To    time.Time             `json:"-"`
	FastSeconds float64               `json:"fast_window_s"`
	SlowSeconds float64               `json:"slow_window_s"`
	Period      string                `json:"period"`
	Budgets     []BudgetStatus        `json:"burns"`
	Unreachable []UnreachableInstance `json:"unreachable,omitempty"`
	Warnings    []string              `json:"warnings,omitempty"`
}

// BudgetStatus is the state of the error budget of one class in one data centre.
type BudgetStatus struct {
	Service    string  `json:"service"`
	Class      string  `json:"class"`
	DataCentre string  `json:"data_centre"`
	Objective  float64 `json:"objective"`
	// Requests and BadRequests are totals since the instances started. Bad
	// requests are those not served within the latency target. Requests that
	// failed because of the caller are not counted.
	Requests    int64 `json:"requests"`
	BadRequests int64 `json:"bad"`
	// BudgetUsed is the ratio of the bad requests to those that the objective
	// allows; 1 means that the error budget is used up.
	BudgetUsed float64 `json:"objective_used"`
	// FastBurnRate and SlowBurnRate are the burn rates in the fast and the slow
	// window. A rate of 1 uses up the error budget exactly at the end of a period.
	FastBurnRate float64 `json:"burn_fast"`
	SlowBurnRate float64 `json:"burn_slow"`
	// ExhaustedInSeconds is the time until the error budget of the period is used
	// up at the slow window's rate; -1 means that the window has no bad requests.
	ExhaustedInSeconds float64 `json:"exhausted_in_s"`
	// Reasons holds the share of each reason in the bad requests.
	Reasons map[metrics.Reason]float64 `json:"reasons,omitempty"`
}

type budgetKey struct{ service, class, dataCentre string }

// requestCounts holds the requests that count towards the objective, and the bad
// ones among them by reason.
type requestCounts struct {
	requests, bad int64
	reasons       map[metrics.Reason]int64
}

func (c *requestCounts) add(v requestCounts) {
	c.requests += v.requests
	c.bad += v.bad
	if c.reasons == nil {
		c.reasons = make(map[metrics.Reason]int64)
	}
	for r, n := range v.reasons {
		c.reasons[r] += n
	}
}

func countRequests(v metrics.ClassValues) requestCounts {
	counts := requestCounts{reasons: make(map[metrics.Reason]int64)}
	counts.requests = v.Requests - v.Missed[metrics.ReasonCaller]
	counts.bad = max(0, counts.requests-v.WithinTarget)
	var withReason int64
	for r, n := range v.Missed {
		if r != metrics.ReasonCaller && n > 0 {
			counts.reasons[r] = n
			withReason += n
		}
	}
	if remainder := counts.bad - withReason; remainder > 0 {
		counts.reasons[metrics.ReasonOther] += remainder
	}
	return counts
}

// Compute evaluates samples, which must be ordered by time.
func Compute(samples []Sample, o Options) (*Report, error) {
	if len(samples) < 2 {
		return nil, result.Errorf(result.Invalid, "compute report from %d samples: want at least 2", len(samples))
	}
	first, last := samples[0], samples[len(samples)-1]
	rep := &Report{From: first.At, To: last.At, Period: o.Period.String(), SlowSeconds: last.At.Sub(first.At).Seconds()}
	rep.FastSeconds = last.At.Sub(samples[len(samples)-2].At).Seconds()
	if rep.FastSeconds <= 0 || o.Period <= 0 {
		return nil, result.Errorf(result.Invalid, "compute report for a window of %v s and a period of %v: want more than 0", rep.FastSeconds, o.Period)
	}
	total := make(map[budgetKey]*requestCounts)
	for _, in := range last.Instances {
		addInstance(total, in, metrics.Values{})
	}
	fast, _ := increaseOver(samples[len(samples)-2:])
	slow, restarted := increaseOver(samples)
	for _, name := range restarted {
		rep.Warnings = append(rep.Warnings, fmt.Sprintf("instance %s restarted between samples; requests before the restart may be missing", name))
	}
	for k, counts := range total {
		rep.Budgets = append(rep.Budgets, o.budgetStatus(k, *counts, countsOf(fast, k), countsOf(slow, k), rep.SlowSeconds))
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

// increaseOver sums the increases between consecutive samples. It also returns
// the names of the instances that restarted between two of them.
func increaseOver(samples []Sample) (map[budgetKey]*requestCounts, []string) {
	out := make(map[budgetKey]*requestCounts)
	restarted := make(map[string]bool)
	previous := make(map[string]metrics.Values)
	for i, s := range samples {
		for _, in := range s.Instances {
			before, known := previous[in.Instance]
			previous[in.Instance] = in
			if i == 0 || !known {
				// The counters of an instance that is new in this sample may
				// include requests from before the window, so its increase
				// counts from the next sample on.
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

// countersReset reports whether the request count of a class decreased, which
// only happens when the instance restarts.
func countersReset(before, after metrics.Values) bool {
	counts := make(map[budgetKey]int64)
	for _, c := range after.Classes {
		counts[budgetKey{c.Service, c.Class, ""}] = c.Requests
	}
	return slices.ContainsFunc(before.Classes, func(c metrics.ClassValues) bool {
		return counts[budgetKey{c.Service, c.Class, ""}] < c.Requests
	})
}

// addInstance adds the increase of one instance since before to the counts of
// its data centre and to the totals.
func addInstance(out map[budgetKey]*requestCounts, in, before metrics.Values) {
	old := make(map[budgetKey]requestCounts)
	for _, c := range before.Classes {
		old[budgetKey{c.Service, c.Class, ""}] = countRequests(c)
	}
	for _, c := range in.Classes {
		counts := countRequests(c)
		if b, ok := old[budgetKey{c.Service, c.Class, ""}]; ok {
			counts = counts.minus(b)
		}
		for _, dc := range []string{in.DataCentre, AllDataCentres} {
			k := budgetKey{c.Service, c.Class, dc}
			if out[k] == nil {
				out[k] = &requestCounts{}
			}
			out[k].add(counts)
		}
	}
}

// minus returns the difference, and 0 in place of negative values: the counters
// of one instance are not read atomically, so a difference may be off by the
// requests in flight.
func (c requestCounts) minus(b requestCounts) requestCounts {
	out := requestCounts{requests: max(0, c.requests-b.requests), bad: max(0, c.bad-b.bad), reasons: make(map[metrics.Reason]int64)}
	for r, n := range c.reasons {
		out.reasons[r] = max(0, n-b.reasons[r])
	}
	return out
}

func countsOf(m map[budgetKey]*requestCounts, k budgetKey) requestCounts {
	if c := m[k]; c != nil {
		return *c
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
	allowedShare := 1 - b.Objective
	b.BudgetUsed = badShare(total) / allowedShare
	b.FastBurnRate = badShare(fast) / allowedShare
	b.SlowBurnRate = badShare(slow) / allowedShare
	if slow.bad > 0 {
		// The error budget of a whole period, if requests keep the rate of the slow
		// window.
		budget := allowedShare * float64(slow.requests) / slowSeconds * o.Period.Seconds()
		remaining := max(0, budget-float64(total.bad))
		b.ExhaustedInSeconds = remaining / (float64(slow.bad) / slowSeconds)
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

// badShare returns the share of bad requests, 0 if there are no requests.
func badShare(c requestCounts) float64 {
	if c.requests == 0 {
		return 0
	}
	return float64(c.bad) / float64(c.requests)
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
