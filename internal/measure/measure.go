// Package measure counts events and keeps latencies by their labels, and writes
// both as text.
//
// Invariant: the memory of a Registry is bounded: from maxSeries series of a name on,
// new label values count as "other".
package measure

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTracked is the longest latency that a histogram keeps, in
	// microseconds; longer ones count as this.
	maxTracked = 10_000_000
	// digits is the precision of the histograms: within 10 %, at 3 KB for each.
	digits = 1
	// maxSeries bounds the label values of one name. 2,500 services with three
	// phases of latency take 23 MB of the 128 MB that a node may use for control.
	maxSeries = 8000
	// other stands for all label values beyond that.
	other = "other"
)

// percentiles are those that are written of each histogram.
var percentiles = []float64{50, 90, 99, 100}

// Label is a name and a value that tell one series from others.
type Label struct{ Name, Value string }

// Labels are up to three labels; those without a name are not written.
type Labels [3]Label

type series struct {
	name   string
	labels Labels
}

// Registry holds counters and histograms. It is safe for concurrent use. A nil Registry
// drops what it is given.
type Registry struct {
	mu         sync.Mutex
	counters   map[series]int64
	histograms map[series]*hdrhistogram.Histogram
	sizes      map[string]int // series by name
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{counters: make(map[series]int64), histograms: make(map[series]*hdrhistogram.Histogram), sizes: make(map[string]int)}
}

// Count adds one event.
func (s *Registry) Count(name string, labels Labels) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := series{name, labels}
	if _, ok := s.counters[k]; !ok {
		k = s.admit(k)
	}
	s.counters[k]++
}

// Observe adds one latency.
func (s *Registry) Observe(name string, labels Labels, took time.Duration) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := series{name, labels}
	h, ok := s.histograms[k]
	if !ok {
		k = s.admit(k)
		if h, ok = s.histograms[k]; !ok {
			h = hdrhistogram.New(1, maxTracked, digits)
			s.histograms[k] = h
		}
	}
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxTracked)) // the value is within the histogram's range
}

// admit returns the series under which a new one is kept. s.mu is held.
func (s *Registry) admit(k series) series {
	if s.sizes[k.name] < maxSeries {
		s.sizes[k.name]++
		return k
	}
	for i := range k.labels {
		if k.labels[i].Name != "" {
			k.labels[i].Value = other
		}
	}
	return k
}

// WriteText writes all values as lines of name, labels and value, in a stable
// order.
func (s *Registry) WriteText(w io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range sorted(s.counters) {
		if err := WriteValue(w, k.name, k.labels, s.counters[k]); err != nil {
			return err
		}
	}
	for _, k := range sorted(s.histograms) {
		for _, q := range percentiles {
			extra := Label{"percentile", fmt.Sprintf("%g", q)}
			if err := writeLine(w, k.name, append(k.labels[:len(k.labels):len(k.labels)], extra), s.histograms[k].ValueAtPercentile(q)); err != nil {
				return err
			}
		}
		if err := WriteValue(w, k.name+"_count", k.labels, s.histograms[k].TotalCount()); err != nil {
			return err
		}
	}
	return nil
}

func sorted[V any](m map[series]V) []series {
	return slices.SortedFunc(maps.Keys(m), func(a, b series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), slices.CompareFunc(a.labels[:], b.labels[:], func(x, y Label) int {
			return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Value, y.Value))
		}))
	})
}

// WriteValue writes one line.
func WriteValue(w io.Writer, name string, labels Labels, value int64) error {
	return writeLine(w, name, labels[:], value)
}

func writeLine(w io.Writer, name string, labels []Label, value int64) error {
	var parts []string
	for _, l := range labels {
		if l.Name != "" {
			parts = append(parts, fmt.Sprintf("%s=%q", l.Name, l.Value))
		}
	}
	text := ""
	if len(parts) > 0 {
		text = "{" + strings.Join(parts, ",") + "}"
	}
	if _, err := fmt.Fprintf(w, "%s%s %d\n", name, text, value); err != nil {
		return fmt.Errorf("write metric %s: %w", name, err)
	}
	return nil
}
