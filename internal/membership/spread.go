package membership

import (
	"math/bits"
	"slices"
	"time"
)

// message returns a probe to a member with piggybacked updates.
func (s *State) message(to Member, timeout time.Duration) Message {
	if to.DataCentre != s.self.DataCentre {
		timeout *= remoteTimeoutFactor
	}
	queued := s.takeUpdates(to.DataCentre, nil)
	updates := append(append([]Member{s.self}, s.claimsAbout(to.Name)...), queued...)
	return Message{To: to, Timeout: timeout, Updates: updates, Hints: s.takeHints(), queued: queued}
}

// requeueLost queues again what a lost message carried, unless it is out of date.
func (s *State) requeueLost(a Message) {
	for _, m := range a.queued {
		current, known := s.Member(m.Name)
		if !known || current != m {
			continue
		}
		same := func(old Member) bool { return old == m }
		switch l := s.links[a.To.DataCentre]; {
		case l != nil && a.To.DataCentre != s.self.DataCentre:
			l.updates.undoTransmit(m.Name, same, m, remoteTransmitLimit)
		case m.serves():
			s.updates.undoTransmit(m.Name, same, m, s.transmitLimit())
		default:
			s.priority.undoTransmit(m.Name, same, m, s.transmitLimit())
		}
	}
	for _, h := range a.Hints {
		if s.lastHints[h.Group] == h {
			s.hints.undoTransmit(h.Group, func(old Hint) bool { return old == h }, h, s.transmitLimit())
		}
	}
}

// enqueue lets a claim travel with the next messages.
func (s *State) enqueue(m Member) {
	if m.Status == Dead || m.Status == Leaving {
		s.updates.remove(m.Name)
		s.priority.put(m.Name, m)
		return
	}
	s.priority.remove(m.Name)
	s.updates.put(m.Name, m)
}

// claimsAbout returns what is believed of a receiver unless it is well, so that it
// can refute it.
func (s *State) claimsAbout(to string) []Member {
	if r, ok := s.members[to]; ok && r.Status != Alive {
		return []Member{r.Member}
	}
	return nil
}

// takeUpdates returns the updates that were sent least often, but not those
// that the receiver just sent.
func (s *State) takeUpdates(dataCentre string, received []Member) []Member {
	skip := func(m Member) bool { return slices.Contains(received, m) }
	if l := s.links[dataCentre]; l != nil && dataCentre != s.self.DataCentre {
		return l.updates.take(budget{maxUpdates, maxUpdateBytes, remoteTransmitLimit}, sizeOf, skip)
	}
	news := s.priority.take(budget{maxUpdates, maxUpdateBytes, s.transmitLimit()}, sizeOf, skip)
	rest := budget{maxUpdates - len(news), maxUpdateBytes - totalSize(news), s.transmitLimit()}
	return append(news, s.updates.take(rest, sizeOf, skip)...)
}

func totalSize(members []Member) int {
	n := 0
	for _, m := range members {
		n += sizeOf(m)
	}
	return n
}

// transmitLimit is how often an update is sent: it grows with the logarithm of the
// number of peers.
func (s *State) transmitLimit() int { return 6 + bits.Len(uint(len(s.view.ring))) }

// sizeOf is the size of a claim in a message in bytes.
func sizeOf(m Member) int { return len(m.Name) + len(m.Address) + len(m.DataCentre) + 18 }

func sizeOfHint(h Hint) int { return len(h.Group) + len(h.Primary) + 10 }

func (s *State) takeHints() []Hint {
	return s.hints.take(budget{maxHints, maxHintBytes, s.transmitLimit()}, sizeOfHint, nil)
}

// QueueHint passes on a hint that was new to this instance; the same hint
// again changes nothing.
func (s *State) QueueHint(h Hint) {
	if s.lastHints[h.Group] != h {
		s.lastHints[h.Group] = h
		s.hints.put(h.Group, h)
	}
}

// minRestartStep tells a restart from a refutation: a new process starts with the
// time in milliseconds as its incarnation, a refutation adds 1.
const minRestartStep = 1000

// Reply is the answer to a message.
type Reply struct {
	Updates []Member
	Hints   []Hint
}

// HandleMessage takes a message of a peer. The first claim of a message is the
// sender's about itself.
func (s *State) HandleMessage(now time.Time, from string, updates []Member) Reply {
	before, known := s.members[from]
	stranger := !known || !before.serves()
	var incarnation uint64
	if known {
		incarnation = before.Incarnation
	}
	s.merge(now, updates, from)
	s.refresh()
	r, ok := s.members[from]
	if !ok {
		return Reply{Hints: s.takeHints()}
	}
	s.recordContact(now, from)
	reply := Reply{Hints: s.takeHints()}
	stale := s.recordLinkContact(now, r.DataCentre)
	reply.Updates = append(s.claimsAbout(from), s.takeUpdates(r.DataCentre, updates)...)
	switch {
	case (stranger || r.Incarnation-incarnation > minRestartStep) && r.serves():
		reply.Updates = append(reply.Updates, s.membersWhere(func(r *memberRecord) bool { return !r.localOnly })...)
	case stale:
		reply.Updates = append(reply.Updates, s.ownDataCentre()...)
	}
	return reply
}

// pushPriority sends deaths and departures to a few peers at once instead of
// with the next probes.
func (s *State) pushPriority(now time.Time, out []Message) []Message {
	if s.pendingPushes == 0 || now.Before(s.nextPush) {
		return out
	}
	s.pendingPushes--
	s.nextPush = now.Add(pushInterval)
	for range min(pushFanout, len(s.partners)) {
		to := s.members[s.partners[s.random.IntN(len(s.partners))]].Member
		queued := s.priority.take(budget{maxPush, maxPushBytes, s.transmitLimit()}, sizeOf, nil)
		out = append(out, Message{
			To: to, Timeout: directTimeout, Updates: append([]Member{s.self}, queued...), queued: queued,
		})
	}
	return out
}

// Leave marks this instance as leaving and returns the messages that announce
// it.
func (s *State) Leave(now time.Time) []Message {
	if s.self.Status != Leaving {
		s.self.Status = Leaving
		s.self.Incarnation++
		s.viewOutdated = true
		s.enqueue(s.self)
		s.enqueueRemote(s.self)
	}
	s.refresh()
	var out []Message
	for _, n := range s.partners {
		out = append(out, s.message(s.members[n].Member, directTimeout))
	}
	for i, dc := range s.view.remoteNames {
		list := s.view.remote[dc]
		out = append(out, s.message(s.members[list[i%len(list)].Name].Member, indirectTimeout))
	}
	s.nextPush = now.Add(pushInterval)
	return out
}
