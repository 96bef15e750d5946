package peer

import (
	"context"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

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
