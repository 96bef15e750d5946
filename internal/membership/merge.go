package membership

import "time"

// merge takes claims of a peer.
func (s *State) merge(now time.Time, claims []Member, source string) {
	for _, m := range claims {
		s.applyClaim(now, m, source)
	}
}

// applyClaim takes one applyClaim and reports whether it changed anything.
func (s *State) applyClaim(now time.Time, m Member, source string) bool {
	if m.Name == s.self.Name {
		return s.refute(m)
	}
	old, known := s.members[m.Name]
	if known && !m.supersedes(old.Member) {
		return false
	}
	if known && m.Status == Dead && m.Incarnation == old.Incarnation &&
		old.serves() && now.Sub(old.lastHeard) < suspicionTimeout {
		// A death needs a window without answers; an answer within it means
		// that the claim is wrong or the instance just died: check it.
		m.Status = Suspect
		if m.supersedes(old.Member) {
			s.setMember(now, m, source)
		}
		s.startSuspicionCheck(now, m.Name)
		return true
	}
	s.setMember(now, m, source)
	return true
}

// refute answers a claim that this instance is not what it is.
func (s *State) refute(m Member) bool {
	same := m.Incarnation == s.self.Incarnation && m.Status <= s.self.Status &&
		m.Address == s.self.Address && m.DataCentre == s.self.DataCentre
	if m.Incarnation < s.self.Incarnation || same {
		return false
	}
	s.self.Incarnation = m.Incarnation + 1
	s.enqueue(s.self)
	if m.Status == Dead {
		s.enqueueRemote(s.self)
	}
	return true
}

// setMember stores a claim that supersedes what was known and spreads it.
func (s *State) setMember(now time.Time, m Member, source string) {
	old, known := s.members[m.Name]
	var was Member
	if known {
		was = old.Member
	} else {
		old = &memberRecord{}
		s.members[m.Name] = old
	}
	old.Member, old.localOnly = m, false
	if !known || was.Status != m.Status {
		old.statusSince = now
	}
	s.enqueue(m)
	visible := !known || was.serves() != m.serves() || was.Status == Dead ||
		m.Status == Leaving || m.Status == Dead || was.Address != m.Address || was.DataCentre != m.DataCentre
	if visible {
		s.viewOutdated = true
		s.enqueueRemote(m)
	}
	if c, ok := s.checks[m.Name]; ok && (!m.serves() || (m.Status == Alive && c.stage == stageSuspect)) {
		delete(s.checks, m.Name) // settled; a check without suspicion goes on
	}
	switch m.Status {
	case Leaving, Dead:
		if !known || was.serves() {
			s.pendingPushes = pushRounds
		}
	case Suspect:
		s.sampleSuspicion(now, m)
	}
	if !known || was.Status != m.Status {
		s.events = append(s.events, Event{Member: m, Previous: was.Status, Known: known, Source: source})
	}
}

// sampleSuspicion lets a few of those who hear of a suspicion check it, so that
// the suspect gets many chances to answer but not one from every peer.
func (s *State) sampleSuspicion(now time.Time, m Member) {
	if m.DataCentre != s.self.DataCentre {
		return
	}
	const verifiers = 3
	s.refresh()
	if n := len(s.view.ring); n <= verifiers || s.random.IntN(n) < verifiers {
		s.startSuspicionCheck(now, m.Name)
	}
}

// recordContact records proof that a member lives.
func (s *State) recordContact(now time.Time, name string) {
	r, ok := s.members[name]
	if !ok {
		return
	}
	r.lastHeard, s.lastHeard = now, now
	c, ok := s.checks[name]
	if !ok {
		return
	}
	if r.Status == Suspect {
		// The suspicion is out and only the member can refute it: ask again,
		// with the claim in the message.
		c.restart(now)
		return
	}
	delete(s.checks, name)
}

// prune forgets members that are gone and starts checks of suspicions that
// nobody settled.
func (s *State) prune(now time.Time) {
	for name, r := range s.members {
		age := now.Sub(r.statusSince)
		switch {
		case !r.serves() && age > removeAfter:
			delete(s.members, name)
		case r.Status == Suspect && age > unresolvedSuspicionAge && r.DataCentre == s.self.DataCentre:
			s.startSuspicionCheck(now, name)
		}
	}
}
