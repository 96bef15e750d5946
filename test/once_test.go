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

// feeWorker adjusts fees. Each adjustment has its own request key and is sent
// again, through any instance, until the caller learns its outcome.
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
	completed  int // adjustments whose outcome the caller learned
	retries    int // requests after the first of an adjustment
	unresolved int // adjustments whose outcome was never learned
	unknown    int // answers that left the outcome open
}

// attemptTimeout bounds one attempt.
const attemptTimeout = 3 * time.Second

// adjust sends one adjustment until its outcome is known.
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
// are killed and started again, and returns the counter beside the number of
// adjustments.
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
	t.Logf("seed %d: counter %d, settled %d, never learned %d, repeats %d, unknown %d", seed, total, stats.completed, stats.unresolved, stats.retries, stats.unknown)
	return total, stats
}

// resetInterval is the time between two resets of requests that take a few
// milliseconds.
const resetInterval = 100 * time.Millisecond

// injectResets resets the links of callers, between instances and to
// databases, and kills an instance now and then.
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

// Guards against a fee adjustment that is applied twice or lost: connections
// are cut at every step and instances killed, and callers repeat each request
// through other instances with its key. The counter must equal the number of
// adjustments whose outcome was learned, plus at most those never learned.
func TestAdjustmentsRunAtMostOnce(t *testing.T) {
	perCaller := 60
	if longTests {
		perCaller = 500
	}
	total, stats := runFeeWorkload(t, options{}, true, perCaller)
	if total < stats.completed || total > stats.completed+stats.unresolved {
		t.Errorf("counter is %d, want %d to %d", total, stats.completed, stats.completed+stats.unresolved)
	}
	if stats.retries == 0 || stats.unknown == 0 {
		t.Error("no request was cut after it was sent; the proof shows nothing")
	}
}

// Shows that the request key is what keeps the promise.
func TestAdjustmentsWithoutKeysRunTwice(t *testing.T) {
	total, stats := runFeeWorkload(t, options{unsafe: settings.Unsafe{NoRequestKeys: true}}, true, 60)
	if total <= stats.completed+stats.unresolved {
		t.Fatal("no adjustment ran twice with request keys off; the proof shows nothing")
	}
}
