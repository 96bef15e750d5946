package failover

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

// groupModel models a group of three databases, the platform and several
// candidates. The candidates execute their steps in any order, and any call can
// fail before or after it takes effect.
type groupModel struct {
	choose    func(n int) int // a choice below n
	noFencing bool

	version      uint64
	object       platform.Group
	databases    map[string]*modelDatabase
	plans        []*Plan
	promoted     map[uint64]string // database promoted to each term
	acknowledged []acknowledgedEntry
	lastID       int
}

type modelDatabase struct {
	term uint64
	role backend.Role
	log  []modelEntry
}

type modelEntry struct {
	term uint64
	id   int
}

type acknowledgedEntry struct {
	entry  modelEntry
	offset int
}

func newGroupModel(choose func(int) int, noFencing bool) *groupModel {
	m := &groupModel{choose: choose, noFencing: noFencing, version: 1, databases: make(map[string]*modelDatabase), promoted: map[uint64]string{1: "a"}}
	m.object = platform.Group{Term: 1, Primary: "a"}
	for _, name := range members {
		m.databases[name] = &modelDatabase{term: 1, role: backend.RoleReplica}
		m.object.Databases = append(m.object.Databases, platform.Database{Name: name})
	}
	m.databases["a"].role = backend.RolePrimary
	return m
}

func (d *modelDatabase) status() backend.Status {
	s := backend.Status{Term: d.term, Role: d.role}
	if n := len(d.log); n > 0 {
		s.Last = backend.Position{Term: d.log[n-1].term, Offset: uint64(n)}
	}
	return s
}

func (m *groupModel) chooseDatabase() *modelDatabase {
	return m.databases[members[m.choose(len(members))]]
}

// step performs one random action and checks the invariants.
func (m *groupModel) step() error {
	switch m.choose(8) {
	case 0:
		suspected := max(m.object.Term, m.chooseDatabase().term)
		if m.choose(2) == 0 {
			suspected = m.chooseDatabase().term
		}
		m.lastID++
		candidate, nonce := fmt.Sprint("candidate", m.lastID), fmt.Sprint("nonce", m.lastID)
		p := NewPlan(suspected, candidate, nonce, m.noFencing)
		if m.object.Primary != "" && m.choose(3) == 0 {
			p = NewSwitchover(suspected, m.object.Primary, candidate, nonce, m.noFencing)
		}
		m.plans = append(m.plans, p)
	case 1:
		if d := m.chooseDatabase(); d.role == backend.RolePrimary {
			m.lastID++
			d.log = append(d.log, modelEntry{d.term, m.lastID})
		}
	case 2, 3:
		m.replicate()
	case 4:
		m.acknowledge()
	default:
		if len(m.plans) > 0 {
			m.executeStep(m.plans[m.choose(len(m.plans))])
		}
	}
	return m.check()
}

// replicate copies entries from a primary to a replica of the same term.
func (m *groupModel) replicate() {
	from, to := m.chooseDatabase(), m.chooseDatabase()
	if from.role != backend.RolePrimary || to.role != backend.RoleReplica || from.term != to.term {
		return
	}
	match := 0
	for match < len(from.log) && match < len(to.log) && from.log[match] == to.log[match] {
		match++
	}
	end := match + m.choose(len(from.log)-match+1)
	to.log = append([]modelEntry(nil), from.log[:end]...)
}

// acknowledge acknowledges a primary's last entry if a second database holds it, by
// the rule of the pool: the database is at the primary's term and its last entry is
// of that term.
func (m *groupModel) acknowledge() {
	p, other := m.chooseDatabase(), m.chooseDatabase()
	n := len(p.log)
	if p == other || p.role != backend.RolePrimary || n == 0 || p.log[n-1].term != p.term {
		return
	}
	if s := other.status(); s.Term == p.term && s.Last.Term == p.term && s.Last.Offset >= uint64(n) {
		m.acknowledged = append(m.acknowledged, acknowledgedEntry{p.log[n-1], n - 1})
	}
}

var errNoAnswer = result.Errorf(result.PlatformDown, "no answer")

// executeStep executes one step of a plan.
func (m *groupModel) executeStep(p *Plan) {
	outcome := m.choose(4) // 0: fails, 1: takes effect but its answer is lost, otherwise: succeeds
	switch p.Step() {
	case StepRead, StepReadBack:
		if outcome < 2 {
			p.HandleRead(0, platform.Group{}, errNoAnswer)
			return
		}
		p.HandleRead(m.version, m.object, nil)
	case StepClaimTerm, StepPublish:
		if p.Step() == StepPublish {
			m.follow(p)
		}
		m.write(p, outcome)
	case StepRaiseTerm:
		m.raise(p)
	case StepPromote:
		m.promote(p, outcome)
	}
}

func (m *groupModel) write(p *Plan, outcome int) {
	version, g := p.Proposal()
	if outcome == 0 {
		p.HandleWrite(0, platform.Group{}, errNoAnswer)
		return
	}
	if version != m.version {
		p.HandleWrite(m.version, m.object, result.Errorf(result.Conflict, "changed"))
		return
	}
	m.version++
	m.object = g
	if outcome == 1 {
		p.HandleWrite(0, platform.Group{}, errNoAnswer)
		return
	}
	p.HandleWrite(m.version, m.object, nil)
}

