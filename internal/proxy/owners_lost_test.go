package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// lostOwners are four owners of each database, of which the first two can be killed.
type lostOwners struct {
	h      *harness
	killed atomic.Bool
	silent bool // killed owners do not answer; otherwise they reset connections
}

// ownerConn is a connection to one of the owners.
type ownerConn struct {
	harnessConn
	x     *lostOwners
	dying bool
}

func (c *ownerConn) lost() bool { return c.dying && c.x.killed.Load() }

func (c *ownerConn) Do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	switch {
	case c.lost() && c.x.silent:
		time.Sleep(time.Until(deadline))
		return nil, errBroken
	case c.lost():
		return nil, &dbpool.NotSentError{Cause: result.Errorf(result.DatabaseDown, "connection reset")}
	}
	return c.harnessConn.Do(deadline, commands)
}

func (x *lostOwners) dial(ctx context.Context, address, id string, _ bool) (dbpool.Conn, error) {
	c := &ownerConn{harnessConn: harnessConn{x.h, id}, x: x, dying: address == "o1" || address == "o2"}
	switch {
	case c.lost() && x.silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case c.lost():
		return nil, errBroken
	}
	return c, nil
}

func newLostOwners(t *testing.T, silent bool) *lostOwners {
	x := &lostOwners{silent: silent}
	var owners []ownership.Instance
	for _, name := range []string{"o1", "o2", "o3", "o4"} {
		owners = append(owners, ownership.Instance{Name: name, Address: name, DataCentre: "a"})
	}
	x.h = newHarnessWith(t, func(cfg *dbpool.SetConfig) {
		cfg.Instances = func() int { return 67 }
		cfg.Owners = func(topology.Database, int) ([]ownership.Instance, bool) { return owners, false }
		cfg.MayConnect = func(topology.Database, int) bool { return false }
		cfg.DialOwner = x.dial
		cfg.QueueAtOwners = true
	})
	x.h.server.cfg.Distances = distance.NewTimes(distance.Regions{"a": "north", "b": "south"}, "a")
	x.h.configure(4 * time.Second)
	return x
}

// openConnections opens n connections to the first owner.
func (x *lostOwners) openConnections(n int) {
	pool, _ := x.h.server.cfg.Pools.Pool("db-1", "")
	var leases []*dbpool.Lease
	for range n {
		r := admission.Request{ID: "warm", Class: "c", Rank: catalog.RankNormal, Deadline: time.Now().Add(time.Minute)}
		l, err := pool.Acquire(x.h.t.Context(), r, nil)
		if err != nil {
			x.h.t.Fatal(err)
		}
		leases = append(leases, l)
	}
	for _, l := range leases {
		l.Release()
	}
}

// Guards against requests that fail or wait without need in the first two seconds after
// half of the owners have died, although their statements were not sent and the other
// owners answer.
func TestHalfOfTheOwnersDie(t *testing.T) {
	for _, silent := range []bool{false, true} {
		x := newLostOwners(t, silent)
		write := func() result.Code {
			if a := x.h.session(testRoute).handle(st(statement.Write)); a.Err != nil {
				return a.Err.Code
			}
			return 0
		}
		x.openConnections(8)
		x.killed.Store(true)
		var wg sync.WaitGroup
		var mu sync.Mutex
		codes := make(map[result.Code]int)
		began := time.Now()
		var longest time.Duration
		for range 40 {
			wg.Go(func() {
				code := write()
				mu.Lock()
				defer mu.Unlock()
				codes[code]++
				if code == 0 {
					longest = max(longest, time.Since(began))
				}
			})
		}
		wg.Wait()
		t.Logf("silent %v: outcomes %v, the last success after %v", silent, codes, longest)
		sent := 0
		if silent {
			sent = 16 // eight connections to each dead owner
		}
		if served := codes[0]; served < 40-sent || codes[0]+codes[result.OutcomeUnknown] != 40 {
			t.Errorf("silent %v: outcomes %v, want only successes, but for statements that were sent", silent, codes)
		}
	}
}
