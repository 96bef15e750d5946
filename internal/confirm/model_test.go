package confirm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"geraniumbeam/internal/backend"
)

// flaw turns a part of the rule off, to show that the model notices.
type flaw int

const (
	noFlaw       flaw = iota
	ackAtCommit       // acknowledge without a report
	anyLastTerm       // accept a report whose last entry is of another term
	staleReports      // accept a report from a call that began before the read
)

type entry struct{ term, id uint64 }

type node struct {
	up   bool
	term uint64
	role backend.Role
	log  []entry
}

func (n *node) status() backend.Status {
	s := backend.Status{Term: n.term, Role: n.role}
	if l := len(n.log); l > 0 {
		s.Last = backend.Position{Term: n.log[l-1].term, Offset: uint64(l)}
	}
	return s
}

// primacy is what the pool of a primary knows at one term.
type primacy struct {
	node    int
	tracker *Tracker
	writes  []write
	reads   []read
}

type write struct {
	Requirement
	entry entry
}

// read saw a log; acked is what was acknowledged before it began.
type read struct {
	Requirement
	acked []entry
	log   []entry
}

type message struct {
	to     *primacy
	from   int
	call   uint64
	status backend.Status
	asked  bool // the replica has answered
}

// model is a group of three databases with every pool that was ever primary.
type model struct {
	flaw      flaw
	pick      func(n int) int
	nodes     [3]node
	raised    []int // nodes raised to candidate
	candidate uint64
	primacies []*primacy
	messages  []*message
	acked     []entry
	sequence  uint64
	ids       uint64
	confirmed int
	verified  int
}

func newModel(f flaw, pick func(int) int) *model {
	m := &model{flaw: f, pick: pick, candidate: 1}
	for i := range m.nodes {
		m.nodes[i] = node{up: true, term: 1, role: backend.RoleReplica}
	}
	m.raised = []int{0, 1, 2}
	m.promote()
	return m
}

func (m *model) next() uint64 { m.sequence++; return m.sequence }

// step does one random action and checks the invariant.
func (m *model) step() error {
	actions := []func(){
		m.commit, m.commit, m.replicate, m.replicate, m.replicate, m.follow, m.ask, m.ask, m.answer, m.answer,
		m.raise, m.raise, m.promote, m.read, m.crash, m.restart, m.restart,
	}
	actions[m.pick(len(actions))]()
	if err := m.deliver(); err != nil {
		return err
	}
	return m.check()
}

func (m *model) commit() {
	i := m.pick(3)
	n := &m.nodes[i]
	if !n.up || n.role != backend.RolePrimary {
		return
	}
	m.ids++
	e := entry{n.term, m.ids}
	n.log = append(n.log, e)
	for _, p := range m.primacies {
		if p.node == i && p.tracker.Term() == n.term {
			p.writes = append(p.writes, write{Requirement{Offset: uint64(len(n.log))}, e})
		}
	}
	if m.flaw == ackAtCommit {
		m.acked = append(m.acked, e)
	}
}

func (m *model) pair() (p, r *node) {
	i := m.pick(3)
	p, r = &m.nodes[i], &m.nodes[(i+1+m.pick(2))%3]
	if !p.up || !r.up || p.role != backend.RolePrimary || r.term > p.term {
		return nil, nil
	}
	return p, r
}

// follow makes a replica adopt the primary's term while its own log still has
// another tail.
func (m *model) follow() {
	if p, r := m.pair(); p != nil && r.term < p.term {
		r.term, r.role = p.term, backend.RoleReplica
	}
}

// replicate truncates what differs and copies one entry.
func (m *model) replicate() {
	p, r := m.pair()
	if p == nil {
		return
	}
	r.term, r.role = p.term, backend.RoleReplica
	same := 0
	for same < len(p.log) && same < len(r.log) && p.log[same] == r.log[same] {
		same++
	}
	r.log = slices.Clone(p.log[:min(same+1, len(p.log))])
}

// raise fences a node for a candidate, which is new if the last one was promoted.
func (m *model) raise() {
	i := m.pick(3)
	if m.raised == nil || m.pick(4) == 0 {
		m.candidate++
		m.raised = []int{}
	}
	if n := &m.nodes[i]; n.up && n.term < m.candidate {
		n.term, n.role = m.candidate, backend.RoleFenced
		m.raised = append(m.raised, i)
	}
}

// promote makes the best of the raised nodes primary if they are a majority.
func (m *model) promote() {
	if len(m.raised) < 2 {
		return
	}
	best := m.raised[0]
	for _, i := range m.raised[1:] {
		if m.nodes[i].status().Last.Compare(m.nodes[best].status().Last) > 0 {
			best = i
		}
	}
	m.raised = nil
	n := &m.nodes[best]
	if !n.up || n.term != m.candidate {
		return
	}
	n.role = backend.RolePrimary
	n.log = append(n.log, entry{term: n.term})
	m.primacies = append(m.primacies, &primacy{node: best, tracker: New(n.term, 3)})
}

func (m *model) read() {
	p := m.primacies[m.pick(len(m.primacies))]
	n := &m.nodes[p.node]
	if n.up && n.role == backend.RolePrimary && n.term == p.tracker.Term() {
		p.reads = append(p.reads, read{
			Requirement{Offset: uint64(len(n.log)), VerifyAfter: m.next()},
			slices.Clone(m.acked), slices.Clone(n.log),
		})
	}
}

// ask begins a call to a replica; answer reads its status; deliver follows at a
// later step.
func (m *model) ask() {
	p := m.primacies[m.pick(len(m.primacies))]
	m.messages = append(m.messages, &message{to: p, from: (p.node + 1 + m.pick(2)) % 3, call: m.next()})
}

