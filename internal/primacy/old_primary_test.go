package primacy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

// lateDatabases delays the answer of db-3 until the test lets it pass.
type lateDatabases struct {
	databaseView
	asked, answer chan struct{}
}

func (d lateDatabases) Control(ctx context.Context, service, id string, c statement.Command, timeout time.Duration) (statement.Status, error) {
	if id == "db-3" {
		d.asked <- struct{}{}
		<-d.answer
	}
	return d.databaseView.Control(ctx, service, id, c, timeout)
}

// Guards against an instance that goes on with the former primary because a record lapsed
// while the databases were asked: a promotion that waited for that has cleared the fence of
// the one that answers last.
func TestRecordThatLapsesDuringAQueryIsNotExtended(t *testing.T) {
	g := newFakeGroup()
	g.cut[[2]string{"a", "db-2"}] = true
	now := time.Hour
	var elapsed atomic.Int64
	clock := func() time.Duration { return now + time.Duration(elapsed.Load()) }
	cache := NewRecordCache("a", recordValidity, clock)
	databases := lateDatabases{databaseView{g, "a"}, make(chan struct{}), make(chan struct{})}
	r := NewRunner(Config{Instance: "a", Cache: cache, Databases: databases, Now: clock, Log: zerolog.Nop()})
	rec := Record{Service: "ledger", Revision: revision.Revision{Number: 1}, Token: 1, Phase: Serving, Primary: "db-1", Term: 1}
	cache.SetIncarnation("a")
	cache.Confirm([]Record{rec}, 0, clock())
	elapsed.Store(int64(recordValidity - 10*ms))
	extended := make(chan bool)
	go func() { extended <- r.extendFromDatabases(t.Context(), rec) }()
	<-databases.asked
	elapsed.Store(int64(recordValidity + validityMargin))
	g.set("db-2", func(s *statement.Status) { s.Primary, s.Term = true, 2 }) // promoted
	close(databases.answer)
	if _, usable := cache.Primary("ledger"); <-extended || usable {
		t.Error("the record of a replaced primary was confirmed")
	}
}
