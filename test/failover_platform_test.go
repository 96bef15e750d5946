package integration

import (
	"testing"
	"time"

	standin "geraniumbeam/internal/standin/platform"
)

// Guards against a candidate that claims a second term, or abandons the promotion,
// when the answer to its conditional update is lost although the update was made.
func TestPromotionWithLostPlatformAnswers(t *testing.T) {
	parallelCluster(t)
	c, l := startClusterWithWrites(t, options{})
	before := c.term(t, failoverGroup)
	c.setFaults(t, standin.Faults{LostPuts: 1})
	old := c.primary(t, failoverGroup)
	c.databases[old].kill(t)
	waitFor(t, 60*time.Second, "another primary is promoted", func() bool {
		return c.primary(t, failoverGroup) != old
	})
	c.waitPrimaryPublished(t, failoverGroup)
	if after := c.term(t, failoverGroup); after != before+1 {
		t.Errorf("term went from %d to %d, want one new term", before, after)
	}
	c.setFaults(t, standin.Faults{})
	c.databases[old].start(t)
	c.finishAndCheck(t, l).reportViolations(t)
	if gap := l.longestWriteGap(); gap > maxFailoverTime {
		t.Errorf("longest time without an acknowledged write %v, want at most %v", gap, maxFailoverTime)
	}
	c.logPhases(t, failoverGroup)
}

// Guards against a promotion while the platform is down, and against requests that
// hang or end with an unknown outcome while there is no primary: reads that a
// replica can satisfy are answered, and writes are refused as not run.
func TestPrimaryLostDuringPlatformOutage(t *testing.T) {
	parallelCluster(t)
	// Several times the duration of a promotion.
	const outage = 6 * time.Second
	c, l := startClusterWithWrites(t, options{editSeed: addAgeClasses})
	s := c.newSession(t, l, "gb-3")
	for _, in := range c.instanceNames {
		s.checkServed(t, in, tolerantClass) // starts the sampling of the primary's position
		s.checkServed(t, in, "default")
	}
	before := c.term(t, failoverGroup)
	c.setFaults(t, standin.Faults{Outage: true})
	old := c.primary(t, failoverGroup)
	c.databases[old].kill(t)
	lost := time.Now()
	for time.Since(lost) < outage {
		for _, in := range []string{"gb-1", "gb-4", "gb-6", "gb-7"} {
			s.checkServed(t, in, tolerantClass)
			s.checkServed(t, in, "default")
		}
		if term := c.term(t, failoverGroup); term != before {
			t.Fatalf("term went from %d to %d while the platform was down", before, term)
		}
	}
	s.checkRefused(t, "gb-4", recentClass)
	end := time.Now()
	// The outcome of requests that were sent before the loss was detected may be
	// unknown.
	acknowledged, refused, unknown := l.countOutcomes(setOf(c.instanceNames...), lost.Add(2*time.Second), end.Add(-4*time.Second))
	t.Logf("writes sent without a primary: acknowledged %d, refused %d, unknown %d", acknowledged, refused, unknown)
	if acknowledged != 0 || unknown != 0 || refused == 0 {
		t.Errorf("writes without a primary: acknowledged %d, refused %d, unknown %d; want refusals only", acknowledged, refused, unknown)
	}
	// The class of the writes has to be served within 2 s. The rest allows for a busy
	// machine.
	if slowest := l.slowestRefusal(lost); slowest > 5*time.Second {
		t.Errorf("slowest refusal took %v, want about 2 s", slowest)
	}
	c.setFaults(t, standin.Faults{})
	waitFor(t, 60*time.Second, "another primary is promoted", func() bool {
		return c.primary(t, failoverGroup) != old
	})
	c.waitPrimaryPublished(t, failoverGroup)
	c.databases[old].start(t)
	c.finishAndCheck(t, l).reportViolations(t)
}
