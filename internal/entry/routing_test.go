package entry

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

// Guards against a stale answer although the primary could prove the age, and
// against a class that accepts marked answers but gets none when nobody can.
func TestStaleIsTheLastResort(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	f.cluster.seen()
	primaryWorks := true
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		if req.GetMarkStale() {
			resp := f.cluster.execute(req)
			resp.Stale = true
			return resp, nil
		}
		if !req.GetWantPrimary() {
			return refusal(req, result.Errorf(result.TooOld, "no proof")), nil
		}
		if primaryWorks {
			return nil, nil
		}
		return refusal(req, result.Errorf(result.Unverified, "no second database")), nil
	}
	const sql = "/* geraniumbeam class=browse */ select 1"
	if got := f.read(conn, sql, pgx.QueryExecModeSimpleProtocol); got != "db-a@2" {
		t.Errorf("read %s", got)
	}
	primaryWorks = false
	if got := f.read(conn, sql, pgx.QueryExecModeSimpleProtocol); got != "db-b@2" || f.countEvents(events.KindStaleRead) != 1 {
		t.Errorf("read %s", got)
	}
	f.read(conn, "show geraniumbeam.class") // the read before is counted then
	if got := f.metrics.Class("huts", "browse"); got.StaleReads.Load() != 1 || got.Served.Load() != 2 {
		t.Error("the stale read was not counted")
	}
}

// Guards against a replica that refuses a write hidden in a read, where the
// primary must get it, and against unsafe settings that do nothing.
func TestReadGoesWhereItMust(t *testing.T) {
	for _, tc := range []struct {
		name   string
		unsafe settings.Unsafe
		sql    string
		want   []string
	}{
		{"hidden write", settings.Unsafe{}, "with x as (insert into huts values (1)) select 1", []string{"i1 db-b", "i2 db-a"}},
		{"always primary", settings.Unsafe{AlwaysPrimary: true}, "select 1", []string{"i2 db-a"}},
		{"request key", settings.Unsafe{}, "/* geraniumbeam key=k */ select 1", []string{"i2 db-a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, func(s *settings.Settings) { s.Unsafe = tc.unsafe })
			conn := f.connect("")
			f.exec(conn, "insert into huts values (1)")
			f.cluster.replicate()
			f.cluster.seen()
			f.exec(conn, tc.sql)
			if got := f.cluster.seen(); !slices.Equal(got, tc.want) {
				t.Errorf("calls %v, want %v", got, tc.want)
			}
		})
	}
	f := start(t, func(s *settings.Settings) { s.Unsafe.NoFloor = true })
	if got := f.read(f.connect(""), "select 1"); got != "db-b@1" {
		t.Errorf("without floors the first read went to %s", got)
	}
}

// Guards against calls that lack what the pool decides by: bounds, floors,
// verification, keys and budgets.
func TestExecuteRequestFields(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	last := func() *wire.ExecuteRequest {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		return f.cluster.calls[len(f.cluster.calls)-1]
	}
	f.exec(conn, "select 1")
	if r := last(); !r.GetVerify() || !r.GetWantPrimary() || r.GetFloor() != nil {
		t.Errorf("first read: %v", r)
	}
	f.exec(conn, "select 1")
	if r := last(); r.GetVerify() || r.GetBound() != wire.ReadBound_READ_BOUND_FLOOR || r.GetFloor().GetOffset() != 1 {
		t.Errorf("the verified position did not become the floor: %v", r)
	}
	f.exec(conn, "/* geraniumbeam class=browse */ select 1")
	if r := last(); r.GetBound() != wire.ReadBound_READ_BOUND_AGE || r.GetMaxAgeMs() != 5000 || r.GetMarkStale() {
		t.Errorf("read with an age: %v", r)
	}
	f.exec(conn, "set geraniumbeam.request_key = 'k1'")
	if _, err := conn.Prepare(context.Background(), "s1", "insert into huts values ($1)"); err != nil {
		t.Fatal(err)
	}
	if r := last(); r.GetRequestKey() != "" {
		t.Errorf("preparing used the key: %v", r)
	}
	f.exec(conn, "s1", "1")
	if r := last(); r.GetRequestKey() != "k1" || fmt.Sprint(r.GetInjectedParses()) != "[0]" || r.GetCallerKey() != "ann" {
		t.Errorf("keyed write: %v", r)
	}
	f.exec(conn, "insert into huts values (1)", pgx.QueryExecModeSimpleProtocol)
	if r := last(); r.GetRequestKey() != "" || r.GetBudgetMs() <= 0 || r.GetBudgetMs() > 60000 {
		t.Errorf("write without a key: %v", r)
	}
}
