package primacy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumbeam/internal/statement"
)

// model is a service with three databases, some instances and promoters. Time
// passes in steps; answers are delayed, lost and reordered at will.
type model struct {
	t       *rapid.T
	now     time.Duration
	record  Record
	regs    map[string]*Registration
	members []*modelInstance
	held    [3]uint64 // terms that databases were raised to
	terms   [3]uint64
	claims  [3]bool // databases that say that they lead
	leader  int     // database that leads
	waiting *modelPromoter
}

type modelInstance struct {
	name    string
	beliefs *RecordCache
	pending []modelAnswer
	frozen  bool
	store   bool        // reaches the store
	seen    modelAnswer // latest answer of the store itself
}

// modelAnswer is an answer of the store that has not arrived.
type modelAnswer struct {
	asked  time.Duration
	record Record
}

// modelPromoter is a replacement under way.
type modelPromoter struct {
	token   uint64
	raised  time.Duration
	reached int // databases that it raised
	target  int
}

func dbName(i int) string { return fmt.Sprintf("db-%d", i) }

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Hour, regs: make(map[string]*Registration),
		record: Record{Service: "ledger", Revision: 1, Token: 1, Phase: Serving, Primary: dbName(0), Term: 1},
		terms:  [3]uint64{1, 1, 1},
		claims: [3]bool{true},
	}
	for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
		name := fmt.Sprintf("i-%d", i)
		x := &modelInstance{name: name, store: true}
		x.beliefs = NewRecordCache(name, validity, func() time.Duration { return m.now })
		x.beliefs.SetIncarnation(name)
		m.regs[name] = &Registration{Instance: name, Incarnation: name, Validity: validity, Stopped: map[string]uint64{}}
		m.members = append(m.members, x)
	}
	return m
}

func (m *model) pick() *modelInstance {
	return m.members[rapid.IntRange(0, len(m.members)-1).Draw(m.t, "instance")]
}

func (m *model) write(r Record) {
	r.Revision = m.record.Revision + 1
	m.record = r
}

// deliver gives an answer to an instance that runs, which confirms that it
// stopped if the record says so.
func (m *model) deliver(x *modelInstance, a modelAnswer) {
	x.beliefs.Confirm([]Record{a.record}, a.asked)
	if r, _, _ := x.beliefs.Record("ledger"); r.Phase == Replacing && x.store {
		m.regs[x.name].Stopped["ledger"] = max(m.regs[x.name].Stopped["ledger"], r.Token)
	}
}

// check is the invariant: nobody may use a database that does not lead.
func (m *model) check() {
	for _, x := range m.members {
		if p, ok := x.beliefs.Primary("ledger"); ok && p.ID != dbName(m.leader) {
			m.t.Fatalf("%s uses %s of term %d while %s leads", x.name, p.ID, p.Term, dbName(m.leader))
		}
	}
}

// reaches draws whether a question gets through.
func (m *model) reaches(what string) bool {
	return rapid.Bool().Draw(m.t, what)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.check() },
		"pass": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * ms
		},
		"ask": func(*rapid.T) {
			if x := m.pick(); x.store && !x.frozen {
				x.seen = modelAnswer{m.now, m.record}
				x.pending = append(x.pending, x.seen)
			}
		},
		// A question to the store whose answer is what another instance saw.
		"askPeer": func(*rapid.T) {
			x, y := m.pick(), m.pick()
			if !x.frozen && !y.frozen && y.seen.asked != 0 {
				x.pending = append(x.pending, y.seen)
			}
		},
		// A promoter tells an instance of its record; the answer may be lost.
		"tell": func(*rapid.T) {
			x := m.pick()
			if x.frozen || m.waiting == nil {
				return
			}
			x.beliefs.Update(m.record)
			if m.reaches("told") {
				m.regs[x.name].Stopped["ledger"] = max(m.regs[x.name].Stopped["ledger"], m.record.Token)
			}
		},
		"answer": func(t *rapid.T) {
			x := m.pick()
			if x.frozen || len(x.pending) == 0 {
				return
			}
			i := rapid.IntRange(0, len(x.pending)-1).Draw(t, "which")
			a := x.pending[i]
			x.pending = append(x.pending[:i:i], x.pending[i+1:]...)
			m.deliver(x, a)
		},
		"extend": func(*rapid.T) {
			x := m.pick()
			r, _, ok := x.beliefs.Record("ledger")
			if x.frozen || !ok || r.Phase != Serving {
				return
			}
			var seen []MemberStatus
			for i := range 3 {
				if m.reaches("answers") {
					seen = append(seen, MemberStatus{Member{ID: dbName(i)}, statement.Status{Term: m.terms[i], HeldTerm: m.held[i], Primary: m.claims[i]}})
				}
			}
			if Superseded(r, seen) {
				x.beliefs.Invalidate("ledger", r.Token)
			}
			if ConfirmsPrimary(r, seen, 2) {
				x.beliefs.Extend("ledger", r.Token, m.now)
			}
		},
		"freeze": func(*rapid.T) { x := m.pick(); x.frozen = !x.frozen },
		"cut":    func(*rapid.T) { x := m.pick(); x.store = !x.store },
		"begin": func(t *rapid.T) {
			r := m.record
			r.Token, r.Phase = r.Token+1, Replacing
			m.write(r)
			m.waiting = &modelPromoter{token: r.Token, target: rapid.IntRange(0, 2).Draw(t, "target")}
		},
		"raise": func(*rapid.T) {
			p := m.waiting
			if p == nil || (p.raised != 0 && p.reached >= fenceQuorumSize(2)) || dbName(p.target) == m.record.Primary {
				return
			}
			p.reached = 0
			for i := range 3 {
				if dbName(i) != m.record.Primary && (i == p.target || m.reaches("raised")) {
					m.held[i] = m.record.Term + 1
					p.reached++
				}
			}
			p.raised = m.now
		},
		"promote": func(*rapid.T) {
			p := m.waiting
			if p == nil || p.raised == 0 {
				return
			}
			var regs []Registration
			for _, x := range m.members {
				regs = append(regs, *m.regs[x.name])
			}
			missing := Unacknowledged(regs, m.record.Excluded, "ledger", p.token)
			if len(missing) > 0 && (p.reached < fenceQuorumSize(2) || m.now-p.raised <= longestValidity(missing)+validityMargin) {
				return
			}
			m.leader = p.target
			m.claims[p.target] = true // the former primary goes on until it is demoted
			m.terms[p.target] = m.record.Term + 1
			r := m.record
			r.Phase, r.Primary, r.Term, r.Excluded = Serving, dbName(p.target), m.record.Term+1, append(r.Excluded, incarnations(missing)...)
			m.write(r)
			m.held = [3]uint64{} // at once; replicas follow the new term later
			m.waiting = nil
		},
		"follow": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "database")
			m.terms[i] = m.terms[m.leader]
			m.claims[i] = i == m.leader
		},
	}
}

// Guards against two databases that answer for one service at the same time,
// for every order of questions, late answers, freezes, cuts and promotions.
func TestNobodyUsesAReplacedPrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
	})
}
