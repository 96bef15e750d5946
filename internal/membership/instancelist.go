package membership

import (
	"time"

	"geraniumbeam/internal/platform"
)

// listStatus is the status of an instance in the platform's instance list.
type listStatus uint8

const (
	notListed listStatus = iota
	listedLive
	listedLeaving
)

// MergeInstanceList merges the platform's instance list, which may lag behind. An
// instance that is not known yet counts as alive until probes fail. Only a change
// of an instance from live to leaving counts: after a restart the list may still
// show the old leaving mark. It reports whether this instance's own mark changed
// to leaving.
func (s *State) MergeInstanceList(now time.Time, list []platform.Instance) bool {
	markedLeaving := false
	for _, in := range list {
		next := listedLive
		if in.Leaving {
			next = listedLeaving
		}
		if in.Name == s.self.Name {
			markedLeaving = markedLeaving || (s.listed == listedLive && next == listedLeaving)
			s.listed = next
			continue
		}
		s.mergeListed(now, in, next)
	}
	return markedLeaving
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
