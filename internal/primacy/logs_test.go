package primacy

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumbeam/internal/statement"
)

// newSyncGroup returns a group with one synchronous replica, db-3, which alone has the
// latest commits.
func newSyncGroup() *fakeGroup {
	g := newFakeGroup()
	g.syncReplicas = 1
	g.set("db-2", func(s *statement.Status) { s.Received.Number = 3 })
	g.set("db-3", func(s *statement.Status) { s.Received.Number = 10 })
	return g
}

// Guards against the loss of acknowledged commits because the replica that has them
// answers the promoter late and is left out (review/5).
func TestReplicaThatAnswersLateIsNotLeftOut(t *testing.T) {
	store, g := newFakeStore(), newSyncGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.unanswered["db-3"] = 4
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "db-3 leads", allUse(all, "db-3"))
	if promoted, _ := g.promotions(); !slices.Equal(promoted, []string{"db-3"}) {
		t.Errorf("promoted %v", promoted)
	}
}

// Guards against the loss of acknowledged commits because the replica that has them
// crashed together with the primary, so that its registration has lapsed.
func TestLapsedReplicaIsWaitedFor(t *testing.T) {
	store, g := newFakeStore(), newSyncGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	members := g.members
	g.members, g.lapsed = members[:2], []string{"db-3"}
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "the replacement begins", func() bool { return store.record().Phase == Replacing })
	time.Sleep(2 * reinstateDelay)
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Fatalf("%v was promoted without the log of db-3", promoted)
	}
	g.mu.Lock()
	g.members, g.lapsed = members, nil
	g.mu.Unlock()
	eventually(t, "db-3 leads", allUse(all, "db-3"))
}

// Guards against a service without a primary although the former one is back, while a
// replica that may have more commits than the other one is not.
func TestPrimaryThatComesBackLeadsAgain(t *testing.T) {
	store, g := newFakeStore(), newSyncGroup()
	all := startInstances(t, store, g, "a", "b")
	g.stop("db-1")
	g.stop("db-3")
	eventually(t, "the replacement begins", func() bool { return store.record().Phase == Replacing })
	g.start("db-1")
	eventually(t, "db-1 leads", func() bool { return store.record().Phase == Serving && allUse(all, "db-1")() })
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v", promoted)
	}
	if s := g.get("db-2"); s.HeldTerm != 0 {
		t.Errorf("db-2 is still fenced at term %d", s.HeldTerm)
	}
}

// newRevivedGroup returns a group whose primary, db-1, leads term 2, which the others have
// missed.
func newRevivedGroup() *fakeGroup {
	g := newFakeGroup()
	g.set("db-1", func(s *statement.Status) { s.Term, s.Received = 2, statement.Position{Term: 2, Number: 8} })
	return g
}

// Guards against the promotion of a database that missed the term of the primary which
// crashed: it loses the commits of that term and brings rolled back ones to life
// (review/4).
func TestDatabaseThatMissedATermIsNotPromoted(t *testing.T) {
	store, g := newFakeStore(), newRevivedGroup()
	all := startInstances(t, store, g, "a", "b")
	g.stop("db-1")
	eventually(t, "the replacement begins", func() bool { return store.record().Phase == Replacing })
	token := store.record().Token
	time.Sleep(takeoverTimeout)
	g.start("db-1")
	eventually(t, "db-1 leads", func() bool { return store.record().Phase == Serving && allUse(all, "db-1")() })
	if promoted, _ := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v", promoted)
	}
	if r := store.record(); r.Token != token {
		t.Errorf("token %d became %d: another instance took over while the promoter was at work", token, r.Token)
	}
}

// Guards against a service that stays without primary for ever because the one that
// followed the last term is gone for good.
func TestDatabaseThatMissedATermIsPromotedAtLast(t *testing.T) {
	store, g := newFakeStore(), newRevivedGroup()
	all := startInstances(t, store, g, "a", "b")
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
}

// Guards against a promotion by the length of the log alone, and against a wait although
// a database has followed the term.
func TestPromotableDatabasesFollowedTheTerm(t *testing.T) {
	rec := Record{Primary: "db-1", Term: 5}
	status := func(id string, term, number uint64) MemberStatus {
		return MemberStatus{Member{ID: id}, statement.Status{Term: term, HeldTerm: 6, Received: statement.Position{Term: term, Number: number}}}
	}
	missed, follows, ahead := status("db-2", 4, 90), status("db-3", 5, 70), status("db-4", 5, 80)
	for name, c := range map[string]struct {
		answered []MemberStatus
		sync     int
		waited   time.Duration
		want     []string
		reason   string
	}{
		"one follows":                 {[]MemberStatus{missed, follows}, 0, 0, []string{"db-3"}, ""},
		"none follows":                {[]MemberStatus{missed}, 0, missedTermTimeout - 1, nil, missedTerm},
		"none follows for long":       {[]MemberStatus{missed}, 0, missedTermTimeout, []string{"db-2"}, ""},
		"none answers":                {nil, 0, missedTermTimeout, nil, tooFewLogs},
		"synchronous, one is missing": {[]MemberStatus{missed, ahead}, 1, missedTermTimeout, nil, tooFewLogs},
		"synchronous, all answer":     {[]MemberStatus{missed, follows, ahead}, 1, 0, []string{"db-4"}, ""},
	} {
		got, reason := Promotable(rec, c.answered, 3, c.sync, c.waited)
		var ids []string
		for _, o := range got {
			ids = append(ids, o.ID)
		}
		if !slices.Equal(ids, c.want) || reason != c.reason {
			t.Errorf("%s: %v (%s), want %v (%s)", name, ids, reason, c.want, c.reason)
		}
	}
}

