package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	Command  string          `json:"command"`
	Scenario string          `json:"scenario"`
	Seed     uint64          `json:"seed"`
	Segments []SegmentReport `json:"segments"`
	// Warnings state why figures may be incomplete, such as instances that did
	// not answer.
	Warnings []string `json:"warnings,omitempty"`
}

// SegmentReport is the result of one segment.
type SegmentReport struct {
	Name    string        `json:"name"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport is the result of one class in one segment. Latencies are in
// milliseconds from the intended send time to the last byte of the answer.
type ClassReport struct {
	Class        string `json:"class"`
	Sent         int64  `json:"sent"`
	Served       int64  `json:"served"`
	WithinTarget int64  `json:"within_target"`
	Refused      int64  `json:"refused_not_run"`
	Unknown      int64  `json:"unknown"`
	Failed       int64  `json:"failed"`
	NotSent      int64  `json:"not_sent"`

	LatencyMs    map[string]Float `json:"latency_ms"`
	RefusalP99Ms Float            `json:"refusal_p99_ms"`
	Errors       map[string]int64 `json:"errors,omitempty"`
	// GoodputPerSecond counts requests served within the latency target.
	GoodputPerSecond Float `json:"goodput_per_s"`
	// JainEqualCallers is Jain's fairness index of the goodput of the callers
	// that send at the same rate; JainAllCallers includes a flooding caller.
	JainEqualCallers Float `json:"jain_equal_callers"`
	JainAllCallers   Float `json:"jain_all_callers"`
	// ReplicaShare is the share of reads that replicas served, -1 if the
	// instances reported no reads.
	ReplicaShare Float `json:"replica_read_share"`
	// WriteGapMs is the longest time without an acknowledged write, -1 if the
	// class sends no writes.
	WriteGapMs Float `json:"longest_write_gap_ms"`
}

// Float is a number that JSON shows with three decimals.
type Float float64

// MarshalJSON implements json.Marshaler.
func (f Float) MarshalJSON() ([]byte, error) { return fmt.Appendf(nil, "%.3f", float64(f)), nil }

func millis(d time.Duration) Float { return Float(float64(d.Microseconds()) / 1000) }

func quantile(h *hdrhistogram.Histogram, percent float64) Float {
	if h.TotalCount() == 0 {
		return 0
	}
	return Float(float64(h.ValueAtPercentile(percent)) / 1000)
}

func (r *recorder) report(reads readCounts) ClassReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := ClassReport{
		Class: r.class.Class, Sent: r.sent, WithinTarget: r.withinTarget, Served: r.outcomes[served],
		Refused: r.outcomes[refused], Unknown: r.outcomes[unknown], Failed: r.outcomes[failed], NotSent: r.outcomes[notSent],
		LatencyMs: map[string]Float{
			"p50": quantile(r.latency, 50), "p99": quantile(r.latency, 99), "max": quantile(r.latency, 100),
		},
		RefusalP99Ms:     quantile(r.refusalLatency, 99),
		Errors:           maps.Clone(r.errors),
		GoodputPerSecond: Float(float64(r.withinTarget) / r.segment.Duration.Std().Seconds()),
		JainAllCallers:   Float(JainIndex(r.withinTargetPerCaller)),
		ReplicaShare:     Float(reads.replicaShare()),
		WriteGapMs:       -1,
	}
	equalCallers := slices.Clone(r.withinTargetPerCaller)
	if r.class.floods() {
		equalCallers = slices.Delete(equalCallers, r.class.Flood.Caller, r.class.Flood.Caller+1)
	}
	out.JainEqualCallers = Float(JainIndex(equalCallers))
	if r.class.ReadShare < 1 {
		out.WriteGapMs = millis(r.longestWriteGap())
	}
	return out
}

func (c Class) floods() bool { return c.Flood.Factor != 1 }

// JainIndex returns Jain's fairness index: 1 if all values are equal, and 1/n if
// only one of n is not zero. It is 1 if there are no values or all are zero.
func JainIndex(values []int64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += float64(v)
		squares += float64(v) * float64(v)
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// WriteText writes the report as one table per segment.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "command:  %s\nscenario: %s, seed %d\n", r.Command, r.Scenario, r.Seed)
	for _, s := range r.Segments {
		fmt.Fprintf(w, "\nsegment %s, %.0f s; latencies in ms from the intended send time\n", s.Name, s.Seconds)
		tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(tw, "class\tsent\tserved\tin target\trefused\tunknown\tfailed\tnot sent\tp50\tp99\tmax\tgoodput/s\tJain\treplica\twrite gap\t")
		for _, c := range s.Classes {
			fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%s\t%s\t\n",
				c.Class, c.Sent, c.Served, percent(c.WithinTarget, c.Sent), c.Refused, c.Unknown, c.Failed, c.NotSent,
				c.LatencyMs["p50"], c.LatencyMs["p99"], c.LatencyMs["max"], c.GoodputPerSecond, c.JainEqualCallers,
				optional(c.ReplicaShare*100, " %"), optional(c.WriteGapMs, " ms"))
		}
		if err := tw.Flush(); err != nil {
			return err
		}
		for _, c := range s.Classes {
			if len(c.Errors) > 0 {
				fmt.Fprintf(w, "errors of %s: %s\n", c.Class, errorList(c.Errors))
			}
		}
	}
	for _, m := range r.Warnings {
		fmt.Fprintln(w, "warning:", m)
	}
	return nil
}

func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f %%", 100*float64(part)/float64(whole))
}

func optional(f Float, unit string) string {
	if f < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%s", f, unit)
}

func errorList(errs map[string]int64) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(errs)) {
		words = append(words, fmt.Sprintf("%s %d", name, errs[name]))
	}
	return strings.Join(words, ", ")
}
