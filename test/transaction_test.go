package integration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// rollbackBound bounds the time until a transaction of a killed instance is rolled
// back.
const rollbackBound = 2 * time.Second

const rowsPerTransaction = 3

// transactionResult is the outcome of a transaction as its caller saw it.
type transactionResult struct {
	id         string
	committed  bool
	unknown    bool // the outcome of COMMIT is unknown
	failedStep string
}

// runTransaction inserts rows with the transaction's id, checks that each answer
// belongs to the transaction, and commits or rolls back.
func runTransaction(ctx context.Context, conn *pgx.Conn, id string, rollback bool, t testing.TB) transactionResult {
	r := transactionResult{id: id}
	tx, err := conn.Begin(ctx)
	if err != nil {
		r.failedStep = "begin " + errorSummary(err)
		return r
	}
	for i := range rowsPerTransaction {
		if _, err := tx.Exec(ctx, "INSERT INTO parts (id, tx) VALUES ($1, $2)", fmt.Sprintf("%s-%d", id, i), id); err != nil {
			r.failedStep = "insert " + errorSummary(err)
			_ = tx.Rollback(ctx)
			return r
		}
		var echo string
		var n int
		err := tx.QueryRow(ctx, "SELECT '"+id+"', count(*) FROM parts WHERE tx = $1", id).Scan(&echo, &n)
		if err != nil {
			r.failedStep = "select " + errorSummary(err)
			_ = tx.Rollback(ctx)
			return r
		}
		if echo != id || n != i+1 {
			t.Errorf("transaction %s: got an answer with id %q and %d rows, want its own id and %d rows", id, echo, n, i+1)
		}
	}
	if rollback {
		_ = tx.Rollback(ctx)
		return r
	}
	err = tx.Commit(ctx)
	r.committed = err == nil
	r.unknown = err != nil && !notRun(err)
	return r
}

// Guards against statements that run in another caller's transaction, answers that
// reach another caller, and partly committed transactions, when many callers share
// the few connections of a database while links are reset and instances are killed.
func TestTransactionsNeverMix(t *testing.T) {
	const seed, callers = 7, 12
	perCaller := 25
	if longTests {
		perCaller = 200
	}
	c := startCluster(t, options{})
	partition := "geraniumbeam.partition=" + c.partitionKey(t, failoverGroup)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if _, err := c.connect(t, "gb-5", partition).Exec(ctx, "CREATE TABLE parts (id text PRIMARY KEY, tx text)"); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var results []transactionResult
	done := make(chan struct{})
	var faults, work sync.WaitGroup
	faults.Go(func() { c.injectResets(t, rand.New(rand.NewPCG(seed, 1)), 4*resetInterval, done) })
	for id := range callers {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(10+id)))
			for n := 0; n < perCaller && ctx.Err() == nil; n++ {
				try, stop := context.WithTimeout(ctx, operationTimeout)
				conn, err := pgx.Connect(try, c.callerURL(c.instanceNames[rng.IntN(len(c.instanceNames))], partition))
				if err == nil {
					r := runTransaction(try, conn, fmt.Sprintf("t%d-%d", id, n), rng.IntN(5) == 0, t)
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					_ = conn.Close(try)
				}
				stop()
			}
		})
	}
	work.Wait()
	close(done)
	faults.Wait()
	c.checkTransactions(t, ctx, results)
}

// checkTransactions compares the rows of each transaction with its outcome.
func (c *cluster) checkTransactions(t *testing.T, ctx context.Context, results []transactionResult) {
	t.Helper()
	c.waitReplicating(t, failoverGroup)
	db := c.connectDirect(t, c.primary(t, failoverGroup))
	committed, open := 0, 0
	failures := make(map[string]int)
	for _, r := range results {
		var n int
		if err := db.QueryRow(ctx, "SELECT count(*) FROM parts WHERE tx = $1", r.id).Scan(&n); err != nil {
			t.Fatal(err)
		}
		switch {
		case n != 0 && n != rowsPerTransaction:
			t.Errorf("transaction %s left %d of %d rows", r.id, n, rowsPerTransaction)
		case r.committed && n == 0:
			t.Errorf("committed transaction %s is lost", r.id)
		case !r.committed && !r.unknown && n != 0:
			t.Errorf("transaction %s was not committed and its rows are present", r.id)
		}
		if r.failedStep != "" {
			failures[r.failedStep]++
		}
		if r.committed {
			committed++
		}
		if r.unknown {
			open++
		}
	}
	t.Logf("%d transactions, %d committed, %d with unknown outcome, failures %v", len(results), committed, open, failures)
	if committed == 0 {
		t.Error("no transaction was committed, so the test has checked nothing")
	}
}

