package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/result"
)

// CompareOptions configures a closed-loop comparison of two ways to one
// database.
type CompareOptions struct {
	// Direct and Proxy are PostgreSQL connection strings. The client runs in
	// its default mode, with prepared statements.
	Direct, Proxy string
	// Setup statements run once through the proxy.
	Setup []string
	// SQL is the statement; {n} is replaced by a number per request and
	// {caller} by the caller's number.
	SQL string
	// Callers send one request after the other, each on its own connection.
	Callers int
	// Rounds alternate between the two ways, Batch requests per caller each.
	Rounds, Batch int
	// Timeout bounds each request.
	Timeout time.Duration
	Command string
}

// Limits of a comparison.
const (
	maxCompareCallers  = 1000
	maxCompareRequests = 10_000_000
	warmUpRounds       = 1 // not measured
)

// Comparison is the result of a closed-loop comparison. Latencies are in
// milliseconds.
type Comparison struct {
	Command  string    `json:"command"`
	Callers  int       `json:"callers"`
	Direct   PathStats `json:"direct"`
	Proxy    PathStats `json:"proxy"`
	AddedP50 Float     `json:"added_p50_ms"`
	AddedP99 Float     `json:"added_p99_ms"`
}

// PathStats is what one way measured.
type PathStats struct {
	Requests  int64            `json:"requests"`
	Errors    map[string]int64 `json:"errors,omitempty"`
	P50       Float            `json:"p50_ms"`
	P99       Float            `json:"p99_ms"`
	Max       Float            `json:"max_ms"`
	PerSecond Float            `json:"per_s"`
}

type path struct {
	url          string
	conns        []*pgx.Conn
	mu           sync.Mutex
	latency      *hdrhistogram.Histogram
	errors       map[string]int64
	measuredTime time.Duration
}

// Compare measures both ways in one run, alternating between them, so that
// slow changes of the machine affect both alike.
func Compare(ctx context.Context, o CompareOptions) (*Comparison, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	ways := []*path{newPath(o.Direct), newPath(o.Proxy)}
	for _, w := range ways {
		defer w.disconnect()
	}
	for i, w := range ways {
		if err := w.connect(ctx, o); err != nil {
			return nil, fmt.Errorf("%s: %w", []string{"direct", "proxy"}[i], err)
		}
	}
	for _, sql := range o.Setup {
		if _, err := ways[1].conns[0].Exec(ctx, sql); err != nil {
			return nil, fmt.Errorf("set-up statement %q: %w", sql, err)
		}
	}
	for round := range o.Rounds + warmUpRounds {
		for i := range ways {
			// The order changes each round, so neither way is always second.
			w := ways[(i+round)%2]
			w.sendBatch(ctx, o, round)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
	c := &Comparison{Command: o.Command, Callers: o.Callers, Direct: ways[0].stats(), Proxy: ways[1].stats()}
	c.AddedP50, c.AddedP99 = c.Proxy.P50-c.Direct.P50, c.Proxy.P99-c.Direct.P99
	return c, nil
}

func (o CompareOptions) check() error {
	switch {
	case o.Callers < 1 || o.Callers > maxCompareCallers:
		return result.Errorf(result.Invalid, "callers has value %d: want 1 to %d", o.Callers, maxCompareCallers)
	case o.Rounds < 1 || o.Batch < 1 || o.Callers*o.Rounds*o.Batch > maxCompareRequests:
		return result.Errorf(result.Invalid, "rounds %d and batch %d: want at least 1 and at most %d requests in all", o.Rounds, o.Batch, maxCompareRequests)
	case o.Timeout <= 0:
		return result.Errorf(result.Invalid, "timeout has value %v: want more than 0", o.Timeout)
	}
	return nil
}

func newPath(url string) *path {
	return &path{url: url, latency: newHistogram(), errors: make(map[string]int64)}
}

func (w *path) connect(ctx context.Context, o CompareOptions) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for range o.Callers {
		conn, err := pgx.Connect(ctx, w.url)
		if err != nil {
			return fmt.Errorf("connect: %w", err)
		}
		w.conns = append(w.conns, conn)
	}
	return nil
}

func (w *path) disconnect() {
	for _, c := range w.conns {
		closeConn(c)
	}
}

// sendBatch lets all callers send o.Batch requests each.
func (w *path) sendBatch(ctx context.Context, o CompareOptions, round int) {
	began := time.Now()
	var wg sync.WaitGroup
	for caller, conn := range w.conns {
		wg.Go(func() {
			for n := range o.Batch {
				w.send(ctx, o, conn, round, caller, round*o.Batch+n)
			}
		})
	}
	wg.Wait()
	if round >= warmUpRounds {
		w.measuredTime += time.Since(began)
	}
}

func (w *path) send(ctx context.Context, o CompareOptions, conn *pgx.Conn, round, caller, n int) {
	sql := o.SQL
	if strings.Contains(sql, "{") {
		sql = strings.NewReplacer("{n}", strconv.Itoa(n), "{caller}", strconv.Itoa(caller)).Replace(sql)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	began := time.Now()
	err := execute(ctx, conn, sql)
	took := time.Since(began)
	if round < warmUpRounds {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		_, name := classifyError(err)
		w.errors[name]++
		return
	}
	recordLatency(w.latency, took)
}

func (w *path) stats() PathStats {
	n := w.latency.TotalCount()
	return PathStats{
		Requests: n, Errors: w.errors, P50: quantile(w.latency, 50), P99: quantile(w.latency, 99), Max: quantile(w.latency, 100),
		PerSecond: Float(float64(n) / cmp.Or(w.measuredTime.Seconds(), 1)),
	}
}

// WriteText writes both ways side by side.
func (c *Comparison) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "command: %s\n%d callers in a closed loop, ways alternate; latencies in ms\n", c.Command, c.Callers)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "way\trequests\tp50\tp99\tmax\tper s\terrors\t")
	for _, v := range []struct {
		name string
		s    PathStats
	}{{"direct", c.Direct}, {"proxy", c.Proxy}} {
		fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t\n", v.name, v.s.Requests, v.s.P50, v.s.P99, v.s.Max, v.s.PerSecond, cmp.Or(errorList(v.s.Errors), "-"))
	}
	fmt.Fprintf(tw, "added\t\t%.3f\t%.3f\t\t\t\t\n", c.AddedP50, c.AddedP99)
	return tw.Flush()
}
