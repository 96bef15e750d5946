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

var errConnReset = errors.New("read: connection reset by peer")

// loseAnswers makes matching calls run and then fail without an answer.
func (f *fakeCluster) loseAnswers(match func(address string, req *wire.ExecuteRequest) bool) {
	f.intercept = func(address string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		if !match(address, req) {
			return nil, nil
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.execute(req)
		return nil, errConnReset
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

// Guards against a write with a lost answer that is repeated or reported as not run,
// and against a session floor that stays known after it: a later read must be
// verified on the primary.
func TestLostAnswerOfWrite(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	f.cluster.takeCalls()
	f.cluster.loseAnswers(func(string, *wire.ExecuteRequest) bool { return true })
	pg := f.wantSQLState(conn, "insert into huts values (2)", "08007")
	if !strings.HasPrefix(pg.Message, "GB4001") || !strings.Contains(pg.Detail, "not known") {
		t.Errorf("error %q with detail %q, want GB4001 and an outcome that is not known", pg.Message, pg.Detail)
	}
	if got := f.cluster.takeCalls(); len(got) != 1 {
		t.Errorf("calls %v", got)
	}
	f.cluster.update(func() { f.cluster.intercept = nil })
	if got := f.queryValue(conn, "select 1"); got != "db-a@3" {
		t.Errorf("read after the unknown outcome answered by %s, want db-a@3", got)
	}
	if f.countEvents(events.KindUnknown) != 1 || f.metrics.Values()[0].Unknown != 1 {
		t.Error("the unknown outcome is missing in the events or metrics")
	}
}

// Guards against a lost answer that fails a request although repeating it is safe,
// and against repeating a request where it is not.
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
			f := newFixture(t, func(s *settings.Settings) { s.Unsafe = tc.unsafe })
			conn := f.connect("")
			f.exec(conn, "insert into huts values (1)")
			f.cluster.replicate()
			f.cluster.takeCalls()
			lost := false
			f.cluster.loseAnswers(func(string, *wire.ExecuteRequest) bool {
				first := !lost
				lost = true
				return first
			})
			if tc.state == "" {
				f.exec(conn, tc.sql)
			} else {
				f.wantSQLState(conn, tc.sql, tc.state)
			}
			if got := f.cluster.takeCalls(); len(got) != tc.calls {
				t.Errorf("calls %v, want %d", got, tc.calls)
			}
		})
	}
}

// Guards against a BEGIN that is reported as unknown when its answer is lost and the
// retry budget is spent: it has no effect, so the transaction is reported as rolled
// back.
func TestLostAnswerOfBeginWithoutRetryBudget(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	for f.server.budgets.Class("huts.default").Spend() {
	}
	f.cluster.loseAnswers(func(string, *wire.ExecuteRequest) bool { return true })
	f.wantSQLState(conn, "begin", "40000")
	f.wantSQLState(conn, "begin; insert into huts values (1)", "08007")
}

// Guards against a request that is reported as not run because its last attempt was
// refused, although the first attempt may have run.
func TestRefusalAfterLostAnswerIsUnknown(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	calls := 0
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		if calls++; calls == 1 {
			return nil, errConnReset
		}
		return refusal(req, result.Errorf(result.Overloaded, "queue is full")), nil
	}
	f.wantSQLState(conn, "/* geraniumbeam class=browse */ insert into log values (1)", "08007")
	if calls != 2 {
		t.Errorf("%d calls, want 2", calls)
	}
}

func refusal(req *wire.ExecuteRequest, err error) *wire.ExecuteResponse {
	return &wire.ExecuteResponse{
		RequestId: req.GetRequestId(), TransactionId: req.GetTransactionId(), Sequence: req.GetSequence(),
		Failure: wire.NewFailure(err),
	}
}

// Guards against sending the answer of another request to the caller.
func TestAnswerOfOtherRequestIsDiscarded(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		resp := f.cluster.execute(req)
		resp.RequestId = "another"
		return resp, nil
	}
	f.wantSQLState(conn, "insert into huts values (1)", "08007")
}

// Guards against a failover that fails writes which were not run: a refused write
// must wait for the new primary and then run once.
func TestWriteWaitsForNewPrimary(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.cluster.update(func() { f.cluster.primary = "" })
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
	f.cluster.update(func() { f.cluster.term, f.cluster.primary = 2, "db-c" })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if g, _ := f.directory.Group("g1"); g.Primary != "db-c" || g.Term != 2 {
		t.Errorf("group in the directory %+v, want primary db-c at term 2", g)
	}
	if f.cluster.offsets["db-c"] != 2 {
		t.Errorf("the write ran %d times, want 1", f.cluster.offsets["db-c"]-1)
	}
	if f.countEvents(events.KindRetry) == 0 {
		t.Error("no retry event")
	}
}

// Guards against an unreachable instance that fails reads although another database
// can answer, and against a write to it that is not reported as not run.
func TestUnreachableInstance(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	f.cluster.update(func() { f.cluster.unreachable["i1"] = true })
	if got := f.queryValue(conn, "select 1"); got != "db-c@2" {
		t.Errorf("read answered by %s, want db-c@2", got)
	}
	f.cluster.update(func() { f.cluster.unreachable["i2"], f.cluster.unreachable["i3"] = true, true })
	pg := f.wantSQLState(conn, "/* geraniumbeam class=quick */ insert into huts values (1)", "57P03")
	if pg.Detail != "The request was not run." {
		t.Errorf("detail %q, want that the request was not run", pg.Detail)
	}
}

