package pool

import (
	"testing"
	"time"

	"geraniumbeam/internal/clock"
)

// Guards against a primary that resigns after one failed call that follows a
// quiet time, or although an owner in a replica's data centre answered.
func TestReplicasUnreachableForCountsConsecutiveFailures(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	c := newConfirmer(&ownedDatabase{pool: &Pool{cfg: Config{Clock: fake}}})
	call := func(took time.Duration, heard bool) {
		began := fake.Now()
		fake.Advance(took)
		c.recordCall(began, heard)
	}
	want := func(what string, d time.Duration) {
		t.Helper()
		if got := c.replicasUnreachableFor(); got != d {
			t.Errorf("%s: unconfirmed for %v, want %v", what, got, d)
		}
	}
	want("no call", 0)
	call(time.Second, false)
	want("one failure", time.Second)
	call(2*time.Second, false)
	want("two failures", 3*time.Second)
	fake.Advance(maxFailureGap + time.Millisecond)
	want("a quiet time", 0)
	call(time.Second, false)
	want("a failure after a quiet time", time.Second)
	call(time.Second, true)
	want("an answer", 0)
	call(time.Second, false)
	want("a failure after an answer", time.Second)
}
