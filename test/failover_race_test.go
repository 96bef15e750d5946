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

// delayDatabases delays links from the instances to the group's databases in
// each direction, so that a promotion takes long enough to be disturbed.
func (c *cluster) delayDatabases(t *testing.T, instances map[string]bool, group string, delay time.Duration) {
	t.Helper()
	to := names(c.members(group)...)
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for l, p := range c.links.proxies {
		if !instances[l.from] || !to[l.to] {
			continue
		}
		for _, stream := range []string{"upstream", "downstream"} {
			c.links.toxic(t, p, "slow-"+stream, "latency", stream, fmt.Sprintf(`{"latency":%d}`, delay.Milliseconds()))
		}
	}
}

// removeDelays undoes delayDatabases.
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

// candidates returns the instances that decided to replace the primary of a
// term.
func (c *cluster) candidates(group string, term int64) map[string]bool {
	out := make(map[string]bool)
	for _, e := range c.promotionEvents(group) {
		if strings.Contains(e.GetText(), fmt.Sprintf("%s%d; this instance starts to replace it", candidateText, term)) {
			out[e.GetInstance()] = true
		}
	}
	return out
}

// promotions counts by term which databases were promoted.
func (c *cluster) promotions(group string) map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, e := range c.promotionEvents(group) {
		term, ok := strings.CutPrefix(e.GetText(), promotedText)
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

func (c *cluster) reportPromotions(t *testing.T, group string) {
	t.Helper()
	c.logPhases(t, group)
	for term, databases := range c.promotions(group) {
		if len(databases) != 1 {
			t.Errorf("term %s has the primaries %v", term, databases)
		}
	}
}

// maxRaceRounds bounds the attempts to make two candidates meet. The slow
// platform makes it happen in nearly every round.
const maxRaceRounds = 5

// Guards against two primaries of one term, and two terms for one loss, when two
// instances see the loss at the same time and propose the same term.
func TestTwoCandidatesAtOnce(t *testing.T) {
	heavy(t)
	c, l := startWriting(t, options{})
	met := false
	for round := 0; round < maxRaceRounds && !met; round++ {
		c.waitRejoined(t, failoverGroup)
		c.waitPublished(t, failoverGroup)
		// Longer than the jitter and the delay by rank of a candidate together,
		// and shorter than a candidate waits for an answer.
		c.setFaults(t, standin.Faults{Latency: catalog.Duration(500 * time.Millisecond)})
		before, old := c.term(t, failoverGroup), c.primary(t, failoverGroup)
		c.links.cutLinks(t, func(l link) bool { return l.from == old || l.to == old })
		waitFor(t, 60*time.Second, "another primary is chosen", func() bool {
			return c.primary(t, failoverGroup) != old
		})
		if term := c.term(t, failoverGroup); term != before+1 {
			t.Errorf("term went from %d to %d, want one new term", before, term)
		}
		together := c.candidates(failoverGroup, before)
		t.Logf("round %d: candidates against term %d: %v", round, before, together)
		met = len(together) > 1
		c.setFaults(t, standin.Faults{})
		c.links.heal(t)
	}
	if !met {
		t.Errorf("no two candidates met in %d rounds; the proof shows nothing", maxRaceRounds)
	}
	c.settle(t, l).report(t)
	c.reportPromotions(t, failoverGroup)
}

// Guards against a candidate that goes on with its promotion after it was
// paused and another one took the next term. It is paused after it took its term
// and, in a second round, after it raised the term of a majority.
func TestCandidatePausedInPromotion(t *testing.T) {
	heavy(t)
	c, l := startWriting(t, options{})
	api := c.api()
	defer api.Close()
	interrupted := 0
	for round := 0; round < maxRaceRounds && (round < 2 || interrupted == 0); round++ {
		raised := round%2 == 1
		c.waitRejoined(t, failoverGroup)
		c.waitPublished(t, failoverGroup)
		before, old := c.term(t, failoverGroup), c.primary(t, failoverGroup)
		c.delayDatabases(t, names(c.order...), failoverGroup, 100*time.Millisecond)
		c.databases[old].kill(t)
		var g platform.Group
		waitFor(t, 60*time.Second, "a candidate takes a term", func() bool {
			g = c.groupObject(t, api, failoverGroup)
			return int64(g.Term) > before && (!raised || c.term(t, failoverGroup) > before)
		})
		c.instances[g.Candidate].pause(t)
		t.Logf("paused %s, the candidate of term %d, raised %v", g.Candidate, g.Term, raised)
		c.removeDelays(t)
		waitFor(t, 60*time.Second, "another instance takes the next term", func() bool {
			next := c.groupObject(t, api, failoverGroup)
			if next.Primary != "" && next.Term == g.Term {
				t.Log("the promotion was complete before the pause")
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
		t.Error("no promotion was interrupted; the proof shows nothing")
	}
	c.settle(t, l).report(t)
	c.reportPromotions(t, failoverGroup)
}

// returnOrder says when the two replicas reach the old primary again.
type returnOrder int

const (
	// bothBeforeChoice: either replica may be the furthest when the candidate
	// reads the positions.
	bothBeforeChoice returnOrder = iota
	// behindAfterChoice: the replica that was cut first returns once the other
	// one is promoted, so that it is never the one that is chosen.
	behindAfterChoice
)

// promoteDuringReturn lets a primary that lost its replicas reach them again
// after a candidate took a term and before it raised one. Only the instances of
// taipei-b can be candidates. They are cut off from the other instances once they
// have decided, and from the replica that is not promoted once the other one is,
// so that nothing but the raise of the term keeps the old primary from confirming
// writes with it.
func promoteDuringReturn(t *testing.T, opts options, order returnOrder) verdict {
	t.Helper()
	c, l := startWriting(t, opts)
	api := c.api()
	defer api.Close()
	const old, behind = "huts-1-a", "huts-1-c"
	if p := c.primary(t, failoverGroup); p != old {
		t.Fatalf("the first primary is %s, want %s", p, old)
	}
	candidates, members := names("gb-3", "gb-4"), names(c.members(failoverGroup)...)
	rest := names("gb-1", "gb-2", "gb-5", "gb-6", "gb-7")
	replication := func(l link) bool { return members[l.from] && (l.from == old || l.to == old) }
	c.delayDatabases(t, candidates, failoverGroup, 100*time.Millisecond)
	c.links.cutLinks(t, func(l link) bool { return replication(l) && (l.from == behind || l.to == behind) })
	cut := time.Now()
	waitFor(t, 20*time.Second, "a write is acknowledged by the other replica", func() bool {
		_, ok := l.acknowledgedAfter(cut.Add(100 * time.Millisecond))
		return ok
	})
	c.links.cutLinks(t, func(l link) bool {
		return replication(l) || (candidates[l.from] && l.to == old) || (rest[l.from] && l.to == platformEnd)
	})
	waitFor(t, 60*time.Second, "an instance decides to replace the primary", func() bool {
		return len(c.candidates(failoverGroup, 1)) > 0
	})
	c.links.cutLinks(t, between(candidates, rest))
	waitFor(t, 60*time.Second, "it takes a term", func() bool {
		return c.groupObject(t, api, failoverGroup).Term > 1
	})
	returning := replication
	if order == behindAfterChoice {
		returning = func(l link) bool { return replication(l) && l.from != behind && l.to != behind }
	}
	c.links.healLinks(t, returning)
	c.links.reset(t, returning) // replicas connect again at once
	chosen := old
	waitFor(t, 60*time.Second, "another primary is chosen", func() bool {
		chosen = c.primary(t, failoverGroup)
		return chosen != old
	})
	t.Logf("%s was promoted", chosen)
	c.links.cutLinks(t, func(l link) bool { return candidates[l.from] && members[l.to] && l.to != old && l.to != chosen })
	if order == behindAfterChoice {
		c.links.healLinks(t, replication)
		c.links.reset(t, replication)
	}
	time.Sleep(time.Second) // time for the old primary to confirm writes
	c.removeDelays(t)
	c.links.heal(t)
	return c.settle(t, l)
}

// Guards against a promotion that loses writes which the old primary confirmed
// in the meantime.
func TestPromotionWithFencingLosesNothing(t *testing.T) {
	heavy(t)
	for name, order := range map[string]returnOrder{
		"both replicas return before the choice":  bothBeforeChoice,
		"the one behind returns after the choice": behindAfterChoice,
	} {
		t.Run(name, func(t *testing.T) {
			promoteDuringReturn(t, options{}, order).report(t)
		})
	}
}

// Shows that raising a majority first is what keeps the promise. The replica that
// is behind must not be the promoted one: the instances that still serve the old
// primary run its connections, would see the promotion at once and redirect.
func TestPromotionWithoutFencingLoses(t *testing.T) {
	heavy(t)
	v := promoteDuringReturn(t, options{
		unsafe:   settings.Unsafe{NoFencing: true},
		database: []string{"--unsafe"},
	}, behindAfterChoice)
	if len(v.lost) == 0 {
		t.Fatal("no acknowledged write was lost with fencing off; the proof shows nothing")
	}
}
