package proxy

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTracked is the longest latency that a histogram keeps, in
	// microseconds; longer ones count as this.
	maxTracked = 10_000_000
	// digits is the precision of the histograms.
	digits = 2
)

// Metrics counts requests by route and code and keeps their latencies. It is
// safe for concurrent use.
type Metrics struct {
	mu     sync.Mutex
	counts map[string]map[string]int64
	times  map[string]*hdrhistogram.Histogram
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{counts: make(map[string]map[string]int64), times: make(map[string]*hdrhistogram.Histogram)}
}

// Observe counts one finished request. The code is "ok" or a result code.
func (m *Metrics) Observe(route, code string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.times[route]
	if !ok {
		h = hdrhistogram.New(1, maxTracked, digits)
		m.times[route] = h
		m.counts[route] = make(map[string]int64)
	}
	m.counts[route][code]++
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxTracked)) // the value is within the histogram's range
}

// WriteText writes all values as lines of name, labels and value.
func (m *Metrics) WriteText(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, route := range slices.Sorted(maps.Keys(m.counts)) {
		for _, code := range slices.Sorted(maps.Keys(m.counts[route])) {
			if _, err := fmt.Fprintf(w, "geraniumbeam_requests_total{route=%q,code=%q} %d\n", route, code, m.counts[route][code]); err != nil {
				return err
			}
		}
		for _, q := range []float64{50, 90, 99, 100} {
			if _, err := fmt.Fprintf(w, "geraniumbeam_request_microseconds{route=%q,percentile=\"%g\"} %d\n", route, q, m.times[route].ValueAtPercentile(q)); err != nil {
				return err
			}
		}
	}
	return nil
}
