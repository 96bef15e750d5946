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

// Guards against an answer that is marked as stale although the primary could prove
// the age of its data, and against a read that fails when no database can prove it
// although the class accepts marked answers.
func TestStaleAnswerOnlyWithoutProofOfAge(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	f.cluster.takeCalls()
	primaryWorks := true
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		if req.GetMarkStale() {
			resp := f.cluster.execute(req)
			resp.Stale = true
			return resp, nil
		}
		if !req.GetWantPrimary() {
			return refusal(req, result.Errorf(result.TooOld, "no proof of the age")), nil
		}
		if primaryWorks {
			return nil, nil
		}
		return refusal(req, result.Errorf(result.Unverified, "no second database")), nil
	}
	const sql = "/* geraniumbeam class=browse */ select 1"
	if got := f.queryValue(conn, sql, pgx.QueryExecModeSimpleProtocol); got != "db-a@2" {
		t.Errorf("read with a working primary answered by %s, want db-a@2", got)
	}
	primaryWorks = false
	if got := f.queryValue(conn, sql, pgx.QueryExecModeSimpleProtocol); got != "db-b@2" || f.countEvents(events.KindStaleRead) != 1 {
		t.Errorf("read without proof of the age answered by %s, want db-b@2 and one event", got)
	}
	f.queryValue(conn, "show geraniumbeam.class") // when this is answered, the previous read has been counted
	if got := f.metrics.Class("huts", "browse"); got.StaleReads.Load() != 1 || got.Served.Load() != 2 {
		t.Error("the stale read was not counted")
	}
}

// Guards against a statement that looks like a read but writes and is not sent to
// the primary after a replica refused it, and against unsafe settings without
// effect.
func TestReadNeedsPrimary(t *testing.T) {
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
			f := newFixture(t, func(s *settings.Settings) { s.Unsafe = tc.unsafe })
			conn := f.connect("")
			f.exec(conn, "insert into huts values (1)")
			f.cluster.replicate()
			f.cluster.takeCalls()
			f.exec(conn, tc.sql)
			if got := f.cluster.takeCalls(); !slices.Equal(got, tc.want) {
				t.Errorf("calls %v, want %v", got, tc.want)
			}
		})
	}
	f := newFixture(t, func(s *settings.Settings) { s.Unsafe.NoFloor = true })
	if got := f.queryValue(f.connect(""), "select 1"); got != "db-b@1" {
		t.Errorf("without floors the first read was answered by %s, want db-b@1", got)
	}
}

// Guards against calls without the fields that the pool needs for its decisions:
// bound, floor, verification, request key and time budget.
func TestExecuteRequestFields(t *testing.T) {
	f := newFixture(t, nil)
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
		t.Errorf("read with a maximum age: %v", r)
	}
	f.exec(conn, "set geraniumbeam.request_key = 'k1'")
	if _, err := conn.Prepare(context.Background(), "s1", "insert into huts values ($1)"); err != nil {
		t.Fatal(err)
	}
	if r := last(); r.GetRequestKey() != "" {
		t.Errorf("Parse without Execute used the request key: %v", r)
	}
	f.exec(conn, "s1", "1")
	if r := last(); r.GetRequestKey() != "k1" || fmt.Sprint(r.GetInjectedParses()) != "[0]" || r.GetCallerKey() != "ann" {
		t.Errorf("write with a request key: %v", r)
	}
	f.exec(conn, "insert into huts values (1)", pgx.QueryExecModeSimpleProtocol)
	if r := last(); r.GetRequestKey() != "" || r.GetBudgetMs() <= 0 || r.GetBudgetMs() > 60000 {
		t.Errorf("write without a request key: %v", r)
	}
}
