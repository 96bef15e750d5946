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

// Step is the next step of a Plan.
type Step int

// Steps of a promotion.
const (
	StepRead      Step = iota // read the group object
	StepClaimTerm             // write Proposal if the object still has its version
	StepReadBack              // read the object because the outcome of the last write is unknown
	StepRaiseTerm             // raise the databases to Term
	StepPromote               // promote Target to Term
	StepPublish               // make the other databases follow Target and write Proposal
	StepDone
	StepAbandoned // Err returns the reason
)

// Attempts per step after which a plan is abandoned.
const (
	maxClaims     = 5
	maxRaises     = 3
	maxPromotions = 5
	maxPublishes  = 5
)

// ErrSuperseded means that another candidate has claimed a higher term.
var ErrSuperseded = errors.New("another candidate has a higher term")

// ErrPrimaryHealthy means that the databases have not lost their primary.
var ErrPrimaryHealthy = errors.New("primary is healthy")

// Plan is the state machine of one candidate's attempt to replace a primary. It
// does no I/O: the caller executes Step and passes the result to the matching
// Handle method.
type Plan struct {
	step          Step
	err           error
	suspectedTerm uint64
	candidate     string
	nonce         string
	noFencing     bool
	excluded      string // former primary that is leaving or has resigned, chosen only as a last resort
	resigning     string // primary that resigns

	version  uint64         // of the group object
	group    platform.Group // as last read or written
	claimed  bool           // the term is claimed on the platform
	term     uint64
	raised   map[string]backend.Status // by database
	target   string
	attempts int // failed attempts of the current step
}

// NewPlan returns a plan that replaces the primary of the suspected term. The
// nonce identifies the plan's writes and must be unique to it.
func NewPlan(suspected uint64, candidate, nonce string, noFencing bool) *Plan {
	return &Plan{suspectedTerm: suspected, candidate: candidate, nonce: nonce, noFencing: noFencing, raised: make(map[string]backend.Status)}
}

// NewSwitchover returns a plan that replaces a working primary which is leaving.
func NewSwitchover(term uint64, primary, candidate, nonce string, noFencing bool) *Plan {
	p := NewPlan(term, candidate, nonce, noFencing)
	p.excluded = primary
	return p
}

// NewResignation returns a plan that only claims the term after the primary's, so
// that other candidates replace the primary. It is complete at StepRaiseTerm.
func NewResignation(term uint64, primary, candidate, nonce string) *Plan {
	p := NewPlan(term, candidate, nonce, false)
	p.resigning = primary
	return p
}

// Step returns the step to execute next.
func (p *Plan) Step() Step { return p.step }

// Err returns the reason why the plan was abandoned.
func (p *Plan) Err() error { return p.err }

// Term returns the claimed term. It is valid from StepRaiseTerm.
func (p *Plan) Term() uint64 { return p.term }

// Target returns the database to promote. It is valid from StepPromote.
func (p *Plan) Target() string { return p.target }

// Group returns the group object as last read or written.
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

func (p *Plan) advance(s Step) { p.step, p.attempts = s, 0 }

// Abandon ends the plan with err as the reason.
func (p *Plan) Abandon(err error) { p.step, p.err = StepAbandoned, err }

// countFailure counts a failed attempt and abandons the plan at the limit.
func (p *Plan) countFailure(limit int, err error) {
	if p.attempts++; p.attempts >= limit {
		p.Abandon(err)
	}
}

// HandleRead processes the result of StepRead and StepReadBack.
func (p *Plan) HandleRead(version uint64, g platform.Group, err error) {
	switch {
	case err != nil && p.step == StepRead:
		// No term can be claimed without the platform.
		p.Abandon(fmt.Errorf("read group: %w", err))
	case err != nil:
		p.countFailure(maxClaims, fmt.Errorf("read back group: %w", err))
	case p.step == StepReadBack:
		p.resolveWrite(version, g)
	case g.Term > p.suspectedTerm:
		p.group = g
		p.Abandon(fmt.Errorf("term %d is claimed by %q: %w", g.Term, g.Candidate, ErrSuperseded))
	default:
		p.version, p.group = version, g
		if p.excluded == "" {
			p.excluded = g.Avoid
		}
		// A database can have a higher term than the platform only if the
		// platform lost data. The new term must be above both.
		p.term = max(g.Term, p.suspectedTerm) + 1
		p.advance(StepClaimTerm)
	}
}

