package membership

import (
	"maps"
	"slices"
	"time"
)

// check tracks the probes of one member until it answers or is declared dead.
type check struct {
	name        string
	stage       stage
	pending     int // attempts without an outcome
	failures    int // failed attempts since suspectedAt
	suspectedAt time.Time
	nextAttempt time.Time
}

type stage uint8

// Stages of a check.
const (
	stageDirect stage = iota
	stageIndirect
	stageSuspect
)

func (c *check) restart(now time.Time) { c.suspectedAt, c.nextAttempt, c.failures = now, now, 0 }

// Message is a message to send. Its outcome is passed to State.HandleResult.
type Message struct {
	To      Member
	Target  string // the member that To probes on behalf of this instance
	Updates []Member
	Hints   []Hint
	Timeout time.Duration
	check   *check   // the check that a failure counts for, nil if none
	queued  []Member // the part of Updates that was taken from a queue
}

// Tick advances the time and returns the messages to send.
func (s *State) Tick(now time.Time) []Message {
	if now.Sub(s.lastTick) > suspendThreshold {
		for _, c := range s.checks {
			c.restart(now)
		}
		s.lastHeard = now
	}
	s.lastTick = now
	s.refresh()
	var out []Message
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(ProbeInterval)
		s.prune(now)
		s.refresh()
		out = s.periodicProbe(now, out)
	}
	out = s.relayMessages(now, out)
	for _, name := range slices.Sorted(maps.Keys(s.checks)) {
		if c, ok := s.checks[name]; ok {
			out = s.advance(now, c, out)
		}
	}
	return s.pushPriority(now, out)
}

// periodicProbe starts the check of one member that is due every ProbeInterval.
func (s *State) periodicProbe(now time.Time, out []Message) []Message {
	if now.After(s.nextRotation) && len(s.partners) > 0 {
		s.nextRotation = now.Add(partnerRotationInterval)
		s.partners = append(s.partners[:0], s.partners[1:]...)
		s.refreshPartners()
	}
	s.probeCount++
	ring := s.view.ring
	switch {
	case len(ring) == 0 || s.withoutContact(now):
		return s.probeRandomMember(now, out)
	case s.probeCount%2 == 0:
		return s.startCheckWithRepair(ring[s.view.successor%len(ring)], 1, out)
	case len(s.partners) > 0:
		return s.startCheckWithRepair(s.partners[s.random.IntN(len(s.partners))], 1, out)
	}
	return out
}

// probeRandomMember probes a random member whatever its status, so that an
// instance without live peers finds the others again.
func (s *State) probeRandomMember(now time.Time, out []Message) []Message {
	if now.Sub(s.lastHeard) < noContactTimeout && s.view.relayRank >= 0 && len(s.view.remoteNames) > 0 {
		return out // other data centres answer
	}
	n := len(s.members)
	if n == 0 {
		return out
	}
	skip := s.random.IntN(n)
	for _, m := range s.Members() {
		if m.Name == s.self.Name {
			continue
		}
		if skip--; skip < 0 {
			return append(out, s.message(m, directTimeout))
		}
	}
	return out
}

// withoutContact reports whether no message from a peer arrived for
// noContactTimeout.
func (s *State) withoutContact(now time.Time) bool { return now.Sub(s.lastHeard) > noContactTimeout }

// NeedsPeers reports whether the instance should ask the platform for peers.
func (s *State) NeedsPeers(now time.Time) bool {
	s.refresh()
	return len(s.members) == 0 || s.withoutContact(now)
}

// startCheck starts a check of a member unless one is running.
func (s *State) startCheck(name string, out []Message) []Message {
	if _, running := s.checks[name]; running || len(s.checks) >= maxChecks {
		return out
	}
	c := &check{name: name, pending: 1}
	s.checks[name] = c
	msg := s.message(s.members[name].Member, directTimeout)
	msg.check = c
	return append(out, msg)
}