// Guards against a replica that stays fenced, and receives nothing until it is restarted,
// because it did not answer the one command that makes it receive again.
func TestReplicaThatMissedTheResumptionIsResumed(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	g.mu.Lock()
	g.unresumed = 2
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	eventually(t, "db-3 is no longer fenced", func() bool { return g.get("db-3").HeldTerm == 0 })
}

// logModel is a service in one term, with a primary and replicas that receive its log.
type logModel struct {
	rec      Record
	sync     int
	end      uint64         // of the primary's log
	acked    uint64         // the latest commit that the primary acknowledged
	replicas []modelReplica // the databases other than the primary
}

type modelReplica struct {
	received statement.Position
	deaf     bool // receives nothing, or follows an earlier term
	fenced   bool
	lapsed   bool
	answered *statement.Status // to the promoter
}

// commit appends to the primary's log. Each replica that is not deaf or fenced may
// receive it, and the commit is acknowledged once enough have.
func (m *logModel) commit(t *rapid.T) {
	m.end++
	received := 0
	for i := range m.replicas {
		x := &m.replicas[i]
		if !x.deaf && !x.fenced && rapid.Bool().Draw(t, "receives") {
			x.received = statement.Position{Term: m.rec.Term, Number: m.end}
		}
		if x.received == (statement.Position{Term: m.rec.Term, Number: m.end}) {
			received++
		}
	}
	if received >= m.sync {
		m.acked = m.end
	}
}

// candidates returns the databases that a promoter may promote with the answers so far.
func (m *logModel) candidates() []MemberStatus {
	var answered []MemberStatus
	for i, x := range m.replicas {
		if x.answered != nil && !x.lapsed {
			answered = append(answered, MemberStatus{Member{ID: dbName(i + 1)}, *x.answered})
		}
	}
	candidates, _ := Promotable(m.rec, answered, len(m.replicas), m.sync, missedTermTimeout)
	return candidates
}

// Guards against a promotion that loses an acknowledged commit of a service with
// synchronous replicas, whichever replicas are deaf, slow, behind by a term, restarted
// empty, or gone for a while, and whenever they answer the promoter.
func TestPromotedDatabaseHasEveryAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &logModel{rec: Record{Service: "ledger", Primary: dbName(0), Term: 5}, sync: rapid.IntRange(1, 2).Draw(t, "sync")}
		m.replicas = make([]modelReplica, rapid.IntRange(1, 4).Draw(t, "replicas"))
		for i := range m.replicas {
			m.replicas[i].received = statement.Position{Term: 5}
			if rapid.IntRange(0, 3).Draw(t, "missed the term") == 0 {
				m.replicas[i] = modelReplica{received: statement.Position{Term: 4, Number: 90}, deaf: true}
			}
		}
		pick := func(t *rapid.T) *modelReplica {
			return &m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replica")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"commit": m.commit,
			"deafen": func(t *rapid.T) { pick(t).deaf = true },
			"catch up": func(t *rapid.T) {
				if x := pick(t); !x.fenced && m.end > 0 {
					x.deaf, x.received = false, statement.Position{Term: m.rec.Term, Number: m.end}
				}
			},
			"lapse": func(t *rapid.T) { x := pick(t); x.lapsed = !x.lapsed },
			// It may lose the only copy of a commit besides the primary's.
			"restart empty": func(t *rapid.T) {
				if x := pick(t); x.answered == nil {
					*x = modelReplica{deaf: true}
				}
			},
			"fence": func(t *rapid.T) {
				x := pick(t)
				x.fenced = true
				if rapid.Bool().Draw(t, "answer arrives") {
					x.answered = &statement.Status{Term: x.received.Term, HeldTerm: m.rec.Term + 1, Received: x.received}
				}
			},
			"": func(t *rapid.T) {
				for _, c := range m.candidates() {
					if m.acked > 0 && c.Status.Received.Before(statement.Position{Term: m.rec.Term, Number: m.acked}) {
						t.Fatalf("%s may be promoted with the log up to %s; %d.%d was acknowledged", c.ID, c.Status.Received, m.rec.Term, m.acked)
					}
				}
			},
		})
	})
}

// Guards against a rule that never lets a promotion happen: with the answers of all
// replicas it must, and without synchronous replicas with one.
func TestLogsSufficeWithEnoughAnswers(t *testing.T) {
	rec := Record{Primary: "db-1", Term: 5}
	status := func(id string, number uint64) MemberStatus {
		return MemberStatus{Member{ID: id}, statement.Status{HeldTerm: 6, Received: statement.Position{Term: 5, Number: number}}}
	}
	two := []MemberStatus{status("db-2", 3), status("db-3", 4)}
	for _, c := range []struct {
		answered     []MemberStatus
		others, sync int
		want         bool
	}{
		{two, 2, 1, true},
		{two[:1], 2, 1, false},
		{two, 3, 1, false},
		{two, 3, 2, true},
		{two[:1], 2, 2, true},
		{two[:1], 2, 0, true},
		{nil, 2, 0, false},
		{nil, 0, 1, false},
	} {
		if got := LogsSuffice(rec, c.answered, c.others, c.sync); got != c.want {
			t.Errorf("%d answers of %d, %d synchronous: %v, want %v", len(c.answered), c.others, c.sync, got, c.want)
		}
	}
}
