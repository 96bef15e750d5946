package pool

import (
	"testing"
	"time"

	"geraniumbeam/internal/clock"
)

// Guards against a primary that resigns although its replicas were reachable: one
// failed call after a time without calls must not count as a long series of
// failures, and an answer from an owner in a replica's data centre ends a series.
func TestReplicasUnreachableForCountsConsecutiveFailures(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	c := newConfirmer(&ownedDatabase{pool: &Pool{cfg: Config{Clock: fake}}})
	call := func(took time.Duration, answered bool) {
		began := fake.Now()
		fake.Advance(took)
		c.recordCall(began, answered)
	}
	want := func(what string, d time.Duration) {
		t.Helper()
		if got := c.replicasUnreachableFor(); got != d {
			t.Errorf("%s: replicas unreachable for %v, want %v", what, got, d)
		}
	}
	want("no call", 0)
	call(time.Second, false)
	want("one failure", time.Second)
	call(2*time.Second, false)
	want("two failures", 3*time.Second)
	fake.Advance(maxFailureGap + time.Millisecond)
	want("a time without calls", 0)
	call(time.Second, false)
	want("a failure after a time without calls", time.Second)
	call(time.Second, true)
	want("an answer", 0)
	call(time.Second, false)
	want("a failure after an answer", time.Second)
}
