package integration

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/settings"
)

// runRoamingUnderFaults runs sessions that move between instances while replicas
// lag, data centres are cut off for a while and instances are killed and
// restarted.
func runRoamingUnderFaults(t *testing.T, opts options, seed uint64, ops int) (*cluster, *roamingStats) {
	t.Helper()
	t.Logf("seed %d, %d operations", seed, ops)
	c := startCluster(t, opts)
	rng := rand.New(rand.NewPCG(seed, 99))
	for _, g := range c.seed.Groups {
		for _, d := range g.Databases {
			if d.Name != g.Primary {
				c.setApplyLag(t, d.Name, time.Duration(rng.IntN(30))*time.Second/10)
			}
		}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.injectFaults(t, rng, done) })
	stats := runRoamingSessions(t, c, seed, 12, ops, c.instanceNames)
	close(done)
	wg.Wait()
	t.Logf("reads %d, writes %d, refused %d, unknown %d, violations %d, reasons %v",
		stats.reads, stats.writes, stats.refused, stats.unknown, len(stats.violations), stats.reasons)
	return c, stats
}

// injectFaults alternately restarts an instance and cuts a data centre off, until done
// is closed.
func (c *cluster) injectFaults(t *testing.T, rng *rand.Rand, done <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-done:
			return false
		case <-time.After(d):
			return true
		}
	}
	for wait(2 * time.Second) {
		instance := c.instanceNames[rng.IntN(len(c.instanceNames))]
		c.instances[instance].kill(t)
		ok := wait(time.Second)
		c.instances[instance].start(t)
		if !ok || !wait(2*time.Second) {
			return
		}
		dc := c.seed.Instances[rng.IntN(len(c.seed.Instances))].DataCentre
		c.links.cutLinks(t, linksBetween(c.dataCentre(dc), nil))
		wait(2 * time.Second)
		c.links.healAll(t)
	}
}

// dataCentre returns the names of the instances and databases in a data centre.
func (c *cluster) dataCentre(name string) map[string]bool {
	out := make(map[string]bool)
	for _, in := range c.seed.Instances {
		if in.DataCentre == name {
			out[in.Name] = true
		}
	}
	for _, g := range c.seed.Groups {
		for _, d := range g.Databases {
			if d.DataCentre == name {
				out[d.Name] = true
			}
		}
	}
	return out
}

// Guards against a session that does not see its own confirmed write on another
// instance while replicas lag, a data centre is cut off or instances are killed.
func TestReadYourWritesWhileRoaming(t *testing.T) {
	seeds := []uint64{1}
	if longTests {
		seeds = []uint64{1, 2, 3}
	}
	for _, seed := range seeds {
		_, stats := runRoamingUnderFaults(t, options{}, seed, 20000)
		for _, v := range stats.violations {
			t.Error(v)
		}
		if stats.reads == 0 || stats.writes == 0 {
			t.Fatal("no read or no write was answered")
		}
	}
}

// Guards against a roaming test that can't fail: with the floor check disabled,
// it must find sessions that read data older than their own writes.
func TestRoamingWithoutFloorFails(t *testing.T) {
	_, stats := runRoamingUnderFaults(t, options{unsafe: settings.Unsafe{NoFloor: true}}, 1, 2000)
	if len(stats.violations) == 0 {
		t.Fatal("no violation with the floor check disabled: the roaming test can't detect one")
	}
}