// Guards against a standby owner that is not used when the active owner is
// unreachable, and against one that is used after the active owner has answered.
func TestStandbyOwner(t *testing.T) {
	f := newFixture(t, nil)
	f.directory.SetLive(append(slices.Clone(f.directory.Live()), ownership.Instance{Name: "i4", Address: "i4", DataCentre: "dc2"}), false)
	g, _ := f.directory.Group("g1")
	owners := f.directory.Owners(g.Databases[0])
	conn := f.connect("")
	f.cluster.update(func() { f.cluster.unreachable[owners[0].Address] = true })
	f.exec(conn, "insert into huts values (1)")
	want := []string{owners[0].Address + " db-a", owners[1].Address + " db-a"}
	if got := f.cluster.takeCalls(); !slices.Equal(got, want) {
		t.Errorf("calls %v, want %v", got, want)
	}
	f.cluster.update(func() {
		f.cluster.unreachable = map[string]bool{}
		f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
			return refusal(req, result.Errorf(result.ConnectionsBusy, "no connection")), nil
		}
	})
	f.wantSQLState(conn, "insert into huts values (1)", "53300")
	if got := f.cluster.takeCalls(); len(got) != 1 {
		t.Errorf("calls %v", got)
	}
}

// Guards against retries that multiply the load while all databases of a group fail:
// the calls must not exceed the requests by more than a tenth and the burst of the
// retry budget. Reads may also try each database until its breaker opens.
func TestRetryLoadInOutage(t *testing.T) {
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
			f := newFixture(t, nil)
			conn := f.connect("")
			f.exec(conn, "insert into huts values (1)")
			f.cluster.replicate()
			f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
				return refusal(req, result.Errorf(tc.code, "%s is unavailable", req.GetDatabase())), nil
			}
			f.cluster.takeCalls()
			const requests = 20
			for range requests {
				f.wantSQLState(conn, "/* geraniumbeam class=quick */ "+tc.sql, "57P03")
			}
			calls := len(f.cluster.takeCalls())
			t.Logf("%d calls for %d requests", calls, requests)
			if calls > requests*11/10+tc.extra {
				t.Errorf("%d calls for %d requests exceed the retry budget", calls, requests)
			}
		})
	}
}

// Guards against sending requests to a database whose queue wait exceeds their
// deadline, against retries of shed requests, and against a wait estimate that is
// never updated because nothing is sent.
func TestShedBeforeSending(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.cluster.load = &wire.Load{Database: "db-a", Ranks: []*wire.RankLoad{{Rank: "urgent", WaitMs: 10_000_000}}}
	f.exec(conn, "insert into huts values (1)")
	f.cluster.takeCalls()
	const sql = "/* geraniumbeam class=quick */ insert into huts values (1)"
	pg := f.wantSQLState(conn, sql, "53300")
	if pg.Hint != "Retry after 10000000 ms." || len(f.cluster.takeCalls()) != 0 || f.countEvents(events.KindShed) != 1 {
		t.Errorf("hint %q, want a retry after 10000000 ms, no call and one event", pg.Hint)
	}
	now := time.Now()
	passed := 0
	for range 10 * probeInterval {
		if _, full := f.server.loads.waitExceeds("db-a", "urgent", time.Second, now); !full {
			passed++
		}
	}
	if passed != 10 {
		t.Errorf("%d probes were let through, want 10", passed)
	}
	if _, full := f.server.loads.waitExceeds("db-a", "urgent", time.Second, now.Add(time.Minute)); full {
		t.Error("a load report that is too old is still used")
	}
	f.cluster.update(func() { f.cluster.load.Ranks[0].WaitMs = 0 })
	f.exec(conn, "insert into huts values (1)")
	f.exec(conn, sql)
}

// Guards against a wrong error when the answer of a statement in a transaction is
// lost: rolled back if no commit was sent, an unknown outcome if one was.
func TestLostAnswerInTransaction(t *testing.T) {
	for _, tc := range []struct{ sql, state string }{
		{"insert into huts values (1)", "40000"},
		{"select 1", "40000"},
		{"commit", "08007"},
		{"insert into huts values (1); commit", "08007"},
	} {
		t.Run(tc.sql, func(t *testing.T) {
			f := newFixture(t, nil)
			conn := f.connect("")
			f.exec(conn, "begin")
			f.cluster.loseAnswers(func(string, *wire.ExecuteRequest) bool { return true })
			f.wantSQLState(conn, tc.sql, tc.state)
			f.cluster.update(func() { f.cluster.intercept = nil })
			f.wantSQLState(conn, "select 1", "40000")
			f.exec(conn, "rollback")
			f.exec(conn, "insert into huts values (2)")
			f.eventually("EndTransaction", func() bool {
				f.cluster.mu.Lock()
				defer f.cluster.mu.Unlock()
				return slices.Equal(f.cluster.endedTransactions, []string{"tx-1"})
			})
		})
	}
}
