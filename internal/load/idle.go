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

// IdleOptions configures MeasureIdle.
type IdleOptions struct {
	Addresses        []string // caller addresses of the instances
	MetricsAddresses []string // metrics addresses of the same instances
	Service          string
	Class            string
	Connections      int
	// GCTimeout bounds each wait for a garbage collection of the instances: before
	// the connections are opened and while they are open.
	GCTimeout time.Duration
	// Command is the command line to show in the report.
	Command string
}

const (
	maxIdleConnections  = 25000
	maxGCTimeout        = 30 * time.Minute
	maxParallelConnects = 64
	sampleInterval      = 2 * time.Millisecond
	fetchGracePeriod    = 10 * time.Second // for answers due at the end of the wait
)

// IdleReport is the result of MeasureIdle.
type IdleReport struct {
	Command     string           `json:"command"`
	Connections int              `json:"connections"`
	Failed      int              `json:"failed"`
	FirstError  string           `json:"first_error,omitempty"`
	Instances   []InstanceMemory `json:"instances"`
	Warnings    []string         `json:"warnings,omitempty"`
	// HeapPerConnection is the growth of the heap of all instances per
	// connection; TotalPerConnection adds that of the goroutine stacks. They
	// include the load generator if it runs in the same process.
	HeapPerConnection  Float `json:"heap_bytes_per_connection"`
	TotalPerConnection Float `json:"heap_and_stack_bytes_per_connection"`
}

// InstanceMemory is the memory of one instance, in bytes, before the connections
// were opened and while they were open.
type InstanceMemory struct {
	Address    string `json:"address"`
	HeapBefore uint64 `json:"heap_before"`
	HeapAfter  uint64 `json:"heap_after"`
	StackAdded int64  `json:"stack_added"`
}

// MeasureIdle opens connections, keeps them idle and reports the heap and stack
// memory per connection, measured after garbage collections.
func MeasureIdle(ctx context.Context, o IdleOptions) (*IdleReport, error) {
	switch {
	case o.Connections < 1 || o.Connections > maxIdleConnections:
		return nil, result.Errorf(result.Invalid, "connections has value %d: want 1 to %d", o.Connections, maxIdleConnections)
	case o.GCTimeout <= 0 || o.GCTimeout > maxGCTimeout:
		return nil, result.Errorf(result.Invalid, "hold has value %v: want more than 0 and at most %v", o.GCTimeout, maxGCTimeout)
	}
	before, notCollectedBefore, err := memoryAfterGC(ctx, o.MetricsAddresses, o.GCTimeout)
	if err != nil {
		return nil, err
	}
	conns, failed, firstErr := openIdle(ctx, o)
	defer func() {
		for _, c := range conns {
			closeConn(c)
		}
	}()
	after, notCollectedAfter, err := memoryAfterGC(ctx, o.MetricsAddresses, o.GCTimeout)
	if err != nil {
		return nil, err
	}
	rep := &IdleReport{Command: o.Command, Connections: len(conns), Failed: failed}
	for _, a := range append(notCollectedBefore, notCollectedAfter...) {
		rep.Warnings = append(rep.Warnings, fmt.Sprintf("instance %s ran no garbage collection in time; its figure is not exact", a))
	}
	if firstErr != nil {
		rep.FirstError = firstErr.Error()
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

// memoryAfterGC returns the memory of all instances after a garbage collection,
// and the addresses of instances that ran none within d. Between collections the
// heap holds garbage that can exceed the memory of the connections. Reading the
// counters allocates memory in the instance, so frequent reads usually
// trigger the collection.
func memoryAfterGC(ctx context.Context, addresses []string, d time.Duration) (out []memStats, notCollected []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, d+fetchGracePeriod)
	defer cancel()
	out = make([]memStats, len(addresses))
	collected := make([]bool, len(addresses))
	var g errgroup.Group
	for i, a := range addresses {
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
			notCollected = append(notCollected, addresses[i])
		}
	}
	return out, notCollected, nil
}

// instanceMemoryAfterGC returns the sample with the smallest heap after a
// collection, or the last sample and false if there was no collection within d.
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
		// Objects with finalisers are only freed by the collection after the one
		// that found them unreachable.
		if m.NumGC >= first.NumGC+2 {
			return best, true, nil
		}
		time.Sleep(sampleInterval)
	}
	return best, found, nil
}

func openIdle(ctx context.Context, o IdleOptions) (conns []*pgx.Conn, failed int, firstErr error) {
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		indexes = make(chan int)
	)
	for range maxParallelConnects {
		wg.Go(func() {
			for i := range indexes {
				conn, err := dial(ctx, o.Addresses[i%len(o.Addresses)], fmt.Sprintf("idle-%d", i), o.Service, o.Class, "")
				mu.Lock()
				if err != nil {
					failed++
					if firstErr == nil {
						firstErr = err
					}
				} else {
					conns = append(conns, conn)
				}
				mu.Unlock()
			}
		})
	}
	for i := 0; i < o.Connections && ctx.Err() == nil; i++ {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	return conns, failed, firstErr
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
