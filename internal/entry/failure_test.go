package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/retry"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

var errReset = errors.New("read: connection reset by peer")

// lose runs matching calls and loses their answers.
func (f *fakeCluster) lose(match func(address string, req *wire.ExecuteRequest) bool) {
	f.intercept = func(address string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		if !match(address, req) {
			return nil, nil
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.execute(req)
		return nil, errReset
	}
}

// countEvents counts the recorded events of a kind.
func (f *fixture) countEvents(kind events.Kind) int {
	n := 0
	for _, e := range f.events.Find("", "", 0) {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a write that runs twice or is called not run after its answer
// was lost, and against a floor that survives it.
func TestLostAnswerOfWrite(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	f.cluster.seen()
	f.cluster.lose(func(string, *wire.ExecuteRequest) bool { return true })
	pg := f.wantState(conn, "insert into huts values (2)", "08007")
	if !strings.HasPrefix(pg.Message, "GB4001") || !strings.Contains(pg.Detail, "not known") {
		t.Errorf("error %q, %q", pg.Message, pg.Detail)
	}
	if got := f.cluster.seen(); len(got) != 1 {
		t.Errorf("calls %v", got)
	}
	f.cluster.set(func() { f.cluster.intercept = nil })
	if got := f.read(conn, "select 1"); got != "db-a@3" {
		t.Errorf("read after the unknown outcome: %s", got)
	}
	if f.countEvents(events.KindUnknown) != 1 || f.metrics.Values()[0].Unknown != 1 {
		t.Error("unknown outcome was not counted")
	}
}

// Guards against requests that are given up although repeating them is safe,
// and against repeating those where it is not.
func TestLostAnswerIsRepeatedOnlyIfSafe(t *testing.T) {
	for _, tc := range []struct {
		name, sql string
		unsafe    settings.Unsafe
		calls     int
		state     string
	}{
		{"replica read without a way to write", "select 1", settings.Unsafe{}, 2, ""},
		{"replica read that calls an unknown function", "select adjust_fee(1)", settings.Unsafe{}, 1, "08007"},
		{"repeatable class", "/* geraniumbeam class=browse */ insert into log values (1)", settings.Unsafe{}, 2, ""},
		{"begin", "begin", settings.Unsafe{}, 2, ""},
		{"write", "update fees set amount = amount + 1", settings.Unsafe{}, 1, "08007"},
		{"write with retry_after_send", "update fees set amount = amount + 1", settings.Unsafe{RetryAfterSend: true}, 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, func(s *settings.Settings) { s.Unsafe = tc.unsafe })
			conn := f.connect("")
			f.exec(conn, "insert into huts values (1)")
			f.cluster.replicate()
			f.cluster.seen()
			lost := false
			f.cluster.lose(func(string, *wire.ExecuteRequest) bool {
				first := !lost
				lost = true
				return first
			})
			if tc.state == "" {
				f.exec(conn, tc.sql)
			} else {
				f.wantState(conn, tc.sql, tc.state)
			}
			if got := f.cluster.seen(); len(got) != tc.calls {
				t.Errorf("calls %v, want %d", got, tc.calls)
			}
		})
	}
}

// Guards against an unknown outcome of a BEGIN, which leaves nothing behind.
func TestLostBeginWithoutBudget(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	for f.server.budgets.Class("huts.default").Spend() {
	}
	f.cluster.lose(func(string, *wire.ExecuteRequest) bool { return true })
	f.wantState(conn, "begin", "40000")
	f.wantState(conn, "begin; insert into huts values (1)", "08007")
}

// Guards against "not run" for a repeated request whose first attempt may have
// run.
func TestRefusalAfterLostAnswerIsUnknown(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	calls := 0
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		if calls++; calls == 1 {
			return nil, errReset
		}
		return refusal(req, result.Errorf(result.Overloaded, "queue is full")), nil
	}
	f.wantState(conn, "/* geraniumbeam class=browse */ insert into log values (1)", "08007")
	if calls != 2 {
		t.Errorf("%d calls", calls)
	}
}

func refusal(req *wire.ExecuteRequest, err error) *wire.ExecuteResponse {
	return &wire.ExecuteResponse{
		RequestId: req.GetRequestId(), TransactionId: req.GetTransactionId(), Sequence: req.GetSequence(),
		Failure: wire.NewFailure(err),
	}
}

// Guards against an answer of another request that is given to the caller.
func TestForeignAnswerIsDiscarded(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		resp := f.cluster.execute(req)
		resp.RequestId = "another"
		return resp, nil
	}
	f.wantState(conn, "insert into huts values (1)", "08007")
}

// Guards against a failover that callers notice although their writes were not
// run: refused writes wait for the new primary and then run once.
func TestWriteWaitsForNewPrimary(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.cluster.set(func() { f.cluster.primary = "" })
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "insert into huts values (1)")
		done <- err
	}()
	f.eventually("the first refusal", func() bool {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		return len(f.cluster.calls) > 0
	})
	f.cluster.set(func() { f.cluster.term, f.cluster.primary = 2, "db-c" })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if g, _ := f.dir.Group("g1"); g.Primary != "db-c" || g.Term != 2 {
		t.Errorf("learned %+v", g)
	}
	if f.cluster.offsets["db-c"] != 2 {
		t.Errorf("the write ran %d times", f.cluster.offsets["db-c"]-1)
	}
	if f.countEvents(events.KindRetry) == 0 {
		t.Error("no retry event")
	}
}

