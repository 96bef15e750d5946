package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/settings"
)

// feeWorker is a caller that adjusts fees. Each adjustment has its own request key
// and is repeated, through any instance, until the caller knows its outcome.
type feeWorker struct {
	c         *cluster
	id        int
	rng       *rand.Rand
	partition string
	withKey   bool
	stats     *feeStats
}

type feeStats struct {
	mu         sync.Mutex
	completed  int // adjustments that were acknowledged
	retries    int // repeated requests
	unresolved int // adjustments that were never acknowledged
	unknown    int // requests that ended with an unknown outcome
}

// attemptTimeout bounds one attempt of an adjustment.
const attemptTimeout = 3 * time.Second

// adjust sends one adjustment until it is acknowledged.
func (f *feeWorker) adjust(ctx context.Context, n int) {
	key := fmt.Sprintf("fee-%d-%d", f.id, n)
	for try := 0; ctx.Err() == nil; try++ {
		err := f.attempt(ctx, key)
		f.stats.mu.Lock()
		if try > 0 {
			f.stats.retries++
		}
		if err == nil {
			f.stats.completed++
			f.stats.mu.Unlock()
			return
		}
		if !notRun(err) {
			f.stats.unknown++
		}
		f.stats.mu.Unlock()
		time.Sleep(time.Duration(f.rng.Int64N(int64(50 * time.Millisecond))))
	}
	f.stats.mu.Lock()
	f.stats.unresolved++
	f.stats.mu.Unlock()
}

func (f *feeWorker) attempt(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	instance := f.c.instanceNames[f.rng.IntN(len(f.c.instanceNames))]
	conn, err := pgx.Connect(ctx, f.c.callerURL(instance, "geraniumbeam.partition="+f.partition, "geraniumbeam.class=adjust-fee"))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	sql := "UPDATE fees SET total = total + 1 WHERE vendor = 'v1'"
	if f.withKey {
		sql = "/* geraniumbeam key=" + key + " */ " + sql
	}
	tag, err := conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	if err == nil && tag.RowsAffected() != 1 {
		return fmt.Errorf("%d rows affected, want 1", tag.RowsAffected())
	}
	return err
}

// runFeeWorkload runs callers while connections are reset at random and instances
// are restarted. It returns the counter in the database, and the callers' counts.
func runFeeWorkload(t *testing.T, opts options, withKey bool, perCaller int) (total int, stats *feeStats) {
	t.Helper()
	const callers, seed = 8, 5
	c := startCluster(t, opts)
	partition := c.partitionKey(t, failoverGroup)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	setup := c.connect(t, "gb-3", "geraniumbeam.partition="+partition)
	for _, sql := range []string{
		"CREATE TABLE fees (vendor text PRIMARY KEY, total bigint)",
		"INSERT INTO fees (vendor, total) VALUES ('v1', 0)",
	} {
		if _, err := setup.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	stats = &feeStats{}
	done := make(chan struct{})
	var faults, work sync.WaitGroup
	faults.Go(func() { c.injectResets(t, rand.New(rand.NewPCG(seed, 1)), resetInterval, done) })
	for id := range callers {
		work.Go(func() {
			f := &feeWorker{c: c, id: id, rng: rand.New(rand.NewPCG(seed, uint64(100+id))), partition: partition, withKey: withKey, stats: stats}
			for n := range perCaller {
				f.adjust(ctx, n)
			}
		})
	}
	work.Wait()
	close(done)
	faults.Wait()
	c.waitReplicating(t, failoverGroup)
	if err := c.connectDirect(t, c.primary(t, failoverGroup)).QueryRow(ctx, "SELECT total FROM fees WHERE vendor = 'v1'").Scan(&total); err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: counter %d, acknowledged %d, never acknowledged %d, retries %d, unknown outcomes %d", seed, total, stats.completed, stats.unresolved, stats.retries, stats.unknown)
	return total, stats
}

// resetInterval is the time between two resets of connections. Requests take a few
// milliseconds.
const resetInterval = 100 * time.Millisecond

// injectResets resets, in turn, the links of callers, links between instances and
// links to databases, and restarts an instance in every 20th round.
func (c *cluster) injectResets(t *testing.T, rng *rand.Rand, every time.Duration, done <-chan struct{}) {
	for round := 0; ; round++ {
		select {
		case <-done:
			return
		case <-time.After(every):
		}
		switch {
		case round%20 == 19:
			instance := c.instanceNames[rng.IntN(len(c.instanceNames))]
			c.instances[instance].kill(t)
			c.instances[instance].start(t)
		case round%3 == 0:
			c.links.reset(t, func(l link) bool { return l.from == callerEndpoint })
		case round%3 == 1:
			c.links.reset(t, func(l link) bool {
				return strings.HasPrefix(l.from, "gb-") && strings.HasPrefix(l.to, "gb-") && rng.IntN(3) == 0
			})
		default:
			c.links.reset(t, func(l link) bool {
				return strings.HasPrefix(l.from, "gb-") && strings.HasPrefix(l.to, failoverGroup) && rng.IntN(3) == 0
			})
		}
	}
}

// Guards against an adjustment that is applied twice or lost when connections are
// reset or an instance is killed and the caller repeats the request, with its key,
// through another instance. The counter must be the number of acknowledged
// adjustments, plus at most the number of those never acknowledged.
func TestAdjustmentsRunAtMostOnce(t *testing.T) {
	perCaller := 60
	if longTests {
		perCaller = 500
	}
	total, stats := runFeeWorkload(t, options{}, true, perCaller)
	if total < stats.completed || total > stats.completed+stats.unresolved {
		t.Errorf("counter is %d, want a value from %d to %d", total, stats.completed, stats.completed+stats.unresolved)
	}
	if stats.retries == 0 || stats.unknown == 0 {
		t.Error("no request was interrupted after it was sent, so the test has checked nothing")
	}
}

// Guards against a test of request keys that can't fail: with request keys disabled,
// it must find adjustments that ran twice.
func TestAdjustmentsWithoutKeysRunTwice(t *testing.T) {
	total, stats := runFeeWorkload(t, options{unsafe: settings.Unsafe{NoRequestKeys: true}}, true, 60)
	if total <= stats.completed+stats.unresolved {
		t.Fatal("no adjustment ran twice with request keys disabled: the test can't detect one")
	}
}
