package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/settings"
	standin "geraniumbeam/internal/standin/platform"
)

// delayDatabases delays the links from the instances to the group's databases in
// both directions, so that a test can interrupt a promotion.
func (c *cluster) delayDatabases(t *testing.T, instances map[string]bool, group string, delay time.Duration) {
	t.Helper()
	to := setOf(c.databaseNames(group)...)
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for l, p := range c.links.proxies {
		if !instances[l.from] || !to[l.to] {
			continue
		}
		for _, stream := range []string{"upstream", "downstream"} {
			c.links.addProxyToxic(t, p, "slow-"+stream, "latency", stream, fmt.Sprintf(`{"latency":%d}`, delay.Milliseconds()))
		}
	}
}

// removeDelays removes the delays of delayDatabases.
func (c *cluster) removeDelays(t *testing.T) {
	t.Helper()
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for _, p := range c.links.proxies {
		for _, name := range []string{"slow-upstream", "slow-downstream"} {
			if p.Toxics.GetToxic(name) != nil {
				if err := p.Toxics.RemoveToxic(t.Context(), name); err != nil {
					t.Logf("remove delay of %s: %v", p.Name, err)
				}
			}
		}
	}
}

// candidates returns the instances that recorded an attempt to replace the primary
// of a term.
func (c *cluster) candidates(group string, term int64) map[string]bool {
	out := make(map[string]bool)
	for _, e := range c.promotionEvents(group) {
		if strings.Contains(e.GetText(), fmt.Sprintf("%s%d; this instance starts to replace it", candidatePrefix, term)) {
			out[e.GetInstance()] = true
		}
	}
	return out
}

// promotedByTerm returns the databases that were promoted, by term.
func (c *cluster) promotedByTerm(group string) map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, e := range c.promotionEvents(group) {
		term, ok := strings.CutPrefix(e.GetText(), promotedPrefix)
		if !ok {
			continue
		}
		term, _, _ = strings.Cut(term, " ")
		if out[term] == nil {
			out[term] = make(map[string]bool)
		}
		out[term][e.GetDatabase()] = true
	}
	return out
}

func (c *cluster) checkPromotions(t *testing.T, group string) {
	t.Helper()
	c.logPhases(t, group)
	for term, databases := range c.promotedByTerm(group) {
		if len(databases) != 1 {
			t.Errorf("term %s has the primaries %v, want one", term, databases)
		}
	}
}

// maxRaceRounds bounds the attempts to get two candidates for the same term. With
// the slow platform nearly every round has two.
const maxRaceRounds = 5

// Guards against two primaries of one term, and against two new terms after one
// failure, when two instances detect the failure at the same time and try to claim
// the same term.
func TestTwoCandidatesAtOnce(t *testing.T) {
	parallelCluster(t)
	c, l := startClusterWithWrites(t, options{})
	competed := false
	for round := 0; round < maxRaceRounds && !competed; round++ {
		c.waitReplicating(t, failoverGroup)
		c.waitPrimaryPublished(t, failoverGroup)
		// Longer than a candidate's jitter and rank delay together, so that a second
		// one starts before the first is done, and shorter than its timeout for an
		// answer.
		c.setFaults(t, standin.Faults{Latency: catalog.Duration(500 * time.Millisecond)})
		before, old := c.term(t, failoverGroup), c.primary(t, failoverGroup)
		c.links.cutLinks(t, func(l link) bool { return l.from == old || l.to == old })
		waitFor(t, 60*time.Second, "another primary is promoted", func() bool {
			return c.primary(t, failoverGroup) != old
		})
		if term := c.term(t, failoverGroup); term != before+1 {
			t.Errorf("term went from %d to %d, want one new term", before, term)
		}
		candidates := c.candidates(failoverGroup, before)
		t.Logf("round %d: candidates against term %d: %v", round, before, candidates)
		competed = len(candidates) > 1
		c.setFaults(t, standin.Faults{})
		c.links.healAll(t)
	}
	if !competed {
		t.Errorf("no round of %d had two candidates, so the test has checked nothing", maxRaceRounds)
	}
	c.finishAndCheck(t, l).reportViolations(t)
	c.checkPromotions(t, failoverGroup)
}

// Guards against a candidate that continues its promotion after it was paused and
// another one claimed the next term. It is paused after it claimed its term and, in
// every second round, after a database's term was raised.
func TestCandidatePausedInPromotion(t *testing.T) {
	parallelCluster(t)
	c, l := startClusterWithWrites(t, options{})
	api := c.platformClient()
	defer api.Close()
	interrupted := 0
	for round := 0; round < maxRaceRounds && (round < 2 || interrupted == 0); round++ {
		afterRaise := round%2 == 1
		c.waitReplicating(t, failoverGroup)
		c.waitPrimaryPublished(t, failoverGroup)
		before, old := c.term(t, failoverGroup), c.primary(t, failoverGroup)
		c.delayDatabases(t, setOf(c.instanceNames...), failoverGroup, 100*time.Millisecond)
		c.databases[old].kill(t)
		var g platform.Group
		waitFor(t, 60*time.Second, "a candidate claims a term", func() bool {
			g = c.groupObject(t, api, failoverGroup)
			return int64(g.Term) > before && (!afterRaise || c.term(t, failoverGroup) > before)
		})
		c.instances[g.Candidate].pause(t)
		t.Logf("paused %s, the candidate of term %d; term raised: %v", g.Candidate, g.Term, afterRaise)
		c.removeDelays(t)
		waitFor(t, 60*time.Second, "another instance claims the next term", func() bool {
			next := c.groupObject(t, api, failoverGroup)
			if next.Primary != "" && next.Term == g.Term {
				t.Log("the promotion was complete before the candidate was paused")
				return true
			}
			if next.Term > g.Term {
				interrupted++
				return true
			}
			return false
		})
		c.instances[g.Candidate].resume(t)
		c.databases[old].start(t)
	}
	if interrupted == 0 {
		t.Error("no promotion was interrupted, so the test has checked nothing")
	}
	c.finishAndCheck(t, l).reportViolations(t)
	c.checkPromotions(t, failoverGroup)
}

