package primacy

import (
	"testing"
	"time"

	"geraniumbeam/internal/statement"
)

// Guards against a failed primary that is not replaced, two promotions for one
// failure, and promoting a database although another has received more of the
// log.
func TestFailedPrimaryIsReplacedOnce(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	time.Sleep(300 * time.Millisecond)
	promoted, tokens := g.promotions()
	if len(promoted) != 1 || promoted[0] != "db-2" {
		t.Fatalf("promoted %v, want db-2 once", promoted)
	}
	if r := store.record(); r.Token != 2 || r.Term != 2 || r.Phase != Serving || tokens[0] != 2 {
		t.Errorf("record %+v, tokens %v", r, tokens)
	}
	eventually(t, "db-3 receives again", func() bool { return g.get("db-3").HeldTerm == 0 })
}

// Guards against a promotion because of a fault in one instance's own network
// links, and against calls to the store for a suspicion that nobody shares.
func TestOneSuspicionDoesNotReplaceThePrimary(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	a := startInstances(t, store, g, "a", "b", "c")["a"].runner
	eventually(t, "a knows the others", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.knownInstances) == 3
	})
	g.mu.Lock()
	g.unreachableFrom["a"] = true
	g.mu.Unlock()
	eventually(t, "a suspects the primary", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		_, ok := a.reg.Suspects["ledger"]
		return ok
	})
	store.mu.Lock()
	lists := store.lists
	store.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	store.mu.Lock()
	if _, ok := store.regs["a"].Suspects["ledger"]; ok || store.lists != lists {
		t.Errorf("published: %v, %d lists of the registrations: want none for a suspicion of one in three", ok, store.lists-lists)
	}
	store.mu.Unlock()
	if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Phase != Serving {
		t.Errorf("promoted %v, record %+v", promoted, store.record())
	}
}

// Guards against a promoter that gives up, or promotes twice, because the
// response to its own write was lost.
func TestLostWriteResponseIsResolvedByReadingBack(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	lost := 0
	store.mu.Lock()
	store.after = func(Record) error {
		if lost++; lost <= 3 {
			return errStoreDown
		}
		return nil
	}
	store.mu.Unlock()
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	if promoted, _ := g.promotions(); len(promoted) != 1 {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against a service without a primary because the best candidate no longer
// runs.
func TestNextCandidateIsPromoted(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.notRunning["db-2"] = true
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "db-3 leads", allUse(all, "db-3"))
}

// Guards against a promotion that rolls back commits although a database with
// another id has taken over the former primary's log and term.
func TestPrimaryWithNewIDIsRecorded(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.members = append(g.members[1:], Member{ID: "db-4", Primary: true, New: true})
	g.status["db-4"] = statement.Status{Primary: true, Term: 1, Received: statement.Position{Term: 1, Number: 10}}
	g.stopped["db-1"] = true
	g.mu.Unlock()
	eventually(t, "db-4 leads", allUse(all, "db-4"))
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against a replacement that makes no progress after its promoter failed,
// and against a second promotion by the instance that takes it over.
func TestReplacementIsTakenOver(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.stop("db-1")
	store.mu.Lock()
	r := store.records["ledger"]
	r.Token, r.Phase, r.Promoter, r.Candidate = 2, Replacing, "dead", "db-3"
	store.put(r)
	store.mu.Unlock()
	g.set("db-3", func(s *statement.Status) { s.Primary, s.Term = true, 2 })
	eventually(t, "db-3 leads", allUse(all, "db-3"))
	if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Token < 3 {
		t.Errorf("promoted %v, record %+v", promoted, store.record())
	}
}

// Guards against an interruption, or a loss of commits, when a working primary
// leaves.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.members[0].Leaving = true
	g.members[1].Leaving = true
	g.status["db-3"] = statement.Status{Term: 1, Received: statement.Position{Term: 1, Number: 10}}
	g.mu.Unlock()
	eventually(t, "db-3 leads", allUse(all, "db-3"))
	eventually(t, "the former primary is demoted", func() bool { return !g.get("db-1").Primary })
}

// Guards against a store outage that makes primaries unusable, and against a
// promotion during the outage, when none can be agreed.
func TestPrimaryStaysInUseWithoutTheStore(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	store.mu.Lock()
	store.unavailable = true
	store.mu.Unlock()
	for end := time.Now().Add(2 * InitialValidity); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !allUse(all, "db-1")() {
			t.Fatal("the primary is not used without the store")
		}
	}
	// A promoter that reaches the store fences a replica: both instances must stop
	// using the primary.
	g.set("db-3", func(s *statement.Status) { s.HeldTerm = 2 })
	eventually(t, "the instances stop", func() bool {
		for _, x := range all {
			if _, ok := x.cache.Primary("ledger"); ok {
				return false
			}
		}
		return true
	})
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against an instance that uses a replaced primary again because half of the
// databases confirm its record: a promotion clears their fences before they follow the
// new primary.
func TestReplacedPrimaryIsNotUsedAgainWithoutTheStore(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	c := all["c"]
	c.storeRefuses.Store(true)
	c.network.mu.Lock()
	c.network.partitioned = true
	c.network.mu.Unlock()
	g.mu.Lock()
	for name := range all {
		g.unreachableFrom[name] = true
	}
	g.cut[[2]string{"c", "db-2"}], g.cut[[2]string{"c", "db-3"}] = true, true // c does not see their fences
	g.mu.Unlock()
	others := map[string]*instance{"a": all["a"], "b": all["b"]}
	eventually(t, "db-2 leads", allUse(others, "db-2"))
	eventually(t, "db-3 receives again", func() bool { return g.get("db-3").HeldTerm == 0 })
	g.mu.Lock()
	g.unreachableFrom["c"], g.cut[[2]string{"c", "db-3"}] = false, false
	g.mu.Unlock()
	for end := time.Now().Add(InitialValidity); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p, ok := c.cache.Primary("ledger"); ok {
			t.Fatalf("c uses %+v again", p)
		}
	}
}

// Guards against a promotion while an unreachable instance may continue to use
// the former primary, confirmed by the database that the promoter did not fence.
func TestTooFewFencedReplicasBlockThePromotion(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	store.mu.Lock()
	store.regs["c"] = Registration{Instance: "c", Incarnation: "c", Validity: InitialValidity}
	store.mu.Unlock()
	g.stop("db-1")
	g.stop("db-3")
	eventually(t, "the replacement begins", func() bool { return store.record().Phase == Replacing })
	time.Sleep(2 * InitialValidity)
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Fatalf("%v was promoted", promoted)
	}
	store.mu.Lock()
	store.regs["c"] = Registration{
		Instance: "c", Incarnation: "c", Validity: InitialValidity, Stopped: map[string]uint64{"ledger": 1 << 20},
	}
	store.mu.Unlock()
	eventually(t, "db-2 leads", allUse(all, "db-2"))
}
