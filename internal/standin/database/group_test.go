package database

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/backend"
)

func raiseTerm(t *testing.T, db *testDatabase, term int) {
	t.Helper()
	mustExec(t, connect(t, db), `SELECT group_raise($1)`, term)
}

func waitPosition(t *testing.T, db *testDatabase, p backend.Position) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s reaches %v", db.cfg.Name, p), func() bool { return db.status().Last == p })
}

// Guards against a fenced database that commits a transaction which began before
// the raise.
func TestFencedPrimaryCannotCommit(t *testing.T) {
	db := startGroup(t, nil)["a"]
	c := connect(t, db)
	mustExec(t, c, `CREATE TABLE booking (id bigint)`)
	before := db.status().Last
	mustExec(t, c, `BEGIN`)
	mustExec(t, c, `INSERT INTO booking VALUES (1)`)
	raiseTerm(t, db, 2)
	_, err := c.Exec(t.Context(), `COMMIT`)
	wantSQLState(t, err, stateRolledBack)
	_, err = c.Exec(t.Context(), `INSERT INTO booking VALUES (2)`)
	wantSQLState(t, err, stateReadOnly)
	if got := queryOne[int64](t, c, `SELECT count(*) FROM booking`); got != 0 {
		t.Errorf("%d rows were committed after the raise", got)
	}
	if last := db.status().Last; last != before {
		t.Errorf("log grew from %v to %v after the raise", before, last)
	}
}

// Guards against a commit that races with a raise: every acknowledged commit must
// be in the log at the position that the raise reports.
func TestRaiseDuringCommits(t *testing.T) {
	db := startGroup(t, nil)["a"]
	c := connect(t, db)
	mustExec(t, c, `CREATE TABLE booking (id bigint)`)
	acknowledged := make(chan int64)
	go func() {
		var done int64
		for i := 0; ; i++ {
			if _, err := c.Exec(context.Background(), `INSERT INTO booking VALUES ($1)`, i); err != nil {
				acknowledged <- done
				return
			}
			done++
		}
	}()
	eventually(t, "some commits are made", func() bool { return db.status().Last.Offset > 20 })
	control := connect(t, db)
	at := queryOne[int64](t, control, `SELECT position FROM group_raise(2)`)
	if done := <-acknowledged; at != done+2 { // the first entry of the term and CREATE TABLE
		t.Errorf("position at the raise is %d, but %d inserts were committed", at, done)
	}
}

// Guards against a promotion without a raise of the term, which could give a term
// two primaries.
func TestPromotionRequiresRaise(t *testing.T) {
	databases := startGroup(t, nil)
	c := connect(t, databases["b"])
	_, err := c.Exec(t.Context(), `SELECT group_promote(2)`)
	wantSQLState(t, err, stateObjectState)
	mustExec(t, c, `SELECT group_raise(3)`)
	_, err = c.Exec(t.Context(), `SELECT group_promote(2)`)
	wantSQLState(t, err, stateObjectState)
	_, err = c.Exec(t.Context(), `SELECT group_raise(2)`)
	wantSQLState(t, err, stateObjectState)
	mustExec(t, c, `SELECT group_follow(3, $1)`, databases["a"].addr)
	_, err = c.Exec(t.Context(), `SELECT group_promote(3)`)
	wantSQLState(t, err, stateObjectState)
	mustExec(t, c, `SELECT standin_set('unsafe', 1)`)
	mustExec(t, c, `SELECT group_promote(3)`)
	if st := databases["b"].status(); st.Role != backend.RolePrimary || st.Last.Term != 3 {
		t.Errorf("status after an unsafe promotion is %+v", st)
	}
}

