package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"geraniumbeam/internal/scrape"
)

// memStats holds the fields of runtime.MemStats that show the memory used by
// connections. Its field names are keys of the published JSON.
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
		err = errors.New("field memstats is missing")
	}
	if err != nil {
		return memStats{}, fmt.Errorf("decode metrics of %s: %w", address, err)
	}
	return *v.Memstats, nil
}

// readCounts counts the reads of one class by the role of the database that
// answered them.
type readCounts struct{ replica, primary int64 }

// replicaShare returns the share of reads that replicas answered, -1 if there
// were none.
func (c readCounts) replicaShare() float64 {
	if c.replica+c.primary == 0 {
		return -1
	}
	return float64(c.replica) / float64(c.replica+c.primary)
}

// sumReads returns the read counters by class, summed over all instances, and
// an error for each instance that did not answer. Reads of an instance before
// its last restart are missing, because its counters restart at zero.
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

// minus returns the increase since before. It is 0 rather than negative after a
// restart of an instance.
func (c readCounts) minus(before readCounts) readCounts {
	return readCounts{max(0, c.replica-before.replica), max(0, c.primary-before.primary)}
}
