package limits

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
)

const (
	testRate  = 50
	testBurst = 50
)

func org(rate, burst float64) organisation.Organisation {
	return organisation.Organisation{Name: "o", Rate: rate, Burst: burst, Limited: true}
}

// inBubble runs a test with a cluster of three instances whose limits are in force.
func inBubble(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, org(testRate, testBurst))
		time.Sleep(4 * time.Second)
		f(t, c)
	})
}

// keepsServing sends 0.6 of the limit for d and requires that few operations are refused.
func (c *cluster) keepsServing(d time.Duration, allowed int, nodes ...*node) {
	c.t.Helper()
	if admitted, refused := c.send(d, 0.6*testRate, "o", nodes...); refused > allowed || admitted == 0 {
		c.t.Errorf("%d operations admitted and %d refused below the limit, want at most %d refused", admitted, refused, allowed)
	}
}

// Guards against limits that are not enforced, or enforced below their value, without any
// fault.
func TestCalm(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.keepsServing(10*time.Second, 0, c.nodes...)
		admitted, refused := c.send(20*time.Second, 5*testRate, "o", c.nodes...)
		c.check("o", testRate, testBurst, 0)
		if least := int(0.98 * testRate * 20); admitted < least || refused == 0 {
			t.Errorf("%d admitted and %d refused, want at least %d admitted", admitted, refused, least)
		}
		err := c.nodes[0].limiter.Admit(context.Background(), "unlimited")
		if err != nil {
			t.Errorf("an organisation without a limit: %v", err)
		}
	})
}

// Guards against a refusal without its code or without a time to retry.
func TestRefusal(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.send(5*time.Second, 5*testRate, "o", c.nodes...)
		for range 50 {
			err := c.nodes[0].limiter.Admit(context.Background(), "o")
			var e *result.Error
			if err == nil {
				continue
			}
			if !errors.As(err, &e) || e.Code != result.OrganisationLimit || e.Ran != result.RanNo || e.RetryAfter <= 0 || e.RetryAfter > 5*time.Second {
				t.Errorf("got %+v, want OrganisationLimit with a time to retry", err)
			}
			return
		}
		t.Error("nothing was refused")
	})
}

// Guards against an organisation that is cut off or refused because the coordinator
// crashed, and against a successor that gives out the predecessor's shares again.
func TestCoordinatorCrashes(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.keepsServing(5*time.Second, 0, c.nodes...)
		lost := c.coordinator()
		lost.stop()
		rest := c.others(lost)
		c.send(20*time.Second, 5*testRate, "o", rest...)
		c.check("o", testRate, testBurst, 0)
		if c.coordinator() == lost {
			t.Fatal("nobody took over from the coordinator")
		}
		time.Sleep(5 * time.Second)
		c.keepsServing(10*time.Second, 0, rest...)
	})
}

func (c *cluster) others(lost *node) []*node {
	var rest []*node
	for _, x := range c.nodes {
		if x != lost {
			rest = append(rest, x)
		}
	}
	return rest
}

// Guards against a planned stop of the coordinator that callers notice.
func TestCoordinatorStops(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.keepsServing(5*time.Second, 0, c.nodes...)
		former := c.coordinator()
		began := c.now()
		former.limiter.Stop()
		for c.coordinator() == former && c.now()-began < 5*time.Second {
			c.send(100*time.Millisecond, 0.6*testRate, "o", c.nodes...)
		}
		if took := c.now() - began; took > 1500*time.Millisecond {
			t.Errorf("the record changed after %v", took)
		}
		c.keepsServing(10*time.Second, 10, c.nodes...)
		c.check("o", testRate, testBurst, 0)
	})
}

// Guards against a coordinator that is replaced, cut off, and still grants shares.
func TestPredecessorCutOff(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.send(5*time.Second, 2*testRate, "o", c.nodes...)
		former := c.coordinator()
		former.mu.Lock()
		former.cut, former.noStore = true, true
		former.mu.Unlock()
		c.send(25*time.Second, 5*testRate, "o", c.nodes...)
		c.check("o", testRate, testBurst, 0)
		if c.coordinator() == former {
			t.Fatal("nobody took over from the coordinator")
		}
		former.mu.Lock()
		former.cut, former.noStore = false, false
		former.mu.Unlock()
		c.send(10*time.Second, 5*testRate, "o", c.nodes...)
		c.check("o", testRate, testBurst, 0)
		if former.limiter.alloc != nil {
			t.Error("the former coordinator has not stepped down")
		}
		time.Sleep(5 * time.Second)
		c.keepsServing(5*time.Second, 0, c.nodes...)
	})
}

