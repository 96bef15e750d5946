package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"geraniumbeam/internal/metrics"
)

const (
	varsTimeout = 3 * time.Second
	maxVars     = 16 << 20 // bytes of one /debug/vars
)

// fetchVars reads /debug/vars of the instance whose metrics listen on address.
func fetchVars(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, varsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %s", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxVars))
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return body, nil
}

// FetchValues reads the counters of one instance.
func FetchValues(ctx context.Context, address string) (metrics.Values, error) {
	body, err := fetchVars(ctx, address)
	if err != nil {
		return metrics.Values{}, err
	}
	v, err := metrics.Decode(body)
	if err != nil {
		return v, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return v, nil
}

// memory is the part of memstats that tells what connections cost.
type memory struct {
	HeapAlloc  uint64
	HeapInuse  uint64
	StackInuse uint64
	NumGC      uint32
}

func fetchMemory(ctx context.Context, address string) (memory, error) {
	body, err := fetchVars(ctx, address)
	if err != nil {
		return memory{}, err
	}
	var v struct {
		Memstats *memory `json:"memstats"`
	}
	if err = json.Unmarshal(body, &v); err == nil && v.Memstats == nil {
		err = errors.New("there are no memstats")
	}
	if err != nil {
		return memory{}, fmt.Errorf("metrics of %s: %w", address, err)
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

// sampleReads adds up the read counters of all instances by class and reports
// the instances that did not answer. A restarted instance begins at zero, so
// its earlier reads are missing.
func sampleReads(ctx context.Context, addresses []string, service string) (map[string]readCounts, []error) {
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		errs  []error
		total = make(map[string]readCounts)
	)
	for _, a := range addresses {
		wg.Go(func() {
			v, err := FetchValues(ctx, a)
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

func (c readCounts) since(before readCounts) readCounts {
	return readCounts{max(0, c.replica-before.replica), max(0, c.primary-before.primary)}
}
