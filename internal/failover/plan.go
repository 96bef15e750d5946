package failover

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

// Step is what a Plan needs to be done next.
type Step int

// Steps of a promotion.
const (
	StepRead      Step = iota // read the group object
	StepClaimTerm             // write Proposal if the object still has its version
	StepReadBack              // the answer of the last write was lost: read the object
	StepRaiseTerm             // raise Term on all databases that are not in it yet
	StepPromote               // promote Target to Term
	StepPublish               // make the others follow and write Proposal
	StepDone
	StepAbandoned // Err tells why
)

// Attempts per step before a plan is abandoned.
const (
	maxTakes    = 5
	maxRaises   = 3
	maxPromotes = 5
	maxPublish  = 5
)

// ErrSuperseded means that somebody else has a higher term.
var ErrSuperseded = errors.New("another candidate has a higher term")

// ErrPrimaryHealthy means that the primary turned out to work.
var ErrPrimaryHealthy = errors.New("the databases hear their primary")

// Plan is one candidate's attempt to replace a primary. The caller carries
// out Step and reports the result; a Plan does no I/O.
type Plan struct {
	step      Step
	err       error
	suspected uint64
	candidate string
	nonce     string
	noFencing bool
	exclude   string // primary that is leaving or resigned and must not be chosen
	resign    string // primary that gives up its term

	version  uint64         // of the group object
	group    platform.Group // as last read
	taken    bool
	term     uint64
	raised   map[string]backend.Status
	chosen   string
	attempts int
}

// NewPlan starts a plan against the primary of the term suspected. The nonce
// must be unique to the plan.
func NewPlan(suspected uint64, candidate, nonce string, noFencing bool) *Plan {
	return &Plan{suspected: suspected, candidate: candidate, nonce: nonce, noFencing: noFencing, raised: make(map[string]backend.Status)}
}

// NewSwitchover starts a plan that replaces a working primary which is leaving.
func NewSwitchover(term uint64, primary, candidate, nonce string, noFencing bool) *Plan {
	p := NewPlan(term, candidate, nonce, noFencing)
	p.exclude = primary
	return p
}

// NewResignation starts a plan that only takes the term after the primary's, so
// that others replace it. It is complete at StepRaiseTerm.
func NewResignation(term uint64, primary, candidate, nonce string) *Plan {
	p := NewPlan(term, candidate, nonce, false)
	p.resign = primary
	return p
}

// Step returns what is to be done.
func (p *Plan) Step() Step { return p.step }

// Err tells why the plan was abandoned.
func (p *Plan) Err() error { return p.err }

// Term is the term that the plan took; valid from StepRaiseTerm.
func (p *Plan) Term() uint64 { return p.term }

// Target is the database to promote; valid from StepPromote.
func (p *Plan) Target() string { return p.chosen }

// Group is the group object as last read or written.
func (p *Plan) Group() platform.Group { return p.group }

