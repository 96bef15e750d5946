// Package measure holds counters and latency histograms with labels, and writes them as
// text.
//
// Invariant: the memory of a Registry is bounded. A name has at most maxSeries series;
// more are merged into one with overflowValue as label values.
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
	// maxMicroseconds is the highest latency that a histogram records; higher
	// ones are recorded as this value.
	maxMicroseconds = 10_000_000
	// significantDigits is the precision of the histograms. One digit gives an
	// error of at most 10 % at 3 KB per histogram.
	significantDigits = 1
	// maxSeries bounds the series of one name. 2,500 services with three phases
	// take 23 MB of the 128 MB that an instance may use for control data.
	maxSeries = 8000
	// overflowValue replaces the label values of series beyond maxSeries.
	overflowValue = "other"
)

// percentiles are the percentiles that WriteText writes for each histogram.
var percentiles = []float64{50, 90, 99, 100}

// Label is a name and a value that distinguish series of the same metric.
type Label struct{ Name, Value string }

// Labels holds up to three labels. Those with an empty name are not written.
type Labels [3]Label

type series struct {
	name   string
	labels Labels
}

// Registry holds counters and histograms. It is safe for concurrent use. A nil Registry
// discards all values.
type Registry struct {
	mu          sync.Mutex
	counters    map[series]int64
	histograms  map[series]*hdrhistogram.Histogram
	seriesCount map[string]int // by metric name
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{counters: make(map[series]int64), histograms: make(map[series]*hdrhistogram.Histogram), seriesCount: make(map[string]int)}
}

// Count increments a counter.
func (r *Registry) Count(name string, labels Labels) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := series{name, labels}
	if _, ok := r.counters[k]; !ok {
		k = r.newSeries(k)
	}
	r.counters[k]++
}

// Observe records a latency in a histogram.
func (r *Registry) Observe(name string, labels Labels, took time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := series{name, labels}
	h, ok := r.histograms[k]
	if !ok {
		k = r.newSeries(k)
		if h, ok = r.histograms[k]; !ok {
			h = hdrhistogram.New(1, maxMicroseconds, significantDigits)
			r.histograms[k] = h
		}
	}
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxMicroseconds)) // cannot fail: the value is within the range of the histogram
}

// newSeries registers a series and returns it, or the overflow series if the name has
// maxSeries already. r.mu is held.
func (r *Registry) newSeries(k series) series {
	if r.seriesCount[k.name] < maxSeries {
		r.seriesCount[k.name]++
		return k
	}
	for i := range k.labels {
		if k.labels[i].Name != "" {
			k.labels[i].Value = overflowValue
		}
	}
	return k
}

// WriteText writes all metrics as lines of name, labels and value, sorted by name and
// labels, counters first.
func (r *Registry) WriteText(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range sorted(r.counters) {
		if err := WriteValue(w, k.name, k.labels, r.counters[k]); err != nil {
			return err
		}
	}
	for _, k := range sorted(r.histograms) {
		for _, q := range percentiles {
			extra := Label{"percentile", fmt.Sprintf("%g", q)}
			if err := writeLine(w, k.name, append(k.labels[:len(k.labels):len(k.labels)], extra), r.histograms[k].ValueAtPercentile(q)); err != nil {
				return err
			}
		}
		if err := WriteValue(w, k.name+"_count", k.labels, r.histograms[k].TotalCount()); err != nil {
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

// WriteValue writes one metric as a line of name, labels and value.
func WriteValue(w io.Writer, name string, labels Labels, value int64) error {
	return writeLine(w, name, labels[:], value)
}

func writeLine(w io.Writer, name string, labels []Label, value int64) error {
	var pairs []string
	for _, l := range labels {
		if l.Name != "" {
			pairs = append(pairs, fmt.Sprintf("%s=%q", l.Name, l.Value))
		}
	}
	labelText := ""
	if len(pairs) > 0 {
		labelText = "{" + strings.Join(pairs, ",") + "}"
	}
	if _, err := fmt.Fprintf(w, "%s%s %d\n", name, labelText, value); err != nil {
		return fmt.Errorf("write metric %s: %w", name, err)
	}
	return nil
}
