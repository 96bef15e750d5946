package integration

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	stalledShare      = 0.3                    // share of the links that are cut at a time
	stallInterval     = 300 * time.Millisecond // time between two selections of links
	probeLossTime     = 8 * time.Second
	probeLossLongTime = 10 * time.Minute
)

// stallRandomLinks cuts a random share of the matching links, selected again after each
// interval, and heals all links at the end of the period.
func (c *cluster) stallRandomLinks(t *testing.T, rng *rand.Rand, match func(link) bool, period time.Duration) (stalls int) {
	t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(stallInterval) {
		c.links.healAll(t)
		c.links.cutLinks(t, func(l link) bool {
			if !match(l) || rng.Float64() >= stalledShare {
				return false
			}
			stalls++
			return true
		})
	}
	c.links.healAll(t)
	return stalls
}

// Guards against a promotion without a failure of the primary: links from the
// instances to a group's databases are cut at random, so that probes are lost.
func TestNoPromotionWhileProbesAreLost(t *testing.T) {
	parallelCluster(t)
	const seed = 11
	period := probeLossTime
	if longTests {
		period = probeLossLongTime
	}
	c, l := startClusterWithWrites(t, options{})
	before := c.term(t, failoverGroup)
	members := setOf(c.databaseNames(failoverGroup)...)
	probes := func(l link) bool { return c.instances[l.from] != nil && members[l.to] }
	stalls := c.stallRandomLinks(t, rand.New(rand.NewPCG(seed, 0)), probes, period)
	after := c.term(t, failoverGroup)
	t.Logf("seed %d: %d cuts of a link in %v, term %d before and %d after, %d instances started to replace the primary",
		seed, stalls, period, before, after, len(c.candidates(failoverGroup, before)))
	if after != before {
		t.Errorf("term went from %d to %d without a failure of the primary", before, after)
	}
	c.finishAndCheck(t, l).reportViolations(t)
}
