package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"geraniumbeam/internal/result"
)

// IdleOptions configures a run of idle connections.
type IdleOptions struct {
	Addresses        []string // of proxy instances for callers
	MetricsAddresses []string // metrics addresses of the same instances
	Service          string
	Class            string
	Connections      int
	// GCTimeout bounds the wait for a garbage collection before the connections are
	// opened and while they are open.
	GCTimeout time.Duration
	Command   string
}

const (
	maxIdleConnections  = 25000
	maxGCTimeout        = 30 * time.Minute
	maxParallelConnects = 64
	sampleInterval      = 2 * time.Millisecond
	fetchGracePeriod    = 10 * time.Second // for the last answers
)

// IdleReport is the memory of instances per idle connection.
type IdleReport struct {
	Command     string           `json:"command"`
	Connections int              `json:"connections"`
	Failed      int              `json:"failed"`
	FirstError  string           `json:"first_error,omitempty"`
	Instances   []InstanceMemory `json:"instances"`
	Warnings    []string         `json:"warnings,omitempty"`
	// HeapPerConnection and TotalPerConnection are heap and stacks in use over all instances; the stack is part of the second. They
	// include the load tool itself if it runs in the same process.
	HeapPerConnection  Float `json:"heap_bytes_per_connection"`
	TotalPerConnection Float `json:"heap_and_stack_bytes_per_connection"`
}

// InstanceMemory is the memory of one instance before and with the connections.
type InstanceMemory struct {
	Address    string `json:"address"`
	HeapBefore uint64 `json:"heap_before"`
	HeapAfter  uint64 `json:"heap_after"`
	StackAdded int64  `json:"stack_added"`
}

// MeasureIdle opens connections, holds them and reports heap and stack per
// connection, each after a garbage collection.
func MeasureIdle(ctx context.Context, o IdleOptions) (*IdleReport, error) {
	switch {
	case o.Connections < 1 || o.Connections > maxIdleConnections:
		return nil, result.Errorf(result.Invalid, "connections has value %d: want 1 to %d", o.Connections, maxIdleConnections)
	case o.GCTimeout <= 0 || o.GCTimeout > maxGCTimeout:
		return nil, result.Errorf(result.Invalid, "hold has value %v: want more than 0 and at most %v", o.GCTimeout, maxGCTimeout)
	}
	before, lateBefore, err := memoryAfterGC(ctx, o.MetricsAddresses, o.GCTimeout)
	if err != nil {
		return nil, err
	}
	conns, failed, first := openIdle(ctx, o)
	defer func() {
		for _, c := range conns {
			closeConn(c)
		}
	}()
	after, lateAfter, err := memoryAfterGC(ctx, o.MetricsAddresses, o.GCTimeout)
	if err != nil {
		return nil, err
	}
	rep := &IdleReport{Command: o.Command, Connections: len(conns), Failed: failed}
	for _, a := range append(lateBefore, lateAfter...) {
		rep.Warnings = append(rep.Warnings, fmt.Sprintf("instance %s did not collect garbage; its figure is not exact", a))
	}
	if first != nil {
		rep.FirstError = first.Error()
	}
	var heap, stack int64
	for i, a := range o.MetricsAddresses {
		in := InstanceMemory{
			Address: a, HeapBefore: before[i].HeapAlloc, HeapAfter: after[i].HeapAlloc,
			StackAdded: int64(after[i].StackInuse) - int64(before[i].StackInuse),
		}
		rep.Instances = append(rep.Instances, in)
		heap += int64(in.HeapAfter) - int64(in.HeapBefore)
		stack += in.StackAdded
	}
	if len(conns) > 0 {
		rep.HeapPerConnection = Float(float64(heap) / float64(len(conns)))
		rep.TotalPerConnection = Float(float64(heap+stack) / float64(len(conns)))
	}
	return rep, nil
}

// memoryAfterGC returns the memory of all instances after a garbage collection.
// Between collections the heap holds garbage of earlier work, which can exceed
// what the connections use. Reading the counters allocates in the instance, so
// reading them often brings the collection about. Instances that did not
// collect within d are named in late.
func memoryAfterGC(ctx context.Context, vars []string, d time.Duration) (out []memStats, late []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, d+fetchGracePeriod)
	defer cancel()
	out = make([]memStats, len(vars))
	collected := make([]bool, len(vars))
	var g errgroup.Group
	for i, a := range vars {
		g.Go(func() error {
			m, ok, err := instanceMemoryAfterGC(ctx, a, d)
			out[i], collected[i] = m, ok
			return err
		})
	}
	if err = g.Wait(); err != nil {
		return nil, nil, err
	}
	for i, ok := range collected {
		if !ok {
			late = append(late, vars[i])
		}
	}
	return out, late, nil
}

// instanceMemoryAfterGC returns the smallest heap that was seen after a collection, and
// false with the last sample if there was none within d.
func instanceMemoryAfterGC(ctx context.Context, address string, d time.Duration) (memStats, bool, error) {
	first, err := fetchMemStats(ctx, address)
	if err != nil {
		return memStats{}, false, err
	}
	best, found := first, false
	for end := time.Now().Add(d); time.Now().Before(end); {
		m, err := fetchMemStats(ctx, address)
		if err != nil {
			return memStats{}, false, err
		}
		switch {
		case m.NumGC == first.NumGC:
			best = m
		case !found || m.HeapAlloc < best.HeapAlloc:
			best, found = m, true
		}
		// Two collections show the heap without objects of the first one that
		// were still being finalised.
		if m.NumGC >= first.NumGC+2 {
			return best, true, nil
		}
		time.Sleep(sampleInterval)
	}
	return best, found, nil
}

func openIdle(ctx context.Context, o IdleOptions) (conns []*pgx.Conn, failed int, first error) {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		todo = make(chan int)
	)
	for range maxParallelConnects {
		wg.Go(func() {
			for i := range todo {
				conn, err := dial(ctx, o.Addresses[i%len(o.Addresses)], fmt.Sprintf("idle-%d", i), o.Service, o.Class, "")
				mu.Lock()
				if err != nil {
					failed++
					if first == nil {
						first = err
					}
				} else {
					conns = append(conns, conn)
				}
				mu.Unlock()
			}
		})
	}
	for i := 0; i < o.Connections && ctx.Err() == nil; i++ {
		todo <- i
	}
	close(todo)
	wg.Wait()
	return conns, failed, first
}

// WriteText writes the report.
func (r *IdleReport) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "command: %s\n%d idle connections, %d failed\n", r.Command, r.Connections, r.Failed)
	if r.FirstError != "" {
		fmt.Fprintln(w, "first error:", r.FirstError)
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "instance\theap before\theap after\tstack added\t")
	for _, i := range r.Instances {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t\n", i.Address, i.HeapBefore, i.HeapAfter, i.StackAdded)
	}
	fmt.Fprintf(tw, "per connection\t\t%.0f\t%.0f\t\n", r.HeapPerConnection, r.TotalPerConnection-r.HeapPerConnection)
	for _, m := range r.Warnings {
		fmt.Fprintln(tw, "warning:", m)
	}
	return tw.Flush()
}
