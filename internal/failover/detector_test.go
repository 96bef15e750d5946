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
	lossRate      = 0.3
)

// simulatedInstance owns one database and loses a share of its probes.
type simulatedInstance struct {
	database string
	detector *Detector
}

// simulation runs three instances, with primary a, in steps of probeInterval.
type simulation struct {
	thresholds    Thresholds
	rng           *rand.Rand
	now           time.Time
	instances     []*simulatedInstance
	lastHeartbeat map[string]time.Time // received by each replica
	primaryDown   bool
}

func newSimulation(seed uint64, limit Thresholds) *simulation {
	s := &simulation{thresholds: limit, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), lastHeartbeat: make(map[string]time.Time)}
	for _, name := range members {
		s.instances = append(s.instances, &simulatedInstance{name, NewDetector(limit)})
		s.lastHeartbeat[name] = s.now
	}
	return s
}

func (s *simulation) isLost() bool { return s.rng.Float64() < lossRate }

func (s *simulation) status(name string) backend.Status {
	st := backend.Status{Term: 1, Role: backend.RoleReplica, Last: backend.Position{Term: 1, Offset: 5}, PrimaryAge: s.now.Sub(s.lastHeartbeat[name])}
	if name == "a" {
		st.Role, st.PrimaryAge = backend.RolePrimary, 0
	}
	return st
}

// step loses heartbeats, probes and votes independently of each other and reports
// whether any instance would be a candidate with a majority.
func (s *simulation) step() bool {
	s.now = s.now.Add(probeInterval)
	view := View{Term: 1, Primary: "a", Members: members}
	for _, name := range members[1:] {
		if !s.primaryDown && !s.isLost() {
			s.lastHeartbeat[name] = s.now
		}
	}
	for _, in := range s.instances {
		reachable := !s.isLost() && (in.database != "a" || !s.primaryDown)
		in.detector.Observe(s.now, view, []Observation{{Database: in.database, Reachable: reachable, Status: s.status(in.database)}})
	}
	for _, in := range s.instances {
		if in.detector.Suspect(s.now) && s.countVotes(in).Majority {
			return true
		}
	}
	return false
}

func (s *simulation) countVotes(candidate *simulatedInstance) VoteResult {
	votes := []InstanceVote{s.vote(candidate)}
	for _, in := range s.instances {
		if in != candidate && !s.isLost() {
			votes = append(votes, s.vote(in))
		}
	}
	return CountVotes(s.thresholds, candidate.detector.View(), votes)
}

func (s *simulation) vote(in *simulatedInstance) InstanceVote {
	return InstanceVote{Suspect: in.detector.Suspect(s.now), Health: in.detector.Health(s.now)}
}

// Guards against false promotions on lossy links: in ten minutes with 30 % of
// heartbeats, probes and votes lost there must be none. The failure of the
// primary afterwards must still be detected within 3 s.
func TestNoFalsePromotionUnderLoss(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(seed, DefaultThresholds)
			for end := s.now.Add(10 * time.Minute); s.now.Before(end); {
				if s.step() {
					t.Fatalf("a majority of the databases lost a working primary after %v", s.now.Sub(time.Unix(1000, 0)))
				}
			}
			s.primaryDown = true
			failedAt := s.now
			for !s.step() {
				if s.now.Sub(failedAt) > 3*time.Second {
					t.Fatal("the failure of the primary was not detected within 3 s")
				}
			}
		})
	}
}

// Guards against a simulation that cannot raise a false alarm: with thresholds
// that are too short it must raise one.
func TestLossSimulationFindsShortThresholds(t *testing.T) {
	s := newSimulation(1, Thresholds{HeartbeatTimeout: 250 * time.Millisecond, UnreachableAfter: 250 * time.Millisecond})
	for end := s.now.Add(10 * time.Minute); s.now.Before(end); {
		if s.step() {
			return
		}
	}
	t.Error("short thresholds caused no false alarm in ten minutes")
}

func newHealth(name string, role backend.Role, term uint64, age time.Duration) Health {
	return Health{Database: name, Reachable: true, Status: backend.Status{Term: term, Role: role, PrimaryAge: age}}
}

