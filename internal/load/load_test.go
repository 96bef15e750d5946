package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/result"
)

const smallScenario = `
name: small
service: svc
seed: 3
duration: 1s
rows: 10
partitions: 2
setup:
  statements: ["CREATE TABLE IF NOT EXISTS t (id bigint)"]
classes:
  - class: c
    rate: 100
    callers: 2
    connections: 1
    target: 100ms
    give_up: 60s
    read_share: 0.5
    reads: ["SELECT {row}"]
    writes: ["INSERT INTO t VALUES ({row})"]
    request_keys: true
`

func mustParse(t *testing.T, text string) Scenario {
	t.Helper()
	s, err := ParseScenario([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against accepting scenarios with unknown fields or invalid values, and
// against example scenarios that do not load.
func TestParseScenarioRejectsInvalidFields(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"rate: 100", "rat: 100", "rat"},
		{"rate: 100", "load: 2", "want a rate"},
		{"read_share: 0.5", "read_share: 2", "read_share"},
		{`reads: ["SELECT {row}"]`, "reads: []", "reads"},
		{"connections: 1", "connections: 1000", "max_connections"},
		{"duration: 1s", "duration: 2h", "at most 1h"},
		{"seed: 3", "segments: [{name: x, duration: 2s}]", "segment 0"},
	} {
		_, err := ParseScenario([]byte(strings.Replace(smallScenario, c.from, c.to, 1)))
		if !result.Is(err, result.Invalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %v that mentions %q", c.to, err, result.Invalid, c.want)
		}
	}
	files, err := filepath.Glob("../../examples/load/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example scenarios found: %v", err)
	}
	for _, f := range files {
		if _, err := ReadScenario(f); err != nil {
			t.Error(err)
		}
	}
}

// Guards against arrivals that ignore phases, apply the flood to the wrong caller
// or differ between runs with the same seed.
func TestArrivalsFollowSchedule(t *testing.T) {
	second := func(n int) catalog.Duration { return catalog.Duration(time.Duration(n) * time.Second) }
	c := Class{
		Rate: 400, Callers: 2, Flood: Flood{Caller: 1, Factor: 5, Start: second(20), Duration: second(10)},
		Phases: []Phase{{Start: second(10), Duration: second(10), Multiplier: 3}},
	}
	count := func(caller int) (n [3]float64, times []time.Duration) {
		a := newArrivals(c, caller, rand.New(rand.NewPCG(1, uint64(caller))))
		for at, ok := a.next(30 * time.Second); ok; at, ok = a.next(30 * time.Second) {
			n[at/(10*time.Second)]++
			times = append(times, at)
		}
		return n, times
	}
	for caller, want := range [][3]float64{{2000, 6000, 2000}, {2000, 6000, 10000}} {
		got, times := count(caller)
		for i := range got {
			if math.Abs(got[i]-want[i]) > 5*math.Sqrt(want[i]) {
				t.Errorf("caller %d: %v arrivals in interval %d, want about %v", caller, got[i], i, want[i])
			}
		}
		if _, again := count(caller); !slices.Equal(times, again) {
			t.Errorf("caller %d: arrivals of two runs with the same seed differ", caller)
		}
	}
}

