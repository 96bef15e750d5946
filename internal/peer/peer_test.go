package peer

import (
	"context"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/primacy"
)

type fakeResponder struct {
	snapshot func() (primacy.StoreSnapshot, bool)
	vote     func(primacy.Record) primacy.Vote
}

func (f fakeResponder) StoreSnapshot() (primacy.StoreSnapshot, bool) { return f.snapshot() }
func (f fakeResponder) Vote(r primacy.Record) primacy.Vote           { return f.vote(r) }

// Guards against encoding a record or a vote incompletely, and against accepting an
// empty record.
func TestVoteRoundTrip(t *testing.T) {
	var received primacy.Record
	want := primacy.Vote{Incarnation: "a#1", Suspects: true, Stopped: 4}
	srv := httptest.NewServer(Handler(fakeResponder{vote: func(r primacy.Record) primacy.Vote { received = r; return want }}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	rec := primacy.Record{Service: "ledger", Revision: 7, Token: 4, Phase: primacy.Replacing, Primary: "db-1", Term: 3, Excluded: []string{"x"}}
	got, err := NewClient().Vote(context.Background(), address, rec)
	if err != nil || got != want || !reflect.DeepEqual(received, rec) {
		t.Errorf("got %+v, %v; received %+v", got, err, received)
	}
	if _, err := NewClient().Vote(context.Background(), address, primacy.Record{}); err == nil {
		t.Error("an empty record is accepted")
	}
}

// Guards against encoding records or their age incompletely, and against accepting
// a response without a snapshot or with a negative age.
func TestSnapshotRoundTrip(t *testing.T) {
	want := primacy.StoreSnapshot{
		Records:  []primacy.Record{{Service: "ledger", Revision: 7, Token: 2, Phase: primacy.Serving, Primary: "db-1", Term: 3, Excluded: []string{"x"}}},
		Revision: 12, Age: 345 * time.Microsecond,
	}
	known := true
	srv := httptest.NewServer(Handler(fakeResponder{snapshot: func() (primacy.StoreSnapshot, bool) { return want, known }}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	got, err := NewClient().FetchSnapshot(context.Background(), address)
	if err != nil || got.Revision != 12 || got.Age != want.Age || len(got.Records) != 1 ||
		got.Records[0].Primary != "db-1" || got.Records[0].Token != 2 || got.Records[0].Excluded[0] != "x" {
		t.Errorf("got %+v, %v", got, err)
	}
	known = false
	if _, err := NewClient().FetchSnapshot(context.Background(), address); err == nil {
		t.Error("an instance without a snapshot returns one")
	}
	want.Age, known = -time.Second, true
	if _, err := NewClient().FetchSnapshot(context.Background(), address); err == nil {
		t.Error("a negative age is accepted")
	}
}
