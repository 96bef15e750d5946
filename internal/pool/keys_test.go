package pool

import (
	"bytes"
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

// newStandInCluster is a cluster of stand-in databases over the real adapter,
// with a table huts(id, holder).
func newStandInCluster(t testing.TB, o option) *cluster {
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
		return backend.NewPostgres(backend.Config{Address: peers[d.Name], User: "proxy", Name: "g"})
	}
	cl := newCluster(t, o)
	cl.addresses = peers
	cl.want("create table", cl.run("CREATE TABLE huts (id bigint PRIMARY KEY, holder text)", nil), 0, 0)
	return cl
}

func keyed(key string) func(*wire.ExecuteRequest) {
	return func(r *wire.ExecuteRequest) { r.RequestKey = key }
}

func (cl *cluster) huts() string {
	cl.t.Helper()
	resp := cl.run("SELECT count(*) FROM huts", func(r *wire.ExecuteRequest) { r.Verify = true })
	for kind, body := range frames(resp.GetAnswer()) {
		if kind == 'D' {
			return string(body[6:])
		}
	}
	cl.t.Fatalf("no row in %v", resp)
	return ""
}

// Guards against a request with a key that runs twice, or whose repeat gets
// another answer than the first run.
func TestRequestKeyReplay(t *testing.T) {
	cl := newStandInCluster(t, option{})
	insert := "INSERT INTO huts VALUES (1, 'O''Neil') RETURNING holder"
	first := cl.run(insert, keyed("k'1"))
	cl.want("first", first, 0, 0)
	if first.GetReplayed() || !first.GetWrote() || first.GetTransactionStatus() != statusIdle {
		t.Errorf("first = %v", first)
	}
	again := cl.run(insert, keyed("k'1"))
	cl.want("repeat", again, 0, 0)
	if !again.GetReplayed() || !again.GetWrote() || !bytes.Equal(first.GetAnswer(), again.GetAnswer()) {
		t.Errorf("repeat = %v, first %v", again, first)
	}
	cl.want("other class", cl.run(insert, func(r *wire.ExecuteRequest) { r.RequestKey, r.Class = "k'1", "other" }), result.KeyReused, result.RanNo)
	if n := cl.huts(); n != "1" {
		t.Errorf("%s huts, want 1", n)
	}
}

// Guards against a failed run that keeps its key, so that the repeat finds an
// error instead of running.
func TestRequestKeyOfFailedRunIsFree(t *testing.T) {
	cl := newStandInCluster(t, option{})
	cl.want("insert", cl.run("INSERT INTO huts VALUES (1, 'a')", nil), 0, 0)
	failed := cl.run("INSERT INTO huts VALUES (1, 'b')", keyed("k"))
	cl.want("duplicate hut", failed, 0, 0) // the answer is the database's error
	if failed.GetTransactionStatus() != statusIdle || failed.GetAnswer()[len(failed.GetAnswer())-1] != statusIdle {
		t.Errorf("failed = %v", failed)
	}
	cl.want("corrected", cl.run("INSERT INTO huts VALUES (2, 'b')", keyed("k")), 0, 0)
	if n := cl.huts(); n != "2" {
		t.Errorf("%s huts, want 2", n)
	}
}

// Guards against two concurrent requests with one key that both run.
func TestRequestKeyConcurrent(t *testing.T) {
	cl := newStandInCluster(t, option{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ran, replayed := 0, 0
	for range 8 {
		r := cl.request("INSERT INTO huts SELECT count(*), 'x' FROM huts", keyed("k"))
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

// Guards against keys where the proxy cannot keep its promise.
func TestRequestKeyRefusals(t *testing.T) {
	cl := newStandInCluster(t, option{})
	cl.want("key with begin", cl.run("BEGIN", keyed("k")), result.NotSupported, result.RanNo)
	cl.want("key in a new transaction", cl.run("BEGIN", func(r *wire.ExecuteRequest) { r.RequestKey, r.TransactionId = "k", "e-1" }), result.NotSupported, result.RanNo)
	id := cl.run("BEGIN", nil).GetTransactionId()
	cl.want("key in an open transaction", cl.run("SELECT 1", func(r *wire.ExecuteRequest) { in(id, 2)(r); r.RequestKey = "k" }), result.NotSupported, result.RanNo)
	cl.want("transaction goes on", cl.run("COMMIT", in(id, 2)), 0, 0)
	cl.want("long key", cl.run("SELECT 1", keyed(strings.Repeat("k", maxKey+1))), result.BadParameter, result.RanNo)
	cl.want("replica", cl.run("SELECT 1", func(r *wire.ExecuteRequest) { r.RequestKey, r.WantPrimary = "k", false }), result.NotSupported, result.RanNo)
}

// Guards against an unsafe setting that does nothing.
func TestNoRequestKeysSetting(t *testing.T) {
	o := option{}
	o.unsafe.NoRequestKeys = true
	cl := newStandInCluster(t, o)
	for range 2 {
		cl.want("insert", cl.run("INSERT INTO huts SELECT count(*), 'x' FROM huts", keyed("k")), 0, 0)
	}
	if n := cl.huts(); n != "2" {
		t.Errorf("%s huts, want 2", n)
	}
}

// Guards against keys that stay forever, and against the removal of a key
// within its lifetime.
func TestExpiredKeysAreRemoved(t *testing.T) {
	cl := newStandInCluster(t, option{})
	insert := "INSERT INTO huts SELECT count(*), 'x' FROM huts"
	cl.want("insert", cl.run(insert, keyed("k")), 0, 0)
	u := cl.p.unit("a")
	u.removeExpired(time.Now().Add(59 * time.Minute)) // the class keeps keys for an hour
	if resp := cl.run(insert, keyed("k")); !resp.GetReplayed() {
		t.Errorf("within the lifetime: %v", resp)
	}
	u.removeExpired(time.Now().Add(61 * time.Minute))
	if resp := cl.run(insert, keyed("k")); resp.GetReplayed() || resp.GetFailure() != nil {
		t.Errorf("after the lifetime: %v", resp)
	}
}
