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

// model is a group of three databases, the platform and several candidates
// that act one step at a time, in any order and with any call failing before
// or after it took effect.
type model struct {
	draw      func(n int) int // a choice below n
	noFencing bool

	version  uint64
	object   platform.Group
	dbs      map[string]*modelDB
	plans    []*Plan
	promoted map[uint64]string // database promoted to each term
	acked    []ackedEntry
	next     int
}

type modelDB struct {
	term uint64
	role backend.Role
	log  []modelEntry
}

type modelEntry struct {
	term uint64
	id   int
}

type ackedEntry struct {
	entry  modelEntry
	offset int
}

func newModel(draw func(int) int, noFencing bool) *model {
	m := &model{draw: draw, noFencing: noFencing, version: 1, dbs: make(map[string]*modelDB), promoted: map[uint64]string{1: "a"}}
	m.object = platform.Group{Term: 1, Primary: "a"}
	for _, name := range members {
		m.dbs[name] = &modelDB{term: 1, role: backend.RoleReplica}
		m.object.Databases = append(m.object.Databases, platform.Database{Name: name})
	}
	m.dbs["a"].role = backend.RolePrimary
	return m
}

func (d *modelDB) status() backend.Status {
	s := backend.Status{Term: d.term, Role: d.role}
	if n := len(d.log); n > 0 {
		s.Last = backend.Position{Term: d.log[n-1].term, Offset: uint64(n)}
	}
	return s
}

func (m *model) pick() *modelDB { return m.dbs[members[m.draw(len(members))]] }

// step does one random thing and checks the invariants.
func (m *model) step() error {
	switch m.draw(8) {
	case 0:
		suspected := max(m.object.Term, m.pick().term)
		if m.draw(2) == 0 {
			suspected = m.pick().term
		}
		m.next++
		candidate, nonce := fmt.Sprint("candidate", m.next), fmt.Sprint("nonce", m.next)
		p := NewPlan(suspected, candidate, nonce, m.noFencing)
		if m.object.Primary != "" && m.draw(3) == 0 {
			p = NewSwitchover(suspected, m.object.Primary, candidate, nonce, m.noFencing)
		}
		m.plans = append(m.plans, p)
	case 1:
		if d := m.pick(); d.role == backend.RolePrimary {
			m.next++
			d.log = append(d.log, modelEntry{d.term, m.next})
		}
	case 2, 3:
		m.replicate()
	case 4:
		m.acknowledge()
	default:
		if len(m.plans) > 0 {
			m.advance(m.plans[m.draw(len(m.plans))])
		}
	}
	return m.check()
}

// replicate copies entries from a primary to a follower of the same term.
func (m *model) replicate() {
	from, to := m.pick(), m.pick()
	if from.role != backend.RolePrimary || to.role != backend.RoleReplica || from.term != to.term {
		return
	}
	match := 0
	for match < len(from.log) && match < len(to.log) && from.log[match] == to.log[match] {
		match++
	}
	end := match + m.draw(len(from.log)-match+1)
	to.log = append([]modelEntry(nil), from.log[:end]...)
}

// acknowledge confirms a primary's last entry by a second database, as the
// pool does: at the same term, and its last entry of that term.
func (m *model) acknowledge() {
	p, other := m.pick(), m.pick()
	n := len(p.log)
	if p == other || p.role != backend.RolePrimary || n == 0 || p.log[n-1].term != p.term {
		return
	}
	if s := other.status(); s.Term == p.term && s.Last.Term == p.term && s.Last.Offset >= uint64(n) {
		m.acked = append(m.acked, ackedEntry{p.log[n-1], n - 1})
	}
}

var errLost = result.Errorf(result.PlatformDown, "no answer")

