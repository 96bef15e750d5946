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

// partitionKey returns a partition key that the service maps to the group.
func (c *cluster) partitionKey(t testing.TB, group string) string {
	t.Helper()
	groups := c.seed.Services[0].Groups
	for i := range 1000 {
		p := fmt.Sprintf("p%d", i)
		if route.GroupOf(p, groups) == group {
			return p
		}
	}
	t.Fatalf("none of 1000 partition keys maps to group %s", group)
	return ""
}

// insertResult is one insert, which has a row of its own, and its outcome.
type insertResult struct {
	id       string
	instance string
	sent     time.Time
	done     time.Time
	err      error
}

// insertWorkload inserts rows through several instances and records the answer to
// each insert.
type insertWorkload struct {
	c         *cluster
	partition string

	mu      sync.Mutex
	results []insertResult
	stop    chan struct{}
	wg      sync.WaitGroup
}

// writeInterval is the delay before each insert of a worker.
const writeInterval = 20 * time.Millisecond

// startInsertWorkload starts the given number of workers for each instance.
func startInsertWorkload(t testing.TB, c *cluster, group string, instances []string, workers int) *insertWorkload {
	t.Helper()
	l := &insertWorkload{c: c, partition: c.partitionKey(t, group), stop: make(chan struct{})}
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

func (l *insertWorkload) work(instance string, worker int) {
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

// insert inserts a row and records the outcome. An insert that was not sent for
// lack of a connection is not recorded.
func (l *insertWorkload) insert(conn *pgx.Conn, instance, id string) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	if conn == nil || conn.IsClosed() {
		c, err := pgx.Connect(ctx, l.c.callerURL(instance, "geraniumbeam.partition="+l.partition))
		if err != nil {
			return nil
		}
		conn = c
	}
	e := insertResult{id: id, instance: instance, sent: time.Now()}
	_, e.err = conn.Exec(ctx, "INSERT INTO ledger (id) VALUES ('"+id+"')", pgx.QueryExecModeSimpleProtocol)
	e.done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, e)
	return conn
}

// finish stops the workers and waits for them.
func (l *insertWorkload) finish() {
	close(l.stop)
	l.wg.Wait()
}

// firstAcknowledgedAfter returns the time of the first acknowledgement of a write
// that was sent after at, and whether there is one.
func (l *insertWorkload) firstAcknowledgedAfter(at time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, e := range l.results {
		if e.err == nil && e.sent.After(at) && (first.IsZero() || e.done.Before(first)) {
			first = e.done
		}
	}
	return first, !first.IsZero()
}

// longestWriteGap returns the longest time between two acknowledgements.
func (l *insertWorkload) longestWriteGap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var times []time.Time
	for _, e := range l.results {
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

// workloadResult compares the answers to callers with the rows that the group holds.
type workloadResult struct {
	acknowledged, refused, unknown int
	lost                           []string // acknowledged, row missing
	refusedButRun                  []string // refused as not run, row present
	runTwice                       []string // failed because its own row was already present
}

// reportViolations fails the test for each write whose effect contradicts its
// answer.
func (v workloadResult) reportViolations(t testing.TB) {
	t.Helper()
	for _, id := range v.lost {
		t.Errorf("acknowledged write %s is lost", id)
	}
	for _, id := range v.refusedButRun {
		t.Errorf("write %s was run although it was refused as not run", id)
	}
	for _, id := range v.runTwice {
		t.Errorf("write %s was run twice", id)
	}
	if v.acknowledged == 0 {
		t.Error("no write was acknowledged, so the test has checked nothing")
	}
}

// uniqueViolation is the SQLSTATE of an insert whose primary key exists.
const uniqueViolation = "23505"

func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func (l *insertWorkload) check(t testing.TB, group string) workloadResult {
	t.Helper()
	rows := l.rows(t, group)
	l.mu.Lock()
	defer l.mu.Unlock()
	var v workloadResult
	reasons := make(map[string]int)
	for _, e := range l.results {
		if e.err != nil {
			reasons[errorSummary(e.err)]++
		}
		switch {
		case e.err == nil:
			v.acknowledged++
			if !rows[e.id] {
				v.lost = append(v.lost, e.id)
			}
		case notRun(e.err):
			v.refused++
			if rows[e.id] {
				v.refusedButRun = append(v.refusedButRun, e.id)
			}
		case sqlState(e.err) == uniqueViolation:
			v.runTwice = append(v.runTwice, e.id) // each id is sent once
		default:
			v.unknown++
		}
	}
	t.Logf("acknowledged %d, refused %d, unknown %d, lost %d, run although refused %d, run twice %d, reasons %v",
		v.acknowledged, v.refused, v.unknown, len(v.lost), len(v.refusedButRun), len(v.runTwice), reasons)
	return v
}

// rows reads the ids of the inserted rows from the group's primary.
func (l *insertWorkload) rows(t testing.TB, group string) map[string]bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	out := make(map[string]bool)
	rows, err := l.c.connectDirect(t, l.c.primary(t, group)).Query(ctx, "SELECT id FROM ledger")
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

// databaseStatus is the status that a database reports.
type databaseStatus struct {
	term, lastTerm, offset int64
	role                   string
}

func (c *cluster) databaseStatus(t testing.TB, database string) (databaseStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var s databaseStatus
	conn, err := pgx.Connect(ctx, "postgres://app@"+c.databaseAddress[database]+"/direct?sslmode=disable")
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
		for _, d := range c.databaseNames(group) {
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

func (c *cluster) databaseNames(group string) []string {
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

// waitReplicating waits until all databases of a group report the same term, one of
// them as the primary and the others as replicas.
func (c *cluster) waitReplicating(t testing.TB, group string) {
	t.Helper()
	waitFor(t, 60*time.Second, "all databases of "+group+" follow one primary", func() bool {
		roles := make(map[string]int)
		terms := make(map[int64]bool)
		for _, d := range c.databaseNames(group) {
			s, err := c.databaseStatus(t, d)
			if err != nil {
				return false
			}
			roles[s.role]++
			terms[s.term] = true
		}
		return len(terms) == 1 && roles["primary"] == 1 && roles["replica"] == len(c.databaseNames(group))-1
	})
}

// waitConverged waits until all databases of a group hold the same log. There
// must be no writes meanwhile.
func (c *cluster) waitConverged(t testing.TB, group string) {
	t.Helper()
	waitFor(t, 60*time.Second, "all databases of "+group+" hold the same log", func() bool {
		var first databaseStatus
		for i, d := range c.databaseNames(group) {
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
