package membership

import (
	"fmt"
	"os"
	"testing"
	"time"

	"geraniumbeam/internal/platform"
)

const seeds = 5

// Guards against false deaths: with 30 % of the probes lost for ten minutes
// nobody may be declared dead, also where a data centre has one or two
// instances.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	for name, c := range map[string]struct {
		n     int
		place func(int) string
	}{
		"one data centre of 7":  {7, oneCentre},
		"one data centre of 21": {21, oneCentre},
		"alliance":              {7, alliance},
		"two instances":         {2, oneCentre},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				s := newSim(t, seed, c.n, c.place)
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

// Guards against a slow discovery of a death in the own data centre. Limits
// are in simulated time.
func TestDeathIsKnownInTime(t *testing.T) {
	sizes := []int{2, 7, 21, 63}
	if os.Getenv("GERANIUMBEAM_LONG") != "" {
		sizes = append(sizes, 433)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			var worst, sum time.Duration
			for seed := range uint64(2 * seeds) {
				s := newSim(t, seed, n, oneCentre)
				s.run(3*time.Second + time.Duration(seed)*70*time.Millisecond)
				dead := s.names[int(seed)%n]
				s.down[dead] = true
				took := s.until(10*time.Second, "everybody knows", s.agree)
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

// Guards against members of other data centres that stay unknown or live for
// ever: also the only instance of a data centre must be found dead.
func TestOtherDataCentresLearn(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSim(t, seed, 7, alliance)
		s.run(2 * time.Second)
		for _, i := range []int{0, 6} {
			s.down[s.names[i]] = true
			took := s.until(30*time.Second, "everybody knows "+s.names[i], s.agree)
			t.Logf("seed %d: death of %s known everywhere after %v", seed, s.names[i], took)
		}
		s.down[s.names[0]] = false
		s.states[s.names[0]] = NewState(s.states[s.names[0]].self.Instance(), uint64(s.now.UnixMilli()), seed, s.now)
		s.states[s.names[0]].Seed(s.now, []platform.Instance{{Name: s.names[1], Address: "10.0.0.1:1", DataCentre: "a"}})
		took := s.until(30*time.Second, "everybody knows the restarted instance and it knows all", s.agree)
		t.Logf("seed %d: restart known everywhere after %v", seed, took)
	}
}

// Guards against a partition that does not heal: both sides declare the other
// dead and must find each other again, and the deaths must not persist.
func TestPartitionHeals(t *testing.T) {
	for name, place := range map[string]func(int) string{"within": oneCentre, "between": alliance} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(t, seed, 7, place)
				s.run(2 * time.Second)
				s.cut = func(a, b Member) bool { return (a.Name < "i002") != (b.Name < "i002") }
				s.run(time.Minute)
				if s.agree() {
					t.Fatal("the partition was not noticed")
				}
				s.cut = func(Member, Member) bool { return false }
				took := s.until(time.Minute, "all agree again", s.agree)
				t.Logf("seed %d: healed after %v", seed, took)
			}
		})
	}
}

// Guards against deaths that an instance claims which was cut off or paused.
func TestCutOffInstanceDoesNoHarm(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSim(t, seed, 9, oneCentre)
		s.run(2 * time.Second)
		s.cut = func(a, b Member) bool { return a.Name == "i000" || b.Name == "i000" }
		s.run(30 * time.Second)
		s.cut = func(Member, Member) bool { return false }
		s.until(time.Minute, "all agree again", s.agree)
		s.down["i001"] = true // paused for longer than a death takes
		s.run(20 * time.Second)
		s.down["i001"] = false
		s.until(time.Minute, "all agree again", s.agree)
		for _, other := range s.names[2:] {
			if s.deaths[other] > 1 { // one by the cut-off instance, about itself only
				t.Errorf("seed %d: %s was declared dead %d times", seed, other, s.deaths[other])
			}
		}
	}
}

// Guards against work that goes to a leaving instance, and against a late list
// that marks a restarted instance as leaving again.
func TestLeaving(t *testing.T) {
	s := newSim(t, 1, 7, alliance)
	s.run(2 * time.Second)
	gone := s.names[2]
	s.send(gone, s.states[gone].Leave(s.now))
	unseen := func() bool {
		for _, n := range s.names {
			if s.sees(n, gone) {
				return false
			}
		}
		return true
	}
	took := s.until(5*time.Second, "nobody has the leaving instance", unseen)
	t.Logf("leaving known everywhere after %v", took)
	if s.deaths[gone] > 0 {
		t.Error("the leaving instance was declared dead")
	}

	marked := s.names[5]
	list := func(leaving bool) []platform.Instance {
		return []platform.Instance{{Name: marked, Address: "10.0.0.5:1", DataCentre: "c", Leaving: leaving}}
	}
	viewer := s.states[s.names[0]]
	viewer.Seed(s.now, list(false))
	viewer.Seed(s.now, list(true))
	if s.sees(s.names[0], marked) {
		t.Error("an instance that the list marks as leaving is still live")
	}
	old, _ := viewer.Member(marked)
	old.Incarnation, old.Status = old.Incarnation+1e6, Alive
	viewer.Receive(s.now, marked, []Member{old})
	viewer.Seed(s.now, list(true))
	if !s.sees(s.names[0], marked) {
		t.Error("the late list took a restarted instance out")
	}
	st := NewState(s.states[marked].self.Instance(), 1, 1, s.now)
	if st.Seed(s.now, list(true)) || st.Seed(s.now, list(false)) || !st.Seed(s.now, list(true)) {
		t.Error("the own mark counts when it appears, not at the first list")
	}
}

// Guards against messages that grow with the fleet or with churn.
func TestMessagesAreBounded(t *testing.T) {
	s := newSim(t, 1, 63, oneCentre)
	s.run(5 * time.Second)
	for _, st := range s.states {
		for range 100 {
			for _, a := range st.Tick(s.now) {
				if len(a.Updates) > maxUpdates+3 {
					t.Fatalf("%d updates in a probe", len(a.Updates))
				}
			}
			st.SpreadHint(Hint{Group: fmt.Sprint(s.random.Int()), Term: 1})
			s.now = s.now.Add(tickPeriod)
		}
		if n := len(st.hints.entries); n > hintLimit {
			t.Fatalf("%d hints queued", n)
		}
	}
}
