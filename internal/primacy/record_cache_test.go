package primacy

import (
	"testing"
	"time"

	"geraniumbeam/internal/statement"
)

const (
	ms       = time.Millisecond
	validity = 1500 * ms
)

// steady is a clock that a test moves. It stands for one that counts suspension.
type steady struct{ now time.Duration }

func (s *steady) read() time.Duration { return s.now }

func serving(revision, token uint64, primary string) Record {
	return Record{Service: "ledger", Revision: revision, Token: token, Phase: Serving, Primary: primary, Term: token}
}

func known(t *testing.T) (*RecordCache, *steady) {
	t.Helper()
	clk := &steady{now: time.Hour}
	b := NewRecordCache("a", validity, clk.read)
	b.SetIncarnation("a")
	b.Confirm([]Record{serving(5, 1, "db-1")}, clk.now)
	return b, clk
}

// Guards against an answer of a primary whose replacement this instance could
// not hear of.
func TestPrimaryIsUsedWithinTheValidityOnly(t *testing.T) {
	b, clk := known(t)
	asked := clk.now
	clk.now = asked + validity - 1
	p, ok := b.Primary("ledger")
	if !ok || p.ID != "db-1" {
		t.Fatalf("Primary = %+v, %v", p, ok)
	}
	clk.now++
	if b.IsCurrent("ledger", p) {
		t.Error("the primary is used after the validity")
	}
	b.Extend("ledger", 1, asked+validity/2)
	if !b.IsCurrent("ledger", p) {
		t.Error("an extension has no effect")
	}
}

// Guards against counting the validity from when an answer arrives: a promoter
// may have begun while it was under way, or while the machine was suspended.
func TestValidityCountsFromTheQuestion(t *testing.T) {
	b, clk := known(t)
	asked := clk.now
	clk.now = asked + 10*time.Second // suspended
	b.Confirm([]Record{serving(5, 1, "db-1")}, asked)
	if p, ok := b.Primary("ledger"); ok {
		t.Errorf("%+v is used on an answer to an old question", p)
	}
}

// Guards against a late list that shows the record as it was before a
// replacement began.
func TestOlderRecordIsIgnored(t *testing.T) {
	b, clk := known(t)
	r := serving(6, 2, "db-1")
	r.Phase = Replacing
	if !b.Update(r) {
		t.Fatal("a newer record was not adopted")
	}
	b.Confirm([]Record{serving(5, 1, "db-1")}, clk.now)
	b.Extend("ledger", 1, clk.now)
	if _, ok := b.Primary("ledger"); ok {
		t.Error("the former primary is used again")
	}
}

// Guards against an instance that a promoter gave up on and that goes on with
// what it knew.
func TestExcludedInstanceRegistersFirst(t *testing.T) {
	b, clk := known(t)
	r := serving(7, 2, "db-2")
	r.Excluded = []string{"a"}
	b.Confirm([]Record{r}, clk.now)
	if _, ok := b.Primary("ledger"); ok {
		t.Fatal("an excluded instance uses the primary")
	}
	before := clk.now
	clk.now += ms
	b.SetIncarnation("a+1")
	if _, ok := b.Primary("ledger"); ok {
		t.Fatal("knowledge from before the registration is used")
	}
	b.Confirm([]Record{r}, before)
	if _, ok := b.Primary("ledger"); ok {
		t.Fatal("an answer to a question from before the registration is used")
	}
	b.Confirm([]Record{r}, clk.now)
	if p, ok := b.Primary("ledger"); !ok || p.ID != "db-2" {
		t.Errorf("Primary = %+v, %v after the registration", p, ok)
	}
}

// Guards against an instance without the store that saw the raise, and goes on
// with the former primary because the promotion cleared the raised terms before
// the replicas follow the new one (ONE and PINNED on trouble-1 of tresses-tn).
func TestDenialLastsUntilTheStoreConfirms(t *testing.T) {
	b, clk := known(t)
	b.Invalidate("ledger", 1)
	if _, ok := b.Primary("ledger"); ok {
		t.Fatal("the primary is used after a database showed its replacement")
	}
	b.Extend("ledger", 1, clk.now)
	if _, ok := b.Primary("ledger"); ok {
		t.Fatal("an answer of databases outweighs the denial")
	}
	b.Confirm([]Record{serving(6, 2, "db-2")}, clk.now)
	if p, ok := b.Primary("ledger"); !ok || p.ID != "db-2" {
		t.Errorf("Primary = %+v, %v after the store's answer", p, ok)
	}
}

