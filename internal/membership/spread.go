package membership

import (
	"math/bits"
	"slices"
	"time"
)

// message returns a probe to a member with piggybacked updates.
func (s *State) message(to Member, timeout time.Duration) Message {
	if to.DataCentre != s.self.DataCentre {
		timeout *= remoteFactor
	}
	queued := s.fromQueues(to.DataCentre, nil)
	updates := append(append([]Member{s.self}, s.about(to.Name)...), queued...)
	return Message{To: to, Timeout: timeout, Updates: updates, Hints: s.takeHints(), queued: queued}
}

// retry queues again what a lost message carried, unless it is out of date.
func (s *State) retry(a Message) {
	for _, m := range a.queued {
		current, known := s.Member(m.Name)
		if !known || current != m {
			continue
		}
		same := func(old Member) bool { return old == m }
		switch l := s.links[a.To.DataCentre]; {
		case l != nil && a.To.DataCentre != s.self.DataCentre:
			l.updates.retry(m.Name, same, m, remoteTimes)
		case m.serves():
			s.updates.retry(m.Name, same, m, s.times())
		default:
			s.news.retry(m.Name, same, m, s.times())
		}
	}
	for _, h := range a.Hints {
		if s.spread[h.Group] == h {
			s.hints.retry(h.Group, func(old Hint) bool { return old == h }, h, s.times())
		}
	}
}

// enqueue lets a claim travel with the next messages.
func (s *State) enqueue(m Member) {
	if m.Status == Dead || m.Status == Leaving {
		s.updates.remove(m.Name)
		s.news.put(m.Name, m)
		return
	}
	s.news.remove(m.Name)
	s.updates.put(m.Name, m)
}

// about returns what is believed of a receiver unless it is well, so that it
// can refute it.
func (s *State) about(to string) []Member {
	if r, ok := s.members[to]; ok && r.Status != Alive {
		return []Member{r.Member}
	}
	return nil
}

// fromQueues returns the updates that were sent least often, but not those
// that the receiver just sent.
func (s *State) fromQueues(dataCentre string, received []Member) []Member {
	skip := func(m Member) bool { return slices.Contains(received, m) }
	if l := s.links[dataCentre]; l != nil && dataCentre != s.self.DataCentre {
		return l.updates.take(budget{maxUpdates, maxUpdateBytes, remoteTimes}, sizeOf, skip)
	}
	news := s.news.take(budget{maxUpdates, maxUpdateBytes, s.times()}, sizeOf, skip)
	rest := budget{maxUpdates - len(news), maxUpdateBytes - totalSize(news), s.times()}
	return append(news, s.updates.take(rest, sizeOf, skip)...)
}

func totalSize(members []Member) int {
	n := 0
	for _, m := range members {
		n += sizeOf(m)
	}
	return n
}

// times is how often an update is sent: it grows with the logarithm of the
// number of peers.
func (s *State) times() int { return 6 + bits.Len(uint(len(s.view.ring))) }

// sizeOf is the size of a claim in a message in bytes.
func sizeOf(m Member) int { return len(m.Name) + len(m.Address) + len(m.DataCentre) + 18 }

func hintSize(h Hint) int { return len(h.Group) + len(h.Primary) + 10 }

func (s *State) takeHints() []Hint {
	return s.hints.take(budget{maxHints, maxHintBytes, s.times()}, hintSize, nil)
}

// QueueHint passes on a hint that was new to this instance; the same hint
// again changes nothing.
func (s *State) QueueHint(h Hint) {
	if s.spread[h.Group] != h {
		s.spread[h.Group] = h
		s.hints.put(h.Group, h)
	}
}

// restartGap tells a restart from a refutation: a new process starts with the
// time in milliseconds as its incarnation, a refutation adds 1.
const restartGap = 1000

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
	s.heard(now, from)
	reply := Reply{Hints: s.takeHints()}
	stale := s.contact(now, r.DataCentre)
	reply.Updates = append(s.about(from), s.fromQueues(r.DataCentre, updates)...)
	switch {
	case (stranger || r.Incarnation-incarnation > restartGap) && r.serves():
		reply.Updates = append(reply.Updates, s.selected(func(r *record) bool { return !r.private })...)
	case stale:
		reply.Updates = append(reply.Updates, s.ownDataCentre()...)
	}
	return reply
}

// pushUrgent sends deaths and departures to a few peers at once instead of
// with the next probes.
func (s *State) pushUrgent(now time.Time, out []Message) []Message {
	if s.urgent == 0 || now.Before(s.nextPush) {
		return out
	}
	s.urgent--
	s.nextPush = now.Add(pushGap)
	for range min(pushWidth, len(s.partners)) {
		to := s.members[s.partners[s.random.IntN(len(s.partners))]].Member
		queued := s.news.take(budget{maxPush, maxPushBytes, s.times()}, sizeOf, nil)
		out = append(out, Message{
			To: to, Timeout: probeTimeout, Updates: append([]Member{s.self}, queued...), queued: queued,
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
		s.dirty = true
		s.enqueue(s.self)
		s.spreadRemote(s.self)
	}
	s.refresh()
	var out []Message
	for _, n := range s.partners {
		out = append(out, s.message(s.members[n].Member, probeTimeout))
	}
	for i, dc := range s.view.centres {
		list := s.view.remote[dc]
		out = append(out, s.message(s.members[list[i%len(list)].Name].Member, indirectTimeout))
	}
	s.nextPush = now.Add(pushGap)
	return out
}
