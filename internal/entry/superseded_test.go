package entry

import (
	"context"
	"testing"

	"geraniumbeam/internal/wire"
)

// Guards against a caller that waits until its deadline for a primary that was
// cut off and replaced meanwhile: the call ends soon after the new primary is
// known, and the outcome is unknown.
func TestCallToReplacedPrimaryEnds(t *testing.T) {
	f := start(t, nil)
	conn := f.connect("")
	sent := make(chan struct{}, 1)
	release := make(chan struct{})
	defer close(release)
	f.cluster.set(func() {
		f.cluster.interceptContext = func(ctx context.Context, _ *wire.ExecuteRequest) error {
			sent <- struct{}{}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-release:
				return context.Canceled
			}
		}
	})
	go func() {
		<-sent
		f.dir.LearnPrimary("g1", 2, "db-c")
	}()
	f.wantState(conn, "insert into huts values (1)", "08007")
}