// owners returns the instances that own connections to a database.
func (c *cluster) owners(t testing.TB, database string) []string {
	t.Helper()
	var out []string
	for _, in := range c.instanceNames {
		s, err := c.status(in)
		if err != nil {
			continue
		}
		for _, d := range s.GetDatabases() {
			if d.GetDatabase() == database {
				out = append(out, in)
			}
		}
	}
	return out
}

// openTransaction starts a transaction through an instance and inserts a row in it.
func (c *cluster) openTransaction(t *testing.T, ctx context.Context, instance, partition, id string) (*pgx.Conn, pgx.Tx) {
	t.Helper()
	conn := c.connect(t, instance, partition)
	if _, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS pinned (id text PRIMARY KEY)"); err != nil {
		t.Fatal(err)
	}
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO pinned (id) VALUES ($1)", id); err != nil {
		t.Fatal(err)
	}
	return conn, tx
}

// Guards against a transaction that stays open after the instance that its caller
// was connected to was killed: it holds locks and one of few connections.
func TestEntryKilledInTransactionRollsBack(t *testing.T) {
	c := startCluster(t, options{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	partition := "geraniumbeam.partition=" + c.partitionKey(t, failoverGroup)
	// gb-7 is in a data centre without a database of the group, so that another
	// instance owns the connection.
	c.openTransaction(t, ctx, "gb-7", partition, "orphan")
	other := c.connect(t, "gb-3", partition, "geraniumbeam.class=default")
	c.instances["gb-7"].kill(t)
	start := time.Now()
	// The database allows one writer at a time, so this write waits for the rollback.
	waitFor(t, 30*time.Second, "a write of another session is acknowledged", func() bool {
		_, err := other.Exec(ctx, "INSERT INTO pinned (id) VALUES ('after') ON CONFLICT (id) DO NOTHING")
		return err == nil
	})
	took := time.Since(start)
	var n int
	if err := other.QueryRow(ctx, "SELECT count(*) FROM pinned WHERE id = 'orphan'").Scan(&n); err != nil {
		t.Fatal(err)
	}
	t.Logf("the next write was acknowledged after %v", took.Round(time.Millisecond))
	if n != 0 {
		t.Error("the transaction of the killed instance was committed")
	}
	if took > rollbackBound {
		t.Errorf("transaction rolled back after %v, want at most %v", took, rollbackBound)
	}
}

// Guards against a wrong outcome for the caller when the owners of a transaction's
// connection are killed before COMMIT was sent: the transaction is rolled back, and
// the error must say so.
func TestPoolKilledInTransactionSaysRolledBack(t *testing.T) {
	c := startCluster(t, options{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	partition := "geraniumbeam.partition=" + c.partitionKey(t, failoverGroup)
	_, tx := c.openTransaction(t, ctx, "gb-7", partition, "lost")
	for _, in := range c.owners(t, c.primary(t, failoverGroup)) {
		c.instances[in].kill(t)
	}
	_, err := tx.Exec(ctx, "INSERT INTO pinned (id) VALUES ('second')")
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != "40000" || !strings.HasPrefix(pg.Message, "GB4002") {
		t.Errorf("statement after the owner was killed: got error %v, want GB4002 with SQLSTATE 40000", err)
	}
	_ = tx.Rollback(ctx)
	for _, in := range c.instanceNames {
		if !c.instances[in].running() {
			c.instances[in].start(t)
		}
	}
	c.waitReady(t)
	var n int
	waitFor(t, 30*time.Second, "the table can be read", func() bool {
		conn, err := pgx.Connect(ctx, c.callerURL("gb-3", partition))
		if err != nil {
			return false
		}
		defer conn.Close(ctx)
		return conn.QueryRow(ctx, "SELECT count(*) FROM pinned").Scan(&n) == nil
	})
	if n != 0 {
		t.Errorf("found %d rows of the rolled back transaction, want 0", n)
	}
}
