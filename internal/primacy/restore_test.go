package primacy

import (
	"slices"
	"testing"
	"time"

	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

// Guards against a fencing token that is given out again because the store lost the
// record that had it.
func TestTokensOfAnEraAreAboveLostOnes(t *testing.T) {
	lost := uint64(0)
	for range 5 {
		lost = nextToken(3, lost)
	}
	if next := nextToken(4, 0); next <= lost {
		t.Errorf("token %d of era 4 is not above token %d of era 3", next, lost)
	}
	if next := nextToken(3, lost); next != lost+1 {
		t.Errorf("token %d follows %d", next, lost)
	}
}

// Guards against a record from an older copy of the store that confirms the use of a
// primary, or replaces a newer record that the instance knows.
func TestRecordOfAnEarlierEraConfirmsNothing(t *testing.T) {
	c, clk := newConfirmedCache(t) // of era 0
	c.Update(servingRecord(9, 2, "db-2"))
	clk.now += validity
	c.SetEra(1)
	if newer := c.Confirm([]Record{servingRecord(5, 1, "db-1")}, 1, clk.now); len(newer) != 0 {
		t.Errorf("records %+v of the copy count as newer", newer)
	}
	if p, ok := c.Primary("ledger"); ok {
		t.Errorf("%+v is used", p)
	}
	again := servingRecord(6, nextToken(1, 2), "db-2")
	again.Revision.Era = 1
	c.Confirm([]Record{again}, 1, clk.now)
	if p, ok := c.Primary("ledger"); !ok || p.ID != "db-2" {
		t.Errorf("%+v is used: %v, want db-2 once the record is written again", p, ok)
	}
}

// Guards against a list from before a restore that confirms a record which another
// instance wrote after it.
func TestListOfAnEarlierEraConfirmsNoLaterRecord(t *testing.T) {
	c, clk := newConfirmedCache(t)
	later := servingRecord(3, nextToken(1, 1), "db-2")
	later.Revision.Era = 1
	clk.now += validity
	c.Update(later)
	c.Confirm([]Record{servingRecord(5, 1, "db-1")}, 0, clk.now)
	if p, ok := c.Primary("ledger"); ok {
		t.Errorf("%+v is used", p)
	}
}

// Guards against an instance that uses a primary in an era in which it is not
// registered, so that no promoter waits for it.
func TestConfirmationNeedsARegistrationInTheEra(t *testing.T) {
	c, clk := newConfirmedCache(t)
	rec := servingRecord(6, 9, "db-1")
	rec.Revision.Era = 1
	clk.now += validity
	asked := clk.now
	c.Confirm([]Record{rec}, 1, asked)
	if _, ok := c.Primary("ledger"); ok {
		t.Error("the primary is used before the registration")
	}
	clk.now += ms
	c.SetEra(1)
	c.Confirm([]Record{rec}, 1, asked)
	if _, ok := c.Primary("ledger"); ok {
		t.Error("a list from before the registration confirms the primary")
	}
	c.Confirm([]Record{rec}, 1, clk.now)
	if _, ok := c.Primary("ledger"); !ok {
		t.Error("the primary is not used after the registration")
	}
}

// Guards against a transaction that is aborted because the record of its primary was
// written again under another token.
func TestPrimaryStaysCurrentUnderANewToken(t *testing.T) {
	c, clk := newConfirmedCache(t)
	p, _ := c.Primary("ledger")
	rec := servingRecord(6, 1, "db-1")
	rec.Token, rec.Revision.Era = nextToken(1, 1), 1
	c.SetEra(1)
	c.Confirm([]Record{rec}, 1, clk.now)
	if !c.IsCurrent("ledger", p) {
		t.Errorf("%+v is no longer current", p)
	}
}

// Guards against a restore that interrupts the use of a working primary, and against
// records and registrations that stay lost.
func TestWorkingPrimaryIsUsedThroughARestore(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	before := store.backup()
	all := startInstances(t, store, g, "a", "b", "c")
	afterStart := store.backup()
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	g.start("db-1")
	for name, copied := range map[string]backup{"without the promotion": afterStart, "without anything": before} {
		token := store.record().Token
		store.restore(copied)
		for end := time.Now().Add(2 * InitialValidity); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			if !allUse(all, "db-2")() {
				t.Fatalf("restored %s: the primary is not used by all", name)
			}
		}
		store.mu.Lock()
		rec, registered := store.records["ledger"], len(store.regs)
		if rec.Primary != "db-2" || rec.Token <= token || rec.Revision.Era != store.era || registered != 3 {
			t.Errorf("restored %s: record %+v, %d instances registered", name, rec, registered)
		}
		store.mu.Unlock()
	}
	if promoted, _ := g.promotions(); len(promoted) != 1 {
		t.Errorf("promoted %v, want db-2 once", promoted)
	}
}

