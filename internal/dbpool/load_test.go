package dbpool

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// slotDatabase has slots in which statements run and connections are opened.
type slotDatabase struct {
	countingDatabase
	slots chan struct{}
}

type slotConn struct {
	Conn
	db *slotDatabase
}

const (
	loadSlots     = 4
	loadOpenTime  = 12 * time.Millisecond
	loadStatement = 18 * time.Millisecond
	loadInstances = 79
)

func (d *slotDatabase) occupy(t time.Duration) {
	d.slots <- struct{}{}
	time.Sleep(t)
	<-d.slots
}

func (d *slotDatabase) dial(ctx context.Context, address, service, id, organisation string) (Conn, error) {
	c, err := d.countingDatabase.dial(ctx, address, service, id, organisation)
	if err != nil {
		return nil, err
	}
	d.occupy(loadOpenTime)
	return &slotConn{c, d}, nil
}

func (c *slotConn) Do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	for _, cmd := range commands {
		if cmd.Op == statement.OpStatement && cmd.Statement.Kind != statement.Begin {
			c.db.occupy(loadStatement)
		}
	}
	return c.Conn.Do(deadline, commands)
}

// load is a load on one database with owners: the rates of the organisations follow a Zipf
// law.
type load struct {
	organisations int
	exponent      float64
	rate          float64 // requests per second
	transactions  float64 // share of the requests that are a transaction of two statements
	think         time.Duration
	owners        int
	limit         int
	enforced      int // limit that the database enforces; 0: limit
	warmUp, time  time.Duration
}

// loadResult is what a load led to after the warm-up.
type loadResult struct {
	requests, opened, refused, peak, failed int
	latencies                               []time.Duration // of requests that are no transactions, ascending
}

func (l load) run(t *testing.T) loadResult {
	began := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(began) }
	db := &slotDatabase{countingDatabase: countingDatabase{now: now, linger: closeSettleTime / 2}, slots: make(chan struct{}, loadSlots)}
	db.limit = cmp.Or(l.enforced, l.limit)
	pools, owners := make([]*Pool, l.owners), make(map[string]*Pool)
	for i := range pools {
		pools[i] = New(Config{
			Database: topology.Database{ID: "db-1", Service: "ledger"}, Dial: db.dial, Clock: clock.Real{}, Now: now,
			Sizing: SizingFor(l.limit, l.owners, l.limit, true).perOrganisation(l.limit, l.owners),
		})
	}
	instances := make([]*paths, loadInstances) // each has its own connections to the owners
	for i := range instances {
		instances[i] = &paths{database: "db-1"}
	}
	for i, p := range pools {
		name := fmt.Sprint("instance-", i)
		owners[name] = p
		for _, in := range instances {
			in.owners = append(in.owners, New(Config{Owner: name, Clock: clock.Real{}, Now: now, Sizing: ownerSizing}))
		}
	}
	var cumulated []float64
	sum := 0.0
	for i := range l.organisations {
		sum += math.Pow(float64(i+1), -l.exponent)
		cumulated = append(cumulated, sum)
	}
	var (
		res loadResult
		mu  sync.Mutex
		wg  sync.WaitGroup
		rng = rand.New(rand.NewPCG(1, 1))
	)
	maintained := time.Duration(0)
	for warm := false; time.Since(began) < l.warmUp+l.time; time.Sleep(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))) {
		if !warm && time.Since(began) > l.warmUp {
			warm = true
			db.takeDialed()
			db.refused = 0
		}
		if time.Since(began)-maintained > maintainInterval {
			maintained = time.Since(began)
			for _, p := range pools {
				p.Maintain(t.Context())
			}
		}
		at, _ := slices.BinarySearch(cumulated, rng.Float64()*sum)
		organisation, transaction := fmt.Sprint("organisation-", at), rng.Float64() < l.transactions
		counts := warm
		in := instances[rng.IntN(loadInstances)]
		wg.Go(func() {
			sent := time.Now()
			err := l.request(in, owners, organisation, transaction)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !counts:
			case err != nil:
				res.failed++
			case !transaction:
				res.latencies = append(res.latencies, time.Since(sent))
			}
		})
		if counts {
			res.requests++
		}
	}
	wg.Wait()
	for _, p := range pools {
		p.Close()
	}
	slices.Sort(res.latencies)
	res.opened, res.refused, res.peak = len(db.takeDialed()), db.refused, db.peak
	if len(db.wrong) > 0 {
		t.Errorf("statements ran on wrong connections: %v", db.wrong)
	}
	return res
}

