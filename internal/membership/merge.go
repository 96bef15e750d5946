package membership

import "time"

// merge applies claims that a peer sent.
func (s *State) merge(now time.Time, claims []Member, source string) {
	for _, m := range claims {
		s.applyClaim(now, m, source)
	}
}

// applyClaim applies one claim and reports whether it changed anything.
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
		// A death requires suspicionTimeout without an answer. The member
		// answered since, so the claim is wrong or the member died just now:
		// suspect and check it instead.
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

// refute raises this instance's incarnation if a claim about it is wrong and not
// older than its own.
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

// setMember stores a claim that supersedes the current one and queues it for
// peers.
func (s *State) setMember(now time.Time, m Member, source string) {
	old, known := s.members[m.Name]
	var previous Member
	if known {
		previous = old.Member
	} else {
		old = &memberRecord{}
		s.members[m.Name] = old
	}
	old.Member, old.localOnly = m, false
	if !known || previous.Status != m.Status {
		old.statusSince = now
	}
	s.enqueue(m)
	changesView := !known || previous.serves() != m.serves() || previous.Status == Dead ||
		m.Status == Leaving || m.Status == Dead || previous.Address != m.Address || previous.DataCentre != m.DataCentre
	if changesView {
		s.viewOutdated = true
		s.enqueueRemote(m)
	}
	if c, ok := s.checks[m.Name]; ok && (!m.serves() || (m.Status == Alive && c.stage == stageSuspect)) {
		// The suspicion is confirmed or refuted. Checks in earlier stages
		// continue.
		delete(s.checks, m.Name)
	}
	switch m.Status {
	case Leaving, Dead:
		if !known || previous.serves() {
			s.pendingPushes = pushRounds
		}
	case Suspect:
		s.sampleSuspicion(now, m)
	}
	if !known || previous.Status != m.Status {
		s.events = append(s.events, Event{Member: m, Previous: previous.Status, Known: known, Source: source})
	}
}

// sampleSuspicion decides at random whether this instance checks a suspicion that
// it learned of. On average a few instances do, so the suspect gets several
// chances to answer without being probed by every peer.
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

// recordContact records that a member is alive.
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
		// Peers know of the suspicion and only the member can refute it: probe
		// it again, with the claim in the message.
		c.restart(now)
		return
	}
	delete(s.checks, name)
}

// prune removes members that are dead or have left for long, and starts checks
// of suspicions that were neither confirmed nor refuted.
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
