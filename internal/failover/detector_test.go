package failover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

var members = []string{"a", "b", "c"}

const (
	probeInterval = 100 * time.Millisecond
	lossShare     = 0.3
)

// site is an instance that owns one database and loses a share of its probes.
type site struct {
	database string
	detector *Detector
}

// simulation runs three sites against a primary a in steps of probeInterval.
type simulation struct {
	limit Thresholds
	rng   *rand.Rand
	now   time.Time
	sites []*site
	heard map[string]time.Time // last heartbeat at a replica
	dead  bool                 // the primary
}

func newSimulation(seed uint64, limit Thresholds) *simulation {
	s := &simulation{limit: limit, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), heard: make(map[string]time.Time)}
	for _, name := range members {
		s.sites = append(s.sites, &site{name, NewDetector(limit)})
		s.heard[name] = s.now
	}
	return s
}

func (s *simulation) lost() bool { return s.rng.Float64() < lossShare }

func (s *simulation) status(name string) backend.Status {
	st := backend.Status{Term: 1, Role: backend.RoleReplica, Last: backend.Position{Term: 1, Offset: 5}, PrimaryAge: s.now.Sub(s.heard[name])}
	if name == "a" {
		st.Role, st.PrimaryAge = backend.RolePrimary, 0
	}
	return st
}

// step loses heartbeats, probes and votes independently and reports whether
// any site would be a candidate with a majority.
func (s *simulation) step() bool {
	s.now = s.now.Add(probeInterval)
	view := View{Term: 1, Primary: "a", Members: members}
	for _, name := range members[1:] {
		if !s.dead && !s.lost() {
			s.heard[name] = s.now
		}
	}
	for _, si := range s.sites {
		reachable := !s.lost() && (si.database != "a" || !s.dead)
		si.detector.Observe(s.now, view, []Observation{{Database: si.database, Reachable: reachable, Status: s.status(si.database)}})
	}
	for _, si := range s.sites {
		if si.detector.Suspect(s.now) && s.tally(si).Majority {
			return true
		}
	}
	return false
}

func (s *simulation) tally(candidate *site) VoteResult {
	ballots := []Vote{s.ballot(candidate)}
	for _, si := range s.sites {
		if si != candidate && !s.lost() {
			ballots = append(ballots, s.ballot(si))
		}
	}
	return CountVotes(s.limit, candidate.detector.View(), ballots)
}

func (s *simulation) ballot(si *site) Vote {
	return Vote{Suspect: si.detector.Suspect(s.now), Databases: si.detector.Health(s.now)}
}

// Guards against false promotions on lossy links: ten minutes with 30 % of
// heartbeats, probes and votes lost. A real loss must still be found within
// the target afterwards.
func TestNoFalsePromotionUnderLoss(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(seed, DefaultThresholds)
			for end := s.now.Add(10 * time.Minute); s.now.Before(end); {
				if s.step() {
					t.Fatalf("a majority of the databases lost a working primary after %v", s.now.Sub(time.Unix(1000, 0)))
				}
			}
			s.dead = true
			died := s.now
			for !s.step() {
				if s.now.Sub(died) > 3*time.Second {
					t.Fatal("the loss of the primary was not found within 3 s")
				}
			}
		})
	}
}

// Guards against a simulation that cannot raise a false alarm: with short
// thresholds it must.
func TestLossSimulationFindsShortThresholds(t *testing.T) {
	s := newSimulation(1, Thresholds{HeartbeatTimeout: 250 * time.Millisecond, UnreachableAfter: 250 * time.Millisecond})
	for end := s.now.Add(10 * time.Minute); s.now.Before(end); {
		if s.step() {
			return
		}
	}
	t.Error("short thresholds caused no false alarm in ten minutes")
}

func evidence(name string, role backend.Role, term uint64, age time.Duration) DatabaseHealth {
	return DatabaseHealth{Database: name, Reachable: true, Status: backend.Status{Term: term, Role: role, PrimaryAge: age}}
}

