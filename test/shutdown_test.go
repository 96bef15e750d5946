package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// ownershipGapTarget is the objective for the time without an acknowledged write while
// the ownership of connections moves from an instance that shuts down.
const ownershipGapTarget = 200 * time.Millisecond

// Guards against a rolling restart that loses, repeats or aborts writes: all seven
// instances are shut down gracefully and restarted, one after the other, under load
// through all of them.
func TestRollingReplacementLosesNothing(t *testing.T) {
	c := startCluster(t, options{})
	l := startInsertWorkload(t, c, failoverGroup, c.instanceNames, 2)
	start := time.Now()
	waitFor(t, 20*time.Second, "writes are acknowledged", func() bool {
		_, ok := l.firstAcknowledgedAfter(start)
		return ok
	})
	for _, in := range c.instanceNames {
		if code := c.instances[in].terminate(t, 40*time.Second); code != 0 {
			t.Errorf("%s: exit code %d after SIGTERM, want 0", in, code)
		}
		c.instances[in].start(t)
		c.waitReady(t)
	}
	l.finish()
	gap := l.longestWriteGap()
	t.Logf("longest time without an acknowledged write %v, objective %v", gap.Round(time.Millisecond), ownershipGapTarget)
	c.waitConverged(t, failoverGroup)
	v := l.check(t, failoverGroup)
	v.reportViolations(t)
	if v.unknown != 0 {
		t.Errorf("%d writes have an unknown outcome, want none", v.unknown)
	}
}

// Guards against a shutdown that aborts requests in flight: callers of an
// instance that receives SIGTERM under load get answers, or refusals that say
// that the request was not run, and the process exits with 0.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	c := startCluster(t, options{})
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	setup := c.connect(t, "gb-2")
	if _, err := setup.Exec(ctx, "CREATE TABLE IF NOT EXISTS drained (id text PRIMARY KEY)"); err != nil {
		t.Fatal(err)
	}
	type outcome struct {
		id  string
		err error
	}
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for worker := range 16 {
		conn := c.connect(t, "gb-1")
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", worker, i)
				_, err := conn.Exec(ctx, "INSERT INTO drained (id) VALUES ($1)", id)
				mu.Lock()
				outcomes = append(outcomes, outcome{id, err})
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	waitFor(t, 20*time.Second, "load is running", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(outcomes) > 200
	})
	if code := c.instances["gb-1"].terminate(t, 40*time.Second); code != 0 {
		t.Errorf("gb-1: exit code %d after SIGTERM, want 0", code)
	}
	close(stop)
	wg.Wait()
	acknowledged := 0
	for _, o := range outcomes {
		var n int
		if err := setup.QueryRow(ctx, "SELECT count(*) FROM drained WHERE id = $1", o.id).Scan(&n); err != nil {
			t.Fatal(err)
		}
		switch {
		case o.err == nil && n != 1:
			t.Errorf("acknowledged insert %s: found %d rows, want 1", o.id, n)
		case o.err != nil && !notRun(o.err):
			t.Errorf("insert %s was aborted: %v", o.id, o.err)
		case o.err != nil && n != 0:
			t.Errorf("insert %s was run although it was refused as not run", o.id)
		}
		if o.err == nil {
			acknowledged++
		}
	}
	t.Logf("%d inserts, %d acknowledged", len(outcomes), acknowledged)
}
