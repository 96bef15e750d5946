package report

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/metrics"
)

var startTime = time.Unix(1_700_000_000, 0).UTC()

func instance(name, dc string, requests, within, shed, caller int64) metrics.Values {
	return metrics.Values{Instance: name, DataCentre: dc, Classes: []metrics.ClassValues{{
		Service: "svc", Class: "c", Requests: requests, WithinTarget: within,
		Missed: map[metrics.Reason]int64{metrics.ReasonShed: shed, metrics.ReasonCaller: caller},
	}}}
}

func sample(seconds int, in ...metrics.Values) Sample {
	return Sample{At: startTime.Add(time.Duration(seconds) * time.Second), Instances: in}
}

var options = Options{
	Classes:   []catalog.Class{{Service: "svc", Name: "c", Objective: 0.9}},
	Objective: 0.5, Period: time.Hour,
}

func budgetOf(t *testing.T, r *Report, dc string) BudgetStatus {
	t.Helper()
	for _, b := range r.Budgets {
		if b.DataCentre == dc {
			return b
		}
	}
	t.Fatalf("no budget for data centre %s in %+v", dc, r.Budgets)
	return BudgetStatus{}
}

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against swapped windows, errors of the caller that use the error budget,
// and a wrong time to exhaustion.
func TestBudgetAndBurnRates(t *testing.T) {
	r, err := Compute([]Sample{
		sample(0, instance("a", "x", 100, 100, 0, 0), instance("b", "y", 0, 0, 0, 0)),
		sample(50, instance("a", "x", 160, 150, 0, 10), instance("b", "y", 0, 0, 0, 0)),
		sample(100, instance("a", "x", 210, 160, 30, 10), instance("b", "y", 0, 0, 0, 0)),
	}, options)
	if err != nil {
		t.Fatal(err)
	}
	b := budgetOf(t, r, "x")
	// 200 requests count, 100 of them in the slow window and 50 in the fast one.
	// All 40 bad requests are in the fast window.
	if b.Requests != 200 || b.BadRequests != 40 || !approxEqual(b.BudgetUsed, 2) || !approxEqual(b.FastBurnRate, 8) || !approxEqual(b.SlowBurnRate, 4) {
		t.Errorf("budget %+v", b)
	}
	// At 1 request/s, the budget is 360 bad requests per hour. 40 are used, and 0.4
	// are added per second.
	if !approxEqual(b.ExhaustedInSeconds, 800) {
		t.Errorf("exhausted in %v s, want 800", b.ExhaustedInSeconds)
	}
	if !approxEqual(b.Reasons[metrics.ReasonShed], 0.75) || !approxEqual(b.Reasons[metrics.ReasonOther], 0.25) {
		t.Errorf("reasons %v", b.Reasons)
	}
	if idle := budgetOf(t, r, "y"); idle.BudgetUsed != 0 || idle.ExhaustedInSeconds != -1 {
		t.Errorf("budget of the idle data centre %+v", idle)
	}
	if all := budgetOf(t, r, AllDataCentres); all.Requests != 200 || all.BadRequests != 40 {
		t.Errorf("total %+v", all)
	}
}

// Guards against negative figures after a counter reset, and against counting all
// requests since its start for an instance that is new in a sample.
func TestCounterResetAndNewInstance(t *testing.T) {
	r, err := Compute([]Sample{
		sample(0, instance("a", "x", 1000, 0, 1000, 0)),
		sample(10, instance("a", "x", 10, 10, 0, 0), instance("b", "x", 5000, 0, 5000, 0)),
		sample(20, instance("a", "x", 20, 20, 0, 0), instance("b", "x", 5010, 10, 5000, 0)),
	}, options)
	if err != nil {
		t.Fatal(err)
	}
	if b := budgetOf(t, r, "x"); b.SlowBurnRate != 0 || b.FastBurnRate != 0 || b.Requests != 5030 {
		t.Errorf("budget %+v", b)
	}
	if len(r.Warnings) != 1 || !strings.Contains(r.Warnings[0], "instance a restarted") {
		t.Errorf("warnings %v", r.Warnings)
	}
}

// Guards against saved samples that differ from those taken, and against plots
// that are empty or in the wrong format.
func TestSavedSamplesAndPlot(t *testing.T) {
	samples := []Sample{sample(0, instance("a", "x", 10, 5, 5, 0)), sample(5, instance("a", "x", 20, 10, 10, 0))}
	samples[1].Unreachable = []UnreachableInstance{{"h:1", "refused"}}
	var buf bytes.Buffer
	if err := WriteSamples(&buf, samples); err != nil {
		t.Fatal(err)
	}
	got, err := ReadSamples(&buf)
	if err != nil || !reflect.DeepEqual(got, samples) {
		t.Errorf("read %+v, %v", got, err)
	}
	if _, err := ReadSamples(strings.NewReader("{\"at\":3}\n")); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("invalid sample: error %v, want one that names line 1", err)
	}
	r, err := Compute(samples, options)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Unreachable) != 1 || r.Unreachable[0].Address != "h:1" {
		t.Errorf("unreachable %+v", r.Unreachable)
	}
	for ext, magic := range map[string]string{".svg": "<?xml", ".png": "\x89PNG"} {
		path := filepath.Join(t.TempDir(), "burn"+ext)
		if err := r.WritePlot(path); err != nil {
			t.Fatal(err)
		}
		if data, err := os.ReadFile(path); err != nil || !bytes.HasPrefix(data, []byte(magic)) {
			t.Errorf("%s: %v, begins with %.5q", ext, err, data)
		}
	}
}