// reconnectOrder is the time at which the two replicas reach the old primary again.
type reconnectOrder int

const (
	// bothBeforeSelection: either replica may hold the longest log when the
	// candidate reads the positions.
	bothBeforeSelection reconnectOrder = iota
	// laggingAfterSelection: the replica that was cut off first reconnects after
	// the other one was promoted, so that it is never selected.
	laggingAfterSelection
)

// promoteDuringReconnect lets a primary that lost its replicas reach them again
// after a candidate claimed a term and before it raised it on a database. Only the
// instances of taipei-b can be candidates. They are cut off from the other instances
// once one of them starts the promotion, and from the replica that is not promoted
// after the promotion. Only the raised term then prevents the old primary from
// confirming writes with that replica.
func promoteDuringReconnect(t *testing.T, opts options, order reconnectOrder) workloadResult {
	t.Helper()
	c, l := startClusterWithWrites(t, opts)
	api := c.platformClient()
	defer api.Close()
	const old, lagging = "huts-1-a", "huts-1-c"
	if p := c.primary(t, failoverGroup); p != old {
		t.Fatalf("group "+failoverGroup+" starts with the primary %s, want %s", p, old)
	}
	candidates, members := setOf("gb-3", "gb-4"), setOf(c.databaseNames(failoverGroup)...)
	others := setOf("gb-1", "gb-2", "gb-5", "gb-6", "gb-7")
	replication := func(l link) bool { return members[l.from] && (l.from == old || l.to == old) }
	c.delayDatabases(t, candidates, failoverGroup, 100*time.Millisecond)
	c.links.cutLinks(t, func(l link) bool { return replication(l) && (l.from == lagging || l.to == lagging) })
	cut := time.Now()
	waitFor(t, 20*time.Second, "a write is acknowledged by the other replica", func() bool {
		_, ok := l.firstAcknowledgedAfter(cut.Add(100 * time.Millisecond))
		return ok
	})
	c.links.cutLinks(t, func(l link) bool {
		return replication(l) || (candidates[l.from] && l.to == old) || (others[l.from] && l.to == platformEndpoint)
	})
	waitFor(t, 60*time.Second, "an instance starts to replace the primary", func() bool {
		return len(c.candidates(failoverGroup, 1)) > 0
	})
	c.links.cutLinks(t, linksBetween(candidates, others))
	waitFor(t, 60*time.Second, "a candidate claims a term", func() bool {
		return c.groupObject(t, api, failoverGroup).Term > 1
	})
	reconnecting := replication
	if order == laggingAfterSelection {
		reconnecting = func(l link) bool { return replication(l) && l.from != lagging && l.to != lagging }
	}
	c.links.healLinks(t, reconnecting)
	c.links.reset(t, reconnecting) // replicas reconnect without a delay
	promoted := old
	waitFor(t, 60*time.Second, "another primary is promoted", func() bool {
		promoted = c.primary(t, failoverGroup)
		return promoted != old
	})
	t.Logf("%s was promoted", promoted)
	c.links.cutLinks(t, func(l link) bool { return candidates[l.from] && members[l.to] && l.to != old && l.to != promoted })
	if order == laggingAfterSelection {
		c.links.healLinks(t, replication)
		c.links.reset(t, replication)
	}
	time.Sleep(time.Second) // time for the old primary to confirm writes
	c.removeDelays(t)
	c.links.healAll(t)
	return c.finishAndCheck(t, l)
}

// Guards against a promotion that loses writes which the old primary confirmed
// with a replica during the promotion.
func TestPromotionWithFencingLosesNothing(t *testing.T) {
	parallelCluster(t)
	for name, order := range map[string]reconnectOrder{
		"both replicas reconnect before the selection":       bothBeforeSelection,
		"the lagging replica reconnects after the selection": laggingAfterSelection,
	} {
		t.Run(name, func(t *testing.T) {
			promoteDuringReconnect(t, options{}, order).reportViolations(t)
		})
	}
}

// Guards against a fencing test that can't fail: with fencing disabled, it must find
// lost writes. The lagging replica must not be the promoted one: its connections
// belong to the instances that still use the old primary, which would detect the
// promotion at once and redirect their writes.
func TestPromotionWithoutFencingLoses(t *testing.T) {
	parallelCluster(t)
	v := promoteDuringReconnect(t, options{
		unsafe:        settings.Unsafe{NoFencing: true},
		databaseFlags: []string{"--unsafe"},
	}, laggingAfterSelection)
	if len(v.lost) == 0 {
		t.Fatal("no acknowledged write was lost with fencing disabled: the test can't detect a loss")
	}
}