func (m *model) answer() {
	if len(m.messages) == 0 {
		return
	}
	q := m.messages[m.pick(len(m.messages))]
	if n := &m.nodes[q.from]; n.up && !q.asked {
		q.status, q.asked = n.status(), true
	}
}

// deliveryOdds makes reports late, so that a promotion can happen before they
// arrive.
const deliveryOdds = 2

func (m *model) deliver() error {
	if len(m.messages) == 0 || m.pick(deliveryOdds) > 0 {
		return nil
	}
	i := m.pick(len(m.messages))
	if !m.messages[i].asked {
		return nil
	}
	return m.deliverAt(i)
}

func (m *model) deliverAt(i int) error {
	q := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	if m.flaw == anyLastTerm {
		q.status.Last.Term = q.status.Term
	}
	if m.flaw == staleReports {
		q.call = m.next()
	}
	q.to.tracker.Report(fmt.Sprint(q.from), q.call, q.status)
	return m.settle(q.to)
}

func (m *model) settle(p *primacy) error {
	p.writes = slices.DeleteFunc(p.writes, func(w write) bool {
		v := p.tracker.Check(w.Requirement)
		if v == Confirmed {
			m.acked = append(m.acked, w.entry)
			m.confirmed++
		}
		return v != Pending
	})
	var fault error
	p.reads = slices.DeleteFunc(p.reads, func(r read) bool {
		v := p.tracker.Check(r.Requirement)
		if v == Confirmed {
			m.verified++
			for _, e := range r.acked {
				if !slices.Contains(r.log, e) {
					fault = fmt.Errorf("verified read at term %d misses write %d", p.tracker.Term(), e.id)
				}
			}
		}
		return v != Pending
	})
	return fault
}

func (m *model) crash()   { m.nodes[m.pick(3)].up = false }
func (m *model) restart() { m.nodes[m.pick(3)].up = true }

// check verifies that whichever two databases survive, the better log has every
// acknowledged write.
func (m *model) check() error {
	for out := range 3 {
		a, b := &m.nodes[(out+1)%3], &m.nodes[(out+2)%3]
		best := a
		if b.status().Last.Compare(a.status().Last) > 0 {
			best = b
		}
		for _, e := range m.acked {
			if !slices.Contains(best.log, e) {
				return fmt.Errorf("write %d of term %d is lost when database %d is down", e.id, e.term, out)
			}
		}
	}
	return nil
}

const modelSteps = 300

// Guards against an acknowledged write that a later primary lacks, and against
// a verified read on a replaced primary, in any interleaving of commits,
// confirmations, raises, promotions, crashes, restarts and truncations.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	confirmed, verified := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(noFlaw, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range modelSteps {
			if err := m.step(); err != nil {
				t.Fatal(err)
			}
		}
		confirmed += m.confirmed
		verified += m.verified
	})
	if confirmed == 0 || verified == 0 {
		t.Errorf("the model confirmed %d writes and %d reads: it tests nothing", confirmed, verified)
	}
}

// Guards against a model that would pass without the rule: with each part of
// the rule off it has to find a violation.
func TestModelFindsViolationsWithoutTheRule(t *testing.T) {
	const runs = 5000
	for name, f := range map[string]flaw{
		"acknowledge at commit": ackAtCommit, "any last term": anyLastTerm,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(runs) {
				m := newModel(f, rand.New(rand.NewPCG(1, seed)).IntN)
				for i := range modelSteps {
					if err := m.step(); err != nil {
						t.Logf("seed %d, step %d: %v", seed, i, err)
						return
					}
				}
			}
			t.Errorf("no violation in %d runs", runs)
		})
	}
}

// Guards against a verified read on an isolated old primary: a report that the
// replica gave before its term was raised arrives after the read began. Random
// runs reach this state too rarely.
func TestLateReportDoesNotVerify(t *testing.T) {
	for f, want := range map[flaw]bool{noFlaw: false, staleReports: true} {
		m := newModel(f, func(int) int { return 0 }) // database 0 is primary of term 1
		m.nodes[1].log = slices.Clone(m.nodes[0].log)
		report := func(p *primacy, from int) {
			m.messages = append(m.messages, &message{to: p, from: from, call: m.next(), status: m.nodes[from].status(), asked: true})
		}
		report(m.primacies[0], 1)
		if err := m.deliverAt(0); err != nil {
			t.Fatal(err)
		}
		report(m.primacies[0], 1) // late: delivered last
		m.candidate = 2
		for _, i := range []int{1, 2} {
			m.nodes[i].term, m.nodes[i].role = 2, backend.RoleFenced
		}
		m.raised = []int{1, 2}
		m.promote()
		p := m.primacies[1]
		m.nodes[1].log = append(m.nodes[1].log, entry{2, 77})
		p.writes = append(p.writes, write{Requirement{Offset: uint64(len(m.nodes[1].log))}, entry{2, 77}})
		m.nodes[2].log = slices.Clone(m.nodes[1].log)
		report(p, 2)
		if err := m.deliverAt(1); err != nil || len(m.acked) != 1 {
			t.Fatalf("acknowledged %d writes, err %v", len(m.acked), err)
		}
		m.read() // on database 0, which does not know of term 2
		if len(m.primacies[0].reads) != 1 {
			t.Fatal("the old primary took no read")
		}
		if err := m.deliverAt(0); (err != nil) != want {
			t.Errorf("flaw %d: err = %v", f, err)
		}
	}
}
