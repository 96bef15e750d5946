package membership

import (
	"time"

	"geraniumbeam/internal/platform"
)

// listStatus is what the platform's list said of an instance.
type listStatus uint8

// Values of listing.
const (
	notListed listStatus = iota
	listedLive
	listedLeaving
)

// MergeInstanceList takes the platform's lagging list. An instance that is not known yet is
// taken as alive until probes say otherwise. A leaving mark counts when it
// appears, not while it lasts: the list may still show it after the instance
// was started again. It reports whether this instance was marked as leaving.
func (s *State) MergeInstanceList(now time.Time, list []platform.Instance) bool {
	left := false
	for _, in := range list {
		next := listedLive
		if in.Leaving {
			next = listedLeaving
		}
		if in.Name == s.self.Name {
			left = left || (s.listed == listedLive && next == listedLeaving)
			s.listed = next
			continue
		}
		s.mergeListed(now, in, next)
	}
	return left
}

func (s *State) mergeListed(now time.Time, in platform.Instance, next listStatus) {
	m := Member{Name: in.Name, Address: in.Address, DataCentre: in.DataCentre}
	if in.Leaving {
		m.Status = Leaving
	}
	r, known := s.members[in.Name]
	if !known {
		if !valid(m) {
			return
		}
		s.members[in.Name] = &memberRecord{Member: m, statusSince: now, listed: next}
		s.viewOutdated = true
		return
	}
	if r.listed == listedLive && next == listedLeaving && r.serves() {
		m = r.Member
		m.Status = Leaving
		s.setMember(now, m, "platform")
	}
	r.listed = next
}