// Guards against a wrong count of the databases that have lost the primary.
func TestCountVotes(t *testing.T) {
	const long = 2 * time.Second
	known := View{Term: 3, Primary: "a", Members: members}
	none := View{Term: 3, Members: members}
	unreachableA := Health{Database: "a"}
	for _, c := range []struct {
		name  string
		view  View
		votes []InstanceVote
		lost  int
	}{
		{"isolated primary", known, []InstanceVote{
			{"", true, []Health{newHealth("b", backend.RoleReplica, 3, long)}},
			{"", true, []Health{newHealth("c", backend.RoleReplica, 3, long)}},
			{"", false, []Health{newHealth("a", backend.RolePrimary, 3, 0)}},
		}, 2},
		{"isolated replica", known, []InstanceVote{
			{"", true, []Health{newHealth("b", backend.RoleReplica, 3, long)}},
			{"", false, []Health{newHealth("c", backend.RoleReplica, 3, 0)}},
		}, 1},
		{"one of two owners reaches the primary", known, []InstanceVote{
			{"", true, []Health{unreachableA, newHealth("b", backend.RoleReplica, 3, long)}},
			{"", false, []Health{newHealth("a", backend.RolePrimary, 3, 0)}},
		}, 1},
		{"instance that does not suspect", known, []InstanceVote{
			{"", true, []Health{newHealth("b", backend.RoleReplica, 3, long)}},
			{"", false, []Health{newHealth("c", backend.RoleReplica, 3, long)}},
		}, 1},
		{"candidate failed after raising the term", none, []InstanceVote{
			{"", true, []Health{newHealth("b", backend.RoleFenced, 3, long)}},
			{"", true, []Health{newHealth("c", backend.RoleFenced, 3, long)}},
		}, 2},
		{"candidate failed before raising the term", none, []InstanceVote{
			{"", true, []Health{newHealth("a", backend.RolePrimary, 2, 0), newHealth("b", backend.RoleReplica, 2, 0)}},
		}, 2},
		{"unreachable database while there is no primary", none, []InstanceVote{
			{"", true, []Health{unreachableA, newHealth("b", backend.RoleReplica, 2, 0)}},
		}, 2},
		{"unreachable replicas do not count", known, []InstanceVote{{"", true, []Health{{Database: "b"}, {Database: "c"}, unreachableA}}}, 1},
	} {
		v := CountVotes(DefaultThresholds, c.view, c.votes)
		if v.LostPrimary != c.lost || v.Majority != (c.lost >= 2) {
			t.Errorf("%s: vote result is %+v, want %d databases that have lost the primary", c.name, v, c.lost)
		}
	}
}

// Guards against a new candidate that interrupts a promotion in progress: after a
// change of term the detector must suspect nothing during the cooldown.
func TestDetectorCooldownAfterTermChange(t *testing.T) {
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
		t.Errorf("detector suspects the primary %v after the change of term", took)
	}
	if v := d.View(); v.Term != 2 || v.Primary != "" {
		t.Errorf("view is %+v", v)
	}
}

// Guards against a failure that is detected late because the pool repeats an old
// status, and against a PrimaryAge that is extrapolated from one status without
// bound.
func TestDetectorExtrapolatesPrimaryAge(t *testing.T) {
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

// Guards against old statuses of a standby that override those of the active owner.
func TestVotePrefersActiveOwner(t *testing.T) {
	self := ownership.Instance{Name: "x", DataCentre: "dc"}
	other := ownership.Instance{Name: "y", DataCentre: "dc"}
	r := &Manager{cfg: Config{Directory: directory.New(self)}}
	r.cfg.Directory.SetLive([]ownership.Instance{self, other}, false)
	db := platform.Database{Name: "b", DataCentre: "dc"}
	owners := r.cfg.Directory.Owners(db)
	standby := InstanceVote{Instance: owners[1].Name, Health: []Health{newHealth("b", backend.RoleReplica, 1, 0)}}
	active := InstanceVote{Instance: owners[0].Name, Suspect: true, Health: []Health{newHealth("b", backend.RoleReplica, 1, time.Minute)}}
	votes := []InstanceVote{standby, active}
	r.preferActive(directory.Group{Databases: []platform.Database{db}}, votes)
	if votes[0].covers("b") || !votes[1].covers("b") {
		t.Errorf("votes are %+v", votes)
	}
	votes = []InstanceVote{standby, {Instance: owners[0].Name}}
	r.preferActive(directory.Group{Databases: []platform.Database{db}}, votes)
	if !votes[0].covers("b") {
		t.Error("the standby's health of b was removed although the active owner has none")
	}
}