// Guards against divergent logs: a former primary that follows the new one must
// remove the entries that no other database has.
func TestFormerPrimaryDropsDivergentEntries(t *testing.T) {
	databases := startGroup(t, nil)
	a, b, c := databases["a"], databases["b"], databases["c"]
	ca := connect(t, a)
	mustExec(t, ca, `CREATE TABLE booking (id bigint)`)
	mustExec(t, ca, `INSERT INTO booking VALUES (1)`)
	waitPosition(t, b, a.status().Last)
	waitPosition(t, c, a.status().Last)
	raiseTerm(t, b, 2)
	raiseTerm(t, c, 2)
	mustExec(t, ca, `INSERT INTO booking VALUES (98), (99)`)
	mustExec(t, connect(t, b), `SELECT group_promote(2)`)
	mustExec(t, connect(t, c), `SELECT group_follow(2, $1)`, b.addr)
	cb := connect(t, b)
	mustExec(t, cb, `INSERT INTO booking VALUES (2)`)
	waitPosition(t, c, b.status().Last)
	raiseTerm(t, a, 2)
	mustExec(t, ca, `SELECT group_follow(2, $1)`, b.addr)
	waitPosition(t, a, b.status().Last)
	for name, conn := range map[string]*pgx.Conn{"a": ca, "b": cb, "c": connect(t, c)} {
		if got := queryOne[int64](t, conn, `SELECT sum(id) FROM booking`); got != 3 {
			t.Errorf("sum in %s is %d, want 3", name, got)
		}
	}
	if st := a.status(); st.Role != backend.RoleReplica || st.Term != 2 {
		t.Errorf("former primary has status %+v", st)
	}
	mustExec(t, connect(t, a), `SELECT group_raise(3)`)
	mustExec(t, connect(t, a), `SELECT group_promote(3)`)
	mustExec(t, ca, `INSERT INTO booking VALUES (4)`)
	if got := queryOne[int64](t, ca, `SELECT sum(id) FROM booking`); got != 7 {
		t.Errorf("sum after the second promotion is %d, want 7", got)
	}
}

// Guards against a crash that loses committed transactions or keeps an open one.
func TestCrashKeepsCommittedState(t *testing.T) {
	databases := startGroup(t, nil)
	a := databases["a"]
	c := connect(t, a)
	mustExec(t, c, `CREATE TABLE booking (id bigint, at timestamptz DEFAULT now())`)
	mustExec(t, c, `INSERT INTO booking (id) VALUES (1)`)
	at := queryOne[time.Time](t, c, `SELECT at FROM booking`)
	mustExec(t, c, `BEGIN`)
	mustExec(t, c, `INSERT INTO booking (id) VALUES (2)`)
	last := a.status().Last
	if err := a.Crash(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, a, l)
	c = connect(t, a)
	if st := a.status(); st.Last != last || st.Role != backend.RolePrimary {
		t.Errorf("status after the crash is %+v, want position %v", st, last)
	}
	if got := queryOne[time.Time](t, c, `SELECT max(at) FROM booking`); !got.Equal(at) {
		t.Errorf("now() was evaluated again: %v, want %v", got, at)
	}
	mustExec(t, c, `INSERT INTO booking (id) VALUES (3)`)
	if got := queryOne[int64](t, c, `SELECT sum(id) FROM booking`); got != 4 {
		t.Errorf("sum is %d, want 4", got)
	}
	waitPosition(t, databases["b"], a.status().Last)
}

// Guards against a replica that applies entries before the apply lag has passed,
// reports a position that it has not applied, or seems disconnected from the
// primary during the lag.
func TestApplyLag(t *testing.T) {
	databases := startGroup(t, nil)
	a, b := databases["a"], databases["b"]
	ca, cb := connect(t, a), connect(t, b)
	mustExec(t, ca, `CREATE TABLE track (id bigint)`)
	waitPosition(t, b, a.status().Last)
	mustExec(t, cb, `SELECT standin_set('apply_lag_ms', 3600000)`)
	mustExec(t, ca, `INSERT INTO track VALUES (1)`)
	waitPosition(t, databases["c"], a.status().Last)
	if got := queryOne[int64](t, cb, `SELECT position FROM group_wait(1, $1, 50)`, int64(a.status().Last.Offset)); got != int64(a.status().Last.Offset)-1 {
		t.Errorf("lagging replica reports position %d", got)
	}
	heard := b.status().PrimaryAge
	eventually(t, "a heartbeat arrives during the lag", func() bool { return b.status().PrimaryAge <= heard })
	mustExec(t, cb, `SELECT standin_set('apply_lag_ms', 0)`)
	waitPosition(t, b, a.status().Last)
	if got := queryOne[int64](t, cb, `SELECT count(*) FROM track`); got != 1 {
		t.Errorf("replica has %d rows, want 1", got)
	}
}