// Guards against counting a refusal as a failure or an unknown outcome as a
// refusal, and against requests without class, request key or partition.
func TestRunClassifiesOutcomes(t *testing.T) {
	var keys sync.Map
	var requests atomic.Int64
	srv := newFakeServer(t, func(_, sql string) *pgproto3.ErrorResponse {
		switch {
		case strings.Contains(sql, "CREATE"):
			return nil
		case !strings.HasPrefix(sql, "/* geraniumbeam partition=p"):
			return pgError("42601", "no partition: "+sql, "")
		case isWrite(sql):
			_, after, _ := strings.Cut(sql, "key=")
			if _, dup := keys.LoadOrStore(strings.Fields(after)[0], true); dup {
				return pgError("23505", "key used twice", "")
			}
		}
		switch requests.Add(1) % 5 {
		case 1:
			return pgError("53300", "GB3001 overloaded", "The request was not run.")
		case 2:
			return pgError("08007", "GB4001 unknown", "It is not known whether the request was run.")
		case 3:
			return pgError("40001", "conflict in the database", "")
		case 4:
			return closeConnection
		default:
			return nil
		}
	})
	var replicaReads, primaryReads atomic.Int64
	replicaReads.Store(7)
	vars := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reg := metrics.NewRegistry("i", "dc")
		reg.Class("svc", "c").ReplicaReads.Store(replicaReads.Add(30))
		reg.Class("svc", "c").PrimaryReads.Store(primaryReads.Add(10))
		fmt.Fprint(w, reg.Vars.String())
	}))
	defer vars.Close()
	r, err := Run(context.Background(), mustParse(t, smallScenario), Options{
		Addresses: []string{srv.address}, MetricsAddresses: []string{strings.TrimPrefix(vars.URL, "http://"), "127.0.0.1:1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	c := r.Segments[0].Classes[0]
	if c.Sent != c.Served+c.Refused+c.Unknown+c.Failed+c.NotSent || c.Sent < 50 {
		t.Errorf("sent %d, want at least 50 and the sum of all outcomes: %+v", c.Sent, c)
	}
	if c.Refused == 0 || c.Refused != c.Errors["GB3001"] || c.Failed == 0 || c.Failed != c.Errors["SQLSTATE 40001"] {
		t.Errorf("refused %d, failed %d, errors %v", c.Refused, c.Failed, c.Errors)
	}
	if lost := c.Errors["GB4001"] + c.Errors["connection lost"]; c.Unknown == 0 || c.Unknown != lost {
		t.Errorf("unknown %d, errors %v", c.Unknown, c.Errors)
	}
	if math.Abs(float64(c.ReplicaShare)-0.75) > 1e-9 || len(r.Warnings) == 0 || !strings.Contains(r.Warnings[0], "127.0.0.1:1") {
		t.Errorf("replica share %v, warnings %v", c.ReplicaShare, r.Warnings)
	}
	for _, p := range srv.params {
		if p["user"] != setupUser && (p["geraniumbeam.class"] != "c" || p["database"] != "svc") {
			t.Errorf("startup parameters %v", p)
		}
	}
}

// Guards against coordinated omission: a stall of the server must raise the
// latency of every request that was due during the stall.
func TestStallRaisesLatencyOfAllDueRequests(t *testing.T) {
	const stall = 400 * time.Millisecond
	var once sync.Once
	srv := newFakeServer(t, func(user, _ string) *pgproto3.ErrorResponse {
		if user == "c-0" {
			once.Do(func() { time.Sleep(stall) })
		}
		return nil
	})
	s := mustParse(t, smallScenario)
	s.Classes[0].Callers = 1
	r, err := Run(context.Background(), s, Options{Addresses: []string{srv.address}, SkipSetup: true})
	if err != nil {
		t.Fatal(err)
	}
	// About 40 requests are due during the stall and are sent after it over one
	// connection. Those due in its first three quarters wait for at least a quarter
	// of it, which is the latency target.
	c := r.Segments[0].Classes[0]
	if late := c.Served - c.WithinTarget; late < 15 || c.LatencyMs["max"] < Float(stall.Milliseconds()*9/10) {
		t.Errorf("%d of %d served requests exceeded the target, max %v ms", late, c.Served, c.LatencyMs["max"])
	}
}

// Guards against a write gap that ignores the start or end of the segment, and
// against a fairness index that ignores a starved caller.
func TestWriteGapAndJainIndex(t *testing.T) {
	second := catalog.Duration(time.Second)
	rec := newRecorder(Class{Callers: 1, Target: second}, Segment{Start: 10 * second, Duration: 10 * second})
	rec.record(0, true, 12*time.Second, 12*time.Second, served, "")
	rec.record(0, false, 14*time.Second, 14*time.Second, served, "")
	rec.record(0, true, 13*time.Second, 13*time.Second, served, "")
	if got := rec.longestWriteGap(); got != 7*time.Second {
		t.Errorf("longest write gap %v, want 7s", got)
	}
	for _, c := range []struct {
		values []int64
		want   float64
	}{{[]int64{5, 5, 5}, 1}, {[]int64{9, 0, 0}, 1.0 / 3}, {[]int64{0, 0}, 1}} {
		if got := JainIndex(c.values); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("JainIndex(%v) = %v, want %v", c.values, got, c.want)
		}
	}
}

// Guards against a comparison that swaps the two paths, and against an idle
// measurement that counts connections it did not open.
func TestCompareAndMeasureIdle(t *testing.T) {
	const proxyDelay = 5 * time.Millisecond
	direct := newFakeServer(t, func(string, string) *pgproto3.ErrorResponse { return nil })
	proxy := newFakeServer(t, func(string, string) *pgproto3.ErrorResponse { time.Sleep(proxyDelay); return nil })
	url := func(s *fakeServer) string {
		return "postgres://u@" + s.address + "/svc?sslmode=disable&default_query_exec_mode=simple_protocol"
	}
	c, err := Compare(context.Background(), CompareOptions{
		Direct: url(direct), Proxy: url(proxy), SQL: "SELECT {n}", Callers: 2, Rounds: 2, Batch: 5, Timeout: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if c.Direct.Requests != 20 || c.Proxy.Requests != 20 || c.Proxy.P50 < Float(proxyDelay.Milliseconds()) {
		t.Errorf("comparison %+v", c)
	}
	vars := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, metrics.NewRegistry("i", "dc").Vars.String())
	}))
	defer vars.Close()
	rep, err := MeasureIdle(context.Background(), IdleOptions{
		Addresses: []string{direct.address}, MetricsAddresses: []string{strings.TrimPrefix(vars.URL, "http://")},
		Service: "svc", Connections: 20, GCTimeout: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if rep.Connections != 20 || rep.Failed != 0 || rep.Instances[0].HeapAfter == 0 {
		t.Errorf("idle report %+v", rep)
	}
}
