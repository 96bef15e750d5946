package entry

import (
	"context"
	"database/sql"
	"encoding/binary"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"

	"geraniumbeam/internal/route"
	"geraniumbeam/internal/wire"
)

// Guards against a read that misses an earlier write of its session, and against
// reads that never use a replica. The read after the write must go to the primary
// until the replica in the server's data centre has reached the session's floor.
func TestReadYourWrites(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values ($1)", "7")
	if got := f.queryValue(conn, "select seen from huts where id = $1", "7"); got != "db-a@2" {
		t.Errorf("read before replication answered by %s, want db-a@2", got)
	}
	f.cluster.replicate()
	if got := f.queryValue(conn, "select seen from huts where id = $1", "7"); got != "db-b@2" {
		t.Errorf("read after replication answered by %s, want db-b@2", got)
	}
	token := conn.PgConn().ParameterStatus(paramSession)
	if token == "" || token != f.queryValue(conn, "show geraniumbeam.session") {
		t.Errorf("reported session token %q, want that of SHOW", token)
	}
	v := f.metrics.Values()[0]
	if v.Writes != 1 || v.ReplicaReads == 0 || v.Requests != v.Served {
		t.Errorf("metrics %+v: want 1 write, replica reads and no failed request", v)
	}
}

// Guards against a session that loses its floor when it is resumed on another
// connection, and against a forged token that is accepted.
func TestSessionTokenOnOtherConnection(t *testing.T) {
	f := newFixture(t, nil)
	first := f.connect("")
	f.exec(first, "insert into huts values (1)")
	token := first.PgConn().ParameterStatus(paramSession)
	second := f.connect("&geraniumbeam.session=" + token)
	if got := f.queryValue(second, "select 1"); got != "db-a@2" {
		t.Errorf("read of the resumed session before replication answered by %s, want db-a@2", got)
	}
	f.cluster.replicate()
	if got := f.queryValue(second, "select 1"); got != "db-b@2" {
		t.Errorf("read of the resumed session after replication answered by %s, want db-b@2", got)
	}
	forged := "A" + token[1:len(token)-4] + "AAAA"
	f.wantSQLState(second, "set geraniumbeam.session = '"+forged+"'", "28000")
	_, err := pgx.Connect(context.Background(), f.dsn("&geraniumbeam.session="+forged))
	if err == nil || !strings.Contains(err.Error(), "GB1005") {
		t.Errorf("startup with a forged token: error %v, want GB1005", err)
	}
}

// Guards against a statement that runs in another group than its transaction, and
// against a transaction whose statements must all repeat the partition.
func TestTransactionKeepsItsGroup(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connectTo("postgres://ann@" + f.address + "/pairs")
	in := make(map[string]string)
	for _, p := range []string{"a", "b", "c", "d", "e", "f"} {
		in[route.GroupOf(p, []string{"g1", "g2"})] = p
	}
	f.exec(conn, "/* geraniumbeam partition="+in["g1"]+" */ begin")
	f.exec(conn, "insert into huts values (1)")
	f.wantSQLState(conn, "/* geraniumbeam partition="+in["g2"]+" */ insert into huts values (1)", "22023")
	f.exec(conn, "rollback")
	f.exec(conn, "/* geraniumbeam partition="+in["g1"]+" */ begin")
	f.exec(conn, "set geraniumbeam.partition = '"+in["g2"]+"'")
	f.wantSQLState(conn, "insert into huts values (1)", "22023")
}

// Guards against a refused connection that is taken for a sent call, which would
// make the outcome of the request unknown.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = wire.NewClients(nil).Pool(l.Addr().String()).Execute(context.Background(), &wire.ExecuteRequest{})
	if err == nil || !notSent(err) {
		t.Errorf("error %v is not recognised as not sent", err)
	}
}