// Guards against a dead instance that stops reads although another database
// could answer, and against a refused write that is not called not run.
func TestDeadInstance(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	f.cluster.set(func() { f.cluster.down["i1"] = true })
	if got := f.read(conn, "select 1"); got != "db-c@2" {
		t.Errorf("read %s", got)
	}
	f.cluster.set(func() { f.cluster.down["i2"], f.cluster.down["i3"] = true, true })
	pg := f.wantState(conn, "/* geraniumbeam class=quick */ insert into huts values (1)", "57P03")
	if pg.Detail != "The request was not run." {
		t.Errorf("detail %q", pg.Detail)
	}
}

// Guards against a standby owner that is not used when the active one cannot be
// reached, or that is used although the active one answered.
func TestStandbyOwner(t *testing.T) {
	f := start(t, nil)
	f.dir.SetLive(append(slices.Clone(f.dir.Live()), ownership.Instance{Name: "i4", Address: "i4", DataCentre: "dc2"}), false)
	g, _ := f.dir.Group("g1")
	owners := f.dir.Owners(g.Databases[0])
	conn := f.connect("")
	f.cluster.set(func() { f.cluster.down[owners[0].Address] = true })
	f.exec(conn, "insert into huts values (1)")
	want := []string{owners[0].Address + " db-a", owners[1].Address + " db-a"}
	if got := f.cluster.seen(); !slices.Equal(got, want) {
		t.Errorf("calls %v, want %v", got, want)
	}
	f.cluster.set(func() {
		f.cluster.down = map[string]bool{}
		f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
			return refusal(req, result.Errorf(result.ConnectionsBusy, "no connection")), nil
		}
	})
	f.wantState(conn, "insert into huts values (1)", "53300")
	if got := f.cluster.seen(); len(got) != 1 {
		t.Errorf("calls %v", got)
	}
}

// Guards against retries that multiply the load when a whole group is out: the
// calls stay within the requests plus a tenth and the burst. Reads may also try
// each database until it is avoided.
func TestAmplificationInOutage(t *testing.T) {
	for _, tc := range []struct {
		code  result.Code
		sql   string
		extra int
	}{
		{result.Unverified, "insert into huts values (1)", retry.Burst},
		{result.DatabaseDown, "insert into huts values (1)", retry.Burst},
		{result.DatabaseDown, "select 1", retry.Burst + 3*databaseFailureThreshold},
	} {
		t.Run(tc.code.String()+" "+tc.sql, func(t *testing.T) {
			f := start(t, nil)
			conn := f.connect("")
			f.exec(conn, "insert into huts values (1)")
			f.cluster.replicate()
			f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
				return refusal(req, result.Errorf(tc.code, "%s is out", req.GetDatabase())), nil
			}
			f.cluster.seen()
			const requests = 20
			for range requests {
				f.wantState(conn, "/* geraniumbeam class=quick */ "+tc.sql, "57P03")
			}
			calls := len(f.cluster.seen())
			t.Logf("%d calls for %d requests", calls, requests)
			if calls > requests*11/10+tc.extra {
				t.Errorf("%d calls for %d requests", calls, requests)
			}
		})
	}
}

// Guards against requests that are sent to a database whose queue they cannot
// pass in time, against retries of what was shed, and against an estimate that
// never recovers because nothing is sent any more.
func TestShedBeforeTheHop(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.cluster.load = &wire.Load{Database: "db-a", Ranks: []*wire.RankLoad{{Rank: "urgent", WaitMs: 10_000_000}}}
	f.exec(conn, "insert into huts values (1)")
	f.cluster.seen()
	const sql = "/* geraniumbeam class=quick */ insert into huts values (1)"
	pg := f.wantState(conn, sql, "53300")
	if pg.Hint != "Retry after 10000000 ms." || len(f.cluster.seen()) != 0 || f.countEvents(events.KindShed) != 1 {
		t.Errorf("hint %q", pg.Hint)
	}
	now := time.Now()
	passed := 0
	for range 10 * probeInterval {
		if _, full := f.server.loads.waitExceeds("db-a", "urgent", time.Second, now); !full {
			passed++
		}
	}
	if passed != 10 {
		t.Errorf("%d probes passed", passed)
	}
	if _, full := f.server.loads.waitExceeds("db-a", "urgent", time.Second, now.Add(time.Minute)); full {
		t.Error("an old estimate still counts")
	}
	f.cluster.set(func() { f.cluster.load.Ranks[0].WaitMs = 0 })
	f.exec(conn, "insert into huts values (1)")
	f.exec(conn, sql)
}

// Guards against a transaction whose lost statement is answered wrongly: rolled
// back if no commit was sent, unknown if one was.
func TestLostAnswerInTransaction(t *testing.T) {
	for _, tc := range []struct{ sql, state string }{
		{"insert into huts values (1)", "40000"},
		{"select 1", "40000"},
		{"commit", "08007"},
		{"insert into huts values (1); commit", "08007"},
	} {
		t.Run(tc.sql, func(t *testing.T) {
			f := start(t, nil)
			conn := f.connect("")
			f.exec(conn, "begin")
			f.cluster.lose(func(string, *wire.ExecuteRequest) bool { return true })
			f.wantState(conn, tc.sql, tc.state)
			f.cluster.set(func() { f.cluster.intercept = nil })
			f.wantState(conn, "select 1", "40000")
			f.exec(conn, "rollback")
			f.exec(conn, "insert into huts values (2)")
			f.eventually("EndTransaction", func() bool {
				f.cluster.mu.Lock()
				defer f.cluster.mu.Unlock()
				return slices.Equal(f.cluster.ended, []string{"tx-1"})
			})
		})
	}
}
