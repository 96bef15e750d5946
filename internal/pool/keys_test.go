package pool

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/standin/database"
	"geraniumbeam/internal/wire"
)

// newStandInCluster returns a cluster of stand-in databases that are accessed with
// the PostgreSQL adapter. It has a table huts(id, holder).
func newStandInCluster(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	peers := make(map[string]string)
	listeners := make(map[string]net.Listener)
	for _, name := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name], peers[name] = l, l.Addr().String()
	}
	for name, l := range listeners {
		s := database.New(database.Config{Name: name, Peers: peers, Primary: "a", Term: 3, Log: zerolog.Nop()})
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		t.Cleanup(func() {
			s.Close()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	o.open = func(d platform.Database) backend.Database {
		return backend.NewPostgres(backend.Config{Address: peers[d.Name], User: "proxy", DatabaseName: "g"})
	}
	cl := newCluster(t, o)
	cl.addresses = peers
	cl.wantResult("create table", cl.run("CREATE TABLE huts (id bigint PRIMARY KEY, holder text)", nil), 0, 0)
	return cl
}

func withKey(key string) func(*wire.ExecuteRequest) {
	return func(r *wire.ExecuteRequest) { r.RequestKey = key }
}

func (cl *cluster) huts() string {
	cl.t.Helper()
	resp := cl.run("SELECT count(*) FROM huts", func(r *wire.ExecuteRequest) { r.Verify = true })
	for kind, body := range protocolMessages(resp.GetAnswer()) {
		if kind == 'D' {
			return string(body[6:])
		}
	}
	cl.t.Fatalf("no row in %v", resp)
	return ""
}

// Guards against a keyed request that runs twice, or whose repetition gets a
// different answer from the first run.
func TestRequestKeyReplay(t *testing.T) {
	cl := newStandInCluster(t, clusterOptions{})
	insert := "INSERT INTO huts VALUES (1, 'O''Neil') RETURNING holder"
	first := cl.run(insert, withKey("k'1"))
	cl.wantResult("first", first, 0, 0)
	if first.GetReplayed() || !first.GetWrote() || first.GetTransactionStatus() != statusIdle {
		t.Errorf("first = %v", first)
	}
	again := cl.run(insert, withKey("k'1"))
	cl.wantResult("repeat", again, 0, 0)
	if !again.GetReplayed() || !again.GetWrote() || !bytes.Equal(first.GetAnswer(), again.GetAnswer()) {
		t.Errorf("repeat = %v, first %v", again, first)
	}
	cl.wantResult("other class", cl.run(insert, func(r *wire.ExecuteRequest) { r.RequestKey, r.Class = "k'1", "other" }), result.KeyReused, result.RanNo)
	if n := cl.huts(); n != "1" {
		t.Errorf("%s huts, want 1", n)
	}
}

// Guards against a failed run that keeps its key, so that a corrected request with
// the same key does not run.
func TestFailedRunReleasesRequestKey(t *testing.T) {
	cl := newStandInCluster(t, clusterOptions{})
	cl.wantResult("insert", cl.run("INSERT INTO huts VALUES (1, 'a')", nil), 0, 0)
	failed := cl.run("INSERT INTO huts VALUES (1, 'b')", withKey("k"))
	cl.wantResult("duplicate hut", failed, 0, 0) // the answer contains the database's error
	if failed.GetTransactionStatus() != statusIdle || failed.GetAnswer()[len(failed.GetAnswer())-1] != statusIdle {
		t.Errorf("failed = %v", failed)
	}
	cl.wantResult("corrected", cl.run("INSERT INTO huts VALUES (2, 'b')", withKey("k")), 0, 0)
	if n := cl.huts(); n != "2" {
		t.Errorf("%s huts, want 2", n)
	}
}

// Guards against concurrent requests with the same key that run more than once.
func TestRequestKeyConcurrent(t *testing.T) {
	cl := newStandInCluster(t, clusterOptions{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ran, replayed := 0, 0
	for range 8 {
		r := cl.request("INSERT INTO huts SELECT count(*), 'x' FROM huts", withKey("k"))
		wg.Go(func() {
			resp := cl.send(r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.GetReplayed():
				replayed++
			case resp.GetFailure() == nil:
				ran++
			case result.Code(resp.GetFailure().GetCode()) != result.KeyInUse:
				t.Errorf("failure %v", resp.GetFailure())
			}
		})
	}
	wg.Wait()
	if n := cl.huts(); ran != 1 || n != "1" {
		t.Errorf("%d ran, %d were replayed, %s huts; want 1 run", ran, replayed, n)
	}
}

// Guards against a request key being accepted where the pool cannot ensure that
// the request runs once.
func TestRequestKeyRefusals(t *testing.T) {
	cl := newStandInCluster(t, clusterOptions{})
	cl.wantResult("key with begin", cl.run("BEGIN", withKey("k")), result.NotSupported, result.RanNo)
	cl.wantResult("key in a new transaction", cl.run("BEGIN", func(r *wire.ExecuteRequest) { r.RequestKey, r.TransactionId = "k", "e-1" }), result.NotSupported, result.RanNo)
	id := cl.run("BEGIN", nil).GetTransactionId()
	cl.wantResult("key in an open transaction", cl.run("SELECT 1", func(r *wire.ExecuteRequest) { inTransaction(id, 2)(r); r.RequestKey = "k" }), result.NotSupported, result.RanNo)
	cl.wantResult("transaction goes on", cl.run("COMMIT", inTransaction(id, 2)), 0, 0)
	cl.wantResult("long key", cl.run("SELECT 1", withKey(strings.Repeat("k", maxKeyBytes+1))), result.BadParameter, result.RanNo)
	cl.wantResult("replica", cl.run("SELECT 1", func(r *wire.ExecuteRequest) { r.RequestKey, r.WantPrimary = "k", false }), result.NotSupported, result.RanNo)
}

// Guards against an unsafe setting without effect.
func TestNoRequestKeysSetting(t *testing.T) {
	o := clusterOptions{}
	o.unsafe.NoRequestKeys = true
	cl := newStandInCluster(t, o)
	for range 2 {
		cl.wantResult("insert", cl.run("INSERT INTO huts SELECT count(*), 'x' FROM huts", withKey("k")), 0, 0)
	}
	if n := cl.huts(); n != "2" {
		t.Errorf("%s huts, want 2", n)
	}
}

// Guards against keys that are never removed, and against the removal of a key
// within its lifetime.
func TestExpiredKeysAreRemoved(t *testing.T) {
	cl := newStandInCluster(t, clusterOptions{})
	insert := "INSERT INTO huts SELECT count(*), 'x' FROM huts"
	cl.wantResult("insert", cl.run(insert, withKey("k")), 0, 0)
	d := cl.p.database("a")
	d.removeExpiredKeys(time.Now().Add(59 * time.Minute)) // the class keeps keys for an hour
	if resp := cl.run(insert, withKey("k")); !resp.GetReplayed() {
		t.Errorf("within the lifetime: %v", resp)
	}
	d.removeExpiredKeys(time.Now().Add(61 * time.Minute))
	if resp := cl.run(insert, withKey("k")); resp.GetReplayed() || resp.GetFailure() != nil {
		t.Errorf("after the lifetime: %v", resp)
	}
}

// hookConn calls before with the number of each batch before it runs it.
type hookConn struct {
	backend.Conn
	runs   int
	before func(run int)
}

func (c *hookConn) Run(ctx context.Context, b backend.Batch, after bool, limit int, sent func()) (backend.Answer, error) {
	c.runs++
	c.before(c.runs)
	return c.Conn.Run(ctx, b, after, limit, sent)
}

// Guards against an answer, a write or an unknown outcome when the primary is
// replaced between the steps of a keyed request: step 2 is the batch itself, step
// 3 stores the answer and commits.
func TestRequestKeyWhenPrimaryIsReplaced(t *testing.T) {
	for _, at := range []int{2, 3} {
		cl := newStandInCluster(t, clusterOptions{})
		d := cl.p.database("a")
		conn, err := d.backend.Connect(d.ctx)
		if err != nil {
			t.Fatal(err)
		}
		hook := &hookConn{Conn: conn, before: func(run int) {
			if run != at {
				return
			}
			c, err := d.backend.ConnectControl(d.ctx)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := c.Raise(d.ctx, 4); err != nil {
				t.Error(err)
			}
			if _, err := c.Promote(d.ctx, 4); err != nil {
				t.Error(err)
			}
		}}
		d.conns.mu.Lock()
		d.conns.idle = append(d.conns.idle, idleConn{conn: hook}) // taken first
		d.conns.numConns++
		d.conns.mu.Unlock()
		resp := cl.run("INSERT INTO huts VALUES (1, 'x')", withKey("k"))
		if resp.GetFailure().GetRan() != wire.Ran_RAN_NO || resp.GetFailure() == nil || hook.runs < at {
			t.Errorf("term changed before batch %d: %v after %d batches", at, resp, hook.runs)
		}
		if s, err := d.prober.status(d.ctx); err != nil || s.Last != (backend.Position{Term: 4, Offset: 3}) {
			t.Errorf("the log ends at %v, err %v: want the first entry, the table and the promotion", s.Last, err)
		}
	}
}
