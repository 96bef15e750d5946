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

type fakeRunner struct {
	report func() (primacy.StoreSnapshot, bool)
	vote   func(primacy.Record) primacy.Vote
}

func (f fakeRunner) StoreSnapshot() (primacy.StoreSnapshot, bool) { return f.report() }
func (f fakeRunner) Vote(r primacy.Record) primacy.Vote           { return f.vote(r) }

// Guards against a record or a vote that changes on the way, and against a body
// that is taken for a record.
func TestVoteRoundTrip(t *testing.T) {
	var told primacy.Record
	want := primacy.Vote{Incarnation: "a#1", Suspects: true, Stopped: 4}
	srv := httptest.NewServer(Handler(fakeRunner{vote: func(r primacy.Record) primacy.Vote { told = r; return want }}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	rec := primacy.Record{Service: "ledger", Revision: 7, Token: 4, Phase: primacy.Replacing, Primary: "db-1", Term: 3, Excluded: []string{"x"}}
	got, err := NewClient().Vote(context.Background(), address, rec)
	if err != nil || got != want || !reflect.DeepEqual(told, rec) {
		t.Errorf("got %+v, %v; told %+v", got, err, told)
	}
	if _, err := NewClient().Vote(context.Background(), address, primacy.Record{}); err == nil {
		t.Error("an empty record is accepted")
	}
}

// Guards against records or an age that change on the way between instances,
// and against a relay that has nothing to say.
func TestReportRoundTrip(t *testing.T) {
	want := primacy.StoreSnapshot{
		Records:  []primacy.Record{{Service: "ledger", Revision: 7, Token: 2, Phase: primacy.Serving, Primary: "db-1", Term: 3, Excluded: []string{"x"}}},
		Revision: 12, Age: 345 * time.Microsecond,
	}
	known := true
	srv := httptest.NewServer(Handler(fakeRunner{report: func() (primacy.StoreSnapshot, bool) { return want, known }}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	got, err := NewClient().FetchSnapshot(context.Background(), address)
	if err != nil || got.Revision != 12 || got.Age != want.Age || len(got.Records) != 1 ||
		got.Records[0].Primary != "db-1" || got.Records[0].Token != 2 || got.Records[0].Excluded[0] != "x" {
		t.Errorf("got %+v, %v", got, err)
	}
	known = false
	if _, err := NewClient().FetchSnapshot(context.Background(), address); err == nil {
		t.Error("an instance that saw nothing answers")
	}
	want.Age, known = -time.Second, true
	if _, err := NewClient().FetchSnapshot(context.Background(), address); err == nil {
		t.Error("a negative age is accepted")
	}
}
