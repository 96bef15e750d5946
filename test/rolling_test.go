package integration

import (
	"testing"
	"time"
)

// ownershipGapTarget is the objective for the time without an acknowledged write while
// the ownership of connections moves from an instance that shuts down.
const ownershipGapTarget = 200 * time.Millisecond

// Guards against a rolling restart that loses, repeats or aborts writes: all seven
// instances are shut down gracefully and restarted, one after the other, under load
// through all of them.
func TestRollingReplacementLosesNothing(t *testing.T) {
	c := startCluster(t, options{})
	l := startInsertWorkload(t, c, failoverGroup, c.instanceNames, 2)
	start := time.Now()
	waitFor(t, 20*time.Second, "writes are acknowledged", func() bool {
		_, ok := l.firstAcknowledgedAfter(start)
		return ok
	})
	for _, in := range c.instanceNames {
		if code := c.instances[in].terminate(t, 40*time.Second); code != 0 {
			t.Errorf("%s: exit code %d after SIGTERM, want 0", in, code)
		}
		c.instances[in].start(t)
		c.waitReady(t)
	}
	l.finish()
	gap := l.longestWriteGap()
	t.Logf("longest time without an acknowledged write %v, objective %v", gap.Round(time.Millisecond), ownershipGapTarget)
	c.waitConverged(t, failoverGroup)
	v := l.check(t, failoverGroup)
	v.reportViolations(t)
	if v.unknown != 0 {
		t.Errorf("%d writes have an unknown outcome, want none", v.unknown)
	}
}
