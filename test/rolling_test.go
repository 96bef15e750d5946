package integration

import (
	"testing"
	"time"
)

// ownershipGap is the aim for the time without an acknowledged write while
// ownership moves in a graceful replacement.
const ownershipGap = 200 * time.Millisecond

// Guards against a replacement of the fleet that loses, doubles or cuts work:
// all seven instances are stopped gracefully and started again, one after the
// other, under load through all of them.
func TestRollingReplacementLosesNothing(t *testing.T) {
	c := startCluster(t, options{})
	l := startLedger(t, c, failoverGroup, c.order, 2)
	start := time.Now()
	waitFor(t, 20*time.Second, "writes are acknowledged", func() bool {
		_, ok := l.acknowledgedAfter(start)
		return ok
	})
	for _, in := range c.order {
		if code := c.instances[in].terminate(t, 40*time.Second); code != 0 {
			t.Errorf("%s exited with %d, want 0", in, code)
		}
		c.instances[in].start(t)
		c.waitReady(t)
	}
	l.finish()
	gap := l.longestGap()
	t.Logf("longest time without an acknowledged write %v, aim %v", gap.Round(time.Millisecond), ownershipGap)
	c.waitConverged(t, failoverGroup)
	v := l.check(t, failoverGroup)
	v.report(t)
	if v.unknown != 0 {
		t.Errorf("%d requests ended with an unknown outcome, want none", v.unknown)
	}
}
