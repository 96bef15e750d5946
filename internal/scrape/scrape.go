// Package scrape fetches /debug/vars from instances.
package scrape

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumbeam/internal/metrics"
)

const (
	timeout = 3 * time.Second
	maxBody = 16 << 20 // bytes
)

// Vars fetches /debug/vars from the metrics address (host:port) of an instance.
func Vars(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return nil, fmt.Errorf("fetch metrics of %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("fetch metrics of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch metrics of %s: got status %s", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, fmt.Errorf("fetch metrics of %s: %w", address, err)
	}
	return body, nil
}

// Values fetches the counters of one instance from its metrics address.
func Values(ctx context.Context, address string) (metrics.Values, error) {
	body, err := Vars(ctx, address)
	if err != nil {
		return metrics.Values{}, err
	}
	v, err := metrics.Decode(body)
	if err != nil {
		return v, fmt.Errorf("decode metrics of %s: %w", address, err)
	}
	return v, nil
}
