package confirm

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"geraniumbeam/internal/backend"
)

// mutation disables a part of the confirmation rule, to show that the model detects
// the violation.
type mutation int

const (
	noMutation          mutation = iota
	acknowledgeAtCommit          // acknowledge a commit without a report
	acceptAnyLastTerm            // accept a report whose last entry has another term
	acceptStaleReports           // accept a report from a call that began before the read
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

// primaryTerm is the state of a primary's pool at one term.
type primaryTerm struct {
	node    int
	tracker *Tracker
	writes  []write
	reads   []read
}

type write struct {
	Requirement
	entry entry
}

// read returned the entries in log; acknowledged holds the entries that were
// acknowledged before it began.
type read struct {
	Requirement
	acknowledged []entry
	log          []entry
}

type message struct {
	to       *primaryTerm
	replica  int
	call     uint64
	status   backend.Status
	answered bool // the replica has answered
}

// model models a group of three databases and the pools of all primaries so far.
type model struct {
	mutation        mutation
	pick            func(n int) int
	nodes           [3]node
	raised          []int // nodes raised to candidate
	candidate       uint64
	primaryTerms    []*primaryTerm
	messages        []*message
	acknowledged    []entry
	lastSequence    uint64
	lastID          uint64
	confirmedWrites int
	verifiedReads   int
}

func newModel(mut mutation, pick func(int) int) *model {
	m := &model{mutation: mut, pick: pick, candidate: 1}
	for i := range m.nodes {
		m.nodes[i] = node{up: true, term: 1, role: backend.RoleReplica}
	}
	m.raised = []int{0, 1, 2}
	m.promote()
	return m
}

func (m *model) nextSequence() uint64 { m.lastSequence++; return m.lastSequence }

// step performs one random action and checks the invariant.
func (m *model) step() error {
	actions := []func(){
		m.commit, m.commit, m.replicate, m.replicate, m.replicate, m.follow, m.beginCall, m.beginCall, m.answerCall, m.answerCall,
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
	m.lastID++
	e := entry{n.term, m.lastID}
	n.log = append(n.log, e)
	for _, p := range m.primaryTerms {
		if p.node == i && p.tracker.Term() == n.term {
			p.writes = append(p.writes, write{Requirement{Offset: uint64(len(n.log))}, e})
		}
	}
	if m.mutation == acknowledgeAtCommit {
		m.acknowledged = append(m.acknowledged, e)
	}
}

func (m *model) replicationPair() (p, r *node) {
	i := m.pick(3)
	p, r = &m.nodes[i], &m.nodes[(i+1+m.pick(2))%3]
	if !p.up || !r.up || p.role != backend.RolePrimary || r.term > p.term {
		return nil, nil
	}
	return p, r
}

// follow makes a replica adopt the primary's term while the end of its log still
// differs.
func (m *model) follow() {
	if p, r := m.replicationPair(); p != nil && r.term < p.term {
		r.term, r.role = p.term, backend.RoleReplica
	}
}

// replicate truncates the differing end of a replica's log and copies one entry.
func (m *model) replicate() {
	p, r := m.replicationPair()
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

// raise fences a node at the candidate's term. It starts a new candidate if the
// last one was promoted, and sometimes otherwise.
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

// promote makes the raised node with the highest position the primary if the raised
// nodes are a majority.
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
	m.primaryTerms = append(m.primaryTerms, &primaryTerm{node: best, tracker: New(n.term, 3)})
}

func (m *model) read() {
	p := m.primaryTerms[m.pick(len(m.primaryTerms))]
	n := &m.nodes[p.node]
	if n.up && n.role == backend.RolePrimary && n.term == p.tracker.Term() {
		p.reads = append(p.reads, read{
			Requirement{Offset: uint64(len(n.log)), VerifyAfter: m.nextSequence()},
			slices.Clone(m.acknowledged), slices.Clone(n.log),
		})
	}
}

// beginCall begins a call to a replica, answerCall reads the status and deliver, at a
// later step, passes it to the tracker.
func (m *model) beginCall() {
	p := m.primaryTerms[m.pick(len(m.primaryTerms))]
	m.messages = append(m.messages, &message{to: p, replica: (p.node + 1 + m.pick(2)) % 3, call: m.nextSequence()})
}

func (m *model) answerCall() {
	if len(m.messages) == 0 {
		return
	}
	msg := m.messages[m.pick(len(m.messages))]
	if n := &m.nodes[msg.replica]; n.up && !msg.answered {
		msg.status, msg.answered = n.status(), true
	}
}

// deliveryChoices delays reports: a step delivers one with a chance of one in
// deliveryChoices, so that a promotion can happen before a report arrives.
const deliveryChoices = 2

func (m *model) deliver() error {
	if len(m.messages) == 0 || m.pick(deliveryChoices) > 0 {
		return nil
	}
	i := m.pick(len(m.messages))
	if !m.messages[i].answered {
		return nil
	}
	return m.deliverAt(i)
}

func (m *model) deliverAt(i int) error {
	msg := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	if m.mutation == acceptAnyLastTerm {
		msg.status.Last.Term = msg.status.Term
	}
	if m.mutation == acceptStaleReports {
		msg.call = m.nextSequence()
	}
	msg.to.tracker.Report(fmt.Sprint(msg.replica), msg.call, msg.status)
	return m.applyReports(msg.to)
}

func (m *model) applyReports(p *primaryTerm) error {
	p.writes = slices.DeleteFunc(p.writes, func(w write) bool {
		v := p.tracker.Check(w.Requirement)
		if v == Confirmed {
			m.acknowledged = append(m.acknowledged, w.entry)
			m.confirmedWrites++
		}
		return v != Pending
	})
	var violation error
	p.reads = slices.DeleteFunc(p.reads, func(r read) bool {
		v := p.tracker.Check(r.Requirement)
		if v == Confirmed {
			m.verifiedReads++
			for _, e := range r.acknowledged {
				if !slices.Contains(r.log, e) {
					violation = fmt.Errorf("verified read at term %d misses write %d", p.tracker.Term(), e.id)
				}
			}
		}
		return v != Pending
	})
	return violation
}

func (m *model) crash()   { m.nodes[m.pick(3)].up = false }
func (m *model) restart() { m.nodes[m.pick(3)].up = true }

// check verifies that, whichever two databases survive, the one with the higher
// position has every acknowledged write.
func (m *model) check() error {
	for out := range 3 {
		a, b := &m.nodes[(out+1)%3], &m.nodes[(out+2)%3]
		best := a
		if b.status().Last.Compare(a.status().Last) > 0 {
			best = b
		}
		for _, e := range m.acknowledged {
			if !slices.Contains(best.log, e) {
				return fmt.Errorf("write %d of term %d is lost when database %d is down", e.id, e.term, out)
			}
		}
	}
	return nil
}

const modelSteps = 300

// Guards against an acknowledged write that a later primary lacks, and against a
// verified read on a replaced primary that misses an acknowledged write, in any
// interleaving of commits, confirmations, raises, promotions, crashes, restarts
// and truncations.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	confirmed, verified := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(noMutation, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range modelSteps {
			if err := m.step(); err != nil {
				t.Fatal(err)
			}
		}
		confirmed += m.confirmedWrites
		verified += m.verifiedReads
	})
	if confirmed == 0 || verified == 0 {
		t.Errorf("the model confirmed %d writes and %d reads: it exercises too little", confirmed, verified)
	}
}