// RaisedDatabases returns the names of the raised databases, sorted.
func (p *Plan) RaisedDatabases() []string {
	out := make([]string, 0, len(p.raised))
	for name := range p.raised {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (p *Plan) to(s Step) { p.step, p.attempts = s, 0 }

// Abandon ends the plan.
func (p *Plan) Abandon(err error) { p.step, p.err = StepAbandoned, err }

// again counts a failed attempt and abandons the plan after limit of them.
func (p *Plan) again(limit int, err error) {
	if p.attempts++; p.attempts >= limit {
		p.Abandon(err)
	}
}

// HandleRead reports the result of StepRead and StepReadBack.
func (p *Plan) HandleRead(version uint64, g platform.Group, err error) {
	switch {
	case err != nil && p.step == StepRead:
		// Without the platform there is no new term.
		p.Abandon(fmt.Errorf("read group: %w", err))
	case err != nil:
		p.again(maxTakes, fmt.Errorf("read back group: %w", err))
	case p.step == StepReadBack:
		p.readBack(version, g)
	case g.Term > p.suspected:
		p.group = g
		p.Abandon(fmt.Errorf("term %d is taken by %q: %w", g.Term, g.Candidate, ErrSuperseded))
	default:
		p.version, p.group = version, g
		if p.exclude == "" {
			p.exclude = g.Avoid
		}
		// A database can be ahead of the platform only if the platform lost
		// data; the new term must still be above it.
		p.term = max(g.Term, p.suspected) + 1
		p.to(StepClaimTerm)
	}
}

// readBack settles a write whose answer was lost.
func (p *Plan) readBack(version uint64, g platform.Group) {
	mine := g.Nonce == p.nonce && g.Term == p.term
	switch {
	case mine && !p.taken:
		p.took(version, g)
	case mine && g.Primary == p.chosen:
		p.version, p.group = version, g
		p.to(StepDone)
	case mine:
		p.version, p.group = version, g
		p.step = StepPublish
	case p.taken:
		p.to(StepDone) // a later term is in force, and the object tells of it
	case g.Term >= p.term:
		p.group = g
		p.Abandon(fmt.Errorf("term %d is taken by %q: %w", g.Term, g.Candidate, ErrSuperseded))
	default:
		p.version, p.group = version, g
		p.step = StepClaimTerm // not applied so far; a late duplicate carries the same nonce
	}
}

func (p *Plan) took(version uint64, g platform.Group) {
	p.version, p.group, p.taken = version, g, true
	p.to(StepRaiseTerm)
}

// Proposal returns the object to write and the version that it replaces.
func (p *Plan) Proposal() (uint64, platform.Group) {
	g := p.group
	g.Term, g.Candidate, g.Nonce = p.term, p.candidate, p.nonce
	g.Primary, g.Avoid = p.chosen, p.resign
	return p.version, g
}

// HandleWrite reports the result of writing Proposal. On a conflict, version and g
// are those of the current object.
func (p *Plan) HandleWrite(version uint64, g platform.Group, err error) {
	limit := maxTakes
	if p.taken {
		limit = maxPublish
	}
	switch {
	case err == nil && p.taken:
		p.version, p.group = version, g
		p.to(StepDone)
	case err == nil:
		p.took(version, g)
	case result.Is(err, result.Conflict):
		p.readBack(version, g)
		if p.step == StepClaimTerm || p.step == StepPublish {
			p.again(limit, fmt.Errorf("write group: %w", err))
		}
	default:
		p.step = StepReadBack
		p.again(limit, fmt.Errorf("write group: %w", err))
	}
}

// HandleRaise takes the statuses of the databases that answered StepRaiseTerm.
func (p *Plan) HandleRaise(statuses map[string]backend.Status) {
	for name, s := range statuses {
		switch {
		case s.Term > p.term:
			p.Abandon(fmt.Errorf("database %s is at term %d: %w", name, s.Term, ErrSuperseded))
			return
		case s.Term == p.term || p.noFencing:
			p.raised[name] = s
		}
	}
	if n := Majority(len(p.group.Databases)); len(p.raised) < n {
		p.again(maxRaises, fmt.Errorf("raised %d databases, need %d", len(p.raised), n))
		return
	}
	p.chosen = p.choose()
	p.to(StepPromote)
}

// choose returns the raised database with the highest position. Among equals
// one that is not leaving is preferred. A primary that hands over is chosen
// only if the others might lack an acknowledged write.
func (p *Plan) choose() string {
	best := p.best(p.RaisedDatabases())
	if p.exclude == "" || best != p.exclude {
		return best
	}
	others := slices.DeleteFunc(p.RaisedDatabases(), func(name string) bool { return name == p.exclude })
	if len(others) < QuorumWithoutPrimary(len(p.group.Databases)) {
		return best
	}
	return p.best(others)
}

func (p *Plan) best(names []string) string {
	return slices.MaxFunc(names, func(a, b string) int {
		sa, sb := p.raised[a], p.raised[b]
		return cmp.Or(sa.Last.Compare(sb.Last), -compareBool(p.leaving(a), p.leaving(b)), -cmp.Compare(a, b))
	})
}

// QuorumWithoutPrimary returns how many of the other databases must be raised if the
// primary is not to be chosen: an acknowledged write is on the primary and on
// at least Majority(n)-1 others, and one of these must be among the raised.
func QuorumWithoutPrimary(n int) int { return n - Majority(n) + 1 }

func (p *Plan) leaving(name string) bool {
	i := slices.IndexFunc(p.group.Databases, func(d platform.Database) bool { return d.Name == name })
	return name == p.exclude || p.raised[name].Leaving || (i >= 0 && p.group.Databases[i].Leaving)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// HandlePromote reports the result of StepPromote. After an error the database may
// have been promoted, so no other database is tried for this term.
func (p *Plan) HandlePromote(s backend.Status, err error) {
	switch {
	case err != nil:
		p.again(maxPromotes, fmt.Errorf("promote %s: %w", p.chosen, err))
	case s.Term > p.term:
		p.Abandon(fmt.Errorf("database %s is at term %d: %w", p.chosen, s.Term, ErrSuperseded))
	case s.Role != backend.RolePrimary:
		p.again(maxPromotes, fmt.Errorf("promote %s: it is %s at term %d", p.chosen, s.Role, s.Term))
	default:
		p.to(StepPublish)
	}
}
