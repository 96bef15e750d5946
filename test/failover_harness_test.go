package integration

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/platform"
	standin "geraniumbeam/internal/standin/platform"
	"geraniumbeam/internal/wire"
)

// startClusterWithWrites starts a cluster with inserts through all instances and
// returns once more than 200 of them have ended.
func startClusterWithWrites(t *testing.T, opts options) (*cluster, *insertWorkload) {
	t.Helper()
	c := startCluster(t, opts)
	l := startInsertWorkload(t, c, failoverGroup, c.instanceNames, 2)
	waitFor(t, 20*time.Second, "writes are acknowledged", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.results) > 200
	})
	return c, l
}

// finishAndCheck waits until the group has recovered from all faults, stops the
// workload and checks it.
func (c *cluster) finishAndCheck(t *testing.T, l *insertWorkload) workloadResult {
	t.Helper()
	c.waitReplicating(t, failoverGroup)
	repaired := time.Now()
	waitFor(t, 30*time.Second, "writes are acknowledged after the repair", func() bool {
		_, ok := l.firstAcknowledgedAfter(repaired)
		return ok
	})
	l.finish()
	c.waitConverged(t, failoverGroup)
	t.Logf("longest time without an acknowledged write %v", l.longestWriteGap().Round(time.Millisecond))
	return l.check(t, failoverGroup)
}

// term returns the highest term that a database of the group reports.
func (c *cluster) term(t testing.TB, group string) int64 {
	t.Helper()
	var highest int64
	for _, d := range c.databaseNames(group) {
		if s, err := c.databaseStatus(t, d); err == nil {
			highest = max(highest, s.term)
		}
	}
	return highest
}

// groupObject reads the group from the platform.
func (c *cluster) groupObject(t testing.TB, api *platform.Client, group string) platform.Group {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var g platform.Group
	o, err := api.Get(ctx, platform.KindGroup, group)
	if err != nil {
		t.Fatalf("read group %s: %v", group, err)
	}
	if err := json.Unmarshal(o.Data, &g); err != nil {
		t.Fatal(err)
	}
	return g
}

// waitPrimaryPublished waits until the platform holds the group's current primary and
// term.
func (c *cluster) waitPrimaryPublished(t testing.TB, group string) {
	t.Helper()
	api := c.platformClient()
	defer api.Close()
	waitFor(t, 30*time.Second, "the platform names the primary of "+group, func() bool {
		g := c.groupObject(t, api, group)
		return int64(g.Term) == c.term(t, group) && g.Primary == c.primary(t, group)
	})
}

// Beginnings of the texts of promotion events. The term follows.
const (
	promotedPrefix  = "became the primary of term "
	candidatePrefix = "have lost the primary of term "
)

// promotionEvents returns the promotion events of all instances that answer.
func (c *cluster) promotionEvents(group string) []*wire.Event {
	var out []*wire.Event
	for _, in := range c.instanceNames {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := c.clients.Admin(c.innerAddress[in]).Events(ctx, &wire.EventsRequest{Group: group, Limit: 1000})
		cancel()
		if err != nil {
			continue
		}
		for _, e := range resp.GetEvents() {
			if e.GetKind() == string(events.KindPromotion) {
				out = append(out, e)
			}
		}
	}
	return out
}

// logPhases logs the duration of each phase of the recorded promotions. A candidate
// records them last, after it has updated the platform and the other databases.
func (c *cluster) logPhases(t testing.TB, group string) {
	t.Helper()
	var lines []string
	waitFor(t, 20*time.Second, "an instance recorded the phases of a promotion", func() bool {
		lines = nil
		for _, e := range c.promotionEvents(group) {
			if strings.HasPrefix(e.GetText(), promotedPrefix) {
				lines = append(lines, e.GetInstance()+": "+e.GetText())
			}
		}
		return len(lines) > 0
	})
	for _, line := range lines {
		t.Log(line)
	}
}

// Classes that tests add to a deployment. Both refuse a read whose staleness can't be
// bounded.
const (
	recentClass   = "recent" // reads data at most one second old
	tolerantAge   = 5 * time.Minute
	tolerantClass = "patient" // reads data at most five minutes old
)

// addAgeClasses adds the classes whose reads have a maximum age.
func addAgeClasses(s *standin.Seed) {
	add := func(name string, age time.Duration) {
		s.Classes = append(s.Classes, catalog.Class{
			Name: name, Service: s.Services[0].Name, Rank: catalog.RankNormal,
			LatencyTarget: catalog.Duration(2 * time.Second),
			Reads:         catalog.ReadPolicy{MaxAge: catalog.Duration(age), WhenStale: catalog.WhenStaleRefuse},
		})
	}
	add(recentClass, time.Second)
	add(tolerantClass, tolerantAge)
}

// rowSession is a session that wrote one row and reads it, with its token, through any
// instance.
type rowSession struct {
	c         *cluster
	partition string
	token     string
}

// newSession writes a row to the table of the workload and returns the session.
func (c *cluster) newSession(t testing.TB, l *insertWorkload, instance string) *rowSession {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn := c.connect(t, instance, "geraniumbeam.partition="+l.partition)
	if _, err := conn.Exec(ctx, "INSERT INTO ledger (id) VALUES ('session')"); err != nil {
		t.Fatal(err)
	}
	return &rowSession{c, l.partition, conn.PgConn().ParameterStatus(tokenParameter)}
}

// read reads the session's row through an instance. A missing row is an error.
func (s *rowSession) read(instance, class string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.c.callerURL(instance, "geraniumbeam.partition="+s.partition,
		"geraniumbeam.class="+class, tokenParameter+"="+s.token))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var id string
	return conn.QueryRow(ctx, "SELECT id FROM ledger WHERE id = 'session'").Scan(&id)
}

// countOutcomes counts the writes that were sent through the instances in a period, by
// outcome.
func (l *insertWorkload) countOutcomes(instances map[string]bool, from, to time.Time) (acknowledged, refused, unknown int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.results {
		if !instances[e.instance] || e.sent.Before(from) || e.sent.After(to) {
			continue
		}
		switch {
		case e.err == nil:
			acknowledged++
		case notRun(e.err):
			refused++
		default:
			unknown++
		}
	}
	return acknowledged, refused, unknown
}

// slowestRefusal returns the longest time from a write that was sent after at to its
// refusal.
func (l *insertWorkload) slowestRefusal(at time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var slowest time.Duration
	for _, e := range l.results {
		if e.err != nil && notRun(e.err) && e.sent.After(at) {
			slowest = max(slowest, e.done.Sub(e.sent))
		}
	}
	return slowest
}

// checkServed checks that a read through the instance succeeds within 20 s. Single
// attempts may fail while the instance selects another database.
func (s *rowSession) checkServed(t testing.TB, instance, class string) {
	t.Helper()
	var err error
	limit := time.Now().Add(20 * time.Second)
	for time.Now().Before(limit) {
		if err = s.read(instance, class); err == nil {
			return
		}
	}
	t.Errorf("read of class %s through %s still fails after 20 s: %v", class, instance, err)
}

// checkRefused checks that a read through the instance is refused as not run.
func (s *rowSession) checkRefused(t testing.TB, instance, class string) {
	t.Helper()
	if err := s.read(instance, class); err == nil || !notRun(err) {
		t.Errorf("read of class %s through %s: got error %v, want a refusal as not run", class, instance, err)
	}
}