func (m *groupModel) raise(p *Plan) {
	answers := make(map[string]backend.Status)
	for _, name := range members {
		d, outcome := m.databases[name], m.choose(3)
		if outcome == 0 {
			continue
		}
		if !m.noFencing && d.term < p.Term() {
			d.term, d.role = p.Term(), backend.RoleFenced
		}
		if outcome == 2 {
			answers[name] = d.status()
		}
	}
	p.HandleRaise(answers)
}

func (m *groupModel) promote(p *Plan, outcome int) {
	d := m.databases[p.Target()]
	if outcome == 0 || d.term > p.Term() {
		p.HandlePromote(backend.Status{}, errors.New("not promoted"))
		return
	}
	if d.term < p.Term() || d.role == backend.RoleFenced {
		d.term, d.role = p.Term(), backend.RolePrimary
		d.log = append(d.log, modelEntry{term: d.term})
		if before, ok := m.promoted[d.term]; ok && before != p.Target() {
			m.promoted[d.term] = before + " and " + p.Target()
		} else {
			m.promoted[d.term] = p.Target()
		}
	}
	if outcome == 1 {
		p.HandlePromote(backend.Status{}, errors.New("no answer"))
		return
	}
	p.HandlePromote(d.status(), nil)
}

func (m *groupModel) follow(p *Plan) {
	for _, name := range members {
		d := m.databases[name]
		if name != p.Target() && m.choose(2) == 0 && d.term <= p.Term() && (d.term < p.Term() || d.role == backend.RoleFenced) {
			d.term, d.role = p.Term(), backend.RoleReplica
		}
	}
}

// check returns an error if a term has two primaries or if a primary of a later
// term lacks an acknowledged entry.
func (m *groupModel) check() error {
	for term, names := range m.promoted {
		if len(names) > 1 {
			return fmt.Errorf("term %d has the primaries %s", term, names)
		}
	}
	for _, a := range m.acknowledged {
		for name, d := range m.databases {
			if d.role != backend.RolePrimary || d.term <= a.entry.term {
				continue
			}
			if a.offset >= len(d.log) || d.log[a.offset] != a.entry {
				return fmt.Errorf("%s, primary of term %d, lacks entry %d acknowledged at term %d", name, d.term, a.entry.id, a.entry.term)
			}
		}
	}
	return nil
}

// Guards against lost acknowledged writes and against two primaries of one term
// when several candidates run concurrently and fail at any step, answers are lost
// after the call took effect, and databases miss calls.
func TestElectionsKeepAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choice := rapid.Uint32()
		// rapid prefers small values; the multiplication spreads them over all choices.
		m := newGroupModel(func(n int) int { return int(choice.Draw(rt, "choice")*2654435761>>8) % n }, false)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			if err := m.step(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// runModel returns the number of promotions and the first violation of an
// invariant.
func runModel(seed uint64, steps int, noFencing bool) (promotions int, violation error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	m := newGroupModel(rng.IntN, noFencing)
	for range steps {
		if err := m.step(); err != nil {
			return len(m.promoted) - 1, err
		}
	}
	return len(m.promoted) - 1, nil
}

// Guards against a model that promotes nothing or cannot detect a lost write: the
// same steps without fencing must lose an acknowledged write.
func TestModelDetectsMissingFencing(t *testing.T) {
	const runs, steps = 300, 400
	promotions, violations := 0, 0
	for seed := range uint64(runs) {
		n, err := runModel(seed, steps, false)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		promotions += n
		if _, err := runModel(seed, steps, true); err != nil {
			violations++
		}
	}
	t.Logf("%d promotions with fencing; %d of %d runs without it lost a write", promotions, violations, runs)
	if promotions < runs || violations == 0 {
		t.Errorf("%d promotions and %d violations without fencing: the model does not exercise promotions or fencing", promotions, violations)
	}
}

// Guards against a plan that abandons a term which it has claimed because the
// answer was lost, and against one that assumes a term which another candidate
// has claimed.
func TestPlanResolvesLostAnswers(t *testing.T) {
	read := platform.Group{Term: 4, Databases: []platform.Database{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	for _, c := range []struct {
		name  string
		found func(mine platform.Group) platform.Group
		step  Step
	}{
		{"own write took effect", func(mine platform.Group) platform.Group { return mine }, StepRaiseTerm},
		{"write did not take effect", func(platform.Group) platform.Group { return read }, StepClaimTerm},
		{"another candidate won", func(mine platform.Group) platform.Group { mine.Nonce = "other"; return mine }, StepAbandoned},
	} {
		p := NewPlan(4, "me", "mine", false)
		p.HandleRead(10, read, nil)
		_, proposal := p.Proposal()
		p.HandleWrite(0, platform.Group{}, errNoAnswer)
		if p.Step() != StepReadBack {
			t.Fatalf("%s: step is %d after a lost answer", c.name, p.Step())
		}
		p.HandleRead(11, c.found(proposal), nil)
		if p.Step() != c.step {
			t.Errorf("%s: step is %d, want %d (%v)", c.name, p.Step(), c.step, p.Err())
		}
	}
	p := NewPlan(4, "me", "mine", false)
	p.HandleRead(0, platform.Group{}, errNoAnswer)
	if p.Step() != StepAbandoned {
		t.Error("a plan continues although the platform is unavailable")
	}
}
