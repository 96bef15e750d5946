package primacy

import (
	"testing"
	"time"

	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

const (
	ms       = time.Millisecond
	validity = 1500 * ms
)

// fakeClock is a manual clock. It stands for one that includes suspended time.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

func servingRecord(number, token uint64, primary string) Record {
	return Record{Service: "ledger", Revision: revision.Revision{Number: number}, Token: token, Phase: Serving, Primary: primary, Term: token}
}

// newConfirmedCache returns the cache of instance a with a record of db-1 that
// was confirmed at the clock's current time.
func newConfirmedCache(t *testing.T) (*RecordCache, *fakeClock) {
	t.Helper()
	clk := &fakeClock{now: time.Hour}
	c := NewRecordCache("a", validity, clk.read)
	c.SetIncarnation("a")
	c.Confirm([]Record{servingRecord(5, 1, "db-1")}, 0, clk.now)
	return c, clk
}

// Guards against using a primary after the validity has passed, when the instance
// may have missed its replacement.
func TestPrimaryIsUsedWithinValidityOnly(t *testing.T) {
	c, clk := newConfirmedCache(t)
	asked := clk.now
	clk.now = asked + validity - 1
	p, ok := c.Primary("ledger")
	if !ok || p.ID != "db-1" {
		t.Fatalf("Primary = %+v, %v", p, ok)
	}
	clk.now++
	if c.IsCurrent("ledger", p) {
		t.Error("the primary is used after the validity has passed")
	}
	c.Extend("ledger", 1, asked+validity/2)
	if !c.IsCurrent("ledger", p) {
		t.Error("Extend has no effect")
	}
}

// Guards against counting the validity from the arrival of a response: a
// replacement may have begun while the response was in flight or the machine was
// suspended.
func TestValidityCountsFromTheRequest(t *testing.T) {
	c, clk := newConfirmedCache(t)
	asked := clk.now
	clk.now = asked + 10*time.Second // suspended
	c.Confirm([]Record{servingRecord(5, 1, "db-1")}, 0, asked)
	if p, ok := c.Primary("ledger"); ok {
		t.Errorf("%+v is used after a response to an old request", p)
	}
}

// Guards against a delayed list that shows the record as it was before a
// replacement began.
func TestOlderRecordIsIgnored(t *testing.T) {
	c, clk := newConfirmedCache(t)
	r := servingRecord(6, 2, "db-1")
	r.Phase = Replacing
	if !c.Update(r) {
		t.Fatal("a newer record was not stored")
	}
	c.Confirm([]Record{servingRecord(5, 1, "db-1")}, 0, clk.now)
	c.Extend("ledger", 1, clk.now)
	if _, ok := c.Primary("ledger"); ok {
		t.Error("the former primary is used again")
	}
}

// Guards against an instance that a promoter excluded and that continues with its
// cached record.
func TestExcludedInstanceMustRegisterAgain(t *testing.T) {
	c, clk := newConfirmedCache(t)
	r := servingRecord(7, 2, "db-2")
	r.Excluded = []string{"a"}
	c.Confirm([]Record{r}, 0, clk.now)
	if _, ok := c.Primary("ledger"); ok {
		t.Fatal("an excluded instance uses the primary")
	}
	before := clk.now
	clk.now += ms
	c.SetIncarnation("a+1")
	if _, ok := c.Primary("ledger"); ok {
		t.Fatal("a confirmation from before the registration is used")
	}
	c.Confirm([]Record{r}, 0, before)
	if _, ok := c.Primary("ledger"); ok {
		t.Fatal("a response to a request from before the registration is used")
	}
	c.Confirm([]Record{r}, 0, clk.now)
	if p, ok := c.Primary("ledger"); !ok || p.ID != "db-2" {
		t.Errorf("Primary = %+v, %v after the registration", p, ok)
	}
}

// Guards against an instance without the store that sees a fenced replica and
// later uses the former primary again: the promotion resets the held terms before
// the replicas follow the new primary, so their status then shows no replacement.
func TestInvalidationLastsUntilTheStoreConfirms(t *testing.T) {
	c, clk := newConfirmedCache(t)
	c.Invalidate("ledger", 1)
	if _, ok := c.Primary("ledger"); ok {
		t.Fatal("the primary is used after a database showed its replacement")
	}
	c.Extend("ledger", 1, clk.now)
	if _, ok := c.Primary("ledger"); ok {
		t.Fatal("the status of databases overrides the invalidation")
	}
	c.Confirm([]Record{servingRecord(6, 2, "db-2")}, 0, clk.now)
	if p, ok := c.Primary("ledger"); !ok || p.ID != "db-2" {
		t.Errorf("Primary = %+v, %v after the store's response", p, ok)
	}
}

// Guards against a promotion because of a fault in one instance's own network
// links.
func TestQuorumNeedsMoreThanHalf(t *testing.T) {
	suspect := func(name string, token uint64) Registration {
		return Registration{Instance: name, Incarnation: name, Suspects: map[string]uint64{"ledger": token}}
	}
	healthy := func(name string) Registration { return Registration{Instance: name, Incarnation: name} }
	for _, c := range []struct {
		name string
		regs []Registration
		want bool
	}{
		{"one of three", []Registration{suspect("a", 1), healthy("b"), healthy("c")}, false},
		{"half of four", []Registration{suspect("a", 1), suspect("b", 1), healthy("c"), healthy("d")}, false},
		{"two of three", []Registration{suspect("a", 1), suspect("b", 1), healthy("c")}, true},
		{"under another token", []Registration{suspect("a", 1), suspect("b", 2), healthy("c")}, false},
		{"the excluded do not count", []Registration{suspect("a", 1), healthy("gone")}, true},
		{"nobody", nil, false},
	} {
		if got := HasQuorum(c.regs, []string{"gone"}, "ledger", 1); got != c.want {
			t.Errorf("%s: HasQuorum = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a promoter that waits for less than the longest validity in use.
func TestUnacknowledgedAndLongestValidity(t *testing.T) {
	regs := []Registration{
		{Incarnation: "a", Validity: time.Second, Stopped: map[string]uint64{"ledger": 4}},
		{Incarnation: "b", Validity: 2 * time.Second, Stopped: map[string]uint64{"ledger": 3}},
		{Incarnation: "c", Validity: 3 * time.Second, Stopped: map[string]uint64{"other": 9}},
		{Incarnation: "d", Validity: 9 * time.Second},
	}
	unacknowledged := Unacknowledged(regs, []string{"d"}, "ledger", 4)
	missing, longest := incarnations(unacknowledged), longestValidity(unacknowledged)
	if len(missing) != 2 || missing[0] != "b" || missing[1] != "c" || longest != 3*time.Second {
		t.Errorf("Unacknowledged = %v, longest validity %v", missing, longest)
	}
}

// Guards against an instance without the store that continues to use a primary
// after a promoter fenced other databases, and against one that stops because a
// single replica is unreachable.
func TestDatabasesConfirmThePrimary(t *testing.T) {
	rec := Record{Service: "ledger", Primary: "p", Term: 3}
	primary := MemberStatus{Member{ID: "p"}, statement.Status{Primary: true, Term: 3}}
	at := func(term, held uint64) MemberStatus {
		return MemberStatus{Member{ID: "r"}, statement.Status{Term: term, HeldTerm: held}}
	}
	leads := at(3, 0)
	leads.Status.Primary = true
	demoted := primary
	demoted.Status.Primary = false
	for _, c := range []struct {
		name     string
		answered []MemberStatus
		others   int
		want     bool
	}{
		{"all as before", []MemberStatus{primary, at(3, 0), at(3, 0)}, 2, true},
		{"one of two does not answer", []MemberStatus{primary, at(3, 0)}, 2, true},
		{"neither of two answers", []MemberStatus{primary}, 2, false},
		{"one of three answers", []MemberStatus{primary, at(3, 0)}, 3, false},
		{"the primary does not answer", []MemberStatus{at(3, 0), at(3, 0)}, 2, false},
		{"the primary was demoted", []MemberStatus{demoted, at(3, 0), at(3, 0)}, 2, false},
		{"one is fenced at a newer term", []MemberStatus{primary, at(3, 0), at(3, 4)}, 2, false},
		{"one follows a later term", []MemberStatus{primary, at(3, 0), at(4, 0)}, 2, false},
		{"another leads", []MemberStatus{primary, at(3, 0), leads}, 2, false},
		{"there are none", []MemberStatus{primary}, 0, false},
	} {
		if got := ConfirmsPrimary(rec, c.answered, c.others, true); got != c.want {
			t.Errorf("%s: ConfirmsPrimary = %v, want %v", c.name, got, c.want)
		}
		lapsedWant := c.want && len(c.answered) == c.others+1
		if got := ConfirmsPrimary(rec, c.answered, c.others, false); got != lapsedWant {
			t.Errorf("%s, after the validity: ConfirmsPrimary = %v, want %v", c.name, got, lapsedWant)
		}
	}
}

// Guards against a promoter and an instance that rely on disjoint sets of
// databases.
func TestExtendAndFenceQuorumsIntersect(t *testing.T) {
	for others := 1; others < 10; others++ {
		if extendQuorumSize(others, true)+fenceQuorumSize(others) <= others || extendQuorumSize(others, true) < 1 || fenceQuorumSize(others) < 1 {
			t.Errorf("%d others: %d extend, %d are fenced", others, extendQuorumSize(others, true), fenceQuorumSize(others))
		}
	}
}

// Guards against promoting a database that lacks acknowledged commits while
// another has them, or one that is about to leave.
func TestCandidateOrder(t *testing.T) {
	o := func(id string, leaving bool, number uint64) MemberStatus {
		return MemberStatus{Member{ID: id, Leaving: leaving, New: id == "new"}, statement.Status{Received: statement.Position{Term: 3, Number: number}}}
	}
	all := []MemberStatus{o("left", true, 99), o("new", false, 9), o("short", false, 5), o("b", false, 7), o("a", false, 7)}
	for avoidNew, want := range map[bool][]string{true: {"a", "b", "short", "new", "left"}, false: {"new", "a", "b", "short", "left"}} {
		for i, c := range OrderCandidates(all, avoidNew) {
			if c.ID != want[i] {
				t.Fatalf("candidate %d is %s, want %v", i, c.ID, want)
			}
		}
	}
}

// Guards against a validity that does not cover a lost renewal, and against a
// replacement that is taken over before its promoter has finished waiting: it
// would be taken over again and again and never complete.
func TestTimeoutsAreConsistent(t *testing.T) {
	if recordValidity < 2*renewInterval+renewTimeout {
		t.Error("a lost renewal ends the use of a primary")
	}
	// An upstream and the store are lost together: the databases must be asked before
	// the validity ends.
	if recordValidity < relayMaxAge+2*upstreamTimeout+hedgeDelay+peerTimeout+2*upstreamInterval {
		t.Error("an upstream and the store that are lost together end the use of a primary before the databases are asked")
	}
	if headMaxAge >= relayMaxAge || headMaxAge <= renewInterval {
		t.Error("all instances query the store when the one at the top of the tree fails")
	}
	if takeoverTimeout < recordValidity+validityMargin+replacementTime {
		t.Error("a replacement is taken over before its promoter has finished waiting")
	}
}
