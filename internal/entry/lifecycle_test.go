package entry

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

// Guards against a cancellation that is not forwarded to the pool, cancels another
// request, or is accepted with a wrong secret key.
func TestCancel(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	entered := make(chan string, 1)
	release := make(chan struct{})
	f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
		entered <- req.GetRequestId()
		<-release
		return refusal(req, result.Errorf(result.Cancelled, "cancelled")), nil
	}
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select pg_sleep(100)")
		done <- err
	}()
	id := <-entered
	wrong := f.dialRaw()
	wrong.sendMessages(&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: []byte{1, 2, 3, 4}})
	if got := wrong.readUntilReady(); got != "closed" {
		t.Errorf("answer to a CancelRequest %q, want a closed connection", got)
	}
	if err := conn.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := <-f.cluster.cancelledRequests; got != id || len(f.cluster.cancelledRequests) != 0 {
		t.Errorf("cancelled request %s, want %s once", got, id)
	}
	close(release)
	var pg *pgconn.PgError
	if err := <-done; !errors.As(err, &pg) || pg.Code != "57014" {
		t.Errorf("error %v, want SQLSTATE 57014", err)
	}
}

// Guards against a drain that interrupts a request or a transaction, keeps idle
// connections open, or accepts new work.
func TestDrainFinishesOpenWork(t *testing.T) {
	f := newFixture(t, nil)
	idle, inTransaction, busy := f.dialRaw(), f.connect(""), f.connect("")
	idle.sendStartup(startupParams())
	idle.readUntilReady()
	f.exec(inTransaction, "begin")
	entered, release := make(chan struct{}), make(chan struct{})
	f.cluster.update(func() {
		f.cluster.intercept = func(_ string, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
			if req.GetTransactionId() == "" {
				close(entered)
				<-release
			}
			return nil, nil
		}
	})
	answered := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "insert into huts values (1)")
		answered <- err
	}()
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(context.Background()) }()
	if got := idle.readUntilReady(); got != "FATAL:57P01:GB2006 closed" {
		t.Errorf("idle connection got %q", got)
	}
	if conn, err := net.Dial("tcp", f.address); err == nil {
		_ = conn.Close()
		t.Error("a new connection was accepted")
	}
	close(release)
	if err := <-answered; err != nil {
		t.Errorf("request in flight failed: %v", err)
	}
	f.exec(inTransaction, "insert into huts values (2)")
	f.exec(inTransaction, "commit")
	f.wantSQLState(inTransaction, "select 1", "57P01")
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
}

// Guards against a drain that waits for an open transaction past its deadline.
func TestDrainTimeout(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.exec(conn, "begin")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := f.server.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain: %v", err)
	}
	if len(f.cluster.endedTransactions) != 1 {
		t.Error("the open transaction was not rolled back")
	}
}

// Guards against buffers that are held for idle callers: 33 million callers on 3,900
// instances are about 8,500 per instance.
func TestIdleCallerMemory(t *testing.T) {
	const callers, limit = 200, 20 << 10
	f := newFixture(t, func(s *settings.Settings) { s.Callers.MaxConnections = callers })
	f.cluster.discardCalls = true
	query := "select 1 --" + strings.Repeat("x", 64<<10)
	open := make([]*rawConn, callers)
	measure := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := measure()
	for i := range open {
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		open[i] = &rawConn{t: t, conn: conn}
		packet, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: startupParams()}).Encode(nil)
		open[i].sendBytes(packet...)
		open[i].sendBytes(encode(nil, &pgproto3.Query{String: query})...)
	}
	f.eventually("the answers to all queries", func() bool { return f.metrics.Class("huts", "default").Requests.Load() == callers })
	each := (measure() - before) / callers
	t.Logf("%d bytes per idle caller, including the client's side", each)
	if each > limit {
		t.Errorf("%d bytes per idle caller, want at most %d", each, limit)
	}
}
