package integration

import (
	"context"
	"database/sql"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib"
)

// Guards against a fault anywhere on the path from a standard client through two
// instances to a database: rows are written and read with three client interfaces
// through different instances.
func TestWholePath(t *testing.T) {
	c := startCluster(t, options{})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()

	conn := c.connect(t, "gb-1", "geraniumbeam.partition=night-market-7")
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS huts (id text PRIMARY KEY, vendor text)"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(ctx, "INSERT INTO huts (id, vendor) VALUES ($1, $2)", "h1", "mei"); err != nil {
		t.Fatal(err)
	}
	var vendor string
	if err := conn.QueryRow(ctx, "SELECT vendor FROM huts WHERE id = $1", "h1").Scan(&vendor); err != nil || vendor != "mei" {
		t.Fatalf("read on the writer's connection: got %q, %v; want \"mei\"", vendor, err)
	}
	token := conn.PgConn().ParameterStatus("geraniumbeam.session")
	if token == "" {
		t.Fatal("the write returned no session token")
	}

	pool, err := pgxpool.New(ctx, c.callerURL("gb-6", "geraniumbeam.partition=night-market-7", "geraniumbeam.session="+token))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	if err := pool.QueryRow(ctx, "SELECT vendor FROM huts WHERE id = 'h1'").Scan(&vendor); err != nil || vendor != "mei" {
		t.Fatalf("read with the token through another instance: got %q, %v; want \"mei\"", vendor, err)
	}

	db, err := sql.Open("pgx", c.callerURL("gb-4", "geraniumbeam.partition=night-market-7"))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecContext(ctx, "UPDATE huts SET vendor = 'lin' WHERE id = 'h1'"); err != nil {
		t.Fatal(err)
	}
	if err := tx.Commit(); err != nil {
		t.Fatal(err)
	}
	if err := db.QueryRowContext(ctx, "SELECT vendor FROM huts WHERE id = 'h1'").Scan(&vendor); err != nil || vendor != "lin" {
		t.Fatalf("read after the transaction: got %q, %v; want \"lin\"", vendor, err)
	}
}
