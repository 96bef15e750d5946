package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"geraniumbeam/internal/scrape"
)

// memStats is the part of memstats that tells what connections cost.
type memStats struct {
	HeapAlloc  uint64
	HeapInuse  uint64
	StackInuse uint64
	NumGC      uint32
}

func fetchMemStats(ctx context.Context, address string) (memStats, error) {
	body, err := scrape.Vars(ctx, address)
	if err != nil {
		return memStats{}, err
	}
	var v struct {
		Memstats *memStats `json:"memstats"`
	}
	if err = json.Unmarshal(body, &v); err == nil && v.Memstats == nil {
		err = errors.New("there are no memstats")
	}
	if err != nil {
		return memStats{}, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return *v.Memstats, nil
}

// readCounts counts the reads of one class by the role that answered.
type readCounts struct{ replica, primary int64 }

func (c readCounts) replicaShare() float64 {
	if c.replica+c.primary == 0 {
		return -1
	}
	return float64(c.replica) / float64(c.replica+c.primary)
}

// sumReads adds up the read counters of all instances by class and reports
// the instances that did not answer. A restarted instance begins at zero, so
// its earlier reads are missing.
func sumReads(ctx context.Context, addresses []string, service string) (map[string]readCounts, []error) {
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		errs  []error
		total = make(map[string]readCounts)
	)
	for _, a := range addresses {
		wg.Go(func() {
			v, err := scrape.Values(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			for _, c := range v.Classes {
				if c.Service == service {
					t := total[c.Class]
					total[c.Class] = readCounts{t.replica + c.ReplicaReads, t.primary + c.PrimaryReads}
				}
			}
		})
	}
	wg.Wait()
	return total, errs
}

func (c readCounts) minus(before readCounts) readCounts {
	return readCounts{max(0, c.replica-before.replica), max(0, c.primary-before.primary)}
}
