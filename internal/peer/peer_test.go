package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/primacy"
)

// Guards against records or an age that change on the way between instances,
// and against a relay that has nothing to say.
func TestReportRoundTrip(t *testing.T) {
	want := primacy.Report{
		Records:  []primacy.Record{{Service: "ledger", Revision: 7, Token: 2, Phase: primacy.Serving, Primary: "db-1", Term: 3, Excluded: []string{"x"}}},
		Revision: 12, Age: 345 * time.Microsecond,
	}
	known := true
	srv := httptest.NewServer(Handler(func() (primacy.Report, bool) { return want, known }))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	got, err := NewClient().Ask(context.Background(), address)
	if err != nil || got.Revision != 12 || got.Age != want.Age || len(got.Records) != 1 ||
		got.Records[0].Primary != "db-1" || got.Records[0].Token != 2 || got.Records[0].Excluded[0] != "x" {
		t.Errorf("got %+v, %v", got, err)
	}
	known = false
	if _, err := NewClient().Ask(context.Background(), address); err == nil {
		t.Error("an instance that saw nothing answers")
	}
	want.Age, known = -time.Second, true
	if _, err := NewClient().Ask(context.Background(), address); err == nil {
		t.Error("a negative age is accepted")
	}
}
