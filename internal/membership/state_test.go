package membership

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

const seeds = 5

// Guards against false deaths: with 30 % of the probes lost for ten minutes, no
// instance may be declared dead, not even in a data centre of one or two
// instances, where indirect probes are missing.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	for name, c := range map[string]struct {
		n          int
		dataCentre func(int) string
	}{
		"one data centre of 7":  {7, oneDataCentre},
		"one data centre of 21": {21, oneDataCentre},
		"four data centres":     {7, fourDataCentres},
		"two instances":         {2, oneDataCentre},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				s := newSim(t, seed, c.n, c.dataCentre)
				s.loss = 0.3
				s.run(10 * time.Minute)
				if len(s.deaths) > 0 {
					t.Errorf("seed %d: declared dead: %v", seed, s.deaths)
				}
				suspected := 0
				for _, st := range s.states {
					suspected += int(st.self.Incarnation%1000) - 1
				}
				if suspected < 3 {
					t.Errorf("seed %d: %d refutations; the test loses too few probes", seed, suspected)
				}
			}
		})
	}
}

// Guards against slow detection of a death within a data centre. The limit is in
// simulated time.
func TestDeathIsDetectedWithinTwoSeconds(t *testing.T) {
	sizes := []int{2, 7, 21, 63}
	if os.Getenv("GERANIUMBEAM_LONG") != "" {
		sizes = append(sizes, 433)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			var worst, sum time.Duration
			for seed := range uint64(2 * seeds) {
				s := newSim(t, seed, n, oneDataCentre)
				s.run(3*time.Second + time.Duration(seed)*70*time.Millisecond)
				dead := s.names[int(seed)%n]
				s.down[dead] = true
				took := s.runUntil(10*time.Second, "all detect the death", s.agree)
				worst, sum = max(worst, took), sum+took
				if len(s.deaths) != 1 {
					t.Fatalf("seed %d: declared dead: %v", seed, s.deaths)
				}
			}
			t.Logf("%d instances: mean %v, worst %v", n, sum/(2*seeds), worst)
			if limit := 2 * time.Second; worst > limit {
				t.Errorf("worst %v, want at most %v", worst, limit)
			}
		})
	}
}

// Guards against members of other data centres that stay unknown, or live after
// their death. The death of the only instance of a data centre must be detected
// too.
func TestDeathsReachOtherDataCentres(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSim(t, seed, 7, fourDataCentres)
		s.run(2 * time.Second)
		for _, i := range []int{0, 6} {
			s.down[s.names[i]] = true
			took := s.runUntil(30*time.Second, "all detect the death of "+s.names[i], s.agree)
			t.Logf("seed %d: death of %s known everywhere after %v", seed, s.names[i], took)
		}
		s.down[s.names[0]] = false
		s.states[s.names[0]] = NewState(s.states[s.names[0]].self.Instance(), uint64(s.now.UnixMilli()), seed, s.now)
		s.states[s.names[0]].MergeInstanceList(s.now, []platform.Instance{{Name: s.names[1], Address: "10.0.0.1:1", DataCentre: "a"}})
		took := s.runUntil(30*time.Second, "all see the restarted instance and it sees all", s.agree)
		t.Logf("seed %d: restart known everywhere after %v", seed, took)
	}
}

// Guards against a partition that does not heal: both sides declare each other
// dead, and must find each other and refute the deaths afterwards.
func TestPartitionHeals(t *testing.T) {
	for name, dataCentre := range map[string]func(int) string{"within": oneDataCentre, "between": fourDataCentres} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(t, seed, 7, dataCentre)
				s.run(2 * time.Second)
				s.partitioned = func(a, b Member) bool { return (a.Name < "i002") != (b.Name < "i002") }
				s.run(time.Minute)
				if s.agree() {
					t.Fatal("the partition was not noticed")
				}
				s.partitioned = func(Member, Member) bool { return false }
				took := s.runUntil(time.Minute, "all agree again", s.agree)
				t.Logf("seed %d: healed after %v", seed, took)
			}
		})
	}
}

