package quota

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// audit compares what exists at this moment with the limit: the rates of all shares and
// pools, and the permits that these may store. It finds a fault of the books that only
// few sequences of operations would turn into a window over the limit. What is used is
// compared with what was created in admit, which covers all spans of time.
func (f *fleet) audit(o *simOrg) string {
	limit := f.highest(o)
	var held Limit
	for _, in := range f.instances {
		h := in.share.shardOf(o.name)
		if a := h.accounts[o.name]; a != nil {
			rate, storage := f.inForce(in, o, a)
			held.Rate += rate
			held.Storage += storage
		}
		if in.alloc != nil {
			rate, storage := f.poolOf(in, o)
			held.Rate += rate
			held.Storage += storage
		}
	}
	if held.Rate > limit.Rate*(1+1e-6)+1e-6 || held.Storage > limit.Storage*(1+1e-6)+1e-6 {
		return fmt.Sprintf("organisation %s at %v: rate %.2f of %.2f, storage %.2f of %.2f", o.name, f.now, held.Rate, limit.Rate, held.Storage, limit.Storage)
	}
	return ""
}

// inForce returns the share of an instance.
func (f *fleet) inForce(in *simInstance, o *simOrg, a *account) (rate, storage float64) {
	if f.now < a.permitsExpire {
		storage = a.permits
	}
	if f.now >= a.expires {
		return 0, storage
	}
	limit := f.limit(in, o)
	return a.rate * limit.Rate, storage + a.cap*limit.Storage
}

// poolOf returns what an allocator may still grant.
func (f *fleet) poolOf(in *simInstance, o *simOrg) (rate, storage float64) {
	a := in.alloc
	if a.phase == silent || a.stopping || a.replaced || f.now-a.confirmed >= ConfirmValidity {
		return 0, 0
	}
	l := a.ledgers[o.name]
	if l == nil {
		return 0, 0
	}
	limit := f.limit(in, o)
	rate = max(0, l.budget.Rate-l.sum.Rate) * limit.Rate
	room := max(0, (l.budget.Storage-l.sum.Storage)*limit.Storage-l.permits)
	return rate, min(room, l.pool+rate*(f.now-l.filledAt).Seconds())
}

// highest returns the highest limit that may be in force.
func (f *fleet) highest(o *simOrg) Limit {
	first := o.limitAt(f.now - configTime)
	max := f.window.Limit(first.rate, first.burst)
	for _, l := range o.limits {
		if l.at > f.now-configTime {
			x := f.window.Limit(l.rate, l.burst)
			max = Limit{Rate: math.Max(max.Rate, x.Rate), Storage: math.Max(max.Storage, x.Storage)}
		}
	}
	return max
}

// check returns a description of the first window over the limit, or "".
func (f *fleet) check() string {
	if f.violation != "" {
		return f.violation
	}
	w := f.window.Length
	for _, o := range f.orgs {
		sort.Slice(o.runs, func(i, j int) bool { return o.runs[i] < o.runs[j] })
		first := 0
		for i, end := range o.runs {
			for o.runs[first] <= end-w {
				first++
			}
			if got, bound := i-first+1, f.bound(o, o.runs[first], end); float64(got) > bound+1e-6 {
				return fmt.Sprintf("organisation %s: %d operations from %v to %v, bound %.1f", o.name, got, o.runs[first], end, bound)
			}
		}
	}
	return ""
}

// bound returns the number of operations that may run in a window. A limit that was
// lowered less than 5 s before its start does not bind it yet.
func (f *fleet) bound(o *simOrg, start, end time.Duration) float64 {
	l := o.limitAt(end - f.window.Length - configTime)
	bound := f.window.Bound(l.rate, l.burst)
	for _, l := range o.limits {
		if l.at > end-f.window.Length-configTime && l.at <= end {
			bound = math.Max(bound, f.window.Bound(l.rate, l.burst))
		}
	}
	return bound
}

// configTime is the time within which a configuration is in force at all instances.
const configTime = 5 * time.Second
