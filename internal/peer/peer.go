// Package peer lets instances tell each other what they know of the store. An
// instance that asks the store itself, a relay, tells the others of its data
// centre what it last saw and how old that is. Instances that the store does not
// answer are told of a record, and asked where they stand, directly.
//
// Invariant: the age counts from when the relay sent its question, on a clock
// that counts suspension, so an answer never looks fresher than it is.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumbeam/internal/primacy"
)

// Paths at which an instance answers.
const (
	PathPrefix  = "/peer/"
	PathRecords = "/peer/records"
	PathVote    = "/peer/vote"
)

// maxBodyBytes bounds an answer in bytes; a record has about 200.
const maxBodyBytes = 4 << 20

// maxIdleConnsPerHost is how many connections to relays are kept.
const maxIdleConnsPerHost = 2

// recordsResponse is the encoded form of a primacy.Report.
type recordsResponse struct {
	Records   []primacy.Record `json:"records"`
	Revision  uint64           `json:"revision"`
	AgeMicros int64            `json:"age_us"`
}

// Responder is what an instance answers from.
type Responder interface {
	StoreSnapshot() (primacy.StoreSnapshot, bool)
	Vote(primacy.Record) primacy.Vote
}

// Handler answers peers.
func Handler(r Responder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathRecords, recordsHandler(r.StoreSnapshot))
	mux.Handle("POST "+PathVote, voteHandler(r.Vote))
	return mux
}

// voteHandler answers 400 to a body that is no record.
func voteHandler(ask func(primacy.Record) primacy.Vote) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var rec primacy.Record
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&rec); err != nil || rec.Service == "" || rec.Revision == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A peer that has gone asks again.
		_ = json.NewEncoder(w).Encode(ask(rec))
	})
}

// recordsHandler answers with what report returns. It answers 503 if there is nothing
// to report.
func recordsHandler(report func() (primacy.StoreSnapshot, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r, ok := report()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A peer that has gone asks again.
		_ = json.NewEncoder(w).Encode(recordsResponse{r.Records, r.Revision, r.Age.Microseconds()})
	})
}

// Client asks relays. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}}}
}

// FetchSnapshot implements primacy.Peers.
func (c *Client) FetchSnapshot(ctx context.Context, address string) (primacy.StoreSnapshot, error) {
	var a recordsResponse
	if err := c.call(ctx, http.MethodGet, address, PathRecords, nil, &a); err != nil {
		return primacy.StoreSnapshot{}, err
	}
	if a.AgeMicros < 0 {
		return primacy.StoreSnapshot{}, fmt.Errorf("peer %s: age %d µs is negative", address, a.AgeMicros)
	}
	return primacy.StoreSnapshot{Records: a.Records, Revision: a.Revision, Age: time.Duration(a.AgeMicros) * time.Microsecond}, nil
}

// Vote implements primacy.Peers.
func (c *Client) Vote(ctx context.Context, address string, r primacy.Record) (primacy.Vote, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return primacy.Vote{}, fmt.Errorf("encode record of service %s: %w", r.Service, err)
	}
	var v primacy.Vote
	return v, c.call(ctx, http.MethodPost, address, PathVote, body, &v)
}

// call decodes the answer to one question into out.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peer %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out); err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	return nil
}
