// Package peer implements the HTTP protocol by which instances exchange what they
// know of the store. Relays, the instances that query the store for their data
// centre, return the latest snapshot of the records and its age. Instances that
// the store does not answer can be sent a record and asked for their vote
// directly.
//
// Invariant: the age counts from when the relay sent its request to the store, on
// a clock that includes suspended time, so a snapshot never appears newer than it
// is.
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

// Paths of the protocol.
const (
	PathPrefix  = "/peer/"
	PathRecords = "/peer/records"
	PathVote    = "/peer/vote"
)

// maxBodyBytes limits a request or response body. A record has about 200 bytes.
const maxBodyBytes = 4 << 20

// maxIdleConnsPerHost is how many idle connections to each peer are kept.
const maxIdleConnsPerHost = 2

// recordsResponse is the encoded form of a primacy.StoreSnapshot.
type recordsResponse struct {
	Records   []primacy.Record `json:"records"`
	Revision  uint64           `json:"revision"`
	AgeMicros int64            `json:"age_us"`
}

// Responder provides the data for responses to peers.
type Responder interface {
	StoreSnapshot() (primacy.StoreSnapshot, bool)
	Vote(primacy.Record) primacy.Vote
}

// Handler serves requests of peers.
func Handler(r Responder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathRecords, recordsHandler(r.StoreSnapshot))
	mux.Handle("POST "+PathVote, voteHandler(r.Vote))
	return mux
}

// voteHandler responds with status 400 if the body is not a valid record.
func voteHandler(vote func(primacy.Record) primacy.Vote) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var rec primacy.Record
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&rec); err != nil || rec.Service == "" || rec.Revision == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the peer disconnected; it will ask again.
		_ = json.NewEncoder(w).Encode(vote(rec))
	})
}

// recordsHandler responds with the snapshot, or with status 503 if there is none.
func recordsHandler(snapshot func() (primacy.StoreSnapshot, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s, ok := snapshot()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the peer disconnected; it will ask again.
		_ = json.NewEncoder(w).Encode(recordsResponse{s.Records, s.Revision, s.Age.Microseconds()})
	})
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}}}
}

// FetchSnapshot implements primacy.Peers.
func (c *Client) FetchSnapshot(ctx context.Context, address string) (primacy.StoreSnapshot, error) {
	var resp recordsResponse
	if err := c.call(ctx, http.MethodGet, address, PathRecords, nil, &resp); err != nil {
		return primacy.StoreSnapshot{}, err
	}
	if resp.AgeMicros < 0 {
		return primacy.StoreSnapshot{}, fmt.Errorf("fetch snapshot from peer %s: age %d µs is negative", address, resp.AgeMicros)
	}
	return primacy.StoreSnapshot{Records: resp.Records, Revision: resp.Revision, Age: time.Duration(resp.AgeMicros) * time.Microsecond}, nil
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

// call sends a request and decodes the response into out.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request to peer %s: %w", address, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call peer %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }() // the body was read or is abandoned
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call peer %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out); err != nil {
		return fmt.Errorf("decode response of peer %s: %w", address, err)
	}
	return nil
}
