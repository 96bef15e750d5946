// Package report computes error-budget usage and burn rates per class from the
// counters of all instances.
//
// Invariants: instances that did not answer are listed. A counter reset after a
// restart of an instance never gives negative figures.
package report

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/scrape"
)

// Sample holds the counters of all instances at one time.
type Sample struct {
	At          time.Time             `json:"at"`
	Instances   []metrics.Values      `json:"instances"`
	Unreachable []UnreachableInstance `json:"unreachable,omitempty"`
}

// UnreachableInstance is an instance that did not answer.
type UnreachableInstance struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// maxParallelScrapes bounds the concurrent requests of TakeSample.
const maxParallelScrapes = 64

// TakeSample reads the counters of all instances. Instances that do not answer
// are listed in the sample.
func TakeSample(ctx context.Context, addresses []string) Sample {
	s := Sample{At: time.Now()}
	var (
		mu sync.Mutex
		g  errgroup.Group
	)
	g.SetLimit(maxParallelScrapes)
	for _, a := range addresses {
		g.Go(func() error {
			v, err := scrape.Values(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Unreachable = append(s.Unreachable, UnreachableInstance{a, err.Error()})
			} else {
				s.Instances = append(s.Instances, v)
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	slices.SortFunc(s.Unreachable, func(a, b UnreachableInstance) int { return cmp.Compare(a.Address, b.Address) })
	return s
}

// TakeSamples takes n samples at the given interval. If ctx ends first, it
// returns the samples taken so far and the error of ctx.
func TakeSamples(ctx context.Context, addresses []string, n int, interval time.Duration) ([]Sample, error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	out := []Sample{TakeSample(ctx, addresses)}
	for len(out) < n {
		select {
		case <-ctx.Done():
			return out, ctx.Err()
		case <-ticker.C:
			out = append(out, TakeSample(ctx, addresses))
		}
	}
	return out, nil
}

// maxSampleBytes is the maximum size of a saved sample, which is one line.
const maxSampleBytes = 64 << 20

// ReadSamples reads the output of WriteSamples and sorts the samples by time.
func ReadSamples(r io.Reader) ([]Sample, error) {
	var out []Sample
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), maxSampleBytes)
	for line := 1; sc.Scan(); line++ {
		var s Sample
		if err := json.Unmarshal(sc.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("decode line %d of the saved samples: %w", line, err)
		}
		if s.At.IsZero() {
			return nil, fmt.Errorf("decode line %d of the saved samples: field \"at\" is missing", line)
		}
		out = append(out, s)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read saved samples: %w", err)
	}
	slices.SortStableFunc(out, func(a, b Sample) int { return a.At.Compare(b.At) })
	return out, nil
}

// WriteSamples writes each sample as a JSON object on a line of its own.
func WriteSamples(w io.Writer, samples []Sample) error {
	enc := json.NewEncoder(w)
	for _, s := range samples {
		if err := enc.Encode(s); err != nil {
			return fmt.Errorf("save samples: %w", err)
		}
	}
	return nil
}
