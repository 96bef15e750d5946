package integration

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"geraniumbeam/internal/route"
)

// partitionOf returns a partition that selects the group.
func (c *cluster) partitionOf(t testing.TB, group string) string {
	t.Helper()
	groups := c.seed.Services[0].Groups
	for i := range 1000 {
		p := fmt.Sprintf("p%d", i)
		if route.GroupOf(p, groups) == group {
			return p
		}
	}
	t.Fatalf("no partition selects %s", group)
	return ""
}

// entry is one request of a ledger with a row of its own.
type entry struct {
	id       string
	instance string
	sent     time.Time
	done     time.Time
	err      error
}

// ledger inserts rows through several instances and remembers what callers
// were told about each.
type ledger struct {
	c         *cluster
	partition string

	mu      sync.Mutex
	entries []entry
	stop    chan struct{}
	wg      sync.WaitGroup
}

// writeInterval is the time between two inserts of one worker.
const writeInterval = 20 * time.Millisecond

// startLedger starts workers on each of the instances.
func startLedger(t testing.TB, c *cluster, group string, instances []string, workers int) *ledger {
	t.Helper()
	l := &ledger{c: c, partition: c.partitionOf(t, group), stop: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn := c.connect(t, instances[0], "geraniumbeam.partition="+l.partition)
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS ledger (id text PRIMARY KEY)"); err != nil {
		t.Fatalf("create table: %v", err)
	}
	for _, in := range instances {
		for w := range workers {
			l.wg.Go(func() { l.work(in, w) })
		}
	}
	return l
}

func (l *ledger) work(instance string, worker int) {
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = conn.Close(ctx)
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(writeInterval):
		}
		conn = l.insert(conn, instance, fmt.Sprintf("%s-%d-%d", instance, worker, i))
	}
}

// insert sends one row and records the outcome. A request that could not be
// sent because there was no connection is not recorded.
func (l *ledger) insert(conn *pgx.Conn, instance, id string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	if conn == nil || conn.IsClosed() {
		c, err := pgx.Connect(ctx, l.c.url(instance, "geraniumbeam.partition="+l.partition))
		if err != nil {
			return nil
		}
		conn = c
	}
	e := entry{id: id, instance: instance, sent: time.Now()}
	_, e.err = conn.Exec(ctx, "INSERT INTO ledger (id) VALUES ('"+id+"')", pgx.QueryExecModeSimpleProtocol)
	e.done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return conn
}

// finish stops the workers.
func (l *ledger) finish() {
	close(l.stop)
	l.wg.Wait()
}

// acknowledgedAfter reports whether a write that was sent after at was
// acknowledged, and when the first such answer came.
func (l *ledger) acknowledgedAfter(at time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, e := range l.entries {
		if e.err == nil && e.sent.After(at) && (first.IsZero() || e.done.Before(first)) {
			first = e.done
		}
	}
	return first, !first.IsZero()
}

