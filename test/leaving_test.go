package integration

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/platform"
)

// maxLeavingDelay bounds the time until a leaving database gets no new statements.
const maxLeavingDelay = 2 * time.Second

// markLeaving marks a database as leaving on the platform.
func (c *cluster) markLeaving(t testing.TB, group, database string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	api := c.platformClient()
	defer api.Close()
	o, err := api.Get(ctx, platform.KindGroup, group)
	if err != nil {
		t.Fatal(err)
	}
	var g platform.Group
	if err := json.Unmarshal(o.Data, &g); err != nil {
		t.Fatal(err)
	}
	for i := range g.Databases {
		if g.Databases[i].Name == database {
			g.Databases[i].Leaving = true
		}
	}
	data, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := api.Put(ctx, platform.KindGroup, group, o.Version, data); err != nil {
		t.Fatal(err)
	}
}

// statementCount returns the number of statements that a database executed, without
// this query itself.
func statementCount(t testing.TB, conn *pgx.Conn) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var n int64
	if err := conn.QueryRow(ctx, "SELECT standin_get('statements')").Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// markLeavingUnderLoad marks a database as leaving while callers read and write,
// and returns the number of statements that it executed in the 2 s that begin
// maxLeavingDelay later.
func markLeavingUnderLoad(t *testing.T, database string) (late int64, c *cluster, l *insertWorkload) {
	t.Helper()
	parallelCluster(t)
	c, l = startClusterWithWrites(t, options{})
	s, conn := c.newSession(t, l, "gb-3"), c.connectDirect(t, database)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, in := range c.instanceNames {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = s.read(in, "default")
				}
			}
		})
	}
	before := statementCount(t, conn)
	waitFor(t, 30*time.Second, "the database executes statements", func() bool { return statementCount(t, conn) > before+20 })
	c.markLeaving(t, failoverGroup, database)
	time.Sleep(maxLeavingDelay)
	before = statementCount(t, conn)
	time.Sleep(2 * time.Second)
	late = statementCount(t, conn) - before
	close(done)
	wg.Wait()
	t.Logf("%s executed %d statements in the 2 s that began %v after it was marked as leaving", database, late, maxLeavingDelay)
	return late, c, l
}

// Guards against a leaving replica that still gets statements after the bound.
func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	late, c, l := markLeavingUnderLoad(t, "huts-1-c")
	if late > 0 {
		t.Errorf("the leaving replica executed %d statements after the bound, want 0", late)
	}
	c.finishAndCheck(t, l).reportViolations(t)
}

// Guards against a leaving primary that still gets statements after the bound, and
// against a group that has no primary afterwards.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	late, c, l := markLeavingUnderLoad(t, "huts-1-a")
	if late > 0 {
		t.Errorf("the leaving primary executed %d statements after the bound, want 0", late)
	}
	waitFor(t, 30*time.Second, "another primary is promoted", func() bool { return c.primary(t, failoverGroup) != "huts-1-a" })
	c.finishAndCheck(t, l).reportViolations(t)
}
