package entry

import (
	"context"
	"testing"

	"geraniumbeam/internal/wire"
)

// Guards against a caller that waits until its deadline for an isolated primary that
// has been replaced: the call must end soon after the new primary is known, with an
// unknown outcome.
func TestCallToReplacedPrimaryEnds(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect("")
	sent := make(chan struct{}, 1)
	release := make(chan struct{})
	defer close(release)
	f.cluster.update(func() {
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
		f.directory.LearnPrimary("g1", 2, "db-c")
	}()
	f.wantSQLState(conn, "insert into huts values (1)", "08007")
}
