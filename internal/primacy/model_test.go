package primacy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

// model simulates a service with three databases, some instances and promoters.
// Time passes in steps; responses are delayed, lost and reordered arbitrarily.
type model struct {
	t         *rapid.T
	now       time.Duration
	record    Record
	regs      map[string]*Registration
	instances []*modelInstance
	heldTerms [3]uint64 // terms at which databases are fenced
	terms     [3]uint64
	claims    [3]bool // databases that report that they are primary
	leader    int     // the database that is primary
	promoter  *modelPromoter
}

type modelInstance struct {
	name         string
	cache        *RecordCache
	pending      []modelAnswer
	frozen       bool
	reachesStore bool
	lastAnswer   modelAnswer // of the store itself
}

// modelAnswer is a response of the store that has not arrived yet.
type modelAnswer struct {
	asked  time.Duration
	record Record
}

// modelPromoter is a replacement in progress.
type modelPromoter struct {
	token       uint64
	fencedAt    time.Duration
	fencedCount int // databases that it fenced
	target      int
}

func dbName(i int) string { return fmt.Sprintf("db-%d", i) }

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Hour, regs: make(map[string]*Registration),
		record: Record{Service: "ledger", Revision: revision.Revision{Number: 1}, Token: 1, Phase: Serving, Primary: dbName(0), Term: 1},
		terms:  [3]uint64{1, 1, 1},
		claims: [3]bool{true},
	}
	for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
		name := fmt.Sprintf("i-%d", i)
		x := &modelInstance{name: name, reachesStore: true}
		x.cache = NewRecordCache(name, validity, func() time.Duration { return m.now })
		x.cache.SetIncarnation(name)
		m.regs[name] = &Registration{Instance: name, Incarnation: name, Validity: validity, Stopped: map[string]uint64{}}
		m.instances = append(m.instances, x)
	}
	return m
}

func (m *model) pickInstance() *modelInstance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "instance")]
}

func (m *model) write(r Record) {
	r.Revision = m.record.Revision
	r.Revision.Number++
	m.record = r
}

// deliver passes a response to a running instance. If the record is being
// replaced, the instance confirms in its registration that it stopped.
func (m *model) deliver(x *modelInstance, a modelAnswer) {
	x.cache.Confirm([]Record{a.record}, 0, a.asked)
	if r, _, _ := x.cache.Record("ledger"); r.Phase == Replacing && x.reachesStore {
		m.regs[x.name].Stopped["ledger"] = max(m.regs[x.name].Stopped["ledger"], r.Token)
	}
}

// check tests the invariant: no instance may use a database that is not primary.
func (m *model) check() {
	for _, x := range m.instances {
		if p, ok := x.cache.Primary("ledger"); ok && p.ID != dbName(m.leader) {
			m.t.Fatalf("%s uses %s of term %d while %s leads", x.name, p.ID, p.Term, dbName(m.leader))
		}
	}
}

// delivered draws whether a message arrives.
func (m *model) delivered(what string) bool {
	return rapid.Bool().Draw(m.t, what)
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.check() },
		"pass": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * ms
		},
		"ask": func(*rapid.T) {
			if x := m.pickInstance(); x.reachesStore && !x.frozen {
				x.lastAnswer = modelAnswer{m.now, m.record}
				x.pending = append(x.pending, x.lastAnswer)
			}
		},
		// A peer responds with the latest record that it read from the store.
		"askPeer": func(*rapid.T) {
			x, y := m.pickInstance(), m.pickInstance()
			if !x.frozen && !y.frozen && y.lastAnswer.asked != 0 {
				x.pending = append(x.pending, y.lastAnswer)
			}
		},
		// A promoter sends its record to an instance; the response may be lost.
		"tell": func(*rapid.T) {
			x := m.pickInstance()
			if x.frozen || m.promoter == nil {
				return
			}
			x.cache.Update(m.record)
			if m.delivered("told") {
				m.regs[x.name].Stopped["ledger"] = max(m.regs[x.name].Stopped["ledger"], m.record.Token)
			}
		},
		"answer": func(t *rapid.T) {
			x := m.pickInstance()
			if x.frozen || len(x.pending) == 0 {
				return
			}
			i := rapid.IntRange(0, len(x.pending)-1).Draw(t, "which")
			a := x.pending[i]
			x.pending = append(x.pending[:i:i], x.pending[i+1:]...)
			m.deliver(x, a)
		},
		"extend": func(*rapid.T) {
			x := m.pickInstance()
			r, _, ok := x.cache.Record("ledger")
			if x.frozen || !ok || r.Phase != Serving {
				return
			}
			var answered []MemberStatus
			for i := range 3 {
				if m.delivered("answers") {
					answered = append(answered, MemberStatus{Member{ID: dbName(i)}, statement.Status{Term: m.terms[i], HeldTerm: m.heldTerms[i], Primary: m.claims[i]}})
				}
			}
			if Superseded(r, answered) {
				x.cache.Invalidate("ledger", r.Token)
			}
			_, valid := x.cache.Primary("ledger")
			if ConfirmsPrimary(r, answered, 2, valid) {
				x.cache.Extend("ledger", r.Token, m.now)
			}
		},
		"freeze": func(*rapid.T) { x := m.pickInstance(); x.frozen = !x.frozen },
		"cut":    func(*rapid.T) { x := m.pickInstance(); x.reachesStore = !x.reachesStore },
		"begin": func(t *rapid.T) {
			r := m.record
			r.Token, r.Phase = r.Token+1, Replacing
			m.write(r)
			m.promoter = &modelPromoter{token: r.Token, target: rapid.IntRange(0, 2).Draw(t, "target")}
		},
		"raise": func(*rapid.T) {
			p := m.promoter
			if p == nil || (p.fencedAt != 0 && p.fencedCount >= fenceQuorumSize(2)) || dbName(p.target) == m.record.Primary {
				return
			}
			p.fencedCount = 0
			for i := range 3 {
				if dbName(i) != m.record.Primary && (i == p.target || m.delivered("raised")) {
					m.heldTerms[i] = m.record.Term + 1
					p.fencedCount++
				}
			}
			p.fencedAt = m.now
		},
		"promote": func(*rapid.T) {
			p := m.promoter
			if p == nil || p.fencedAt == 0 {
				return
			}
			var regs []Registration
			for _, x := range m.instances {
				regs = append(regs, *m.regs[x.name])
			}
			missing := Unacknowledged(regs, m.record.Excluded, "ledger", p.token)
			if len(missing) > 0 && (p.fencedCount < fenceQuorumSize(2) || m.now-p.fencedAt <= longestValidity(missing)+validityMargin) {
				return
			}
			m.leader = p.target
			m.claims[p.target] = true // the former primary claims to lead until it is demoted
			m.terms[p.target] = m.record.Term + 1
			r := m.record
			r.Phase, r.Primary, r.Term, r.Excluded = Serving, dbName(p.target), m.record.Term+1, append(r.Excluded, incarnations(missing)...)
			m.write(r)
			m.heldTerms = [3]uint64{} // reset at once; replicas follow the new term later
			m.promoter = nil
		},
		"follow": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "database")
			m.terms[i] = m.terms[m.leader]
			m.claims[i] = i == m.leader
		},
	}
}

// Guards against two databases that serve as primary of one service at the same
// time, for any order of requests, late responses, freezes, partitions and
// promotions.
func TestNoInstanceUsesAReplacedPrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
	})
}