// Guards against mass deaths in a partition between large data centres, and
// against a death during the partition that the other side does not learn of
// afterwards.
func TestPartitionOfLargeDataCentresCausesNoDeaths(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSim(t, seed, 24, func(i int) string { return []string{"a", "b", "c"}[i%3] })
		s.run(3 * time.Second)
		s.partitioned = func(a, b Member) bool { return (a.DataCentre == "a") != (b.DataCentre == "a") }
		dead := s.names[4] // in b
		s.down[dead] = true
		s.run(time.Minute)
		s.partitioned = func(Member, Member) bool { return false }
		took := s.runUntil(30*time.Second, "all agree again", s.agree)
		t.Logf("seed %d: healed after %v", seed, took)
		if len(s.deaths) != 1 || s.deaths[dead] == 0 {
			t.Errorf("seed %d: declared dead: %v, want only %s", seed, s.deaths, dead)
		}
	}
}

// Guards against deaths that are claimed by an instance which was itself
// unreachable or suspended.
func TestUnreachableInstanceDeclaresNoPeerDead(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSim(t, seed, 9, oneDataCentre)
		s.run(2 * time.Second)
		s.partitioned = func(a, b Member) bool { return a.Name == "i000" || b.Name == "i000" }
		s.run(30 * time.Second)
		s.partitioned = func(Member, Member) bool { return false }
		s.runUntil(time.Minute, "all agree again", s.agree)
		s.down["i001"] = true // suspended for longer than it takes to be declared dead
		s.run(20 * time.Second)
		s.down["i001"] = false
		s.runUntil(time.Minute, "all agree again", s.agree)
		for _, other := range s.names[2:] {
			if s.deaths[other] > 1 { // one by the unreachable instance, which it must not send to peers
				t.Errorf("seed %d: %s was declared dead %d times", seed, other, s.deaths[other])
			}
		}
	}
}

// Guards against a leaving instance that stays live, and against an outdated
// instance list that marks a restarted instance as leaving again.
func TestLeavingInstanceIsNotLive(t *testing.T) {
	s := newSim(t, 1, 7, fourDataCentres)
	s.run(2 * time.Second)
	departing := s.names[2]
	s.send(departing, s.states[departing].Leave(s.now))
	notLive := func() bool {
		for _, n := range s.names {
			if s.sees(n, departing) {
				return false
			}
		}
		return true
	}
	took := s.runUntil(5*time.Second, "the leaving instance is live nowhere", notLive)
	t.Logf("leaving known everywhere after %v", took)
	if s.deaths[departing] > 0 {
		t.Error("the leaving instance was declared dead")
	}

	marked := s.names[5]
	list := func(leaving bool) []platform.Instance {
		return []platform.Instance{{Name: marked, Address: "10.0.0.5:1", DataCentre: "c", Leaving: leaving}}
	}
	viewer := s.states[s.names[0]]
	viewer.MergeInstanceList(s.now, list(false))
	viewer.MergeInstanceList(s.now, list(true))
	if s.sees(s.names[0], marked) {
		t.Error("an instance that the list marks as leaving is still live")
	}
	old, _ := viewer.Member(marked)
	old.Incarnation, old.Status = old.Incarnation+1e6, Alive
	viewer.HandleMessage(s.now, marked, []Member{old})
	viewer.MergeInstanceList(s.now, list(true))
	if !s.sees(s.names[0], marked) {
		t.Error("the outdated list removed a restarted instance")
	}
	st := NewState(s.states[marked].self.Instance(), 1, 1, s.now)
	if st.MergeInstanceList(s.now, list(true)) || st.MergeInstanceList(s.now, list(false)) || !st.MergeInstanceList(s.now, list(true)) {
		t.Error("an instance's own leaving mark must count when it appears, not in the first list")
	}
}

// Guards against messages that grow with the number of instances or of changes.
func TestMessagesAreBounded(t *testing.T) {
	s := newSim(t, 1, 63, oneDataCentre)
	s.run(5 * time.Second)
	for _, st := range s.states {
		for range 100 {
			for _, a := range st.Tick(s.now) {
				if len(a.Updates) > maxUpdates+3 {
					t.Fatalf("%d updates in a probe", len(a.Updates))
				}
			}
			st.QueueHint(Hint{Group: fmt.Sprint(s.random.Int()), Term: 1})
			s.now = s.now.Add(tickInterval)
		}
		if n := len(st.hints.entries); n > maxQueuedHints {
			t.Fatalf("%d hints queued", n)
		}
	}
}

