package membership

import (
	"math/bits"
	"slices"
	"time"
)

// message returns a probe of a member with piggybacked updates and hints.
func (s *State) message(to Member, timeout time.Duration) Message {
	if to.DataCentre != s.self.DataCentre {
		timeout *= remoteTimeoutFactor
	}
	queued := s.takeUpdates(to.DataCentre, nil)
	updates := append(append([]Member{s.self}, s.claimsAbout(to.Name)...), queued...)
	return Message{To: to, Timeout: timeout, Updates: updates, Hints: s.takeHints(), queued: queued}
}

// requeueLost queues the updates and hints of a lost message again unless newer
// ones have replaced them.
func (s *State) requeueLost(msg Message) {
	for _, m := range msg.queued {
		current, known := s.Member(m.Name)
		if !known || current != m {
			continue
		}
		same := func(old Member) bool { return old == m }
		switch l := s.links[msg.To.DataCentre]; {
		case l != nil && msg.To.DataCentre != s.self.DataCentre:
			l.updates.undoTransmit(m.Name, same, m, remoteTransmitLimit)
		case m.serves():
			s.updates.undoTransmit(m.Name, same, m, s.transmitLimit())
		default:
			s.priority.undoTransmit(m.Name, same, m, s.transmitLimit())
		}
	}
	for _, h := range msg.Hints {
		if s.lastHints[h.Group] == h {
			s.hints.undoTransmit(h.Group, func(old Hint) bool { return old == h }, h, s.transmitLimit())
		}
	}
}

// enqueue queues a claim for the next messages.
func (s *State) enqueue(m Member) {
	if m.Status == Dead || m.Status == Leaving {
		s.updates.remove(m.Name)
		s.priority.put(m.Name, m)
		return
	}
	s.priority.remove(m.Name)
	s.updates.put(m.Name, m)
}

// claimsAbout returns the claim about a receiver unless it is alive, so that the
// receiver can refute it.
func (s *State) claimsAbout(to string) []Member {
	if r, ok := s.members[to]; ok && r.Status != Alive {
		return []Member{r.Member}
	}
	return nil
}

// takeUpdates returns the updates that were sent least often, without those in
// received, which the receiver has just sent.
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

// transmitLimit is how many times an update is sent. It grows with the logarithm
// of the number of peers.
func (s *State) transmitLimit() int { return 6 + bits.Len(uint(len(s.view.ring))) }

// sizeOf returns the approximate encoded size of a claim in bytes.
func sizeOf(m Member) int { return len(m.Name) + len(m.Address) + len(m.DataCentre) + 18 }

func sizeOfHint(h Hint) int { return len(h.Group) + len(h.Primary) + 10 }

func (s *State) takeHints() []Hint {
	return s.hints.take(budget{maxHints, maxHintBytes, s.transmitLimit()}, sizeOfHint, nil)
}

// QueueHint queues a hint for peers. Queueing the same hint again has no effect.
func (s *State) QueueHint(h Hint) {
	if s.lastHints[h.Group] != h {
		s.lastHints[h.Group] = h
		s.hints.put(h.Group, h)
	}
}

// minRestartStep is the increase of an incarnation above which the member has
// restarted: a new process starts with the time in milliseconds as its
// incarnation, while a refutation adds 1.
const minRestartStep = 1000

// Reply is the answer to a message.
type Reply struct {
	Updates []Member
	Hints   []Hint
}

// HandleMessage processes a message of a peer and returns the answer. The first
// claim of a message is the sender's about itself.
func (s *State) HandleMessage(now time.Time, from string, updates []Member) Reply {
	previous, known := s.members[from]
	newSender := !known || !previous.serves()
	var incarnation uint64
	if known {
		incarnation = previous.Incarnation
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
	case (newSender || r.Incarnation-incarnation > minRestartStep) && r.serves():
		reply.Updates = append(reply.Updates, s.membersWhere(func(r *memberRecord) bool { return !r.localOnly })...)
	case stale:
		reply.Updates = append(reply.Updates, s.ownDataCentre()...)
	}
	return reply
}

// pushPriority sends deaths and departures to a few peers immediately, without
// waiting for the next probes.
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
