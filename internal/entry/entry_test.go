package entry

import (
	"context"
	"database/sql"
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
)

// Guards against a read after a write that misses it, and against reads that
// never use a replica: the first read of a session is verified on the primary,
// later ones go to the near replica once it has the floor.
func TestWriteThenRead(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	f.exec(conn, "insert into huts values ($1)", "7")
	if got := f.read(conn, "select seen from huts where id = $1", "7"); got != "db-a@2" {
		t.Errorf("read behind its own write: %s", got)
	}
	f.cluster.replicate()
	if got := f.read(conn, "select seen from huts where id = $1", "7"); got != "db-b@2" {
		t.Errorf("read did not use the replica in the entry's data centre: %s", got)
	}
	token := conn.PgConn().ParameterStatus(paramSession)
	if token == "" || token != f.read(conn, "show geraniumbeam.session") {
		t.Errorf("token %q was not reported", token)
	}
	v := f.metrics.Values()[0]
	if v.Writes != 1 || v.ReplicaReads == 0 || v.Requests != v.Served {
		t.Errorf("counters %+v", v)
	}
}

// Guards against a session that moves to another connection and loses its
// floor, and against a token that is taken although it is forged.
func TestSessionMoves(t *testing.T) {
	f := start(t, nil)
	first := f.connect("")
	f.exec(first, "insert into huts values (1)")
	token := first.PgConn().ParameterStatus(paramSession)
	second := f.connect("&geraniumbeam.session=" + token)
	if got := f.read(second, "select 1"); got != "db-a@2" {
		t.Errorf("the floor was lost: %s", got)
	}
	f.cluster.replicate()
	if got := f.read(second, "select 1"); got != "db-b@2" {
		t.Errorf("the floor was not used: %s", got)
	}
	forged := "A" + token[1:len(token)-4] + "AAAA"
	f.wantState(second, "set geraniumbeam.session = '"+forged+"'", "28000")
	_, err := pgx.Connect(context.Background(), f.dsn("&geraniumbeam.session="+forged))
	if err == nil || !strings.Contains(err.Error(), "GB1005") {
		t.Errorf("forged token at startup: %v", err)
	}
}

// Guards against client libraries that cannot work unmodified: statement
// caches, pipelines, transactions and pools.
func TestUnmodifiedClients(t *testing.T) {
	f := start(t, nil)
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
}

// Guards against statements of a transaction that leave their pool or lose
// their order, and against an abandoned transaction that stays open.
func TestTransactionIsPinned(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	conn := f.connect("")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.read(conn, "select 1")
	f.exec(conn, "insert into huts values ($1)", "1")
	f.eventually("a keep-alive", func() bool {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		return f.cluster.kept["tx-1"] > 0
	})
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	if got := f.cluster.seen(); slices.ContainsFunc(got, func(s string) bool { return s != "i2 db-a" }) {
		t.Errorf("calls %v", got)
	}
	if _, err := conn.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close(ctx)
	f.eventually("the rollback of an abandoned transaction", func() bool {
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		return slices.Equal(f.cluster.ended, []string{"tx-2"})
	})
}
