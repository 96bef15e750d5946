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

// Options configures Run.
type Options struct {
	// Addresses are the caller addresses of the instances. Connections are
	// distributed over them in turn.
	Addresses []string
	// MetricsAddresses are the metrics addresses of the instances, read for the
	// share of reads that replicas served.
	MetricsAddresses []string
	// Command is the command line to show in the report.
	Command   string
	SkipSetup bool
}

// Run prepares the tables unless SkipSetup is set, sends the scenario's load
// and reports the results.
func Run(ctx context.Context, s Scenario, o Options) (*Report, error) {
	if !o.SkipSetup {
		if err := runSetup(ctx, &s, o.Addresses); err != nil {
			return nil, err
		}
	}
	r := &run{scenario: s, options: o, id: strconv.FormatInt(time.Now().UnixMilli(), 36), start: time.Now()}
	for _, spec := range s.Segments {
		seg := &segment{Segment: spec, reads: make(map[string]readCounts)}
		for _, c := range s.Classes {
			seg.recorders = append(seg.recorders, newRecorder(c, spec))
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
	id       string // makes request keys unique across runs
	start    time.Time
	segments []*segment

	mu       sync.Mutex
	warnings []string
}

type segment struct {
	Segment
	recorders []*recorder           // by index of the class
	reads     map[string]readCounts // by name of the class
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
		for _, seg := range r.segments {
			wg.Go(func() { r.measureReads(ctx, seg) })
		}
	}
	wg.Wait()
}

// measureReads stores how much the instances' read counters increased during
// the segment.
func (r *run) measureReads(ctx context.Context, seg *segment) {
	if !r.sleepUntil(ctx, seg.Start.Std()) {
		return
	}
	before := r.readTotals(ctx)
	if !r.sleepUntil(ctx, (seg.Start + seg.Duration).Std()) {
		return
	}
	for class, after := range r.readTotals(ctx) {
		seg.reads[class] = after.minus(before[class])
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

// sleepUntil waits until t after the start of the run. It reports false if ctx
// ends first.
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

func (r *run) record(class, caller int, write bool, intended, end time.Duration, result outcome, errorName string) {
	for _, seg := range r.segments {
		if rec := seg.recorders[class]; rec.covers(intended) {
			rec.record(caller, write, intended, end, result, errorName)
		}
	}
}

func (r *run) report() *Report {
	out := &Report{Command: r.options.Command, Scenario: r.scenario.Name, Seed: r.scenario.Seed, Warnings: r.warnings}
	for _, seg := range r.segments {
		sr := SegmentReport{Name: seg.Name, Seconds: seg.Duration.Std().Seconds()}
		for i, rec := range seg.recorders {
			sr.Classes = append(sr.Classes, rec.report(seg.reads[r.scenario.Classes[i].Class]))
		}
		out.Segments = append(out.Segments, sr)
	}
	return out
}

// newRand returns a random source that depends only on the seed, the class, the
// caller and the purpose, so that equal seeds give equal runs.
func (r *run) newRand(class, caller int, purpose string) *rand.Rand {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", r.scenario.Classes[class].Class, caller, purpose))
	return rand.New(rand.NewPCG(r.scenario.Seed, h))
}
