package quota

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

const (
	// MinInterval is the minimum interval between two requests of an instance.
	MinInterval = 50 * time.Millisecond
	// RegularInterval is the interval between two requests of an instance that holds
	// shares, in fleets of up to fleetRate/2 instances.
	RegularInterval = 500 * time.Millisecond
	// fleetRate bounds the regular requests per second of all instances.
	fleetRate = 800
	// listInterval is the interval at which a request lists each share again. Four
	// requests may be lost before a share expires.
	listInterval = 2 * time.Second
	// minListedDemand is the demand, in operations per second, from which an
	// organisation without a share is listed without an operation that waits.
	minListedDemand = 0.4
	// demandChange is the relative change of a demand that is listed at once.
	demandChange = 0.3

	shardCount = 32
)

// Outcome is the decision on an operation.
type Outcome uint8

// Outcomes.
const (
	Admitted Outcome = iota
	Waiting          // for the reply of the coordinator
	Refused
)

// Decision is the decision on an operation.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // of a refused operation
	// First is set for the first refusal within refusalPeriod.
	First bool
}

// refusalPeriod is the time without a refusal after which the next one is reported as
// the first one again.
const refusalPeriod = 30 * time.Second

// Counts counts the operations of an organisation at an instance.
type Counts struct{ Asked, Admitted, Refused, Waited uint64 }

// Usage describes an organisation at an instance.
type Usage struct {
	Organisation string
	Counts
	Rate, Permits float64
	Demand        float64
	Expires       time.Duration // of the share
}

// Share is the part of all limits that an instance holds. It is safe for concurrent
// use.
type Share struct {
	instance, incarnation string
	seed                  maphash.Seed
	shards                [shardCount]shard

	mu       sync.Mutex
	token    uint64 // the highest one seen
	reported uint64 // the token under which the coordinator knows all that is held
	seq      uint64
	pending  bool // a request is outstanding
	needs    map[string]int
	sentAt   time.Duration
	urgent   bool // an operation waits that no request has listed
	lost     bool // the latest request failed
	newToken bool // no request was sent under token
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
	lost     bool
	refusals map[string]time.Duration // time of the latest refusal
}

// NewShare returns a share that holds nothing.
func NewShare(instance, incarnation string) *Share {
	s := &Share{instance: instance, incarnation: incarnation, seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].accounts = make(map[string]*account)
		s.shards[i].refusals = make(map[string]time.Duration)
	}
	return s
}

func (s *Share) shardOf(organisation string) *shard {
	return &s.shards[maphash.String(s.seed, organisation)%shardCount]
}

// Take decides on a new operation. If the outcome is Waiting, Retake or Cancel must
// follow.
func (s *Share) Take(organisation string, limit Limit, now time.Duration) Decision {
	h := s.shardOf(organisation)
	h.mu.Lock()
	a := h.account(organisation, now)
	a.refresh(now, limit)
	a.arrive(now)
	a.total.Asked++
	if a.take() {
		a.total.Admitted++
		h.mu.Unlock()
		return Decision{}
	}
	if h.lost || now < a.deniedUntil {
		d := h.refuse(organisation, a, now)
		h.mu.Unlock()
		return d
	}
	a.waiting++
	a.total.Waited++
	h.mu.Unlock()
	s.mu.Lock()
	s.urgent = true
	s.mu.Unlock()
	return Decision{Outcome: Waiting}
}

// Retake decides on an operation that waits, after a reply or a failed request.
func (s *Share) Retake(organisation string, limit Limit, now time.Duration) Decision {
	h := s.shardOf(organisation)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(organisation, now)
	a.refresh(now, limit)
	switch {
	case a.take():
		a.waiting = max(0, a.waiting-1)
		a.total.Admitted++
		return Decision{}
	case h.lost || now < a.deniedUntil:
		a.waiting = max(0, a.waiting-1)
		return h.refuse(organisation, a, now)
	}
	return Decision{Outcome: Waiting}
}

// Cancel refuses an operation that waits.
func (s *Share) Cancel(organisation string, now time.Duration) Decision {
	h := s.shardOf(organisation)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(organisation, now)
	a.waiting = max(0, a.waiting-1)
	return h.refuse(organisation, a, now)
}

// refuse counts a refused operation. h.mu is held.
func (h *shard) refuse(organisation string, a *account, now time.Duration) Decision {
	a.refused++
	a.total.Refused++
	latest, known := h.refusals[organisation]
	h.refusals[organisation] = now
	d := Decision{Outcome: Refused, RetryAfter: a.delay(now), First: !known || now-latest > refusalPeriod}
	if h.lost {
		d.RetryAfter = max(d.RetryAfter, lostRetryAfter)
	}
	return d
}

// account returns the account of an organisation. h.mu is held.
func (h *shard) account(organisation string, now time.Duration) *account {
	a := h.accounts[organisation]
	if a == nil {
		a = &account{filledAt: now, lastArrival: now}
		h.accounts[organisation] = a
	}
	return a
}

// Return gives back the permit of an operation that never reached a database.
func (s *Share) Return(organisation string, limit Limit, now time.Duration) {
	h := s.shardOf(organisation)
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.accounts[organisation]; ok {
		a.refresh(now, limit)
		a.giveBack()
	}
}

// ObserveToken notes the token of a coordinator.
func (s *Share) ObserveToken(token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token > s.token {
		s.token, s.newToken = token, true
		s.pending = false // replies under an earlier token are ignored
	}
}

// Token returns the highest token that the instance has seen.
func (s *Share) Token() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token
}

