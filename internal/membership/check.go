package membership

import (
	"maps"
	"slices"
	"time"
)

// check is an attempt to reach one member.
type check struct {
	name      string
	stage     stage
	pending   int // attempts without a result
	failures  int
	started   time.Time // of the suspicion
	nextRound time.Time
}

type stage uint8

// Stages of a check.
const (
	stageDirect stage = iota
	stageIndirect
	stageSuspect
)

func (c *check) restart(now time.Time) { c.started, c.nextRound, c.failures = now, now, 0 }

// Message is a message to send. Its outcome is passed to State.HandleResult.
type Message struct {
	To      Member
	Target  string // the member that To probes on behalf of this instance
	Updates []Member
	Hints   []Hint
	Timeout time.Duration
	check   *check   // nil: a failure proves nothing
	queued  []Member // the part of Updates that came from a queue
}

// Tick advances time and returns the messages to send.
func (s *State) Tick(now time.Time) []Message {
	if now.Sub(s.lastTick) > pauseGap {
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
		out = s.probe(now, out)
	}
	out = s.relay(now, out)
	for _, name := range slices.Sorted(maps.Keys(s.checks)) {
		if c, ok := s.checks[name]; ok {
			out = s.advance(now, c, out)
		}
	}
	return s.pushUrgent(now, out)
}

// probe starts the periodic check of one member.
func (s *State) probe(now time.Time, out []Message) []Message {
	if now.After(s.nextRotation) && len(s.partners) > 0 {
		s.nextRotation = now.Add(partnerRotation)
		s.partners = append(s.partners[:0], s.partners[1:]...)
		s.keepPartners()
	}
	s.probes++
	ring := s.view.ring
	switch {
	case len(ring) == 0 || s.lone(now):
		return s.probeAny(now, out)
	case s.probes%2 == 0:
		return s.beginRolling(ring[s.view.next%len(ring)], 1, out)
	case len(s.partners) > 0:
		return s.beginRolling(s.partners[s.random.IntN(len(s.partners))], 1, out)
	}
	return out
}

// probeAny tries any member, whatever is believed of it: an instance without
// live peers looks for the others.
func (s *State) probeAny(now time.Time, out []Message) []Message {
	if now.Sub(s.lastHeard) < loneAfter && s.view.rank >= 0 && len(s.view.centres) > 0 {
		return out // the exchange with other data centres works
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
			return append(out, s.message(m, probeTimeout))
		}
	}
	return out
}

// lone reports whether nobody has been heard for a while.
func (s *State) lone(now time.Time) bool { return now.Sub(s.lastHeard) > loneAfter }

// NeedsPeers reports whether the instance should ask the platform for peers.
func (s *State) NeedsPeers(now time.Time) bool {
	s.refresh()
	return len(s.members) == 0 || s.lone(now)
}

// begin starts a check unless one runs.
func (s *State) begin(name string, out []Message) []Message {
	if _, running := s.checks[name]; running || len(s.checks) >= maxChecks {
		return out
	}
	c := &check{name: name, pending: 1}
	s.checks[name] = c
	a := s.message(s.members[name].Member, probeTimeout)
	a.check = c
	return append(out, a)
}

// verify starts a check of a suspicion.
func (s *State) verify(now time.Time, name string) {
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

// advance moves a check on.
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
			out = s.attempt(c, r.Member, out)
		}
	case stageIndirect:
		if c.pending == 0 {
			if len(s.view.remote[r.DataCentre]) > smallCentre {
				delete(s.checks, c.name)
				return out
			}
			s.suspect(now, c, r.Member)
			out = s.round(now, c, r.Member, out)
		}
	case stageSuspect:
		if now.Sub(c.started) >= s.window(r.Member) && c.failures >= evidence {
			s.declareDead(now, c, r.Member)
			return out
		}
		if !now.Before(c.nextRound) {
			out = s.round(now, c, r.Member, out)
		}
	}
	return out
}

func (s *State) window(m Member) time.Duration {
	if m.DataCentre != s.self.DataCentre {
		return remoteWindow
	}
	return suspectWindow
}

// round is an attempt to reach a suspect.
func (s *State) round(now time.Time, c *check, target Member, out []Message) []Message {
	n := len(out)
	out = s.attempt(c, target, out)
	c.nextRound = now.Add(roundPeriod)
	if len(out) == n+1 {
		c.nextRound = now.Add(aloneRoundPeriod)
	}
	return out
}

// attempt probes directly and through helpers.
func (s *State) attempt(c *check, target Member, out []Message) []Message {
	a := s.message(target, probeTimeout)
	a.check = c
	out = append(out, a)
	c.pending++
	for _, h := range s.helpersFor(target) {
		a := s.message(h, indirectTimeout)
		a.Target, a.check = target.Name, c
		a.Updates = append(a.Updates, target)
		out = append(out, a)
		c.pending++
	}
	return out
}

func (s *State) suspect(now time.Time, c *check, m Member) {
	c.stage = stageSuspect
	c.restart(now)
	if m.Status == Alive {
		m.Status = Suspect
		s.set(now, m, "probe")
	}
}

func (s *State) declareDead(now time.Time, c *check, m Member) {
	urgent := s.urgent
	m.Status = Dead
	s.set(now, m, "probe")
	if s.lastHeard.Before(c.started) {
		// Nobody answered since: the claim says more about this instance than
		// about the member, so it is not spread.
		s.news.remove(m.Name)
		s.members[m.Name].private = true
		s.urgent = urgent
	}
}

// HandleResult takes the outcome of an action. reached tells whether To answered, ok
// what it answered.
func (s *State) HandleResult(now time.Time, a Message, reached, ok bool, updates []Member) {
	if reached {
		s.merge(now, updates, a.To.Name)
		s.heard(now, a.To.Name)
		s.contact(now, a.To.DataCentre)
	} else {
		s.retry(a)
	}
	success := reached && ok
	if success && a.Target != "" {
		s.heard(now, a.Target)
	}
	c := a.check
	if c == nil || s.checks[c.name] != c {
		return
	}
	c.pending--
	// A helper that does not answer proves nothing about the target.
	if !success && (a.Target == "" || reached) {
		c.failures++
	}
}
