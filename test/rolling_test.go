package integration

import (
	"testing"
	"time"
)

// ownershipGapTarget is the aim for the time without an acknowledged write while
// ownership moves in a graceful replacement.
const ownershipGapTarget = 200 * time.Millisecond

// Guards against a replacement of the fleet that loses, doubles or cuts work:
// all seven instances are stopped gracefully and started again, one after the
// other, under load through all of them.
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
			t.Errorf("%s exited with %d, want 0", in, code)
		}
		c.instances[in].start(t)
		c.waitReady(t)
	}
	l.finish()
	gap := l.longestWriteGap()
	t.Logf("longest time without an acknowledged write %v, aim %v", gap.Round(time.Millisecond), ownershipGapTarget)
	c.waitConverged(t, failoverGroup)
	v := l.check(t, failoverGroup)
	v.reportViolations(t)
	if v.unknown != 0 {
		t.Errorf("%d requests ended with an unknown outcome, want none", v.unknown)
	}
}
