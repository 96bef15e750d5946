// Package metrics holds the counters of an instance per class and publishes them by
// expvar. The report on error-budget burn is computed from these counters alone.
package metrics

import (
	"encoding/json"
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a request missed its target or was refused.
type Reason string

// Reasons.
const (
	ReasonShed     Reason = "shed"     // refused because of load
	ReasonQueue    Reason = "queue"    // answered, but later than the target
	ReasonFailover Reason = "failover" // no primary, or the outcome is unknown because of its loss
	ReasonStale    Reason = "stale"    // the freshness target could not be met
	ReasonCaller   Reason = "caller"   // error of the caller; not counted against the objective
	ReasonOther    Reason = "other"
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonShed, ReasonQueue, ReasonFailover, ReasonStale, ReasonCaller, ReasonOther}

// latencyBounds are the upper bounds of the latency buckets in microseconds, from
// 100 µs to about 100 s. Each is 2^(1/4) times the previous one.
var latencyBounds = func() []float64 {
	var out []float64
	for v := 100.0; v < 1e8; v *= math.Pow(2, 0.25) {
		out = append(out, v)
	}
	return out
}()

// Class holds the counters of one class. They never decrease.
type Class struct {
	Requests     atomic.Int64 // finished requests
	Served       atomic.Int64 // answered
	WithinTarget atomic.Int64 // answered within served_within
	ReplicaReads atomic.Int64 // answered by a replica
	PrimaryReads atomic.Int64 // requests with a read hint answered by the primary
	Writes       atomic.Int64 // answered batches that advanced the primary's position
	StaleReads   atomic.Int64 // answered and marked stale
	Retries      atomic.Int64 // attempts after the first
	Unknown      atomic.Int64 // outcome unknown
	missed       [6]atomic.Int64
	latency      []atomic.Int64
}

// AddMissed counts a request that missed its target or was refused.
func (c *Class) AddMissed(r Reason) {
	for i, v := range Reasons {
		if v == r {
			c.missed[i].Add(1)
			return
		}
	}
}

// Observe records the latency of a request, from its arrival to the last byte of the
// answer.
func (c *Class) Observe(d time.Duration) {
	us := float64(d.Microseconds())
	for i, b := range latencyBounds {
		if us <= b {
			c.latency[i].Add(1)
			return
		}
	}
	c.latency[len(c.latency)-1].Add(1)
}

// ClassValues holds the published counters of a class.
type ClassValues struct {
	Service      string           `json:"service"`
	Class        string           `json:"class"`
	Requests     int64            `json:"requests"`
	Served       int64            `json:"served"`
	WithinTarget int64            `json:"within_target"`
	ReplicaReads int64            `json:"replica_reads"`
	PrimaryReads int64            `json:"primary_reads"`
	Writes       int64            `json:"writes"`
	StaleReads   int64            `json:"stale_reads"`
	Retries      int64            `json:"retries"`
	Unknown      int64            `json:"unknown"`
	Missed       map[Reason]int64 `json:"missed"`
	P50Micros    float64          `json:"p50_us"`
	P99Micros    float64          `json:"p99_us"`
}

type classKey struct{ service, class string }

// Registry holds the classes' counters and the instance's expvar map.
type Registry struct {
	// Vars is served as /debug/vars.
	Vars *expvar.Map

	mu      sync.RWMutex
	classes map[classKey]*Class
}

// NewRegistry returns a registry for the named instance. It publishes nothing in the
// global expvar map, so that several instances can run in one process.
func NewRegistry(instance, dataCentre string) *Registry {
	r := &Registry{Vars: new(expvar.Map).Init(), classes: make(map[classKey]*Class)}
	r.Vars.Set("instance", expvar.Func(func() any { return instance }))
	r.Vars.Set("data_centre", expvar.Func(func() any { return dataCentre }))
	// The memory statistics are those of the whole process, as published by expvar.
	r.Vars.Set("memstats", expvar.Get("memstats"))
	r.Vars.Set("classes", expvar.Func(func() any { return r.Values() }))
	return r
}

// Class returns the counters of a class and creates them on the first call.
func (r *Registry) Class(service, class string) *Class {
	k := classKey{service, class}
	r.mu.RLock()
	c := r.classes[k]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.classes[k]; c == nil {
		c = &Class{latency: make([]atomic.Int64, len(latencyBounds)+1)}
		r.classes[k] = c
	}
	return c
}

// Values returns a copy of all counters.
func (r *Registry) Values() []ClassValues {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]ClassValues, 0, len(r.classes))
	for k, c := range r.classes {
		out = append(out, c.values(k))
	}
	return out
}

func (c *Class) values(k classKey) ClassValues {
	v := ClassValues{
		Service:      k.service,
		Class:        k.class,
		Requests:     c.Requests.Load(),
		Served:       c.Served.Load(),
		WithinTarget: c.WithinTarget.Load(),
		ReplicaReads: c.ReplicaReads.Load(),
		PrimaryReads: c.PrimaryReads.Load(),
		Writes:       c.Writes.Load(),
		StaleReads:   c.StaleReads.Load(),
		Retries:      c.Retries.Load(),
		Unknown:      c.Unknown.Load(),
		Missed:       make(map[Reason]int64),
		P50Micros:    c.quantile(0.50),
		P99Micros:    c.quantile(0.99),
	}
	for i, r := range Reasons {
		v.Missed[r] = c.missed[i].Load()
	}
	return v
}

func (c *Class) quantile(q float64) float64 {
	var total int64
	for i := range c.latency {
		total += c.latency[i].Load()
	}
	if total == 0 {
		return 0
	}
	rank := int64(math.Ceil(q * float64(total)))
	for i := range c.latency {
		rank -= c.latency[i].Load()
		if rank <= 0 {
			return latencyBounds[min(i, len(latencyBounds)-1)]
		}
	}
	return latencyBounds[len(latencyBounds)-1]
}

// Values holds the counters of one instance as served by /debug/vars.
type Values struct {
	Instance   string        `json:"instance"`
	DataCentre string        `json:"data_centre"`
	Classes    []ClassValues `json:"classes"`
}

// Decode decodes the body of /debug/vars.
func Decode(body []byte) (Values, error) {
	var v Values
	return v, json.Unmarshal(body, &v)
}
