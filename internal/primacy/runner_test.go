package primacy

import (
	"testing"
	"time"

	"geraniumbeam/internal/statement"
)

// Guards against a dead primary that nobody replaces, two promotions of one
// failure, and a database that is promoted although another holds more.
func TestDeadPrimaryIsReplacedOnce(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	g.kill("db-1")
	eventually(t, "db-2 leads", leads(all, "db-2"))
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

// Guards against a promotion for a fault of one instance's own links.
func TestOneInstanceAloneReplacesNobody(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	startInstances(t, store, g, "a", "b", "c")
	g.mu.Lock()
	g.cutFrom["a"] = true
	g.mu.Unlock()
	eventually(t, "the suspicion is published", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		_, ok := store.regs["a"].Suspects["ledger"]
		return ok
	})
	time.Sleep(500 * time.Millisecond)
	if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Phase != Serving {
		t.Errorf("promoted %v, record %+v", promoted, store.record())
	}
}

// Guards against a promoter that gives up, or promotes twice, because the answer
// to its own write was lost.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	lost := 0
	store.mu.Lock()
	store.after = func(Record) error {
		if lost++; lost <= 3 {
			return errDown
		}
		return nil
	}
	store.mu.Unlock()
	g.kill("db-1")
	eventually(t, "db-2 leads", leads(all, "db-2"))
	if promoted, _ := g.promotions(); len(promoted) != 1 {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against a service without a primary because the best candidate does not
// run any more.
func TestNextCandidateIsPromoted(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.refused["db-2"] = true
	g.mu.Unlock()
	g.kill("db-1")
	eventually(t, "db-3 leads", leads(all, "db-3"))
}

// Guards against a promotion that rolls commits back although a database took
// the former primary's place with its log and term.
func TestSuccessorOfTheSameTermIsAdopted(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.members = append(g.members[1:], Member{ID: "db-4", Primary: true, New: true})
	g.status["db-4"] = statement.Status{Primary: true, Term: 1, Received: statement.Position{Term: 1, Number: 10}}
	g.dead["db-1"] = true
	g.mu.Unlock()
	eventually(t, "db-4 leads", leads(all, "db-4"))
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against a replacement that stands still after its promoter died, and
// against a successor that promotes again what was promoted already.
func TestReplacementIsTakenOver(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.kill("db-1")
	store.mu.Lock()
	r := store.records["ledger"]
	r.Token, r.Phase, r.Promoter, r.Candidate = 2, Replacing, "dead", "db-3"
	store.put(r)
	store.mu.Unlock()
	g.set("db-3", func(s *statement.Status) { s.Primary, s.Term = true, 2 })
	eventually(t, "db-3 leads", leads(all, "db-3"))
	if promoted, _ := g.promotions(); len(promoted) != 0 || store.record().Token < 3 {
		t.Errorf("promoted %v, record %+v", promoted, store.record())
	}
}

// Guards against a gap, or a loss, when a working primary leaves.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.members[0].Leaving = true
	g.members[1].Leaving = true
	g.status["db-3"] = statement.Status{Term: 1, Received: statement.Position{Term: 1, Number: 10}}
	g.mu.Unlock()
	eventually(t, "db-3 leads", leads(all, "db-3"))
	eventually(t, "the former primary is demoted", func() bool { return !g.get("db-1").Primary })
}

// Guards against a store outage that stops service, and against a promotion
// while nothing can be agreed.
func TestPrimaryStaysInUseWithoutTheStore(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	store.mu.Lock()
	store.down = true
	store.mu.Unlock()
	for end := time.Now().Add(2 * InitialValidity); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !leads(all, "db-1")() {
			t.Fatal("the primary is not used without the store")
		}
	}
	// A promoter that reaches the store raises the others: both instances stop.
	g.set("db-3", func(s *statement.Status) { s.HeldTerm = 2 })
	eventually(t, "the instances stop", func() bool {
		for _, x := range all {
			if _, ok := x.beliefs.Primary("ledger"); ok {
				return false
			}
		}
		return true
	})
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against a promotion while an instance that can't be heard may go on
// with the former primary and with the database that the promoter did not raise.
func TestTooFewRaisedDatabasesHoldThePromotion(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	store.mu.Lock()
	store.regs["c"] = Registration{Instance: "c", Incarnation: "c", Validity: InitialValidity}
	store.mu.Unlock()
	g.kill("db-1")
	g.kill("db-3")
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
	eventually(t, "db-2 leads", leads(all, "db-2"))
}