// Guards against a primary that is never replaced once the store has lost a change of
// primary, and against a token that is used for two replacements.
func TestPrimaryIsReplacedAfterARestore(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	copied := store.backup()
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	store.restore(copied)
	g.stop("db-2")
	g.start("db-1")
	g.set("db-1", func(s *statement.Status) { s.Primary = false })
	eventually(t, "another database leads", func() bool { return allUse(all, "db-1")() || allUse(all, "db-3")() })
	_, tokens := g.promotions()
	if !slices.IsSorted(tokens) || len(slices.Compact(slices.Clone(tokens))) < 2 {
		t.Errorf("tokens %v, want a higher one for the second replacement", tokens)
	}
}

// Guards against a promoter that goes on with a replacement which the store has lost,
// while another one works under a newer token.
func TestPromoterGivesUpWhenTheStoreIsRestored(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	copied := store.backup()
	g.mu.Lock()
	g.promotionFails = true
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "a promotion is asked for", func() bool { promoted, _ := g.promotions(); return len(promoted) > 0 })
	store.restore(copied)
	eventually(t, "the replacement goes on in the new era", func() bool {
		_, tokens := g.promotions()
		return tokens[len(tokens)-1] > 1<<tokenEraBits
	})
	time.Sleep(300 * time.Millisecond)
	if _, tokens := g.promotions(); !slices.IsSorted(tokens) {
		t.Errorf("tokens %v go back", tokens)
	}
	g.mu.Lock()
	g.promotionFails = false
	g.mu.Unlock()
	eventually(t, "a replica leads", func() bool { return allUse(all, "db-2")() || allUse(all, "db-3")() })
}

// Guards against a promotion while an instance whose registration the store has lost
// may still use the former primary.
func TestReplacementAfterARestoreWaitsForUnknownInstances(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	copied := store.backup()
	delete(copied.regs, "c")
	// The store refuses c, and the others do not reach it.
	all["c"].storeRefuses.Store(true)
	all["c"].network.isolate("c")
	g.mu.Lock()
	g.unreachableFrom["a"], g.unreachableFrom["b"] = true, true
	g.mu.Unlock()
	store.restore(copied)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		_, inUse := all["c"].cache.Primary("ledger")
		if promoted, _ := g.promotions(); len(promoted) > 0 {
			if inUse {
				t.Error("a database is promoted while c uses the former primary")
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("no database is promoted")
		}
	}
}

// Guards against a record that names a primary without proof after a restore.
func TestLeaderIsProvenByTheDatabases(t *testing.T) {
	status := func(id string, primary bool, term, held uint64) MemberStatus {
		return MemberStatus{Member{ID: id}, statement.Status{Primary: primary, Term: term, HeldTerm: held}}
	}
	serving := Record{Service: "ledger", Revision: revision.Revision{Number: 4}, Token: 2, Phase: Serving, Primary: "db-1", Term: 2}
	replacing := serving
	replacing.Phase = Replacing
	leader, replica, third := status("db-1", true, 2, 0), status("db-2", false, 2, 0), status("db-3", false, 2, 0)
	for _, c := range []struct {
		name     string
		known    Record
		answered []MemberStatus
		inUse    bool
		want     bool
	}{
		{"in use, a quorum answers", serving, []MemberStatus{leader, replica}, true, true},
		{"not in use, a quorum answers", serving, []MemberStatus{leader, replica}, false, false},
		{"not in use, all answer", serving, []MemberStatus{leader, replica, third}, false, true},
		{"in use, a replica is fenced", serving, []MemberStatus{leader, replica, status("db-3", false, 2, 3)}, true, false},
		{"in use, the primary does not answer", serving, []MemberStatus{replica, third}, true, false},
		{"replacement in progress", replacing, []MemberStatus{leader, replica, third}, false, false},
		{"a later primary leads", serving, []MemberStatus{status("db-1", false, 3, 0), status("db-2", true, 3, 0), third}, false, true},
		{"a replacement has ended", replacing, []MemberStatus{status("db-1", false, 3, 0), status("db-2", true, 3, 0), third}, false, true},
		{"a former primary has not noticed its replacement", serving, []MemberStatus{leader, status("db-2", true, 3, 0), third}, false, true},
		{"two databases claim to lead the same term", serving, []MemberStatus{leader, status("db-2", true, 2, 0), third}, false, false},
	} {
		rec := withLeader(c.known, c.answered)
		if got := provesLeader(c.known, rec, c.answered, 3, c.inUse); got != c.want {
			t.Errorf("%s: proven %v, want %v", c.name, got, c.want)
		}
	}
}
