package primacy

import (
	"fmt"
	"maps"
	"slices"
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
	era       uint64 // of the store
	record    Record
	regs      map[string]*Registration
	copies    []modelCopy
	revision  uint64         // of the latest write of a registration
	removals  []modelRemoval // of registrations, sent and not carried out yet
	instances []*modelInstance
	heldTerms [3]uint64 // terms at which databases are fenced
	terms     [3]uint64
	claims    [3]bool // databases that report that they are primary
	leader    int     // the database that is primary
	promoter  *modelPromoter
}

type modelInstance struct {
	name         string
	starts       int  // of its process
	registering  bool // the process has not registered yet
	cache        *RecordCache
	pending      []modelAnswer
	frozen       bool
	reachesStore bool
	knownEra     uint64
	lastAnswer   modelAnswer // of the store itself
}

// modelRemoval is a removal of a registration that the store carries out if the
// registration still has the revision.
type modelRemoval struct {
	name     string
	era      uint64
	revision uint64
}

// modelAnswer is a response of the store that has not arrived yet.
type modelAnswer struct {
	asked  time.Duration
	era    uint64
	record Record
}

// modelCopy is an earlier state from which the store may be restored.
type modelCopy struct {
	record Record
	regs   map[string]*Registration
}

// modelPromoter is a replacement in progress.
type modelPromoter struct {
	token       uint64
	fencedAt    time.Duration
	fencedCount int // databases that it fenced
	target      int
	committed   bool // the candidate is recorded, and the promotion call is on its way
	committedAt time.Duration
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
		x.cache = NewRecordCache(x.incarnation(), validity, func() time.Duration { return m.now })
		x.cache.SetIncarnation(x.incarnation())
		m.register(x, &Registration{Instance: name, Incarnation: x.incarnation(), Validity: validity, Stopped: map[string]uint64{}})
		m.instances = append(m.instances, x)
	}
	return m
}

func (m *model) pickInstance() *modelInstance {
	return m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "instance")]
}

func (m *model) write(r Record) {
	r.Revision = revision.Revision{Era: m.era, Number: m.record.Revision.Number + 1}
	m.record = r
}

// register writes the registration of an instance.
func (m *model) register(x *modelInstance, reg *Registration) {
	m.revision++
	reg.Revision = revision.Revision{Era: m.era, Number: m.revision}
	m.regs[x.name] = reg
}

// remove makes the store carry out a removal if its condition holds.
func (m *model) remove(i int) {
	late := m.removals[i]
	m.removals = slices.Delete(m.removals, i, i+1)
	if reg, ok := m.regs[late.name]; ok && late.era == m.era && reg.Revision.Number == late.revision {
		delete(m.regs, late.name)
	}
}

// registerAgain makes an instance that reaches the store write its registration.
func (m *model) registerAgain(x *modelInstance) {
	reg := &Registration{Instance: x.name, Incarnation: x.incarnation(), Validity: validity, Stopped: map[string]uint64{}}
	if r, _, ok := x.cache.Record("ledger"); ok && r.Phase == Replacing {
		reg.Stopped["ledger"] = r.Token
	}
	m.register(x, reg)
	if x.registering {
		x.registering = false
		x.cache.SetIncarnation(x.incarnation())
	}
	x.cache.SetEra(m.era)
	x.knownEra = m.era
}

// incarnation returns the incarnation of the present process of an instance.
func (x *modelInstance) incarnation() string { return fmt.Sprintf("%s#%d", x.name, x.starts) }

// deliver passes a response to a running instance. If the record is being
// replaced, the instance confirms in its registration that it stopped.
func (m *model) deliver(x *modelInstance, a modelAnswer) {
	if a.era < x.knownEra {
		return
	}
	x.knownEra = a.era
	x.cache.Confirm([]Record{a.record}, a.era, a.asked)
	if r, _, _ := x.cache.Record("ledger"); r.Phase == Replacing && x.reachesStore {
		m.stopped(x, r.Token)
	}
}

// stopped notes in the registration of an instance, if the store has it, that it
// stopped for a token.
func (m *model) stopped(x *modelInstance, token uint64) {
	if reg, ok := m.regs[x.name]; ok && reg.Incarnation == x.incarnation() {
		reg.Stopped["ledger"] = max(reg.Stopped["ledger"], token)
	}
}

// cloneRegistrations copies the registrations of which keep returns true.
func cloneRegistrations(regs map[string]*Registration, keep func(string) bool) map[string]*Registration {
	out := make(map[string]*Registration)
	for _, name := range slices.Sorted(maps.Keys(regs)) {
		if keep(name) {
			reg := *regs[name]
			reg.Stopped = maps.Clone(reg.Stopped)
			out[name] = &reg
		}
	}
	return out
}

// holds reports whether the promoter's replacement is the one in the store.
func (m *model) holds() bool {
	return m.promoter != nil && m.record.Token == m.promoter.token && m.record.Revision.Era == m.era
}

// promote makes the promoter's target the leader of the next term.
func (m *model) promote() {
	target := m.promoter.target
	m.terms[target] = m.terms[m.leader] + 1
	m.leader = target
	m.claims[target] = true   // the former primary claims to lead until it is demoted
	m.heldTerms = [3]uint64{} // reset at once; replicas follow the new term later
}

// statuses draws the databases that answer a query.
func (m *model) statuses() []MemberStatus {
	var answered []MemberStatus
	for i := range 3 {
		if m.delivered("answers") {
			answered = append(answered, MemberStatus{Member{ID: dbName(i)}, statement.Status{Term: m.terms[i], HeldTerm: m.heldTerms[i], Primary: m.claims[i]}})
		}
	}
	return answered
}

