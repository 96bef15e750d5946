package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options says against what a scenario runs.
type Options struct {
	// Addresses of proxy instances for callers; connections are spread over
	// them.
	Addresses []string
	// MetricsAddresses are the metrics addresses of instances, for the share of reads
	// served by replicas.
	MetricsAddresses []string
	// Command is recorded in the report.
	Command   string
	SkipSetup bool
}

// Run runs a scenario and measures it.
func Run(ctx context.Context, s Scenario, o Options) (*Report, error) {
	if !o.SkipSetup {
		if err := runSetup(ctx, &s, o.Addresses); err != nil {
			return nil, err
		}
	}
	r := &run{scenario: s, options: o, id: strconv.FormatInt(time.Now().UnixMilli(), 36), start: time.Now()}
	for _, g := range s.Segments {
		seg := &segment{Segment: g, reads: make(map[string]readCounts)}
		for _, c := range s.Classes {
			seg.recorders = append(seg.recorders, newRecorder(c, g))
		}
		r.segments = append(r.segments, seg)
	}
	r.sendLoad(ctx)
	return r.report(), ctx.Err()
}

// run is one run of a scenario.
type run struct {
	scenario Scenario
	options  Options
	id       string // makes keys unique over runs
	start    time.Time
	segments []*segment

	mu       sync.Mutex
	warnings []string
}

type segment struct {
	Segment
	recorders []*recorder // by class
	reads     map[string]readCounts
}

func (r *run) sendLoad(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range r.scenario.Classes {
		for caller := range r.scenario.Classes[i].Callers {
			c := r.newCaller(i, caller)
			wg.Go(func() { c.sendAll(ctx) })
		}
	}
	if len(r.options.MetricsAddresses) > 0 {
		for _, g := range r.segments {
			wg.Go(func() { r.measureReads(ctx, g) })
		}
	}
	wg.Wait()
}

// measureReads samples the instances at the segment's start and end.
func (r *run) measureReads(ctx context.Context, g *segment) {
	if !r.sleepUntil(ctx, g.Start.Std()) {
		return
	}
	before := r.readTotals(ctx)
	if !r.sleepUntil(ctx, (g.Start + g.Duration).Std()) {
		return
	}
	for class, v := range r.readTotals(ctx) {
		g.reads[class] = v.minus(before[class])
	}
}

func (r *run) readTotals(ctx context.Context) map[string]readCounts {
	total, errs := sumReads(ctx, r.options.MetricsAddresses, r.scenario.Service)
	for _, err := range errs {
		r.warn("%v", err)
	}
	return total
}

func (r *run) warn(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warnings = append(r.warnings, fmt.Sprintf(format, args...))
}

func (r *run) elapsed() time.Duration { return time.Since(r.start) }

// sleepUntil waits for time t of the run; it reports false if ctx ends first.
func (r *run) sleepUntil(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t - r.elapsed())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *run) record(class, caller int, write bool, intended, end time.Duration, v outcome, name string) {
	for _, g := range r.segments {
		if rec := g.recorders[class]; rec.covers(intended) {
			rec.record(caller, write, intended, end, v, name)
		}
	}
}

func (r *run) report() *Report {
	out := &Report{Command: r.options.Command, Scenario: r.scenario.Name, Seed: r.scenario.Seed, Warnings: r.warnings}
	for _, g := range r.segments {
		sr := SegmentReport{Name: g.Name, Seconds: g.Duration.Std().Seconds()}
		for i, rec := range g.recorders {
			sr.Classes = append(sr.Classes, rec.report(g.reads[r.scenario.Classes[i].Class]))
		}
		out.Segments = append(out.Segments, sr)
	}
	return out
}

// newRand returns a source that depends on the seed and the caller only.
func (r *run) newRand(class, caller int, use string) *rand.Rand {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", r.scenario.Classes[class].Class, caller, use))
	return rand.New(rand.NewPCG(r.scenario.Seed, h))
}
