package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/topology"
)

type fakeResponder struct {
	snapshot func(primacy.SnapshotQuery) (primacy.StoreSnapshot, bool)
	vote     func(primacy.Record) primacy.Vote
}

func (f fakeResponder) Snapshot(_ context.Context, q primacy.SnapshotQuery) (primacy.StoreSnapshot, bool) {
	return f.snapshot(q)
}
func (f fakeResponder) Vote(r primacy.Record) primacy.Vote { return f.vote(r) }

// Guards against encoding a record or a vote incompletely, and against accepting an
// empty record.
func TestVoteRoundTrip(t *testing.T) {
	var received primacy.Record
	want := primacy.Vote{Incarnation: "a#1", Suspects: true, Stopped: 4}
	srv := httptest.NewServer(Handler(fakeResponder{vote: func(r primacy.Record) primacy.Vote { received = r; return want }}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	rec := primacy.Record{Service: "ledger", Revision: revision.Revision{Era: 2, Number: 7}, Token: 4, Phase: primacy.Replacing, Primary: "db-1", Term: 3, Excluded: []string{"x"}}
	got, err := NewClient().Vote(context.Background(), address, rec)
	if err != nil || got != want || !reflect.DeepEqual(received, rec) {
		t.Errorf("got %+v, %v; received %+v", got, err, received)
	}
	if _, err := NewClient().Vote(context.Background(), address, primacy.Record{}); err == nil {
		t.Error("an empty record is accepted")
	}
}

// Guards against encoding a query, records, a listing or an age incompletely, and
// against accepting a response without a snapshot or with a negative age.
func TestSnapshotRoundTrip(t *testing.T) {
	want := primacy.StoreSnapshot{
		Records:  []primacy.Record{{Service: "ledger", Revision: revision.Revision{Era: 2, Number: 7}, Token: 2, Phase: primacy.Serving, Primary: "db-1", Term: 3, Excluded: []string{"x"}}},
		Revision: revision.Revision{Era: 2, Number: 12}, Age: 345 * time.Microsecond, Held: 2 * time.Millisecond, Process: "a#1", Sequence: 4, RecordsVersion: 5,
		Listing: &topology.Listing{
			Configuration: topology.Configuration{
				Version: 3, Routes: map[string]topology.Route{"browse": {Database: "browse", Service: "ledger", Consistency: topology.BoundedAge, Timeout: time.Second}},
				Services: map[string]topology.Service{"ledger": {Name: "ledger", MaxConnections: 16}},
			},
			Databases:             []topology.Database{{ID: "db-1", Service: "ledger", Address: "h:1", Leaving: true, Primary: true, StartMillis: 77}},
			ConfigurationRevision: revision.Revision{Era: 2, Number: 11}, DatabasesRevision: revision.Revision{Era: 2, Number: 12}, Content: 1<<63 + 1,
		},
		ListingAge: time.Second,
	}
	query := primacy.SnapshotQuery{Process: "a#1", After: 3, Records: 4, Content: 1 << 62, Wait: time.Second}
	known := true
	var received primacy.SnapshotQuery
	srv := httptest.NewServer(Handler(fakeResponder{snapshot: func(q primacy.SnapshotQuery) (primacy.StoreSnapshot, bool) {
		received = q
		return want, known
	}}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	got, err := NewClient().FetchSnapshot(context.Background(), address, query)
	if err != nil || !reflect.DeepEqual(got, want) || received != query {
		t.Errorf("got %+v, %v; received %+v", got, err, received)
	}
	known = false
	if _, err := NewClient().FetchSnapshot(context.Background(), address, query); err == nil {
		t.Error("an instance without a snapshot returns one")
	}
	known = true
	for _, field := range []*time.Duration{&want.Age, &want.Held, &want.ListingAge} {
		*field = -time.Second
		if _, err := NewClient().FetchSnapshot(context.Background(), address, query); err == nil {
			t.Error("a negative time is accepted")
		}
		*field = 0
	}
}

// Guards against a configuration of 290 KB that occupies the links of small instances,
// against one that changes on its way, and against compressed responses where no
// organisations are, which earlier releases don't understand.
func TestSnapshotWithOrganisationsIsCompressed(t *testing.T) {
	listing := &topology.Listing{Configuration: topology.Configuration{Version: 3, Routes: make(map[string]topology.Route)}}
	for i := range 1400 {
		name := fmt.Sprint("database-", i)
		listing.Configuration.Routes[name] = topology.Route{Database: name, Service: "ledger", Timeout: time.Second, Public: i == 0}
	}
	want := primacy.StoreSnapshot{Listing: listing, Process: "a#1"}
	srv := httptest.NewServer(Handler(fakeResponder{snapshot: func(primacy.SnapshotQuery) (primacy.StoreSnapshot, bool) { return want, true }}))
	defer srv.Close()
	sizes := make(map[bool]int)
	for _, compressed := range []bool{false, true} {
		if compressed {
			listing.Configuration.Organisations = []organisation.Organisation{{Name: "acme", Keys: []organisation.Digest{organisation.DigestOf("k")}, Rate: 2.5, Limited: true}}
		}
		got, err := NewClient().FetchSnapshot(t.Context(), strings.TrimPrefix(srv.URL, "http://"), primacy.SnapshotQuery{Full: true})
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("compressed %v: error %v, or another snapshot", compressed, err)
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+PathSnapshot, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		if err != nil || (resp.Header.Get(encodingHeader) == encodingGzip) != compressed {
			t.Errorf("encoding %q, error %v, want compressed: %v", resp.Header.Get(encodingHeader), err, compressed)
		}
		_ = resp.Body.Close() // was read
		sizes[compressed] = len(data)
	}
	if sizes[true] > sizes[false]/4 {
		t.Errorf("%d bytes are compressed to %d", sizes[false], sizes[true])
	}
}