// Guards against messages of callers that cause a panic or an endless loop.
func FuzzMessages(f *testing.F) {
	fixture := newFixture(f, nil)
	f.Add(byte('P'), []byte("s\x00select 1\x00\x00\x00"))
	f.Add(byte('B'), []byte("\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Add(byte('D'), []byte("S\x00"))
	f.Add(byte('E'), []byte("\x00\x00\x00\x00\x00"))
	f.Add(byte('C'), []byte("P\x00"))
	f.Add(byte('Q'), []byte("set geraniumbeam.class = quick\x00"))
	f.Add(byte(0), []byte("\x00\x03\x00\x00user\x00a\x00options\x00-c a=b\x00\x00"))
	f.Fuzz(func(_ *testing.T, kind byte, body []byte) {
		c := &callerConn{server: fixture.server, service: "huts", statements: map[string]*preparedStatement{"": {script: route.Classify("select 1")}}}
		b := &batch{}
		switch {
		case kind == 'Q':
			b.addQuery(c, body)
		case kind == 0 && len(body) >= 4:
			c1, c2 := net.Pipe()
			_, _ = c2.Close(), c1.Close()
			_, _ = decodeParameters(c1, body, binary.BigEndian.Uint32(body))
		default:
			b.setError(c.addExtended(b, kind, body))
		}
		for _, m := range b.local {
			if b.err == nil && !b.isMixed() {
				_, _ = c.answerLocalMessage(nil, m)
			}
		}
	})
}

// Measures a read through the server with a fake pool that answers at once.
func BenchmarkQuery(b *testing.B) {
	f := newFixture(b, nil)
	f.cluster.discardCalls = true
	conn := f.connect("")
	f.exec(conn, "insert into huts values (1)")
	f.cluster.replicate()
	b.ReportAllocs()
	for b.Loop() {
		f.queryValue(conn, "select seen from huts where id = $1", "7")
	}
}

// Guards against changes that break unmodified client libraries: their statement
// caches, pipelines, transactions and connection pools.
func TestUnmodifiedClients(t *testing.T) {
	f := newFixture(t, nil)
	ctx := context.Background()
	db, err := sql.Open("pgx", f.dsn(""))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecContext(ctx, "insert into huts values ($1)", "1"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(); err != nil {
		t.Fatal(err)
	}
	pool, err := pgxpool.New(ctx, f.dsn(""))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	b := &pgx.Batch{}
	b.Queue("insert into huts values ($1)", "1")
	b.Queue("select seen from huts where id = $1", "1")
	b.Queue("insert into huts values ($1)", "2")
	br := pool.SendBatch(ctx, b)
	for i := range b.Len() {
		if _, err := br.Exec(); err != nil {
			t.Fatalf("batch statement %d: %v", i, err)
		}
	}
	if err := br.Close(); err != nil {
		t.Fatal(err)
	}
	if err := pool.Ping(ctx); err != nil {
		t.Fatal(err)
	}
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		conn := f.connect("&default_query_exec_mode=" + mode)
		for range 2 {
			f.exec(conn, "insert into huts values ($1)", "1")
			f.queryValue(conn, "select seen from huts where id = $1", "1")
			f.queryValue(conn, "show geraniumbeam.class")
		}
	}
}

// Guards against statements of a transaction that go to another pool or out of
// order, against a transaction without keep-alives, and against one that stays open
// after its caller has disconnected.
func TestTransactionIsPinned(t *testing.T) {
	f := newFixture(t, nil)
	ctx := context.Background()
	conn := f.connect("")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.queryValue(conn, "select 1")
	f.exec(conn, "insert into huts values ($1)", "1")
	f.eventually("a keep-alive", func() bool {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		return f.cluster.keepAlives["tx-1"] > 0
	})
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if got := f.cluster.takeCalls(); slices.ContainsFunc(got, func(s string) bool { return s != "i2 db-a" }) {
		t.Errorf("calls %v, want only i2 db-a", got)
	}
	if _, err := conn.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close(ctx)
	f.eventually("the rollback of an abandoned transaction", func() bool {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		return slices.Equal(f.cluster.endedTransactions, []string{"tx-2"})
	})
}
