package membership

import (
	"cmp"
	"slices"
	"time"

	"geraniumbeam/internal/ownership"
)

// RelaysPerDataCentre is the number of instances per data centre that exchange with other
// data centres.
const RelaysPerDataCentre = 2

// remoteTimes is how often a relay sends an update to each data centre.
const remoteTimes = 4

// rollingCount is the number of records that an exchange between data centres
// carries in passing.
const rollingCount = 4

func relayKey(dataCentre string) string { return "membership/" + dataCentre }

// link is the exchange with another data centre.
type link struct {
	updates *queue[Member]
	last    time.Time // last contact
}

// spreadRemote queues a claim for the other data centres.
func (s *State) spreadRemote(m Member) {
	for dc, l := range s.links {
		if dc != m.DataCentre || m.Status == Dead {
			l.updates.put(m.Name, m)
		}
	}
}

// contact records that an instance of a data centre was heard and reports
// whether it had been silent for long.
func (s *State) contact(now time.Time, dataCentre string) bool {
	if dataCentre == s.self.DataCentre {
		return false
	}
	l, ok := s.links[dataCentre]
	if !ok {
		l = &link{updates: newQueue[Member](queueLimit)}
		s.links[dataCentre] = l
	}
	stale := now.Sub(l.last) > linkStale
	l.last = now
	return stale
}

// relay exchanges with the next data centre if this instance is a relay.
func (s *State) relay(now time.Time, out []Message) []Message {
	if s.view.rank < 0 {
		return out
	}
	if !now.Before(s.nextRelay) && len(s.view.centres) > 0 {
		s.nextRelay = now.Add(relayPeriod)
		s.relays++
		out = s.exchange(now, s.view.centres[s.relays%len(s.view.centres)], out)
	}
	if now.Before(s.nextDead) {
		return out
	}
	s.nextDead = now.Add(deadProbePeriod)
	var dead []Member
	for _, r := range s.members {
		if r.Status == Dead {
			dead = append(dead, r.Member)
		}
	}
	if len(dead) == 0 {
		return out
	}
	slices.SortFunc(dead, byName)
	return append(out, s.message(dead[s.random.IntN(len(dead))], probeTimeout))
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

func (s *State) exchange(now time.Time, dataCentre string, out []Message) []Message {
	list := s.view.remote[dataCentre]
	order := ownership.Order(relayKey(dataCentre), list)
	turn := s.relays / len(s.view.centres)
	peer := order[turn%min(RelaysPerDataCentre, len(order))]
	if turn%4 == 3 {
		peer = list[s.random.IntN(len(list))] // in case that both relays are gone
	}
	n := len(out)
	out = s.begin(peer.Name, out)
	if len(out) == n {
		return out // a check of this relay is running and carries updates
	}
	a := &out[n]
	l := s.links[dataCentre]
	if l == nil || now.Sub(l.last) > linkStale {
		a.Updates = append(a.Updates, s.ownDataCentre()...)
		return out
	}
	a.Updates = append(a.Updates, s.roll(rollingCount)...)
	return out
}

// roll returns the next records of the table, which travel in passing and
// repair what was lost.
func (s *State) roll(count int) []Member {
	var out []Member
	for range min(count, len(s.view.names)) {
		s.rolling = (s.rolling + 1) % len(s.view.names)
		if r, ok := s.members[s.view.names[s.rolling]]; ok && !r.private {
			out = append(out, r.Member)
		}
	}
	return out
}

// beginRolling starts a check whose message carries records in passing.
func (s *State) beginRolling(name string, count int, out []Message) []Message {
	n := len(out)
	out = s.begin(name, out)
	if len(out) > n {
		out[n].Updates = append(out[n].Updates, s.roll(count)...)
	}
	return out
}

// ownDataCentre returns all that is known of the own data centre.
func (s *State) ownDataCentre() []Member {
	return s.selected(func(r *record) bool { return !r.private && r.DataCentre == s.self.DataCentre })
}

// helpersFor returns members that probe target on behalf of this instance:
// others of the own data centre, or of a third one if there are too few.
func (s *State) helpersFor(target Member) []Member {
	var out []Member
	try := func(name string) {
		r := s.members[name]
		if name == target.Name || r.Status != Alive || len(out) >= helpers {
			return
		}
		for _, m := range out {
			if m.Name == name {
				return
			}
		}
		out = append(out, r.Member)
	}
	if target.DataCentre == s.self.DataCentre {
		for range min(2*helpers, len(s.partners)) {
			try(s.partners[s.random.IntN(len(s.partners))])
		}
	}
	if len(out) == helpers || len(s.view.centres) == 0 {
		return out
	}
	for range 2 * helpers {
		list := s.view.remote[s.view.centres[s.random.IntN(len(s.view.centres))]]
		if in := list[s.random.IntN(len(list))]; in.DataCentre != target.DataCentre || len(s.view.centres) == 1 {
			try(in.Name)
		}
	}
	return out
}

// IsRelay reports whether this instance is a relay of its data centre.
func (s *State) IsRelay() bool {
	s.refresh()
	return s.view.rank >= 0
}

// IndirectProbe returns the probe of a member on behalf of a peer.
func (s *State) IndirectProbe(name string) (Message, bool) {
	r, ok := s.members[name]
	if !ok {
		return Message{}, false
	}
	return s.message(r.Member, probeTimeout), true
}