// Guards against limits that stop while the store is unavailable.
func TestStoreAway(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.keepsServing(10*time.Second, 0, c.nodes...)
		c.setStoreDown(true)
		c.keepsServing(4*time.Second, 0, c.nodes...)
		admitted, refused := c.send(6*time.Second, 0.6*testRate, "o", c.nodes...)
		t.Logf("from 4 to 10 s without the store: %d admitted, %d refused", admitted, refused)
		c.setStoreDown(false)
		time.Sleep(2 * time.Second)
		c.keepsServing(10*time.Second, 0, c.nodes...)
		c.send(10*time.Second, 5*testRate, "o", c.nodes...)
		c.check("o", testRate, testBurst, 0)
	})
}

func (c *cluster) setStoreDown(down bool) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.down = down
}

// Guards against two coordinators, or none, after the store lost the record.
func TestStoreRestored(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.send(5*time.Second, 2*testRate, "o", c.nodes...)
		c.store.mu.Lock()
		former := *c.store.record
		c.store.era++
		c.store.record = nil
		clear(c.store.regs)
		c.store.mu.Unlock()
		c.send(25*time.Second, 5*testRate, "o", c.nodes...)
		c.check("o", testRate, testBurst, 0)
		c.store.mu.Lock()
		r := c.store.record
		c.store.mu.Unlock()
		if r == nil || r.Token <= former.Token || !r.Unsettled {
			t.Fatalf("record %+v, want a higher token than %d, unsettled", r, former.Token)
		}
		time.Sleep(5 * time.Second)
		c.keepsServing(10*time.Second, 0, c.nodes...)
	})
}

// Guards against limits that admit nothing for long after all processes were started
// again, and against permits that exist twice.
func TestAllRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.send(5*time.Second, 2*testRate, "o", c.nodes...)
		for _, x := range c.nodes {
			x.stop()
		}
		for _, x := range c.nodes {
			x.start()
		}
		c.send(4*time.Second, 5*testRate, "o", c.nodes...)
		time.Sleep(time.Second)
		c.keepsServing(5*time.Second, 0, c.nodes...)
		c.check("o", testRate, testBurst, 0)
	})
}

// Guards against an instance that uses an expired share after it was suspended: its clock
// includes the suspension, and it looks at it before it takes a permit.
func TestSuspendedInstance(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.keepsServing(10*time.Second, 0, c.nodes...)
		x := c.others(c.coordinator())[0]
		x.stop() // nothing of it runs
		c.send(15*time.Second, 5*testRate, "o", c.others(x)...)
		if err := x.limiter.Admit(context.Background(), "o"); err == nil {
			t.Error("an expired share admitted an operation")
		}
		c.check("o", testRate, testBurst, 0)
	})
}

// Guards against a lowered limit that binds too late.
func TestLimitLowered(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.send(10*time.Second, 5*testRate, "o", c.nodes...)
		c.configure(org(5, 5))
		changed := c.now()
		c.send(20*time.Second, 5*testRate, "o", c.nodes...)
		c.check("o", testRate, testBurst, 0)
		c.check("o", 5, 5, changed+5*time.Second)
	})
}

// Guards against messages, calls to the store and records in a deployment without
// organisations.
func TestNothingWithoutOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		time.Sleep(10 * time.Second)
		for _, x := range c.nodes {
			if x.messages > 0 {
				t.Errorf("%s sent %d messages", x.name, x.messages)
			}
			if err := x.limiter.Admit(context.Background(), "o"); err != nil {
				t.Error(err)
			}
		}
		if c.coordinator() != nil {
			t.Error("an instance wrote a record")
		}
		c.configure(org(testRate, testBurst))
		time.Sleep(4 * time.Second)
		c.keepsServing(5*time.Second, 0, c.nodes...)
	})
}