// resolveWrite determines from the current object whether a write of unknown
// outcome took effect.
func (p *Plan) resolveWrite(version uint64, g platform.Group) {
	ownWrite := g.Nonce == p.nonce && g.Term == p.term
	switch {
	case ownWrite && !p.claimed:
		p.termClaimed(version, g)
	case ownWrite && g.Primary == p.target:
		p.version, p.group = version, g
		p.advance(StepDone)
	case ownWrite:
		p.version, p.group = version, g
		p.step = StepPublish
	case p.claimed:
		p.advance(StepDone) // a later term is in force, so publishing this one is obsolete
	case g.Term >= p.term:
		p.group = g
		p.Abandon(fmt.Errorf("term %d is claimed by %q: %w", g.Term, g.Candidate, ErrSuperseded))
	default:
		p.version, p.group = version, g
		p.step = StepClaimTerm // not applied; if the write arrives late, its nonce identifies it
	}
}

func (p *Plan) termClaimed(version uint64, g platform.Group) {
	p.version, p.group, p.claimed = version, g, true
	p.advance(StepRaiseTerm)
}

// Proposal returns the version of the object to replace and its new content.
func (p *Plan) Proposal() (uint64, platform.Group) {
	g := p.group
	g.Term, g.Candidate, g.Nonce = p.term, p.candidate, p.nonce
	g.Primary, g.Avoid = p.target, p.resigning
	return p.version, g
}

// HandleWrite processes the result of writing Proposal. On a conflict, version and
// g are those of the current object.
func (p *Plan) HandleWrite(version uint64, g platform.Group, err error) {
	limit := maxClaims
	if p.claimed {
		limit = maxPublishes
	}
	switch {
	case err == nil && p.claimed:
		p.version, p.group = version, g
		p.advance(StepDone)
	case err == nil:
		p.termClaimed(version, g)
	case result.Is(err, result.Conflict):
		p.resolveWrite(version, g)
		if p.step == StepClaimTerm || p.step == StepPublish {
			p.countFailure(limit, fmt.Errorf("write group: %w", err))
		}
	default:
		p.step = StepReadBack
		p.countFailure(limit, fmt.Errorf("write group: %w", err))
	}
}

// HandleRaise processes the statuses of the databases that answered
// StepRaiseTerm.
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
		p.countFailure(maxRaises, fmt.Errorf("raised %d databases to the new term, need %d", len(p.raised), n))
		return
	}
	p.target = p.chooseTarget()
	p.advance(StepPromote)
}

// chooseTarget returns the raised database with the highest position. Among
// databases with equal positions it prefers one that is not leaving. It returns
// the excluded former primary only if the others might lack an acknowledged
// write.
func (p *Plan) chooseTarget() string {
	best := p.mostAdvanced(p.RaisedDatabases())
	if p.excluded == "" || best != p.excluded {
		return best
	}
	others := slices.DeleteFunc(p.RaisedDatabases(), func(name string) bool { return name == p.excluded })
	if len(others) < QuorumWithoutPrimary(len(p.group.Databases)) {
		return best
	}
	return p.mostAdvanced(others)
}

func (p *Plan) mostAdvanced(names []string) string {
	return slices.MaxFunc(names, func(a, b string) int {
		sa, sb := p.raised[a], p.raised[b]
		return cmp.Or(sa.Last.Compare(sb.Last), -compareBool(p.leaving(a), p.leaving(b)), -cmp.Compare(a, b))
	})
}

// QuorumWithoutPrimary returns how many databases other than the former primary
// must be raised so that one of them has every acknowledged write. Such a write
// is on the former primary and on at least Majority(n)-1 others.
func QuorumWithoutPrimary(n int) int { return n - Majority(n) + 1 }

func (p *Plan) leaving(name string) bool {
	i := slices.IndexFunc(p.group.Databases, func(d platform.Database) bool { return d.Name == name })
	return name == p.excluded || p.raised[name].Leaving || (i >= 0 && p.group.Databases[i].Leaving)
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

// HandlePromote processes the result of StepPromote. After an error the database
// may have been promoted, so no other database is tried for this term.
func (p *Plan) HandlePromote(s backend.Status, err error) {
	switch {
	case err != nil:
		p.countFailure(maxPromotions, fmt.Errorf("promote %s: %w", p.target, err))
	case s.Term > p.term:
		p.Abandon(fmt.Errorf("database %s is at term %d: %w", p.target, s.Term, ErrSuperseded))
	case s.Role != backend.RolePrimary:
		p.countFailure(maxPromotions, fmt.Errorf("promote %s: database reports role %s at term %d", p.target, s.Role, s.Term))
	default:
		p.advance(StepPublish)
	}
}