// Guards against a death after too few failed attempts: attempts without an
// outcome, and failures from before this process was suspended, do not count.
func TestDeathNeedsFailedAttempts(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := NewState(ownership.Instance{Name: "a", Address: "10.0.0.1:1", DataCentre: "dc"}, 1, 1, now)
	s.MergeInstanceList(now, []platform.Instance{{Name: "b", Address: "10.0.0.2:1", DataCentre: "dc"}})
	status := func() Status { m, _ := s.Member("b"); return m.Status }
	var open []Message
	wait := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(simStep)
			open = append(open, s.Tick(now)...)
		}
	}
	fail := func() {
		t.Helper()
		if len(open) == 0 {
			t.Fatal("no attempt was made")
		}
		s.HandleResult(now, open[0], false, false, nil)
		open = open[1:]
	}
	for wait(ProbeInterval); status() != Suspect; wait(ProbeInterval) {
		fail()
	}
	wait(2 * suspicionTimeout)
	for i := range minFailedAttempts - 1 {
		fail()
		if wait(simStep); status() != Suspect {
			t.Fatalf("%v after %d failures", status(), i+1)
		}
	}
	now = now.Add(time.Minute)
	wait(simStep)
	fail()
	if wait(2 * suspicionTimeout); status() != Suspect {
		t.Fatalf("%v after a suspension and one failure", status())
	}
	for range minFailedAttempts {
		fail()
	}
	if wait(simStep); status() != Dead {
		t.Fatalf("%v after %d failures in a window", status(), minFailedAttempts)
	}
}

// Guards against death claims of peers that override an answer just received, and
// against claims with an old incarnation.
func TestDeathClaimAfterRecentAnswerIsChecked(t *testing.T) {
	s := newSim(t, 1, 3, oneDataCentre)
	s.run(2 * time.Second)
	st, other := s.states["i000"], s.states["i001"].Self()
	st.HandleMessage(s.now, other.Name, []Member{other})
	other.Status = Dead
	st.HandleMessage(s.now, "i002", []Member{s.states["i002"].Self(), other})
	if m, _ := st.Member(other.Name); m.Status != Suspect {
		t.Fatalf("%v after a death claim that contradicts a recent answer, want suspect", m.Status)
	}
	s.runUntil(10*time.Second, "the suspicion is refuted", func() bool {
		m, _ := st.Member(other.Name)
		return m.Status == Alive && m.Incarnation > other.Incarnation
	})
	st.HandleMessage(s.now.Add(time.Hour), "i002", []Member{s.states["i002"].Self(), other})
	if m, _ := st.Member(other.Name); m.Status != Alive {
		t.Fatalf("%v after a claim with an older incarnation, want alive", m.Status)
	}
}

// Guards against a data centre that is reachable again after a partition and
// receives the changes only through repair records.
func TestStaleLinkExchangesAllMembers(t *testing.T) {
	s := newSim(t, 1, 40, func(i int) string { return []string{"a", "b"}[i%2] })
	st, remote := s.states["i000"], s.states["i001"].Self()
	count := func(at time.Duration) int {
		return len(st.HandleMessage(s.now.Add(at), remote.Name, []Member{remote}).Updates)
	}
	if first, second, late := count(0), count(time.Second), count(time.Minute); first < 20 || second > maxUpdates || late < 20 {
		t.Fatalf("replies of %d, %d and %d records, want all 20, few, all 20", first, second, late)
	}
}

// Guards against updates and hints that are lost together with the messages that
// carry them.
func TestLostUpdatesAreSentAgain(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := NewState(ownership.Instance{Name: "a", Address: "10.0.0.1:1", DataCentre: "dc"}, 1, 1, now)
	s.MergeInstanceList(now, []platform.Instance{{Name: "b", Address: "10.0.0.2:1", DataCentre: "dc"}})
	departed := Member{Name: "c", Address: "10.0.0.3:1", DataCentre: "dc", Incarnation: 4, Status: Leaving}
	hint := Hint{Group: "g", Term: 2, Primary: "g-a"}
	s.applyClaim(now, departed, "d")
	s.QueueHint(hint)
	to, _ := s.Member("b")
	for range 100 {
		s.HandleResult(now, s.message(to, directTimeout), false, false, nil)
	}
	a := s.message(to, directTimeout)
	if !slices.Contains(a.Updates, departed) || !slices.Contains(a.Hints, hint) {
		t.Fatalf("after 100 lost messages the next has updates %v and hints %v", a.Updates, a.Hints)
	}
	for range 100 {
		s.HandleResult(now, s.message(to, directTimeout), true, true, nil)
	}
	if a := s.message(to, directTimeout); slices.Contains(a.Updates, departed) || len(a.Hints) > 0 {
		t.Fatalf("after 100 answers the next message still has updates %v and hints %v", a.Updates, a.Hints)
	}
}