// Guards against more concurrent statements than slots, group functions that need
// a slot, and connections beyond the limit.
func TestSlotsAndConnectionLimit(t *testing.T) {
	db := startGroup(t, func(c *Config) { c.ConnectionLimit, c.ServiceTime = 4, time.Millisecond })["a"]
	conns := []*pgx.Conn{connect(t, db), connect(t, db), connect(t, db), connect(t, db)}
	_, err := pgx.Connect(t.Context(), "postgres://test@"+db.addr+"/test")
	wantSQLState(t, err, stateTooManyConnections)

	mustExec(t, conns[3], `SELECT standin_set('slots', 1)`)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, c := range conns[:3] {
		wg.Go(func() { _, _ = c.Exec(ctx, `SELECT pg_sleep(3600)`) })
	}
	eventually(t, "one statement runs and two wait", func() bool {
		db.slots.mu.Lock()
		defer db.slots.mu.Unlock()
		return db.slots.used == 1 && db.slots.waiting.Len() == 2
	})
	if got := queryOne[string](t, conns[3], `SELECT role FROM group_status()`); got != "primary" {
		t.Errorf("role is %q", got)
	}
	cancel()
	wg.Wait()
	eventually(t, "the slot is free", func() bool { db.slots.mu.Lock(); defer db.slots.mu.Unlock(); return db.slots.used == 0 })
}

// Guards against writes of different sessions that run one after the other although
// there are two slots.
func TestWritesShareSlots(t *testing.T) {
	db := startGroup(t, nil)["a"]
	slow, fast := connect(t, db), connect(t, db)
	mustExec(t, fast, `CREATE TABLE track (id bigint)`)
	mustExec(t, fast, `SELECT standin_set('service_time_us', 3600000000)`)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	before := db.statements.Load()
	go func() { _, err := slow.Exec(ctx, `INSERT INTO track VALUES (1)`, pgx.QueryExecModeExec); done <- err }()
	// A statement counts once it has read its service time; a slot is in use before that.
	eventually(t, "the first write is in its service time", func() bool { return db.statements.Load() > before })
	mustExec(t, fast, `SELECT standin_set('service_time_us', 0)`)
	mustExec(t, fast, `INSERT INTO track VALUES (2)`)
	cancel()
	if err := <-done; err == nil {
		t.Error("the first write ended in time")
	}
	if got := queryOne[int64](t, fast, `SELECT sum(id) FROM track`); got != 2 {
		t.Errorf("sum is %d, want 2", got)
	}
}

// Guards against a cancel request that does not stop the statement or that breaks
// the connection.
func TestCancel(t *testing.T) {
	db := startGroup(t, nil)["a"]
	c := connect(t, db)
	for _, sql := range []string{
		`SELECT pg_sleep(3600)`,
		`WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r) SELECT count(*) FROM r`,
	} {
		done := make(chan error, 1)
		go func() { _, err := c.Exec(context.Background(), sql); done <- err }()
		for cancelled := false; !cancelled; {
			if err := c.PgConn().CancelRequest(t.Context()); err != nil {
				t.Fatal(err)
			}
			select {
			case err := <-done:
				wantSQLState(t, err, stateCancelled)
				cancelled = true
			case <-time.After(20 * time.Millisecond):
			}
		}
		if got := queryOne[int64](t, c, `SELECT 1 + 1`); got != 2 {
			t.Errorf("got %d after a cancel", got)
		}
	}
}