// Next returns when the next request is due, given the number of instances. It reports
// false while a request is outstanding.
func (s *Share) Next(instances int) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	regular := max(RegularInterval, time.Duration(instances)*time.Second/fleetRate)
	switch {
	case s.pending:
		return 0, false
	case s.lost:
		return s.sentAt + min(regular, RegularInterval), true
	case s.urgent || s.newToken:
		return s.sentAt + MinInterval, true
	}
	return s.sentAt + regular, true
}

// Request returns the request that is due, or false if there is nothing to send.
// Organisations for which limitOf reports false have no limit.
func (s *Share) Request(now time.Duration, limitOf func(string) (Limit, bool)) (Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending || s.token == 0 {
		return Request{}, false
	}
	full := s.reported != s.token
	s.urgent = false
	asks := s.collect(now, full, limitOf)
	s.sentAt = now
	if len(asks) == 0 && !full {
		return Request{}, false
	}
	s.seq++
	s.pending, s.newToken = true, false
	s.needs = make(map[string]int, len(asks))
	for _, a := range asks {
		s.needs[a.Organisation] = a.Need
	}
	return Request{Instance: s.instance, Incarnation: s.incarnation, Token: s.token, Seq: s.seq, Full: full, Asks: asks}, true
}

// collect returns what a request must list and forgets idle organisations. s.mu is
// held.
func (s *Share) collect(now time.Duration, full bool, limitOf func(string) (Limit, bool)) []Ask {
	var asks []Ask
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		for name, a := range h.accounts {
			limit, limited := limitOf(name)
			a.refresh(now, limit)
			if !limited || a.isIdle(now) {
				delete(h.accounts, name)
				continue
			}
			if ask, ok := a.ask(name, now, full); ok {
				asks = append(asks, ask)
			}
		}
		for name, at := range h.refusals {
			if now-at > refusalPeriod {
				delete(h.refusals, name)
			}
		}
		h.mu.Unlock()
	}
	return asks
}

// ask returns the entry of the account in a request, or false if none is needed.
func (a *account) ask(name string, now time.Duration, full bool) (Ask, bool) {
	demand := a.demandNow(now)
	since := now - a.listedAt
	needed := a.waiting > 0 || a.refused > 0 || a.changed
	held := a.rate > 0 || a.permits > 0
	if since >= RegularInterval && (held || demand >= minListedDemand) {
		needed = needed || since >= listInterval || math.Abs(demand-a.listedDemand) > demandChange*a.listedDemand
	}
	if !needed && (!full || (!held && demand < minListedDemand)) {
		return Ask{}, false
	}
	ask := Ask{Organisation: name, Rate: a.rate, Cap: a.cap, Permits: a.permits, Demand: demand, Need: a.waiting + min(a.refused, int(demand*denialTime.Seconds()))}
	a.listedAt, a.listedDemand, a.refused, a.changed = now, demand, 0, false
	return ask, true
}

// Apply takes over the reply to the outstanding request. It reports false if the reply
// is to another request or under another token.
func (s *Share) Apply(r Reply, now time.Duration, limitOf func(string) (Limit, bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pending || r.Seq != s.seq || r.Token != s.token {
		return false
	}
	s.pending = false
	s.setLost(false)
	if !r.Granting {
		s.deny(now)
		return true
	}
	s.reported = s.token
	for _, g := range r.Grants {
		need, listed := s.needs[g.Organisation]
		limit, limited := limitOf(g.Organisation)
		if !listed || !limited {
			continue
		}
		h := s.shardOf(g.Organisation)
		h.mu.Lock()
		a := h.account(g.Organisation, now)
		a.refresh(now, limit)
		a.grant(g, s.sentAt, now, r.Validity)
		s.urgent = s.urgent || (g.Permits < need && g.RetryAfter == 0)
		h.mu.Unlock()
	}
	return true
}

// deny refuses the operations that wait, because the coordinator grants nothing yet.
// s.mu is held.
func (s *Share) deny(now time.Duration) {
	for name := range s.needs {
		h := s.shardOf(name)
		h.mu.Lock()
		if a, ok := h.accounts[name]; ok {
			a.deniedUntil, a.retryAfter = now+denialTime, denialTime
		}
		h.mu.Unlock()
	}
}

// Fail notes that the request with the number failed.
func (s *Share) Fail(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending && s.seq == seq {
		s.pending = false
		s.setLost(true)
	}
}

// setLost notes whether the coordinator answers. s.mu is held.
func (s *Share) setLost(lost bool) {
	if s.lost == lost {
		return
	}
	s.lost = lost
	for i := range s.shards {
		s.shards[i].mu.Lock()
		s.shards[i].lost = lost
		s.shards[i].mu.Unlock()
	}
}

// LimitValidity shortens the validity of all shares to until. An instance that becomes
// the coordinator calls it, because a successor does not wait for the shares of its
// predecessor's instance; see Allocator.
func (s *Share) LimitValidity(until time.Duration) {
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		for _, a := range h.accounts {
			a.expires = min(a.expires, until)
			a.permitsExpire = min(a.permitsExpire, until)
		}
		h.mu.Unlock()
	}
}

// Usage returns the state of all organisations with an account.
func (s *Share) Usage(now time.Duration) []Usage {
	var all []Usage
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		for name, a := range h.accounts {
			u := Usage{Organisation: name, Counts: a.total, Demand: a.demandNow(now), Expires: a.expires}
			if now < a.expires {
				u.Rate, u.Permits = a.rate*a.limit.Rate, a.level+a.permits
			}
			all = append(all, u)
		}
		h.mu.Unlock()
	}
	return all
}