// maxModelEra bounds the restores of one run.
const maxModelEra = 3

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
				x.lastAnswer = modelAnswer{m.now, m.era, m.record}
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
				m.stopped(x, m.record.Token)
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
			x.cache.ExtendFromDatabases(r, m.statuses(), 2, m.now)
		},
		"freeze": func(*rapid.T) { x := m.pickInstance(); x.frozen = !x.frozen },
		"cut":    func(*rapid.T) { x := m.pickInstance(); x.reachesStore = !x.reachesStore },
		"begin": func(t *rapid.T) {
			r := m.record
			if r.Revision.Era != m.era {
				return // it must be established first
			}
			r.Token, r.Phase = nextToken(m.era, r.Token), Replacing
			m.write(r)
			m.promoter = &modelPromoter{token: r.Token, target: rapid.IntRange(0, 2).Draw(t, "target")}
		},
		"raise": func(*rapid.T) {
			p := m.promoter
			if !m.holds() || p.committed || (p.fencedAt != 0 && p.fencedCount >= fenceQuorumSize(2)) || dbName(p.target) == m.record.Primary {
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
		"commit": func(*rapid.T) {
			p := m.promoter
			if !m.holds() || p.committed || p.fencedAt == 0 {
				return
			}
			var regs []Registration
			for _, x := range m.instances {
				if reg, ok := m.regs[x.name]; ok {
					regs = append(regs, *reg)
				}
			}
			missing := Unacknowledged(regs, m.record.Excluded, "ledger", p.token)
			waited := p.fencedCount >= fenceQuorumSize(2) && m.now-p.fencedAt > validity+validityMargin
			if (len(missing) > 0 || m.record.Unsettled) && !waited {
				return
			}
			r := m.record
			r.Excluded = append(slices.Clone(r.Excluded), incarnations(missing)...)
			if m.leader != p.target && m.terms[m.leader] > r.Term && m.claims[m.leader] { // promoted by another promoter
				r.Phase, r.Primary, r.Term, r.Unsettled = Serving, dbName(m.leader), m.terms[m.leader], false
				m.promoter = nil
			} else {
				p.committed, p.committedAt = true, m.now
			}
			m.write(r)
		},
		// The promotion call takes effect, if need be after a restore of the store.
		"promote": func(*rapid.T) {
			p := m.promoter
			if p == nil || !p.committed {
				return
			}
			m.promote()
			if r := m.record; m.holds() {
				r.Phase, r.Primary, r.Term, r.Unsettled = Serving, dbName(p.target), m.terms[p.target], false
				m.write(r)
			}
			m.promoter = nil
		},
		"copy": func(*rapid.T) {
			regs := cloneRegistrations(m.regs, func(string) bool { return m.delivered("registered before the copy") })
			m.copies = append(m.copies, modelCopy{m.record, regs})
		},
		"restore": func(t *rapid.T) {
			if len(m.copies) == 0 || m.era == maxModelEra {
				return
			}
			c := m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")]
			m.era++
			m.record, m.regs = c.record, cloneRegistrations(c.regs, func(string) bool { return true })
			if p := m.promoter; p != nil && !p.committed {
				m.promoter = nil // its next write fails
			}
		},
		"register": func(*rapid.T) {
			if x := m.pickInstance(); !x.frozen && x.reachesStore {
				m.registerAgain(x)
			}
		},
		// A process ends and removes its registration; the next one starts without
		// knowledge. The removal may be carried out much later.
		"restart": func(*rapid.T) {
			x := m.pickInstance()
			if reg, ok := m.regs[x.name]; ok && x.reachesStore {
				m.removals = append(m.removals, modelRemoval{x.name, m.era, reg.Revision.Number})
			}
			x.starts++
			x.cache = NewRecordCache(x.incarnation(), validity, func() time.Duration { return m.now })
			x.cache.Unregistered()
			x.pending, x.lastAnswer, x.knownEra, x.registering, x.frozen = nil, modelAnswer{}, 0, true, false
			if x.reachesStore && m.delivered("starts at once") {
				m.registerAgain(x)
				m.deliver(x, modelAnswer{m.now, m.era, m.record})
			}
			if n := len(m.removals); n > 0 && m.delivered("removal") {
				m.remove(n - 1)
			}
		},
		"remove": func(t *rapid.T) {
			if len(m.removals) == 0 {
				return
			}
			m.remove(rapid.IntRange(0, len(m.removals)-1).Draw(t, "removal"))
		},
		"establish": func(t *rapid.T) {
			x := m.pickInstance()
			if x.frozen || x.registering || !x.reachesStore || m.record.Revision.Era == m.era {
				return
			}
			m.deliver(x, modelAnswer{m.now, m.era, m.record})
			known, _, _ := x.cache.Record("ledger")
			answered := m.statuses()
			rec := withLeader(known, answered)
			rec.Revision, rec.Token, rec.Unsettled = m.record.Revision, nextToken(m.era, rec.Token), true
			_, inUse := x.cache.Primary("ledger")
			if provesLeader(known, rec, answered, 3, inUse) {
				rec.Phase = Serving
				m.write(rec)
				return
			}
			rec.Phase = Replacing
			m.write(rec)
			late := m.promoter // its promotion call may still be on its way
			if late != nil && m.now-late.committedAt <= validity && m.delivered("promoted late") {
				m.promote()
			}
			m.promoter = &modelPromoter{token: rec.Token, target: rapid.IntRange(0, 2).Draw(t, "target")}
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
