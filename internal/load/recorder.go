package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds from 1 µs to maxLatency with three significant
// significantDigits.
const (
	maxLatency        = 2 * time.Minute
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so there is no error.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// recorder counts the requests of one class in one segment.
type recorder struct {
	class   Class
	segment Segment

	mu                    sync.Mutex
	sent                  int64
	outcomes              map[outcome]int64
	withinTarget          int64
	withinTargetPerCaller []int64 // answered within the target
	errors                map[string]int64
	latency               *hdrhistogram.Histogram // of served requests
	refusalLatency        *hdrhistogram.Histogram // of refused requests
	lastAck               time.Duration           // end of the last acknowledged write
	longestGap            time.Duration
}

func newRecorder(c Class, g Segment) *recorder {
	return &recorder{
		class: c, segment: g, outcomes: make(map[outcome]int64), withinTargetPerCaller: make([]int64, c.Callers),
		errors: make(map[string]int64), latency: newHistogram(), refusalLatency: newHistogram(), lastAck: g.Start.Std(),
	}
}

// covers reports whether a request meant to be sent at t counts.
func (r *recorder) covers(t time.Duration) bool {
	return inInterval(t, r.segment.Start.Std(), r.segment.Duration.Std())
}

// record counts a finished request. Times are relative to the start of the run.
func (r *recorder) record(caller int, write bool, intended, end time.Duration, v outcome, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomes[v]++
	if name != "" {
		r.errors[name]++
	}
	latency := end - intended
	switch v {
	case served:
		recordLatency(r.latency, latency)
		if latency <= r.class.Target.Std() {
			r.withinTarget++
			r.withinTargetPerCaller[caller]++
		}
		if write {
			r.recordAck(end)
		}
	case refused:
		recordLatency(r.refusalLatency, latency)
	}
}

func (r *recorder) recordAck(end time.Duration) {
	r.longestGap = max(r.longestGap, end-r.lastAck)
	r.lastAck = max(r.lastAck, end)
}

// longestWriteGap returns the longest time without an acknowledged write. The
// segment's start and end count as acknowledged.
func (r *recorder) longestWriteGap() time.Duration {
	return max(r.longestGap, (r.segment.Start+r.segment.Duration).Std()-r.lastAck)
}