// Guards against a model that passes without the confirmation rule: with each part
// of the rule disabled it must find a violation.
func TestModelFindsViolationsWithoutTheRule(t *testing.T) {
	const runs = 5000
	for name, mut := range map[string]mutation{
		"acknowledge at commit": acknowledgeAtCommit, "any last term": acceptAnyLastTerm,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(runs) {
				m := newModel(mut, rand.New(rand.NewPCG(1, seed)).IntN)
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

// Guards against a verified read on an isolated former primary: a report that a
// replica sent before its term was raised arrives after the read began. Random
// runs reach this state too rarely.
func TestLateReportDoesNotVerify(t *testing.T) {
	for mut, want := range map[mutation]bool{noMutation: false, acceptStaleReports: true} {
		m := newModel(mut, func(int) int { return 0 }) // database 0 is primary of term 1
		m.nodes[1].log = slices.Clone(m.nodes[0].log)
		report := func(p *primaryTerm, from int) {
			m.messages = append(m.messages, &message{to: p, replica: from, call: m.nextSequence(), status: m.nodes[from].status(), answered: true})
		}
		report(m.primaryTerms[0], 1)
		if err := m.deliverAt(0); err != nil {
			t.Fatal(err)
		}
		report(m.primaryTerms[0], 1) // late: delivered last
		m.candidate = 2
		for _, i := range []int{1, 2} {
			m.nodes[i].term, m.nodes[i].role = 2, backend.RoleFenced
		}
		m.raised = []int{1, 2}
		m.promote()
		p := m.primaryTerms[1]
		m.nodes[1].log = append(m.nodes[1].log, entry{2, 77})
		p.writes = append(p.writes, write{Requirement{Offset: uint64(len(m.nodes[1].log))}, entry{2, 77}})
		m.nodes[2].log = slices.Clone(m.nodes[1].log)
		report(p, 2)
		if err := m.deliverAt(1); err != nil || len(m.acknowledged) != 1 {
			t.Fatalf("acknowledged %d writes, err %v", len(m.acknowledged), err)
		}
		m.read() // on database 0, which does not know of term 2
		if len(m.primaryTerms[0].reads) != 1 {
			t.Fatal("the former primary accepted no read")
		}
		if err := m.deliverAt(0); (err != nil) != want {
			t.Errorf("mutation %d: err = %v", mut, err)
		}
	}
}