// startSuspicionCheck starts a check of a member that a peer suspects.
func (s *State) startSuspicionCheck(now time.Time, name string) {
	if c, ok := s.checks[name]; ok {
		if c.stage != stageSuspect {
			c.stage = stageSuspect
			c.restart(now)
		}
		return
	}
	if len(s.checks) < maxChecks {
		c := &check{name: name, stage: stageSuspect}
		c.restart(now)
		s.checks[name] = c
	}
}

// advance moves a check to its next stage when its attempts have ended.
func (s *State) advance(now time.Time, c *check, out []Message) []Message {
	r := s.members[c.name]
	if r == nil || !r.serves() {
		delete(s.checks, c.name)
		return out
	}
	switch c.stage {
	case stageDirect:
		if c.pending == 0 {
			c.stage = stageIndirect
			out = s.appendAttempt(c, r.Member, out)
		}
	case stageIndirect:
		if c.pending == 0 {
			if len(s.view.remote[r.DataCentre]) > maxRemotelyChecked {
				delete(s.checks, c.name)
				return out
			}
			s.suspect(now, c, r.Member)
			out = s.retrySuspect(now, c, r.Member, out)
		}
	case stageSuspect:
		if now.Sub(c.suspectedAt) >= s.suspicionTimeoutOf(r.Member) && c.failures >= minFailedAttempts {
			s.declareDead(now, c, r.Member)
			return out
		}
		if !now.Before(c.nextAttempt) {
			out = s.retrySuspect(now, c, r.Member, out)
		}
	}
	return out
}

func (s *State) suspicionTimeoutOf(m Member) time.Duration {
	if m.DataCentre != s.self.DataCentre {
		return remoteSuspicionTimeout
	}
	return suspicionTimeout
}

// retrySuspect attempts to reach a suspect and schedules the next attempt.
func (s *State) retrySuspect(now time.Time, c *check, target Member, out []Message) []Message {
	n := len(out)
	out = s.appendAttempt(c, target, out)
	c.nextAttempt = now.Add(attemptInterval)
	if len(out) == n+1 {
		c.nextAttempt = now.Add(directOnlyAttemptInterval)
	}
	return out
}

// appendAttempt appends a direct probe of target and the indirect ones.
func (s *State) appendAttempt(c *check, target Member, out []Message) []Message {
	msg := s.message(target, directTimeout)
	msg.check = c
	out = append(out, msg)
	c.pending++
	for _, h := range s.indirectProbersFor(target) {
		msg := s.message(h, indirectTimeout)
		msg.Target, msg.check = target.Name, c
		msg.Updates = append(msg.Updates, target)
		out = append(out, msg)
		c.pending++
	}
	return out
}

func (s *State) suspect(now time.Time, c *check, m Member) {
	c.stage = stageSuspect
	c.restart(now)
	if m.Status == Alive {
		m.Status = Suspect
		s.setMember(now, m, "probe")
	}
}

func (s *State) declareDead(now time.Time, c *check, m Member) {
	pushes := s.pendingPushes
	m.Status = Dead
	s.setMember(now, m, "probe")
	if s.lastHeard.Before(c.suspectedAt) {
		// No peer answered since the suspicion: the fault is probably this
		// instance's own, so the death is not sent to peers.
		s.priority.remove(m.Name)
		s.members[m.Name].localOnly = true
		s.pendingPushes = pushes
	}
}

// HandleResult processes the outcome of a message. reached tells whether To
// answered, ok is its answer and updates are the claims in it.
func (s *State) HandleResult(now time.Time, msg Message, reached, ok bool, updates []Member) {
	if reached {
		s.merge(now, updates, msg.To.Name)
		s.recordContact(now, msg.To.Name)
		s.recordLinkContact(now, msg.To.DataCentre)
	} else {
		s.requeueLost(msg)
	}
	success := reached && ok
	if success && msg.Target != "" {
		s.recordContact(now, msg.Target)
	}
	c := msg.check
	if c == nil || s.checks[c.name] != c {
		return
	}
	c.pending--
	// An unreachable indirect prober is no evidence about the target.
	if !success && (msg.Target == "" || reached) {
		c.failures++
	}
}
