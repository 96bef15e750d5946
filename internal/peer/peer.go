// Package peer implements the HTTP protocol by which instances exchange what they
// know of the store. An instance gets the records of the primaries and the listing
// of the topology, with their age, from its upstream, which holds the request until
// there is something new. Instances that the store does not answer can be sent a
// record and asked for their vote directly.
//
// Invariant: ages count from the request to the store, on clocks that include
// suspended time, so a snapshot never appears newer than it is.
package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"geraniumbeam/internal/primacy"
)

// Paths of the protocol.
const (
	PathPrefix   = "/peer/"
	PathSnapshot = "/peer/snapshot"
	PathVote     = "/peer/vote"
)

// maxBodyBytes limits a request or response body. A record and a route have about
// 200 bytes each.
const maxBodyBytes = 4 << 20

// maxIdleConnsPerHost is how many idle connections to each peer are kept.
const maxIdleConnsPerHost = 2

// Responder provides the data for responses to peers.
type Responder interface {
	Snapshot(context.Context, primacy.SnapshotQuery) (primacy.StoreSnapshot, bool)
	Vote(primacy.Record) primacy.Vote
}

// Handler serves requests of peers.
func Handler(r Responder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+PathSnapshot, snapshotHandler(r.Snapshot))
	mux.Handle("POST "+PathVote, voteHandler(r.Vote))
	return mux
}

// voteHandler responds with status 400 if the body is not a valid record.
func voteHandler(vote func(primacy.Record) primacy.Vote) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var rec primacy.Record
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&rec); err != nil || rec.Service == "" || rec.Revision.IsZero() {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the peer disconnected; it will ask again.
		_ = json.NewEncoder(w).Encode(vote(rec))
	})
}

// snapshotHandler responds with a snapshot, with status 503 if there is none, or with
// status 400 if the body is not a valid query.
func snapshotHandler(snapshot func(context.Context, primacy.SnapshotQuery) (primacy.StoreSnapshot, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var q primacy.SnapshotQuery
		if err := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes)).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s, ok := snapshot(req.Context(), q)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the peer disconnected; it will ask again.
		_ = encodeSnapshot(w, s)
	})
}

// encodeSnapshot writes a snapshot, compressed if its configuration has organisations.
// Every instance that can use such a configuration understands that; 290 KB become 33 KB.
func encodeSnapshot(w http.ResponseWriter, s primacy.StoreSnapshot) error {
	if s.Listing == nil || s.Listing.Configuration.Organisations == nil {
		return json.NewEncoder(w).Encode(s)
	}
	w.Header().Set(encodingHeader, encodingGzip)
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(z).Encode(s), z.Close())
}

// Header and value of a compressed response.
const (
	encodingHeader = "Content-Encoding"
	encodingGzip   = "gzip"
)

// bodyOf returns the body of a response, decompressed and limited to maxBodyBytes.
func bodyOf(resp *http.Response) (io.Reader, error) {
	if resp.Header.Get(encodingHeader) != encodingGzip {
		return io.LimitReader(resp.Body, maxBodyBytes), nil
	}
	z, err := gzip.NewReader(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	return io.LimitReader(z, maxBodyBytes), nil
}

// Client sends requests to peers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}}}
}

// FetchSnapshot implements primacy.Peers.
func (c *Client) FetchSnapshot(ctx context.Context, address string, q primacy.SnapshotQuery) (primacy.StoreSnapshot, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return primacy.StoreSnapshot{}, fmt.Errorf("encode snapshot query: %w", err)
	}
	var s primacy.StoreSnapshot
	if err := c.call(ctx, http.MethodPost, address, PathSnapshot, body, &s); err != nil {
		return primacy.StoreSnapshot{}, err
	}
	if s.Age < 0 || s.Held < 0 || s.ListingAge < 0 {
		return primacy.StoreSnapshot{}, fmt.Errorf("fetch snapshot from peer %s: age %v, hold time %v or listing age %v is negative", address, s.Age, s.Held, s.ListingAge)
	}
	for _, l := range s.Leaving {
		if l.AtMost < 0 {
			return primacy.StoreSnapshot{}, fmt.Errorf("fetch snapshot from peer %s: age %v of leaving database %.64q is negative", address, l.AtMost, l.ID)
		}
	}
	return s, nil
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
	data, err := bodyOf(resp)
	if err == nil {
		err = json.NewDecoder(data).Decode(out)
	}
	if err != nil {
		return fmt.Errorf("decode response of peer %s: %w", address, err)
	}
	return nil
}
