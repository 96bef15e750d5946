package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds from 1 µs to maxLatency with three significant
// digits.
const (
	maxLatency = 2 * time.Minute
	digits     = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so there is no error.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// recorder counts the requests of one class in one segment.
type recorder struct {
	class   Class
	segment Segment

	mu        sync.Mutex
	sent      int64
	counts    map[verdict]int64
	within    int64
	perCaller []int64 // answered within the target
	errors    map[string]int64
	latency   *hdrhistogram.Histogram // of served requests
	refusal   *hdrhistogram.Histogram // of refused requests
	acked     time.Duration           // end of the last acknowledged write
	gap       time.Duration
}

func newRecorder(c Class, g Segment) *recorder {
	return &recorder{
		class: c, segment: g, counts: make(map[verdict]int64), perCaller: make([]int64, c.Callers),
		errors: make(map[string]int64), latency: newHistogram(), refusal: newHistogram(), acked: g.Start.Std(),
	}
}

// covers reports whether a request meant to be sent at t counts.
func (r *recorder) covers(t time.Duration) bool {
	return during(t, r.segment.Start.Std(), r.segment.Duration.Std())
}

// add counts a finished request. Times are relative to the start of the run.
func (r *recorder) add(caller int, write bool, intended, end time.Duration, v verdict, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.counts[v]++
	if name != "" {
		r.errors[name]++
	}
	latency := end - intended
	switch v {
	case served:
		observe(r.latency, latency)
		if latency <= r.class.Target.Std() {
			r.within++
			r.perCaller[caller]++
		}
		if write {
			r.noteAck(end)
		}
	case refused:
		observe(r.refusal, latency)
	}
}

func (r *recorder) noteAck(end time.Duration) {
	r.gap = max(r.gap, end-r.acked)
	r.acked = max(r.acked, end)
}

// longestGap returns the longest time without an acknowledged write. The
// segment's start and end count as acknowledged.
func (r *recorder) longestGap() time.Duration {
	return max(r.gap, (r.segment.Start+r.segment.Duration).Std()-r.acked)
}