// longestGap returns the longest time without an acknowledged write.
func (l *ledger) longestGap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Time
	for _, e := range l.entries {
		if e.err == nil {
			times = append(times, e.done)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	var gap time.Duration
	for i := 1; i < len(times); i++ {
		gap = max(gap, times[i].Sub(times[i-1]))
	}
	return gap
}

// verdict compares what callers were told with what the group holds.
type verdict struct {
	acknowledged, refused, unknown int
	lost                           []string // acknowledged and not there
	ranAnyway                      []string // refused as not run and there
	repeated                       []string // ran again: the row was there already
}

// report fails the test for each write that contradicts what its caller was
// told.
func (v verdict) report(t testing.TB) {
	t.Helper()
	for _, id := range v.lost {
		t.Errorf("acknowledged write %s is lost", id)
	}
	for _, id := range v.ranAnyway {
		t.Errorf("write %s was refused as not run and was run", id)
	}
	for _, id := range v.repeated {
		t.Errorf("write %s was run twice", id)
	}
	if v.acknowledged == 0 {
		t.Error("no write was acknowledged; the proof shows nothing")
	}
}

// uniqueViolation is the SQLSTATE of a second row with the same primary key.
const uniqueViolation = "23505"

func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func (l *ledger) check(t testing.TB, group string) verdict {
	t.Helper()
	rows := l.rows(t, group)
	l.mu.Lock()
	defer l.mu.Unlock()
	var v verdict
	for _, e := range l.entries {
		switch {
		case e.err == nil:
			v.acknowledged++
			if !rows[e.id] {
				v.lost = append(v.lost, e.id)
			}
		case notRun(e.err):
			v.refused++
			if rows[e.id] {
				v.ranAnyway = append(v.ranAnyway, e.id)
			}
		case sqlState(e.err) == uniqueViolation:
			v.repeated = append(v.repeated, e.id) // each id is sent once
		default:
			v.unknown++
		}
	}
	t.Logf("acknowledged %d, refused %d, unknown %d, lost %d, run although refused %d, run twice %d",
		v.acknowledged, v.refused, v.unknown, len(v.lost), len(v.ranAnyway), len(v.repeated))
	return v
}

// rows reads the ledger from the group's primary. The primary key makes each id
// appear at most once.
func (l *ledger) rows(t testing.TB, group string) map[string]bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	out := make(map[string]bool)
	rows, err := l.c.direct(t, l.c.primary(t, group)).Query(ctx, "SELECT id FROM ledger")
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		if err := rows.Scan(&id); err != nil {
			t.Fatal(err)
		}
		out[id] = true
	}
	if rows.Err() != nil {
		t.Fatal(rows.Err())
	}
	return out
}

// databaseStatus is what a database says of itself.
type databaseStatus struct {
	term, lastTerm, offset int64
	role                   string
}

func (c *cluster) databaseStatus(t testing.TB, database string) (databaseStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var s databaseStatus
	conn, err := pgx.Connect(ctx, "postgres://app@"+c.dbAddress[database]+"/direct?sslmode=disable")
	if err != nil {
		return s, err
	}
	defer conn.Close(ctx)
	var age int64
	var leaving bool
	err = conn.QueryRow(ctx, "SELECT * FROM group_status()", pgx.QueryExecModeSimpleProtocol).
		Scan(&s.term, &s.role, &s.lastTerm, &s.offset, &age, &leaving)
	return s, err
}

// primary returns the database that is primary at the group's highest term.
func (c *cluster) primary(t testing.TB, group string) string {
	t.Helper()
	name := ""
	waitFor(t, 30*time.Second, "group "+group+" has a primary", func() bool {
		var best int64
		name = ""
		for _, d := range c.members(group) {
			s, err := c.databaseStatus(t, d)
			if err != nil {
				continue
			}
			if s.term > best {
				best, name = s.term, ""
			}
			if s.term == best && s.role == "primary" {
				name = d
			}
		}
		return name != ""
	})
	return name
}

func (c *cluster) members(group string) []string {
	var out []string
	for _, g := range c.seed.Groups {
		if g.Name != group {
			continue
		}
		for _, d := range g.Databases {
			out = append(out, d.Name)
		}
	}
	return out
}

// waitRejoined waits until all databases of a group are at one term with one
// primary.
func (c *cluster) waitRejoined(t testing.TB, group string) {
	t.Helper()
	waitFor(t, 60*time.Second, "all databases of "+group+" follow one primary", func() bool {
		roles := make(map[string]int)
		terms := make(map[int64]bool)
		for _, d := range c.members(group) {
			s, err := c.databaseStatus(t, d)
			if err != nil {
				return false
			}
			roles[s.role]++
			terms[s.term] = true
		}
		return len(terms) == 1 && roles["primary"] == 1 && roles["replica"] == len(c.members(group))-1
	})
}

// waitConverged waits until all databases of a group hold the same log; nobody
// may write meanwhile.
func (c *cluster) waitConverged(t testing.TB, group string) {
	t.Helper()
	waitFor(t, 60*time.Second, "group "+group+" has one log", func() bool {
		var first databaseStatus
		for i, d := range c.members(group) {
			s, err := c.databaseStatus(t, d)
			if err != nil {
				return false
			}
			if i == 0 {
				first = s
			}
			if s.term != first.term || s.lastTerm != first.lastTerm || s.offset != first.offset {
				return false
			}
		}
		return true
	})
}
