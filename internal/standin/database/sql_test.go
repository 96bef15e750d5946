package database

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"
)

// testTimeout is the limit for waiting for a condition. It is long, so that no test
// fails because the machine is slow.
const testTimeout = 30 * time.Second

// testDatabase is a database and the address at which it listens.
type testDatabase struct {
	*Server
	addr string
}

// startGroup starts the databases a, b and c; a is the primary.
func startGroup(t *testing.T, edit func(*Config)) map[string]*testDatabase {
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
	databases := make(map[string]*testDatabase)
	for name, l := range listeners {
		cfg := Config{Name: name, Peers: peers, Primary: "a", Log: zerolog.New(zerolog.NewTestWriter(t))}
		if edit != nil {
			edit(&cfg)
		}
		db := &testDatabase{New(cfg), peers[name]}
		databases[name] = db
		serve(t, db, l)
		t.Cleanup(db.Close)
	}
	return databases
}

func serve(t *testing.T, db *testDatabase, l net.Listener) {
	go func() {
		if err := db.Serve(l); err != nil {
			t.Errorf("serve: %v", err)
		}
	}()
}

func connect(t *testing.T, db *testDatabase) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://test@"+db.addr+"/test")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func mustExec(t *testing.T, c *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := c.Exec(t.Context(), sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag
}

func queryOne[T any](t *testing.T, c *pgx.Conn, sql string, args ...any) T {
	t.Helper()
	var v T
	if err := c.QueryRow(t.Context(), sql, args...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

func wantSQLState(t *testing.T, err error, state string) {
	t.Helper()
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != state {
		t.Fatalf("error is %v, want SQLSTATE %s", err, state)
	}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against wrong types of parameters and results, which an unmodified driver
// rejects.
func TestPgxTypes(t *testing.T) {
	db := startGroup(t, nil)["a"]
	c := connect(t, db)
	mustExec(t, c, `CREATE TABLE hut (id bigserial PRIMARY KEY, name text NOT NULL UNIQUE, fee double precision, photo bytea, taken boolean, at timestamptz DEFAULT now())`)
	tag := mustExec(t, c, `INSERT INTO hut (name, fee, photo, taken) VALUES ($1, $2, $3, $4)`, "north", 1.5, []byte{0, 1, 255}, true)
	if tag.String() != "INSERT 0 1" {
		t.Errorf("tag is %q", tag)
	}
	var id int64
	var name string
	var fee float64
	var photo []byte
	var taken bool
	var at time.Time
	err := c.QueryRow(t.Context(), `SELECT id, name, fee, photo, taken, at FROM hut WHERE id = $1 AND name = $2`, 1, "north").Scan(&id, &name, &fee, &photo, &taken, &at)
	if err != nil || id != 1 || name != "north" || fee != 1.5 || string(photo) != "\x00\x01\xff" || !taken || at.IsZero() {
		t.Errorf("got %v %v %v %v %v %v, error %v", id, name, fee, photo, taken, at, err)
	}
	if got := queryOne[int64](t, c, `INSERT INTO hut (name) VALUES ($1) RETURNING id`, "south"); got != 2 {
		t.Errorf("returned id is %d, want 2", got)
	}
	if got := queryOne[int64](t, c, `SELECT count(*) AS n FROM hut WHERE id IN ($1, $2)`, 1, 2); got != 2 {
		t.Errorf("count is %d, want 2", got)
	}
	if got := queryOne[int64](t, c, `SELECT coalesce(max(id), 0) + 1 FROM hut LIMIT $1`, 5); got != 3 {
		t.Errorf("next id is %d, want 3", got)
	}
	if got := queryOne[string](t, c, `SELECT $1::text || name FROM hut WHERE id = 1`, "x-"); got != "x-north" {
		t.Errorf("text is %q", got)
	}
	_, err = c.Exec(t.Context(), `INSERT INTO hut (name) VALUES ('north')`)
	wantSQLState(t, err, stateUnique)
	_, err = c.Exec(t.Context(), `SELECT * FROM nowhere`)
	wantSQLState(t, err, stateUndefinedTable)
	_, err = c.Exec(t.Context(), `SELEC 1`)
	wantSQLState(t, err, stateSyntax)
}

// Guards against statements of a failed or rolled-back transaction that take
// effect, and against group_status() being refused in a failed one.
func TestTransactions(t *testing.T) {
	db := startGroup(t, nil)["a"]
	c, other := connect(t, db), connect(t, db)
	mustExec(t, c, `CREATE TABLE fee (id bigint PRIMARY KEY, amount bigint)`)
	mustExec(t, c, `BEGIN`)
	mustExec(t, c, `INSERT INTO fee VALUES ($1, $2)`, 1, 10)
	if got := queryOne[int64](t, other, `SELECT count(*) FROM fee`); got != 0 {
		t.Errorf("another session sees %d uncommitted rows", got)
	}
	_, err := c.Exec(t.Context(), `INSERT INTO fee VALUES ($1, $2)`, 1, 10)
	wantSQLState(t, err, stateUnique)
	if s := c.PgConn().TxStatus(); s != 'E' {
		t.Errorf("status is %c, want E", s)
	}
	_, err = c.Exec(t.Context(), `SELECT 1`)
	wantSQLState(t, err, stateFailedTransaction)
	if got := queryOne[string](t, c, `SELECT role FROM group_status()`); got != "primary" {
		t.Errorf("role is %q", got)
	}
	if tag := mustExec(t, c, `COMMIT`); tag.String() != "ROLLBACK" {
		t.Errorf("commit of a failed transaction answers %q", tag)
	}
	if got := queryOne[int64](t, other, `SELECT count(*) FROM fee`); got != 0 {
		t.Errorf("%d rows of a failed transaction are visible", got)
	}
	mustExec(t, c, `BEGIN READ ONLY`)
	_, err = c.Exec(t.Context(), `INSERT INTO fee VALUES (2, 2)`)
	wantSQLState(t, err, stateReadOnly)
	mustExec(t, c, `ROLLBACK`)
	mustExec(t, c, `BEGIN; INSERT INTO fee VALUES (3, 3); COMMIT`)
	if got := queryOne[int64](t, other, `SELECT sum(amount) FROM fee`); got != 3 {
		t.Errorf("sum is %d, want 3", got)
	}
}

// Guards against a replica that misses entries or accepts writes.
func TestReplication(t *testing.T) {
	databases := startGroup(t, nil)
	c := connect(t, databases["a"])
	mustExec(t, c, `CREATE TABLE pickup (id bigint, note text)`)
	for i := range 50 {
		mustExec(t, c, `INSERT INTO pickup VALUES ($1, $2)`, i, "x")
	}
	var term, position int64
	if err := c.QueryRow(t.Context(), `SELECT last_term, position FROM group_status()`).Scan(&term, &position); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"b", "c"} {
		r := connect(t, databases[name])
		var got int64
		if err := r.QueryRow(t.Context(), `SELECT position FROM group_wait($1, $2, $3)`, term, position, testTimeout.Milliseconds()).Scan(&got); err != nil || got != position {
			t.Fatalf("position of %s is %d, want %d, error %v", name, got, position, err)
		}
		if got := queryOne[int64](t, r, `SELECT count(*) FROM pickup`); got != 50 {
			t.Errorf("%s has %d rows, want 50", name, got)
		}
		_, err := r.Exec(t.Context(), `INSERT INTO pickup VALUES (99, 'x')`)
		wantSQLState(t, err, stateReadOnly)
	}
}
