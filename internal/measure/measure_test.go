package measure

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func text(t *testing.T, s *Registry) string {
	t.Helper()
	var b strings.Builder
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Guards against values that are lost, counted twice or written with wrong labels, and
// against an order that changes between two calls.
func TestWriteText(t *testing.T) {
	s := NewRegistry()
	s.Count("b_total", Labels{{"code", "ok"}, {"route", `a"b`}})
	s.Count("b_total", Labels{{"code", "ok"}, {"route", `a"b`}})
	s.Count("b_total", Labels{{"code", "GB1001"}})
	s.Count("a_total", Labels{})
	s.Observe("wait_microseconds", Labels{{"phase", "queue"}}, 1500*time.Microsecond)
	s.Observe("wait_microseconds", Labels{{"phase", "queue"}}, time.Hour)
	got := text(t, s)
	want := []string{
		"a_total 1\n", "b_total{code=\"GB1001\"} 1\n", "b_total{code=\"ok\",route=\"a\\\"b\"} 2\n",
		"wait_microseconds{phase=\"queue\",percentile=\"50\"} 1", "wait_microseconds_count{phase=\"queue\"} 2\n",
	}
	at := 0
	for _, line := range want {
		i := strings.Index(got[at:], line)
		if i < 0 {
			t.Fatalf("%q is missing or out of order in:\n%s", line, got)
		}
		at += i
	}
	if again := text(t, s); again != got {
		t.Errorf("the second text differs:\n%s", again)
	}
}

// Guards against a precision worse than the documented 10 %.
func TestLatencyPrecision(t *testing.T) {
	for _, d := range []time.Duration{time.Microsecond, 950 * time.Microsecond, 37 * time.Millisecond, 4 * time.Second} {
		s := NewRegistry()
		s.Observe("x", Labels{}, d)
		var got int64
		if _, err := fmt.Sscanf(text(t, s), "x{percentile=\"50\"} %d", &got); err != nil {
			t.Fatal(err)
		}
		if off := float64(got)/float64(d.Microseconds()) - 1; off < -0.1 || off > 0.1 {
			t.Errorf("%v is recorded as %d µs", d, got)
		}
	}
}

// Guards against memory that grows with label values that callers choose.
func TestSeriesAreBounded(t *testing.T) {
	s := NewRegistry()
	const extra = 7
	for i := range maxSeries + extra {
		s.Count("x_total", Labels{{"route", fmt.Sprint(i)}})
		s.Observe("x_microseconds", Labels{{"route", fmt.Sprint(i)}}, time.Millisecond)
	}
	if len(s.counters) != maxSeries+1 || len(s.histograms) != maxSeries+1 {
		t.Fatalf("%d counters and %d histograms", len(s.counters), len(s.histograms))
	}
	if got := text(t, s); !strings.Contains(got, fmt.Sprintf("x_total{route=%q} %d\n", overflowValue, extra)) ||
		!strings.Contains(got, fmt.Sprintf("x_microseconds_count{route=%q} %d\n", overflowValue, extra)) {
		t.Error("values beyond maxSeries are not counted")
	}
}

// Guards against a panic in components that run without a Registry.
func TestNilRegistryDiscardsValues(*testing.T) {
	var s *Registry
	s.Count("x", Labels{})
	s.Observe("x", Labels{}, time.Second)
}
