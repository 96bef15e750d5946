package database

import (
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// Guards against statements that fail in one of pgx's query execution modes.
func TestQueryExecModes(t *testing.T) {
	db := startGroup(t, nil)["a"]
	c := connect(t, db)
	mustExec(t, c, `CREATE TABLE parcel (id bigint PRIMARY KEY, note text, weight numeric, kept bool, at timestamptz)`)
	at := time.Date(2026, 3, 4, 5, 6, 7, 891000, time.UTC)
	for i, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			note := fmt.Sprintf(`it's %d; \x41 -- /* $1`, i)
			mustExec(t, c, `INSERT INTO parcel (id, note, weight, kept, at) VALUES ($1, $2, $3, $4, $5) ON CONFLICT (id) DO UPDATE SET note = excluded.note`, mode, i, note, 2.5, true, at)
			var got string
			var weight float64
			var kept bool
			var seen time.Time
			err := c.QueryRow(t.Context(), `SELECT note, weight, kept, at FROM parcel WHERE id = $1 AND kept = $2`, mode, i, true).Scan(&got, &weight, &kept, &seen)
			if err != nil || got != note || weight != 2.5 || !kept || !seen.Equal(at) {
				t.Errorf("got %q %v %v %v, error %v", got, weight, kept, seen, err)
			}
			if tag := mustExec(t, c, `UPDATE parcel SET weight = weight + $1 WHERE id = $2`, mode, 1.0, i); tag.RowsAffected() != 1 {
				t.Errorf("tag is %q", tag)
			}
			if err := c.QueryRow(t.Context(), `SELECT weight FROM parcel WHERE id = $1`, mode, 99).Scan(&weight); err != pgx.ErrNoRows {
				t.Errorf("error is %v, want no rows", err)
			}
		})
	}
	if got := queryOne[int64](t, c, `SELECT count(*) FROM parcel`); got != 5 {
		t.Errorf("%d rows, want 5", got)
	}
}

// Guards against a pipeline that is not one implicit transaction, and against a
// rollback to a savepoint that is replicated wrongly.
func TestPipelineAndSavepoints(t *testing.T) {
	databases := startGroup(t, nil)
	c := connect(t, databases["a"])
	mustExec(t, c, `CREATE TABLE parcel (id bigint PRIMARY KEY, note text)`)
	b := &pgx.Batch{}
	b.Queue(`INSERT INTO parcel VALUES ($1, $2)`, 1, "a")
	b.Queue(`INSERT INTO parcel VALUES ($1, $2)`, 1, "again")
	if err := c.SendBatch(t.Context(), b).Close(); err == nil {
		t.Error("a batch with a duplicate succeeded")
	} else {
		wantSQLState(t, err, stateUnique)
	}
	if got := queryOne[int64](t, c, `SELECT count(*) FROM parcel`); got != 0 {
		t.Errorf("%d rows of a failed pipeline were kept", got)
	}
	tx, err := c.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(t.Context(), `INSERT INTO parcel VALUES (1, 'kept')`); err != nil {
		t.Fatal(err)
	}
	for i, sql := range []string{`INSERT INTO parcel VALUES (2, 'dropped')`, `INSERT INTO parcel VALUES (1, 'duplicate')`} {
		inner, err := tx.Begin(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := inner.Exec(t.Context(), sql); (err == nil) != (i == 0) {
			t.Errorf("%s: %v", sql, err)
		}
		if err := inner.Rollback(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Fatal(err)
	}
	waitPosition(t, databases["b"], databases["a"].status().Last)
	for _, name := range []string{"a", "b"} {
		if got := queryOne[int64](t, connect(t, databases[name]), `SELECT sum(id) FROM parcel`); got != 1 {
			t.Errorf("sum in %s is %d, want 1", name, got)
		}
	}
}
