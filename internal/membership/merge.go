package membership

import "time"

// merge takes claims of a peer.
func (s *State) merge(now time.Time, claims []Member, source string) {
	for _, m := range claims {
		s.claim(now, m, source)
	}
}

// claim takes one claim and reports whether it changed anything.
func (s *State) claim(now time.Time, m Member, source string) bool {
	if m.Name == s.self.Name {
		return s.refute(m)
	}
	old, known := s.members[m.Name]
	if known && !m.supersedes(old.Member) {
		return false
	}
	if known && m.Status == Dead && m.Incarnation == old.Incarnation &&
		old.serves() && now.Sub(old.heard) < suspectWindow {
		// A death needs a window without answers; an answer within it means
		// that the claim is wrong or the instance just died: check it.
		m.Status = Suspect
		if m.supersedes(old.Member) {
			s.set(now, m, source)
		}
		s.verify(now, m.Name)
		return true
	}
	s.set(now, m, source)
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
		s.spreadRemote(s.self)
	}
	return true
}

// set stores a claim that supersedes what was known and spreads it.
func (s *State) set(now time.Time, m Member, source string) {
	old, known := s.members[m.Name]
	var was Member
	if known {
		was = old.Member
	} else {
		old = &record{}
		s.members[m.Name] = old
	}
	old.Member, old.private = m, false
	if !known || was.Status != m.Status {
		old.changed = now
	}
	s.enqueue(m)
	visible := !known || was.serves() != m.serves() || was.Status == Dead ||
		m.Status == Leaving || m.Status == Dead || was.Address != m.Address || was.DataCentre != m.DataCentre
	if visible {
		s.dirty = true
		s.spreadRemote(m)
	}
	if c, ok := s.checks[m.Name]; ok && (!m.serves() || (m.Status == Alive && c.stage == stageSuspect)) {
		delete(s.checks, m.Name) // settled; a check without suspicion goes on
	}
	switch m.Status {
	case Leaving, Dead:
		if !known || was.serves() {
			s.urgent = pushRounds
		}
	case Suspect:
		s.hearSuspicion(now, m)
	}
	if !known || was.Status != m.Status {
		s.events = append(s.events, Event{Member: m, Previous: was.Status, Known: known, Source: source})
	}
}

// hearSuspicion lets a few of those who hear of a suspicion check it, so that
// the suspect gets many chances to answer but not one from every peer.
func (s *State) hearSuspicion(now time.Time, m Member) {
	if m.DataCentre != s.self.DataCentre {
		return
	}
	const verifiers = 3
	s.refresh()
	if n := len(s.view.ring); n <= verifiers || s.random.IntN(n) < verifiers {
		s.verify(now, m.Name)
	}
}

// heard records proof that a member lives.
func (s *State) heard(now time.Time, name string) {
	r, ok := s.members[name]
	if !ok {
		return
	}
	r.heard, s.lastHeard = now, now
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
		age := now.Sub(r.changed)
		switch {
		case !r.serves() && age > forgetAfter:
			delete(s.members, name)
		case r.Status == Suspect && age > unverifiedSuspicion && r.DataCentre == s.self.DataCentre:
			s.verify(now, name)
		}
	}
}
