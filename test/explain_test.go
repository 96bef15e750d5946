package integration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against a refusal or a change of primary that the commands explain and
// timeline can't explain from the events that the instances recorded.
func TestExplain(t *testing.T) {
	c := startCluster(t, options{databaseFlags: []string{"--service-time", "20ms"}})
	t.Run("bad class", func(t *testing.T) {
		r := c.expectRefusal(t, "gb-1", "huts-1", "/* geraniumbeam class=no-such */ SELECT 1")
		c.ctl(t, "explain", requestID(t, r)).want(t, 0, "gb-1: Refused", "GB1003", "no-such", "confirm-hut", "Conclusion: the request was not run. Sending it again unchanged will fail again.")
	})
	t.Run("overload", func(t *testing.T) { testExplainOverload(t, c) })
	t.Run("change of primary", func(t *testing.T) { testTimeline(t, c) })
	t.Run("no primary", func(t *testing.T) { testExplainNoPrimary(t, c) })
	t.Run("unreachable instance", func(t *testing.T) {
		// The instance that replaced the primary holds the events and must keep
		// running.
		killed := "gb-7"
		if strings.Contains(c.ctl(t, "timeline", "huts-2").out, killed+": Change of primary: became") {
			killed = "gb-5"
		}
		c.instances[killed].kill(t)
		c.ctl(t, "timeline", "huts-2").want(t, 3, "became the primary of term 2", "No answer from "+killed+"; its part may be missing.")
		c.ctl(t, "explain", "unknown-1").want(t, 3, "Nothing is recorded about request unknown-1.", "No answer from "+killed)
	})
}

// expectRefusal runs a statement, which must fail, and returns the database error.
func (c *cluster) expectRefusal(t testing.TB, instance, group, sql string) *pgconn.PgError {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.connect(t, instance, "geraniumbeam.partition="+c.partitionKey(t, group)).Exec(ctx, sql)
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		t.Fatalf("%s: got error %v, want a database error", sql, err)
	}
	return pg
}

// requestID returns the id of the request that an error belongs to.
func requestID(t testing.TB, err *pgconn.PgError) string {
	t.Helper()
	id, ok := strings.CutPrefix(err.Where, "request ")
	if !ok || id == "" {
		t.Fatalf("error %q has the context %q, want a request id", err.Message, err.Where)
	}
	return id
}

// testExplainOverload sends more statements than two slots, at 20 ms each, can
// serve within 300 ms.
func testExplainOverload(t *testing.T, c *cluster) {
	const callers, rounds = 48, 6
	var mu sync.Mutex
	var shed *pgconn.PgError
	var wg sync.WaitGroup
	for range callers {
		conn := c.connect(t, "gb-1", "geraniumbeam.class=confirm-hut", "geraniumbeam.partition="+c.partitionKey(t, "huts-1"))
		wg.Go(func() {
			for range rounds {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				_, err := conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS explained (id text PRIMARY KEY)")
				cancel()
				var pg *pgconn.PgError
				if errors.As(err, &pg) && strings.HasPrefix(pg.Message, "GB3001") {
					mu.Lock()
					shed = pg
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if shed == nil {
		t.Fatalf("none of %d requests was refused as overloaded", callers*rounds)
	}
	r := c.ctl(t, "explain", requestID(t, shed)).want(t, 0, "Refused because of load", "GB3001 overloaded", "group huts-1",
		"class hut-ledger.confirm-hut", "Conclusion: the request was not run. Sending it again is safe")
	if strings.Contains(r.out, "class confirm-hut") {
		t.Error("the class is named without its service by some instance")
	}
}

func testTimeline(t *testing.T, c *cluster) {
	c.databases["huts-2-a"].kill(t)
	waitFor(t, maxFailoverTime, "the change of primary is recorded", func() bool {
		r := c.ctl(t, "timeline", "huts-2")
		return strings.Contains(r.out, "became the primary of term 2")
	})
	r := c.ctl(t, "timeline", "huts-2").want(t, 0, "have lost the primary of term 1; this instance starts to replace it",
		"time per phase: detection ", "term ", "raise ", "promote ", "redirect ", "Change of primary")
	if lost, won := strings.Index(r.out, "have lost"), strings.Index(r.out, "became the primary"); lost > won {
		t.Error("the timeline is not in chronological order")
	}
	c.ctl(t, "timeline", "huts-1").want(t, 0, "took over the connections to the database").lacks(t, "became the primary", "GB3001")
}

// testExplainNoPrimary kills two of the three databases, which leaves no majority.
func testExplainNoPrimary(t *testing.T, c *cluster) {
	c.databases["huts-3-a"].kill(t)
	c.databases["huts-3-b"].kill(t)
	var pg *pgconn.PgError
	waitFor(t, 10*time.Second, "a write is refused as not run", func() bool {
		pg = c.expectRefusal(t, "gb-2", "huts-3", fmt.Sprintf("CREATE TABLE explained_%d (id text PRIMARY KEY)", time.Now().UnixNano()))
		return strings.Contains(pg.Detail, "not run")
	})
	c.ctl(t, "explain", requestID(t, pg)).want(t, 0, "gb-2: Refused", "group huts-3", "Conclusion: the request was not run. Sending it again is safe")
}