// request sends a request of an instance through the owner that the instance chooses.
func (l load) request(in *paths, owners map[string]*Pool, organisation string, transaction bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	r := admission.Request{Class: "c", Caller: organisation, Organisation: organisation, Deadline: deadline}
	acquire := func() (*Lease, error) {
		via := in.pickFor(organisation)
		lease, err := owners[via.owner].Acquire(ctx, r, nil)
		via.observeRefusal(organisation, err)
		return lease, err
	}
	lease, err := acquire()
	for result.Is(err, result.ConnectionsBusy) && ctx.Err() == nil { // as a session does
		time.Sleep(20 * time.Millisecond)
		lease, err = acquire()
	}
	if err != nil {
		return err
	}
	x := Exchange{Statement: statement.Statement{Text: organisation}, Deadline: deadline}
	if transaction {
		x.Begin = &statement.Statement{Kind: statement.Begin, Text: organisation}
	}
	if _, err = lease.Run(x); err == nil && transaction {
		time.Sleep(l.think)
		_, err = lease.Run(Exchange{Statement: statement.Statement{Kind: statement.Commit, Text: organisation}, Deadline: time.Now().Add(time.Second)})
	}
	if err != nil {
		lease.Discard()
		return err
	}
	lease.Release()
	return nil
}

// usualLoad is that of a database of the first deployment, without transactions.
var usualLoad = load{organisations: 82, exponent: 1.2, rate: 40, owners: 7, limit: 70, warmUp: time.Minute, time: 3 * time.Minute}

func (r loadResult) log(t *testing.T) {
	n := len(r.latencies)
	t.Logf("%d requests, %.1f new connections per 100, %d refused, at most %d at once, %d failed, latency p50 %v, p90 %v, p99 %v, max %v",
		r.requests, 100*float64(r.opened)/float64(r.requests), r.refused, r.peak, r.failed, r.latencies[n/2], r.latencies[n*9/10], r.latencies[n*99/100], r.latencies[n-1])
}

// Guards against connections that are opened without need, requests that wait or fail
// because the connections serve other organisations, and more connections than the
// owners' share. The bound of new connections is half of those of owners that serve any
// organisation and close the oldest connection, 50 per 100 requests
// (placement.TestNewConnectionsPerRequest).
func TestLoadOfManyOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := usualLoad
		l.transactions, l.think = 0.2, 30*time.Millisecond
		res := l.run(t)
		n := len(res.latencies)
		res.log(t)
		if 100*res.opened > 25*res.requests || res.failed > 0 || res.peak > 56 {
			t.Errorf("%d connections for %d requests, want at most a quarter; %d failed; %d connections at once, want at most 56",
				res.opened, res.requests, res.failed, res.peak)
		}
		if p99 := res.latencies[n*99/100]; p99 > 100*time.Millisecond {
			t.Errorf("a hundredth of the requests takes %v or more, want less than 100 ms", p99)
		}
	})
}

// Guards against requests that fail because callers of large organisations stay idle in
// transactions: four connections of the database are in use for that on average, and up to
// all five permits of the owner that serves the organisation.
func TestLoadWithIdleTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := usualLoad
		l.transactions, l.think = 0.05, 2*time.Second
		res := l.run(t)
		res.log(t)
		if res.failed > 0 || res.peak > 56 {
			t.Errorf("%d of %d requests failed; %d connections at once, want at most 56", res.failed, res.requests, res.peak)
		}
	})
}

// Guards against owners that fail or stop requests while others use up the connection limit:
// the database accepts 40 connections instead of the 56 that the owners may open. An owner
// that replaces nothing after a refusal serves no further organisation.
func TestLoadAtTheConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := usualLoad
		l.transactions, l.think, l.enforced = 0.2, 30*time.Millisecond, 40
		res := l.run(t)
		res.log(t)
		if res.failed > 0 || 100*res.refused > 5*res.requests {
			t.Errorf("%d of %d requests failed, %d connections were refused, want none and at most one for 20 requests", res.failed, res.requests, res.refused)
		}
	})
}

// Guards against the same with a bound that only a missing reaction to refusals exceeds:
// without it, one request in eight fails.
func TestRefusalsAtTheConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := usualLoad
		l.transactions, l.think, l.enforced = 0.2, 30*time.Millisecond, 40
		res := l.run(t)
		res.log(t)
		if 100*res.failed > res.requests || 100*res.refused > 5*res.requests {
			t.Errorf("%d of %d requests failed, %d connections were refused, want at most one in 100 and one for 20 requests", res.failed, res.requests, res.refused)
		}
	})
}