// advance carries out one step of a plan.
func (m *model) advance(p *Plan) {
	fate := m.draw(4) // 0: fails, 1: takes effect but the answer is lost, otherwise succeeds
	switch p.Step() {
	case StepRead, StepReadBack:
		if fate < 2 {
			p.HandleRead(0, platform.Group{}, errLost)
			return
		}
		p.HandleRead(m.version, m.object, nil)
	case StepClaimTerm, StepPublish:
		if p.Step() == StepPublish {
			m.follow(p)
		}
		m.write(p, fate)
	case StepRaiseTerm:
		m.raise(p)
	case StepPromote:
		m.promote(p, fate)
	}
}

func (m *model) write(p *Plan, fate int) {
	version, g := p.Proposal()
	if fate == 0 {
		p.HandleWrite(0, platform.Group{}, errLost)
		return
	}
	if version != m.version {
		p.HandleWrite(m.version, m.object, result.Errorf(result.Conflict, "changed"))
		return
	}
	m.version++
	m.object = g
	if fate == 1 {
		p.HandleWrite(0, platform.Group{}, errLost)
		return
	}
	p.HandleWrite(m.version, m.object, nil)
}

func (m *model) raise(p *Plan) {
	answers := make(map[string]backend.Status)
	for _, name := range members {
		d, fate := m.dbs[name], m.draw(3)
		if fate == 0 {
			continue
		}
		if !m.noFencing && d.term < p.Term() {
			d.term, d.role = p.Term(), backend.RoleFenced
		}
		if fate == 2 {
			answers[name] = d.status()
		}
	}
	p.HandleRaise(answers)
}

func (m *model) promote(p *Plan, fate int) {
	d := m.dbs[p.Target()]
	if fate == 0 || d.term > p.Term() {
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
	if fate == 1 {
		p.HandlePromote(backend.Status{}, errors.New("no answer"))
		return
	}
	p.HandlePromote(d.status(), nil)
}

func (m *model) follow(p *Plan) {
	for _, name := range members {
		d := m.dbs[name]
		if name != p.Target() && m.draw(2) == 0 && d.term <= p.Term() && (d.term < p.Term() || d.role == backend.RoleFenced) {
			d.term, d.role = p.Term(), backend.RoleReplica
		}
	}
}

// check fails if a term has two primaries or if a primary of a later term
// lacks an acknowledged entry.
func (m *model) check() error {
	for term, names := range m.promoted {
		if len(names) > 1 {
			return fmt.Errorf("term %d was given to %s", term, names)
		}
	}
	for _, a := range m.acked {
		for name, d := range m.dbs {
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

// Guards against lost acknowledged writes and against two primaries of a
// term, with several candidates at once that die at any step, answers that are
// lost after they took effect and databases that miss calls.
func TestElectionsKeepAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choice := rapid.Uint32()
		// rapid prefers small values; the hash spreads them over all choices.
		m := newModel(func(n int) int { return int(choice.Draw(rt, "choice")*2654435761>>8) % n }, false)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			if err := m.step(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// runModel returns the number of promotions and the first violation.
func runModel(seed uint64, steps int, noFencing bool) (promotions int, violation error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	m := newModel(rng.IntN, noFencing)
	for range steps {
		if err := m.step(); err != nil {
			return len(m.promoted) - 1, err
		}
	}
	return len(m.promoted) - 1, nil
}

// Guards against a model that promotes nothing or cannot detect a loss: the
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
		t.Errorf("%d promotions and %d violations without fencing: the model is too tame", promotions, violations)
	}
}

// Guards against a taken term that is given up because the answer was lost,
// and against one that is assumed although somebody else took it.
func TestPlanSettlesLostAnswers(t *testing.T) {
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
		p.HandleWrite(0, platform.Group{}, errLost)
		if p.Step() != StepReadBack {
			t.Fatalf("%s: step is %d after a lost answer", c.name, p.Step())
		}
		p.HandleRead(11, c.found(proposal), nil)
		if p.Step() != c.step {
			t.Errorf("%s: step is %d, want %d (%v)", c.name, p.Step(), c.step, p.Err())
		}
	}
	p := NewPlan(4, "me", "mine", false)
	p.HandleRead(0, platform.Group{}, errLost)
	if p.Step() != StepAbandoned {
		t.Error("a plan goes on although the platform is down")
	}
}
