package primacy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

// Guards against an instance that is out of contact and goes on with the former primary
// after a promotion, because the databases that the promoter fenced include a new one that
// the instance does not ask.
func TestNewDatabaseDoesNotCountAsFence(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	cut := all["c"]
	cut.network.mu.Lock()
	cut.network.partitioned = true
	cut.network.mu.Unlock()
	cut.storeRefuses.Store(true)
	var used atomic.Bool
	g.mu.Lock()
	g.onPromote = func() {
		if p, ok := cut.cache.Primary("ledger"); ok && p.ID == "db-1" {
			used.Store(true)
		}
	}
	g.members = append(g.members, Member{ID: "db-4", New: true})
	g.unknownTo = "c"
	g.cut[[2]string{"c", "db-2"}] = true
	g.status["db-4"] = g.status["db-2"]
	g.unanswered["db-3"] = 30
	g.members[0].Leaving = true
	g.mu.Unlock()
	eventually(t, "db-2 is promoted", func() bool { promoted, _ := g.promotions(); return len(promoted) > 0 })
	if used.Load() {
		t.Error("an instance may use the former primary when the promotion is requested")
	}
}

// Guards against a fence quorum that does not intersect the databases which an instance
// asks, for any new databases that it may know of, and against a replacement that waits
// for ever although all databases are fenced.
func TestFenceQuorumHoldsForAllViews(t *testing.T) {
	for old := range 5 {
		for fresh := range 4 {
			for fenced := range 1 << (old + fresh) {
				members := make([]Member, 0, old+fresh)
				var answered []MemberStatus
				for i := range old + fresh {
					m := Member{ID: dbName(i), New: i >= old}
					members = append(members, m)
					if fenced&(1<<i) != 0 {
						answered = append(answered, MemberStatus{Member: m})
					}
				}
				suffice := fencesSuffice(members, answered)
				if suffice {
					checkFenced(t, members, old, fenced)
				}
				if len(answered) == len(members) && suffice != (len(members) > 0) {
					t.Fatalf("%d old and %d new databases, all fenced: suffice %v", old, fresh, suffice)
				}
			}
		}
	}
}

// checkFenced checks that no instance finds enough unfenced databases. fenced has a bit for
// each member; each instance knows the first old ones and any of the others.
func checkFenced(t *testing.T, members []Member, old, fenced int) {
	t.Helper()
	for known := range 1 << len(members) {
		if known&(1<<old-1) != 1<<old-1 {
			continue
		}
		others, unfenced := 0, 0
		for i := range members {
			if known&(1<<i) == 0 {
				continue
			}
			others++
			if fenced&(1<<i) == 0 {
				unfenced++
			}
		}
		if others > 0 && unfenced >= extendQuorumSize(others, true) {
			t.Fatalf("%d old and %d new databases, fenced %b: an instance that knows %b finds %d of %d unfenced", old, len(members)-old, fenced, known, unfenced, others)
		}
	}
}

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

// Guards against an instance that has just registered, of which a promoter may not know,
// and that confirms a record from before its registration by the databases alone: a planned
// replacement fences them only after all known instances have stopped.
func TestDatabasesDoNotConfirmWhatTheStoreHasNot(t *testing.T) {
	cache := NewRecordCache("a", recordValidity, clock.SinceBoot)
	rec := Record{Service: "ledger", Revision: revision.Revision{Number: 1}, Token: 1, Phase: Serving, Primary: dbName(0), Term: 1}
	unfenced := []MemberStatus{
		{Member{ID: dbName(0)}, statement.Status{Term: 1, Primary: true}},
		{Member{ID: dbName(1)}, statement.Status{Term: 1}},
		{Member{ID: dbName(2)}, statement.Status{Term: 1}},
	}
	extend := func() bool {
		ok, _ := cache.ExtendFromDatabases(rec, unfenced, 2, clock.SinceBoot())
		_, usable := cache.Primary("ledger")
		return ok && usable
	}
	for _, incarnation := range []string{"a", "a+1"} {
		asked := clock.SinceBoot()
		cache.SetIncarnation(incarnation)
		cache.Confirm([]Record{rec}, 0, asked) // from a peer that asked the store before the registration
		if extend() {
			t.Errorf("%s: the databases confirmed a record that the store has not confirmed since the registration", incarnation)
		}
		cache.Confirm([]Record{rec}, 0, clock.SinceBoot())
		if !extend() {
			t.Errorf("%s: the databases don't confirm a record that the store has confirmed", incarnation)
		}
	}
}
