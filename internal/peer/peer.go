// Package peer lets instances of one data centre share answers of the store.
// An instance that asks the store itself, a relay, tells the others what it last
// saw and how old that is.
//
// Invariant: the age counts from when the relay sent its question, on a clock
// that counts suspension, so an answer never looks fresher than it is.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumbeam/internal/primacy"
)

// Path is where a relay answers.
const Path = "/peer/records"

// maxAnswer bounds an answer in bytes; a record has about 200.
const maxAnswer = 4 << 20

// idleConns is how many connections to relays are kept.
const idleConns = 2

// answer is the encoded form of a primacy.Report.
type answer struct {
	Records   []primacy.Record `json:"records"`
	Revision  uint64           `json:"revision"`
	AgeMicros int64            `json:"age_us"`
}

// Handler answers with what report returns. It answers 503 if there is nothing
// to report.
func Handler(report func() (primacy.Report, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r, ok := report()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A peer that has gone asks again.
		_ = json.NewEncoder(w).Encode(answer{r.Records, r.Revision, r.Age.Microseconds()})
	})
}

// Client asks relays. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}}
}

// Ask implements primacy.Peers.
func (c *Client) Ask(ctx context.Context, address string) (primacy.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return primacy.Report{}, fmt.Errorf("peer %s: %w", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return primacy.Report{}, fmt.Errorf("peer %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
	if resp.StatusCode != http.StatusOK {
		return primacy.Report{}, fmt.Errorf("peer %s: status %d", address, resp.StatusCode)
	}
	var a answer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&a); err != nil {
		return primacy.Report{}, fmt.Errorf("peer %s: %w", address, err)
	}
	if a.AgeMicros < 0 {
		return primacy.Report{}, fmt.Errorf("peer %s: age %d µs is negative", address, a.AgeMicros)
	}
	return primacy.Report{Records: a.Records, Revision: a.Revision, Age: time.Duration(a.AgeMicros) * time.Microsecond}, nil
}
