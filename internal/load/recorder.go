package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, which hold microseconds.
const (
	maxLatency        = 2 * time.Minute
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue only fails outside the histogram's range, which min and max exclude.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// recorder collects the outcomes and latencies of one class in one segment.
type recorder struct {
	class   Class
	segment Segment

	mu                    sync.Mutex
	sent                  int64 // those with the outcome notSent included
	outcomes              map[outcome]int64
	withinTarget          int64
	withinTargetPerCaller []int64 // by index of the caller
	errors                map[string]int64
	latency               *hdrhistogram.Histogram // of served requests
	refusalLatency        *hdrhistogram.Histogram // of refused requests
	lastAck               time.Duration           // when the last write was acknowledged
	longestGap            time.Duration
}

func newRecorder(c Class, s Segment) *recorder {
	return &recorder{
		class: c, segment: s, outcomes: make(map[outcome]int64), withinTargetPerCaller: make([]int64, c.Callers),
		errors: make(map[string]int64), latency: newHistogram(), refusalLatency: newHistogram(), lastAck: s.Start.Std(),
	}
}

// covers reports whether a request with the intended send time t belongs to the
// segment.
func (r *recorder) covers(t time.Duration) bool {
	return inInterval(t, r.segment.Start.Std(), r.segment.Duration.Std())
}

// record adds a finished request. Times are relative to the start of the run;
// errorName is empty for a served request.
func (r *recorder) record(caller int, write bool, intended, end time.Duration, result outcome, errorName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomes[result]++
	if errorName != "" {
		r.errors[errorName]++
	}
	latency := end - intended
	switch result {
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
// segment's start and end count as acknowledgements.
func (r *recorder) longestWriteGap() time.Duration {
	return max(r.longestGap, (r.segment.Start+r.segment.Duration).Std()-r.lastAck)
}