// Guards against wrong counting of databases that speak against the primary.
func TestTally(t *testing.T) {
	const long = 2 * time.Second
	known := View{Term: 3, Primary: "a", Members: members}
	none := View{Term: 3, Members: members}
	deadA := DatabaseHealth{Database: "a"}
	for _, c := range []struct {
		name    string
		view    View
		ballots []Vote
		lost    int
	}{
		{"isolated primary", known, []Vote{
			{"", true, []DatabaseHealth{evidence("b", backend.RoleReplica, 3, long)}},
			{"", true, []DatabaseHealth{evidence("c", backend.RoleReplica, 3, long)}},
			{"", false, []DatabaseHealth{evidence("a", backend.RolePrimary, 3, 0)}},
		}, 2},
		{"isolated replica", known, []Vote{
			{"", true, []DatabaseHealth{evidence("b", backend.RoleReplica, 3, long)}},
			{"", false, []DatabaseHealth{evidence("c", backend.RoleReplica, 3, 0)}},
		}, 1},
		{"one of two owners reaches the primary", known, []Vote{
			{"", true, []DatabaseHealth{deadA, evidence("b", backend.RoleReplica, 3, long)}},
			{"", false, []DatabaseHealth{evidence("a", backend.RolePrimary, 3, 0)}},
		}, 1},
		{"instance that does not suspect", known, []Vote{
			{"", true, []DatabaseHealth{evidence("b", backend.RoleReplica, 3, long)}},
			{"", false, []DatabaseHealth{evidence("c", backend.RoleReplica, 3, long)}},
		}, 1},
		{"candidate died after the raise", none, []Vote{
			{"", true, []DatabaseHealth{evidence("b", backend.RoleFenced, 3, long)}},
			{"", true, []DatabaseHealth{evidence("c", backend.RoleFenced, 3, long)}},
		}, 2},
		{"candidate died before the raise", none, []Vote{
			{"", true, []DatabaseHealth{evidence("a", backend.RolePrimary, 2, 0), evidence("b", backend.RoleReplica, 2, 0)}},
		}, 2},
		{"unreachable database while there is no primary", none, []Vote{
			{"", true, []DatabaseHealth{deadA, evidence("b", backend.RoleReplica, 2, 0)}},
		}, 2},
		{"unreachable replicas say nothing", known, []Vote{{"", true, []DatabaseHealth{{Database: "b"}, {Database: "c"}, deadA}}}, 1},
	} {
		v := CountVotes(DefaultThresholds, c.view, c.ballots)
		if v.LostPrimary != c.lost || v.Majority != (c.lost >= 2) {
			t.Errorf("%s: verdict is %+v, want %d lost", c.name, v, c.lost)
		}
	}
}

// Guards against a new candidate that interrupts a promotion under way.
func TestDetectorSettlesAfterChangeOfTerm(t *testing.T) {
	d := NewDetector(DefaultThresholds)
	now := time.Unix(0, 0)
	look := func(term uint64) bool {
		now = now.Add(probeInterval)
		d.Observe(now, View{Term: 1, Primary: "a", Members: members},
			[]Observation{{"b", true, backend.Status{Term: term, Role: backend.RoleFenced, PrimaryAge: time.Minute}}})
		return d.Suspect(now)
	}
	for !look(1) {
	}
	raised := now.Add(probeInterval)
	for !look(2) {
	}
	if took := now.Sub(raised); took < DefaultThresholds.Cooldown {
		t.Errorf("suspects again %v after the raise", took)
	}
	if v := d.View(); v.Term != 2 || v.Primary != "" {
		t.Errorf("view is %+v", v)
	}
}

// Guards against a loss that is found late because the pool repeats an old
// status, and against ages that grow without bound from one status.
func TestDetectorAgesRepeatedStatuses(t *testing.T) {
	d := NewDetector(DefaultThresholds)
	now := time.Unix(0, 0)
	st := backend.Status{Term: 1, Role: backend.RoleReplica, PrimaryAge: 700 * time.Millisecond}
	look := func() time.Duration {
		d.Observe(now, View{Term: 1, Primary: "a", Members: members}, []Observation{{"b", true, st}})
		return d.Health(now)[0].Status.PrimaryAge
	}
	look()
	for _, c := range []struct{ passed, want time.Duration }{{50, 750}, {50, 800}, {200, 950}} {
		now = now.Add(c.passed * time.Millisecond)
		if got := look(); got != c.want*time.Millisecond {
			t.Errorf("age is %v, want %v ms", got, int64(c.want))
		}
	}
	st.PrimaryAge = 20 * time.Millisecond
	if got := look(); got != st.PrimaryAge {
		t.Errorf("age is %v after a new status, want %v", got, st.PrimaryAge)
	}
}

// Guards against a standby's old statuses that outvote the active owner.
func TestVotePrefersActiveOwner(t *testing.T) {
	self := ownership.Instance{Name: "x", DataCentre: "dc"}
	other := ownership.Instance{Name: "y", DataCentre: "dc"}
	r := &Manager{cfg: Config{Directory: directory.New(self)}}
	r.cfg.Directory.SetLive([]ownership.Instance{self, other}, false)
	db := platform.Database{Name: "b", DataCentre: "dc"}
	owners := r.cfg.Directory.Owners(db)
	standby := Vote{Instance: owners[1].Name, Databases: []DatabaseHealth{evidence("b", backend.RoleReplica, 1, 0)}}
	active := Vote{Instance: owners[0].Name, Suspect: true, Databases: []DatabaseHealth{evidence("b", backend.RoleReplica, 1, time.Minute)}}
	ballots := []Vote{standby, active}
	r.preferActive(directory.Group{Databases: []platform.Database{db}}, ballots)
	if ballots[0].has("b") || !ballots[1].has("b") {
		t.Errorf("ballots are %+v", ballots)
	}
	ballots = []Vote{standby, {Instance: owners[0].Name}}
	r.preferActive(directory.Group{Databases: []platform.Database{db}}, ballots)
	if !ballots[0].has("b") {
		t.Error("the standby's evidence was dropped although the active owner has none")
	}
}
