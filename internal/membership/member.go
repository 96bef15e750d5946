package membership

import (
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/wire"
)

// Status is the status of a member.
type Status uint8

// At the same incarnation, a higher status supersedes a lower one.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

// String returns the word used in logs and events.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Member is a claim about an instance. Only the instance itself raises its
// incarnation.
type Member struct {
	Name        string
	Address     string // host:port of the internal protocol
	DataCentre  string
	Incarnation uint64
	Status      Status
}

// Instance returns the member as an ownership.Instance.
func (m Member) Instance() ownership.Instance {
	return ownership.Instance{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
}

// serves reports whether the member accepts work.
func (m Member) serves() bool { return m.Status == Alive || m.Status == Suspect }

// supersedes reports whether claim m replaces old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// Hint is unconfirmed information about a group's primary.
type Hint struct {
	Group   string
	Term    uint64
	Primary string
}

// Limits on names and addresses that peers send, in bytes. The settings reject
// longer names.
const (
	maxName    = 63
	maxAddress = 255
)

var toWireStatus = [...]wire.MemberState{
	Alive:   wire.MemberState_MEMBER_STATE_ALIVE,
	Suspect: wire.MemberState_MEMBER_STATE_SUSPECT,
	Leaving: wire.MemberState_MEMBER_STATE_LEAVING,
	Dead:    wire.MemberState_MEMBER_STATE_DEAD,
}

func toWire(members []Member) []*wire.Member {
	out := make([]*wire.Member, len(members))
	for i, m := range members {
		out[i] = &wire.Member{
			Name: m.Name, Address: m.Address, DataCentre: m.DataCentre,
			Incarnation: m.Incarnation, State: toWireStatus[m.Status],
		}
	}
	return out
}

// fromWire converts claims of a peer and drops invalid ones.
func fromWire(members []*wire.Member) []Member {
	out := make([]Member, 0, len(members))
	for _, w := range members {
		m := Member{
			Name: w.GetName(), Address: w.GetAddress(), DataCentre: w.GetDataCentre(),
			Incarnation: w.GetIncarnation(),
		}
		switch w.GetState() {
		case wire.MemberState_MEMBER_STATE_ALIVE:
		case wire.MemberState_MEMBER_STATE_SUSPECT:
			m.Status = Suspect
		case wire.MemberState_MEMBER_STATE_LEAVING:
			m.Status = Leaving
		case wire.MemberState_MEMBER_STATE_DEAD:
			m.Status = Dead
		default:
			continue
		}
		if valid(m) {
			out = append(out, m)
		}
	}
	return out
}

func valid(m Member) bool {
	return m.Name != "" && len(m.Name) <= maxName && len(m.DataCentre) <= maxName &&
		m.Address != "" && len(m.Address) <= maxAddress
}

func hintsToWire(hints []Hint) []*wire.GroupHint {
	out := make([]*wire.GroupHint, len(hints))
	for i, h := range hints {
		out[i] = &wire.GroupHint{Group: h.Group, Term: h.Term, Primary: h.Primary}
	}
	return out
}

func hintsFromWire(hints []*wire.GroupHint) []Hint {
	out := make([]Hint, 0, len(hints))
	for _, h := range hints {
		out = append(out, Hint{Group: h.GetGroup(), Term: h.GetTerm(), Primary: h.GetPrimary()})
	}
	return out
}
