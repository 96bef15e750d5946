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

// CompareOptions configures a closed-loop comparison of the direct path to a
// database with the path through the proxy.
type CompareOptions struct {
	// Direct and Proxy are PostgreSQL connection strings. Unless they say
	// otherwise, the client uses prepared statements.
	Direct, Proxy string
	// Setup statements run once through the proxy.
	Setup []string
	// SQL is the statement. {n} is replaced by the number of the request and
	// {caller} by that of the caller.
	SQL string
	// Callers is the number of callers, each of which sends one request after the
	// other on its own connection.
	Callers int
	// Rounds is the number of measured rounds. In each, every caller sends Batch
	// requests over each path.
	Rounds, Batch int
	// Timeout bounds each request.
	Timeout time.Duration
	// Command is the command line to show in the report.
	Command string
}

// Limits of a comparison.
const (
	maxCompareCallers  = 1000
	maxCompareRequests = 10_000_000
	warmUpRounds       = 1 // run before the measured rounds
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

// PathStats is the result of one path.
type PathStats struct {
	Requests  int64            `json:"requests"`
	Errors    map[string]int64 `json:"errors,omitempty"`
	P50       Float            `json:"p50_ms"`
	P99       Float            `json:"p99_ms"`
	Max       Float            `json:"max_ms"`
	PerSecond Float            `json:"per_s"`
}

// measuredPath holds the connections and results of one of the compared paths.
type measuredPath struct {
	url          string
	conns        []*pgx.Conn
	mu           sync.Mutex
	latency      *hdrhistogram.Histogram
	errors       map[string]int64
	measuredTime time.Duration
}

// Compare measures both paths in one run. It alternates between them, so that
// slow changes in the load of the machine affect both alike.
func Compare(ctx context.Context, o CompareOptions) (*Comparison, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	paths := []*measuredPath{newPath(o.Direct), newPath(o.Proxy)}
	for _, p := range paths {
		defer p.disconnect()
	}
	for i, p := range paths {
		if err := p.connect(ctx, o); err != nil {
			return nil, fmt.Errorf("%s: %w", []string{"direct", "proxy"}[i], err)
		}
	}
	for _, sql := range o.Setup {
		if _, err := paths[1].conns[0].Exec(ctx, sql); err != nil {
			return nil, fmt.Errorf("set-up statement %q: %w", sql, err)
		}
	}
	for round := range o.Rounds + warmUpRounds {
		for i := range paths {
			// The order alternates, so that neither path is always measured second.
			p := paths[(i+round)%2]
			p.sendBatch(ctx, o, round)
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
	c := &Comparison{Command: o.Command, Callers: o.Callers, Direct: paths[0].stats(), Proxy: paths[1].stats()}
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

func newPath(url string) *measuredPath {
	return &measuredPath{url: url, latency: newHistogram(), errors: make(map[string]int64)}
}

func (p *measuredPath) connect(ctx context.Context, o CompareOptions) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for range o.Callers {
		conn, err := pgx.Connect(ctx, p.url)
		if err != nil {
			return fmt.Errorf("connect: %w", err)
		}
		p.conns = append(p.conns, conn)
	}
	return nil
}

func (p *measuredPath) disconnect() {
	for _, c := range p.conns {
		closeConn(c)
	}
}

// sendBatch sends o.Batch requests from each caller and waits for their answers.
func (p *measuredPath) sendBatch(ctx context.Context, o CompareOptions, round int) {
	start := time.Now()
	var wg sync.WaitGroup
	for caller, conn := range p.conns {
		wg.Go(func() {
			for n := range o.Batch {
				p.send(ctx, o, conn, round, caller, round*o.Batch+n)
			}
		})
	}
	wg.Wait()
	if round >= warmUpRounds {
		p.measuredTime += time.Since(start)
	}
}

func (p *measuredPath) send(ctx context.Context, o CompareOptions, conn *pgx.Conn, round, caller, n int) {
	sql := o.SQL
	if strings.Contains(sql, "{") {
		sql = strings.NewReplacer("{n}", strconv.Itoa(n), "{caller}", strconv.Itoa(caller)).Replace(sql)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	start := time.Now()
	err := execute(ctx, conn, sql)
	latency := time.Since(start)
	if round < warmUpRounds {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		_, errorName := classifyError(err)
		p.errors[errorName]++
		return
	}
	recordLatency(p.latency, latency)
}

func (p *measuredPath) stats() PathStats {
	n := p.latency.TotalCount()
	return PathStats{
		Requests: n, Errors: p.errors, P50: quantile(p.latency, 50), P99: quantile(p.latency, 99), Max: quantile(p.latency, 100),
		PerSecond: Float(float64(n) / cmp.Or(p.measuredTime.Seconds(), 1)),
	}
}

// WriteText writes a table with one row per path.
func (c *Comparison) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "command: %s\n%d callers in a closed loop, paths alternate; latencies in ms\n", c.Command, c.Callers)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "path\trequests\tp50\tp99\tmax\tper s\terrors\t")
	for _, row := range []struct {
		name  string
		stats PathStats
	}{{"direct", c.Direct}, {"proxy", c.Proxy}} {
		fmt.Fprintf(tw, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t\n", row.name, row.stats.Requests, row.stats.P50, row.stats.P99, row.stats.Max, row.stats.PerSecond, cmp.Or(errorList(row.stats.Errors), "-"))
	}
	fmt.Fprintf(tw, "added\t\t%.3f\t%.3f\t\t\t\t\n", c.AddedP50, c.AddedP99)
	return tw.Flush()
}