// Guards against a promotion for a fault of one instance's own links.
func TestQuorumNeedsMoreThanHalf(t *testing.T) {
	suspect := func(name string, token uint64) Registration {
		return Registration{Instance: name, Incarnation: name, Suspects: map[string]uint64{"ledger": token}}
	}
	calm := func(name string) Registration { return Registration{Instance: name, Incarnation: name} }
	for _, c := range []struct {
		name string
		regs []Registration
		want bool
	}{
		{"one of three", []Registration{suspect("a", 1), calm("b"), calm("c")}, false},
		{"half of four", []Registration{suspect("a", 1), suspect("b", 1), calm("c"), calm("d")}, false},
		{"two of three", []Registration{suspect("a", 1), suspect("b", 1), calm("c")}, true},
		{"under another token", []Registration{suspect("a", 1), suspect("b", 2), calm("c")}, false},
		{"the excluded do not count", []Registration{suspect("a", 1), calm("gone")}, true},
		{"nobody", nil, false},
	} {
		if got := HasQuorum(c.regs, []string{"gone"}, "ledger", 1); got != c.want {
			t.Errorf("%s: Quorum = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a wait that is shorter than the longest validity in use.
func TestUnstoppedReturnsTheLongestValidity(t *testing.T) {
	regs := []Registration{
		{Incarnation: "a", Validity: time.Second, Stopped: map[string]uint64{"ledger": 4}},
		{Incarnation: "b", Validity: 2 * time.Second, Stopped: map[string]uint64{"ledger": 3}},
		{Incarnation: "c", Validity: 3 * time.Second, Stopped: map[string]uint64{"other": 9}},
		{Incarnation: "d", Validity: 9 * time.Second},
	}
	stale := Unacknowledged(regs, []string{"d"}, "ledger", 4)
	missing, longest := incarnations(stale), longestValidity(stale)
	if len(missing) != 2 || missing[0] != "b" || missing[1] != "c" || longest != 3*time.Second {
		t.Errorf("Unstopped = %v, %v", missing, longest)
	}
}

// Guards against an instance without the store that goes on with a primary after
// a promoter raised other databases, and against one that stops because a single
// replica is out of reach (trouble-2 of tresses-tn).
func TestDatabasesExtendKnowledge(t *testing.T) {
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
		{"one of two is silent", []MemberStatus{primary, at(3, 0)}, 2, true},
		{"both are silent", []MemberStatus{primary}, 2, false},
		{"one of three answers", []MemberStatus{primary, at(3, 0)}, 3, false},
		{"the primary is silent", []MemberStatus{at(3, 0), at(3, 0)}, 2, false},
		{"the primary was demoted", []MemberStatus{demoted, at(3, 0), at(3, 0)}, 2, false},
		{"one was raised", []MemberStatus{primary, at(3, 0), at(3, 4)}, 2, false},
		{"one follows a later term", []MemberStatus{primary, at(3, 0), at(4, 0)}, 2, false},
		{"another leads", []MemberStatus{primary, at(3, 0), leads}, 2, false},
		{"there are none", []MemberStatus{primary}, 0, false},
	} {
		if got := ConfirmsPrimary(rec, c.answered, c.others); got != c.want {
			t.Errorf("%s: Extends = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a promoter and an instance that ask different databases.
func TestRaisedAndExtendingDatabasesMeet(t *testing.T) {
	for others := 1; others < 10; others++ {
		if extendQuorumSize(others)+fenceQuorumSize(others) <= others || extendQuorumSize(others) < 1 || fenceQuorumSize(others) < 1 {
			t.Errorf("%d others: %d extend, %d are raised", others, extendQuorumSize(others), fenceQuorumSize(others))
		}
	}
}

// Guards against promoting a database that lacks acknowledged commits while
// another has them, or one that is about to leave.
func TestCandidatesPreferStayingAndFurthest(t *testing.T) {
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
// replacement that is taken over before its promoter has waited, so that it
// never ends (trouble-3 of the grown tresses).
func TestPeriodsFitTogether(t *testing.T) {
	if directValidity < 2*renewInterval+renewTimeout {
		t.Error("a lost renewal ends the use of a primary")
	}
	if relayedValidity < relayMaxAge+2*renewInterval+2*relayTimeout {
		t.Error("a lost relay ends the use of a primary")
	}
	if takeoverTimeout < relayedValidity+validityMargin+replacementTime {
		t.Error("a replacement is taken over before its promoter has waited")
	}
}
