package membership

import (
	"cmp"
	"slices"
	"time"

	"geraniumbeam/internal/ownership"
)

// RelaysPerDataCentre is the number of instances per data centre that exchange
// members with other data centres.
const RelaysPerDataCentre = 2

// remoteTransmitLimit is how many times a relay sends an update to each data
// centre.
const remoteTransmitLimit = 4

// repairRecords is the number of repair records in an exchange between data
// centres.
const repairRecords = 4

func relayKey(dataCentre string) string { return "membership/" + dataCentre }

// link is the state of the exchange with another data centre.
type link struct {
	updates     *queue[Member]
	lastContact time.Time
}

// enqueueRemote queues a claim for the other data centres.
func (s *State) enqueueRemote(m Member) {
	for dc, l := range s.links {
		if dc != m.DataCentre || m.Status == Dead {
			l.updates.put(m.Name, m)
		}
	}
}

// recordLinkContact records a message from an instance of a data centre. It
// reports whether the last contact before was more than linkStaleAfter ago.
func (s *State) recordLinkContact(now time.Time, dataCentre string) bool {
	if dataCentre == s.self.DataCentre {
		return false
	}
	l, ok := s.links[dataCentre]
	if !ok {
		l = &link{updates: newQueue[Member](maxQueuedUpdates)}
		s.links[dataCentre] = l
	}
	stale := now.Sub(l.lastContact) > linkStaleAfter
	l.lastContact = now
	return stale
}

// relayMessages appends the messages that are due if this instance is a relay:
// an exchange with the next data centre and a probe of a dead member.
func (s *State) relayMessages(now time.Time, out []Message) []Message {
	if s.view.relayRank < 0 {
		return out
	}
	if !now.Before(s.nextExchange) && len(s.view.remoteNames) > 0 {
		s.nextExchange = now.Add(exchangeInterval)
		s.exchangeCount++
		out = s.exchange(now, s.view.remoteNames[s.exchangeCount%len(s.view.remoteNames)], out)
	}
	if now.Before(s.nextDeadProbe) {
		return out
	}
	s.nextDeadProbe = now.Add(deadProbeInterval)
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
	return append(out, s.message(dead[s.random.IntN(len(dead))], directTimeout))
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

func (s *State) exchange(now time.Time, dataCentre string, out []Message) []Message {
	list := s.view.remote[dataCentre]
	order := ownership.Order(relayKey(dataCentre), list)
	turn := s.exchangeCount / len(s.view.remoteNames)
	peer := order[turn%min(RelaysPerDataCentre, len(order))]
	if turn%4 == 3 {
		peer = list[s.random.IntN(len(list))] // in case both relays have failed
	}
	n := len(out)
	out = s.startCheck(peer.Name, out)
	if len(out) == n {
		return out // the running check of this relay carries updates
	}
	msg := &out[n]
	l := s.links[dataCentre]
	if l == nil || now.Sub(l.lastContact) > linkStaleAfter {
		msg.Updates = append(msg.Updates, s.ownDataCentre()...)
		return out
	}
	msg.Updates = append(msg.Updates, s.nextRepairRecords(repairRecords)...)
	return out
}

// nextRepairRecords returns the next members in name order. They are added to
// messages in rotation and repair updates that were lost.
func (s *State) nextRepairRecords(count int) []Member {
	var out []Member
	for range min(count, len(s.view.names)) {
		s.repairCursor = (s.repairCursor + 1) % len(s.view.names)
		if r, ok := s.members[s.view.names[s.repairCursor]]; ok && !r.localOnly {
			out = append(out, r.Member)
		}
	}
	return out
}

// startCheckWithRepair starts a check whose message also carries repair records.
func (s *State) startCheckWithRepair(name string, count int, out []Message) []Message {
	n := len(out)
	out = s.startCheck(name, out)
	if len(out) > n {
		out[n].Updates = append(out[n].Updates, s.nextRepairRecords(count)...)
	}
	return out
}

// ownDataCentre returns the claims about all members of the own data centre.
func (s *State) ownDataCentre() []Member {
	return s.membersWhere(func(r *memberRecord) bool { return !r.localOnly && r.DataCentre == s.self.DataCentre })
}

// indirectProbersFor returns members that probe target on behalf of this
// instance: partners if target is in the own data centre, filled up with members
// of other data centres, preferably not target's.
func (s *State) indirectProbersFor(target Member) []Member {
	var out []Member
	try := func(name string) {
		r := s.members[name]
		if name == target.Name || r.Status != Alive || len(out) >= indirectProbers {
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
		for range min(2*indirectProbers, len(s.partners)) {
			try(s.partners[s.random.IntN(len(s.partners))])
		}
	}
	if len(out) == indirectProbers || len(s.view.remoteNames) == 0 {
		return out
	}
	for range 2 * indirectProbers {
		list := s.view.remote[s.view.remoteNames[s.random.IntN(len(s.view.remoteNames))]]
		if in := list[s.random.IntN(len(list))]; in.DataCentre != target.DataCentre || len(s.view.remoteNames) == 1 {
			try(in.Name)
		}
	}
	return out
}

// IsRelay reports whether this instance is a relay of its data centre.
func (s *State) IsRelay() bool {
	s.refresh()
	return s.view.relayRank >= 0
}

// IndirectProbe returns the message that probes a member on behalf of a peer.
func (s *State) IndirectProbe(name string) (Message, bool) {
	r, ok := s.members[name]
	if !ok {
		return Message{}, false
	}
	return s.message(r.Member, directTimeout), true
}