// Guards against a restarted process that loses its log or its term, or cannot read
// a file whose last record is incomplete.
func TestRestartFromDataDirectory(t *testing.T) {
	dir := t.TempDir()
	start := func() *testDatabase {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		db := &testDatabase{New(Config{Name: "a", Primary: "a", DataDir: dir}), l.Addr().String()}
		serve(t, db, l)
		return db
	}
	db := start()
	c := connect(t, db)
	mustExec(t, c, `CREATE TABLE booking (id bigint, photo bytea)`)
	mustExec(t, c, `INSERT INTO booking VALUES ($1, $2), (2, NULL)`, 1, []byte{0, 255})
	mustExec(t, c, `SELECT group_raise(4)`)
	want := db.status()
	db.Close()
	f, err := os.OpenFile(filepath.Join(dir, logFile), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte{0, 0, 1, 0, 7}); err != nil {
		t.Fatal(err)
	}
	_ = f.Close()

	db = start()
	got := db.status()
	if got.Term != want.Term || got.Role != want.Role || got.Last != want.Last {
		t.Errorf("status is %+v after the restart, want %+v", got, want)
	}
	c = connect(t, db)
	mustExec(t, c, `SELECT group_promote(4)`)
	mustExec(t, c, `INSERT INTO booking VALUES (3, $1)`, []byte("x"))
	db.Close()
	db = start()
	defer db.Close()
	if got := queryOne[int64](t, connect(t, db), `SELECT sum(id) FROM booking WHERE photo IS NOT NULL`); got != 4 {
		t.Errorf("sum is %d, want 4", got)
	}
}

// Guards against a compacted log that loses rows when a replica needs older
// entries, when the log is truncated, or after a crash.
func TestCompaction(t *testing.T) {
	databases := startGroup(t, func(c *Config) { c.CompactEvery = 10 })
	a, b, c := databases["a"], databases["b"], databases["c"]
	ca := connect(t, a)
	mustExec(t, ca, `CREATE TABLE track (id bigint)`)
	insert := func(conn *pgx.Conn, from, to int) {
		for i := from; i <= to; i++ {
			mustExec(t, conn, `INSERT INTO track VALUES ($1)`, i)
		}
	}
	sum := func(db *testDatabase) int64 { return queryOne[int64](t, connect(t, db), `SELECT sum(id) FROM track`) }
	if err := c.Crash(); err != nil {
		t.Fatal(err)
	}
	insert(ca, 1, 100)
	a.mu.Lock()
	kept, base := len(a.log.entries), a.log.base
	a.mu.Unlock()
	if kept > 20 || base.Offset == 0 {
		t.Errorf("%d entries are kept after position %v", kept, base)
	}
	l, err := net.Listen("tcp", c.addr)
	if err != nil {
		t.Fatal(err)
	}
	serve(t, c, l)
	waitPosition(t, c, a.status().Last)
	waitPosition(t, b, a.status().Last)
	if got := sum(c); got != 5050 {
		t.Errorf("lagging replica has sum %d, want 5050", got)
	}
	raiseTerm(t, b, 2)
	insert(ca, 901, 903)
	mustExec(t, connect(t, b), `SELECT group_promote(2)`)
	insert(connect(t, b), 101, 105)
	mustExec(t, ca, `SELECT group_follow(2, $1)`, b.addr)
	waitPosition(t, a, b.status().Last)
	if err := a.Crash(); err != nil {
		t.Fatal(err)
	}
	if l, err = net.Listen("tcp", a.addr); err != nil {
		t.Fatal(err)
	}
	serve(t, a, l)
	if got := sum(a); got != 5565 {
		t.Errorf("former primary has sum %d after truncation and crash, want 5565", got)
	}
}
