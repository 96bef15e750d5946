package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet simulates instances with the real Share and Allocator, a store with the
// coordinator's record and a network that delays and loses messages.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	step      time.Duration
	instances []*simInstance
	messages  []*simMessage
	store     simStore
	window    Window
	orgs      []*simOrg

	loss       float64       // probability that a message is lost
	minDelay   time.Duration // of a message
	maxDelay   time.Duration
	returns    float64       // probability that an operation returns its permit
	maxArrival time.Duration // from the charge to the arrival at a database
	storeDown  bool
	pending    []simReturn

	fault                    string // the mechanism that is off
	violation                string // the first one that an audit found
	requests                 int    // that reached a coordinator
	waits, admitted, refused int
}

// simStore holds the record and the registrations.
type simStore struct {
	era    uint64
	record simRecord
	regs   map[int]int // incarnation by instance
	copies []simCopy   // for restores
}

type simCopy struct {
	record simRecord
	regs   map[int]int
}

type simRecord struct {
	token       uint64
	era         uint64
	instance    int
	incarnation int
	unsettled   bool
}

type simLimit struct {
	at          time.Duration
	rate, burst float64
}

type simOrg struct {
	name   string
	limits []simLimit
	runs   []time.Duration
	stored float64 // upper bound of the permits that exist unused
}

type simReturn struct {
	at       time.Duration
	instance *simInstance
	share    *Share
	org      *simOrg
}

type simInstance struct {
	id, incarnation int
	share           *Share
	alloc           *Allocator
	recordSeen      simRecord
	confirmedAt     time.Duration
	seenAt          time.Duration // when recordSeen was first seen
	registeredEra   uint64
	eraSeenAt       time.Duration
	pausedUntil     time.Duration
	side            int  // instances of other sides are out of reach
	noStore         bool // the store does not answer this instance
	configLag       time.Duration
	renewAt         time.Duration
	lastAnswer      time.Duration // time of the first request without an answer
	answered        bool          // all requests were answered
	outstanding     uint64
	sentAt          time.Duration
	waiting         []simWait
	stoppingSeen    uint64
}

type simWait struct {
	org   *simOrg
	since time.Duration
}

type simMessage struct {
	at       time.Duration
	to, from int
	inc      int // incarnation of the receiver of a reply
	request  *Request
	reply    *Reply
}

// Mechanisms that a scenario can switch off.
const (
	faultBudget    = "budget of a new coordinator"
	faultSilence   = "wait for the predecessor"
	faultBooks     = "account of replies under way"
	faultFullStart = "empty start"
)

const (
	simTimeout = 1 * time.Second
	simWaiting = 150 * time.Millisecond
	simSettled = 20 * time.Second
)

func newFleet(seed uint64, n int, w Window, orgs ...*simOrg) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, step: 5 * time.Millisecond, window: w, orgs: orgs,
		minDelay: time.Millisecond, maxDelay: 6 * time.Millisecond, maxArrival: ArrivalTime - ReturnTime, store: simStore{era: 1, regs: make(map[int]int)},
	}
	for i := range n {
		in := &simInstance{id: i}
		f.instances = append(f.instances, in)
		f.start(in)
	}
	for _, o := range orgs {
		o.limits[0].at = 0
	}
	return f
}

func (f *fleet) start(in *simInstance) {
	in.incarnation++
	in.share = NewShare(fmt.Sprint(in.id), fmt.Sprint(in.id, "#", in.incarnation))
	in.alloc, in.recordSeen, in.confirmedAt, in.outstanding = nil, simRecord{}, 0, 0
	in.waiting, in.pausedUntil, in.seenAt = nil, 0, f.now
	in.registeredEra = 0
	in.renewAt = f.now + time.Duration(f.rng.IntN(100))*time.Millisecond
	in.answered = true
	in.configLag = 0
}

// limitAt returns the limit of an organisation that was set at a time.
func (o *simOrg) limitAt(t time.Duration) simLimit {
	l := o.limits[0]
	for _, x := range o.limits {
		if x.at <= t {
			l = x
		}
	}
	return l
}

func (f *fleet) limitOf(in *simInstance) func(string) (Limit, bool) {
	return func(name string) (Limit, bool) {
		for _, o := range f.orgs {
			if o.name == name {
				return f.limit(in, o), true
			}
		}
		return Limit{}, false
	}
}

func (f *fleet) limit(in *simInstance, o *simOrg) Limit {
	l := o.limitAt(f.now - in.configLag)
	return f.window.Limit(l.rate, l.burst)
}

func (f *fleet) delay() time.Duration {
	return f.minDelay + time.Duration(f.rng.Int64N(int64(f.maxDelay-f.minDelay)+1))
}

func (f *fleet) send(m *simMessage) {
	if f.rng.Float64() < f.loss {
		return
	}
	m.at = f.now + f.delay()
	f.messages = append(f.messages, m)
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += f.step
		f.deliver()
		for _, in := range f.instances {
			if f.now >= in.pausedUntil {
				f.tick(in)
			}
		}
		f.giveBack()
		for _, o := range f.orgs {
			limit := f.highest(o)
			o.stored = min(limit.Storage, o.stored+limit.Rate*f.step.Seconds())
			if f.violation == "" {
				f.violation = f.audit(o)
			}
		}
	}
}

func (f *fleet) deliver() {
	var rest []*simMessage
	due := f.messages
	f.messages = nil
	for _, m := range due {
		to := f.instances[m.to]
		switch {
		case m.at > f.now || f.now < to.pausedUntil:
			rest = append(rest, m)
		case to.side != f.instances[m.from].side:
		case m.request != nil:
			f.serve(to, m)
		case m.inc == to.incarnation:
			f.receive(to, m)
		}
	}
	f.messages = append(f.messages, rest...)
}

func (f *fleet) serve(in *simInstance, m *simMessage) {
	f.requests++
	if in.alloc == nil {
		return
	}
	from := m.from
	reply := in.alloc.Exchange(*m.request, f.now, f.limitOf(in))
	if f.fault == faultBooks {
		in.alloc.forget(*m.request, reply)
	}
	f.send(&simMessage{to: from, from: in.id, inc: f.instances[from].incarnation, reply: &reply})
}

func (f *fleet) receive(in *simInstance, m *simMessage) {
	if m.reply.Token > in.share.Token() {
		in.observe(m.reply.Token)
	}
	if m.reply.Stopping && m.reply.Token == in.share.Token() {
		in.stoppingSeen = m.reply.Token
	}
	if f.fault == faultFullStart {
		defer in.fillNewShares(in.caps())
	}
	if in.share.Apply(*m.reply, f.now, f.limitOf(in)) {
		in.answered, in.outstanding = true, 0
		f.retryWaiting(in)
	}
}

// caps returns the caps of the shares of an instance.
func (in *simInstance) caps() map[string]float64 {
	caps := make(map[string]float64)
	for i := range in.share.shards {
		for name, a := range in.share.shards[i].accounts {
			caps[name] = a.cap
		}
	}
	return caps
}

// fillNewShares fills the shares that had a smaller cap before.
func (in *simInstance) fillNewShares(before map[string]float64) {
	for i := range in.share.shards {
		for name, a := range in.share.shards[i].accounts {
			if a.cap > before[name] {
				a.level += (a.cap - before[name]) * a.limit.Storage
			}
		}
	}
}

// forget lets the allocator count on the arrival of its reply.
func (a *Allocator) forget(r Request, reply Reply) {
	for _, g := range reply.Grants {
		l := a.ledgers[g.Organisation]
		l.set(l.holdings[r.Instance], g.Rate, g.Cap, float64(g.Permits))
	}
}

// observe notes a token, in the allocator first: a request under a token proves that the
// process grants nothing under an earlier one.
func (in *simInstance) observe(token uint64) {
	if in.alloc != nil && in.alloc.ObserveToken(token) {
		in.alloc = nil
	}
	in.share.ObserveToken(token)
}

func (f *fleet) tick(in *simInstance) {
	if f.now >= in.renewAt {
		f.renew(in)
	}
	if in.outstanding != 0 && f.now-in.sentAt > simTimeout {
		in.share.Fail(in.outstanding)
		in.outstanding = 0
		f.retryWaiting(in)
	}
	if in.outstanding == 0 {
		f.request(in)
	}
	f.expireWaiting(in)
}

// renew lets an instance see the record, and take it over if it may.
func (f *fleet) renew(in *simInstance) {
	in.renewAt = f.now + 300*time.Millisecond + time.Duration(f.rng.IntN(200))*time.Millisecond
	if f.storeDown || in.noStore {
		return
	}
	if in.registeredEra != f.store.era {
		if in.registeredEra != 0 {
			in.eraSeenAt = f.now
		}
		in.registeredEra = f.store.era
		f.store.regs[in.id] = in.incarnation
	}
	r := f.store.record
	if r.token > in.recordSeen.token || r.era > in.recordSeen.era {
		in.recordSeen, in.seenAt, in.answered = r, f.now, true
	}
	if r.token != 0 && r.era == f.store.era {
		if r.token > in.share.Token() {
			in.observe(r.token)
		}
		if in.alloc != nil && in.alloc.Token() == r.token && r.incarnation == in.incarnation && r.instance == in.id {
			in.alloc.Confirm(f.now)
		}
	}
	if in.alloc != nil && in.alloc.NeedsList(f.now) {
		var names []string
		for id := range f.store.regs {
			names = append(names, fmt.Sprint(id))
		}
		in.alloc.SetRegistered(names, f.now, f.now)
	}
	gone := r.token != 0 && f.store.regs[r.instance] != r.incarnation
	silent := !in.answered && f.now-in.lastAnswer > time.Second+time.Duration(min(in.id, 6))*500*time.Millisecond
	if r.token == 0 || r.era != f.store.era || gone || in.stoppingSeen == r.token || (silent && r.instance != in.id) {
		f.takeOver(in)
	}
}

// restore replaces the store with an older copy.
func (f *fleet) restore() {
	f.store.era++
	f.store.record, f.store.regs = simRecord{}, make(map[int]int)
	if n := len(f.store.copies); n > 0 {
		c := f.store.copies[f.rng.IntN(n)]
		f.store.record, f.store.regs = c.record, maps.Clone(c.regs)
	}
}

func (f *fleet) takeOver(in *simInstance) {
	r := f.store.record
	if in.registeredEra != f.store.era || f.storeDown || in.noStore || in.share.Token() > r.token && in.share.Token()>>20 >= f.store.era {
		return
	}
	incomplete := r.era != f.store.era && (f.store.era > 1 || r.token != 0) || (r.unsettled && f.now-in.eraSeenAt < simSettled)
	token := max(r.token, in.share.Token(), f.store.era<<20) + 1
	predecessor := ""
	if r.token != 0 {
		predecessor = fmt.Sprint(r.instance)
	}
	f.store.copies = append(f.store.copies, simCopy{r, maps.Clone(f.store.regs)})
	f.store.record = simRecord{token: token, era: f.store.era, instance: in.id, incarnation: in.incarnation, unsettled: incomplete}
	in.recordSeen, in.seenAt, in.answered = f.store.record, f.now, true
	in.observe(token)
	in.share.LimitValidity(f.now + ConfirmValidity)
	in.alloc = NewAllocator(AllocatorConfig{
		Instance: fmt.Sprint(in.id), Token: token, Asked: f.now, Started: f.now, Predecessor: predecessor, Incomplete: incomplete,
	})
	switch f.fault {
	case faultBudget:
		in.alloc.phase, in.alloc.phaseAt = open, f.now
	case faultSilence:
		in.alloc.phase, in.alloc.phaseAt = partial, f.now
	}
}

func (f *fleet) request(in *simInstance) {
	target := in.recordSeen
	if at, ok := in.share.Next(len(f.instances)); !ok || f.now < at || target.token == 0 || in.registeredEra != target.era || target.token < in.share.Token() {
		return
	}
	r, ok := in.share.Request(f.now, f.limitOf(in))
	if !ok {
		return
	}
	if in.answered {
		in.lastAnswer, in.answered = f.now, false
	}
	in.outstanding, in.sentAt = r.Seq, f.now
	if target.instance == in.id {
		f.requests++
		if in.alloc != nil {
			reply := in.alloc.Exchange(r, f.now, f.limitOf(in))
			f.receive(in, &simMessage{reply: &reply})
		}
		return
	}
	f.send(&simMessage{to: target.instance, from: in.id, request: &r})
}

// operate sends an operation to an instance.
func (f *fleet) operate(in *simInstance, o *simOrg) Outcome {
	if f.now < in.pausedUntil {
		return Refused
	}
	d := in.share.Take(o.name, f.limit(in, o), f.now)
	switch d.Outcome {
	case Admitted:
		f.admit(in, o)
	case Waiting:
		f.waits++
		in.waiting = append(in.waiting, simWait{o, f.now})
	default:
		f.refused++
	}
	return d.Outcome
}

func (f *fleet) admit(in *simInstance, o *simOrg) {
	f.admitted++
	if o.stored--; o.stored < -1e-3 && f.returns == 0 && f.violation == "" {
		f.violation = fmt.Sprintf("organisation %s at %v: more permits used than were created", o.name, f.now)
	}
	if f.rng.Float64() < f.returns {
		f.pending = append(f.pending, simReturn{f.now + time.Duration(f.rng.Int64N(int64(ReturnTime))), in, in.share, o})
		return
	}
	o.runs = append(o.runs, f.now+f.arrival())
}

// arrival returns the time from the charge of an operation to its arrival at a database.
// All that are charged within maxArrival before the end of a period arrive at its end,
// and all others at once. So a window sees the most operations.
func (f *fleet) arrival() time.Duration {
	period := f.window.Length + f.maxArrival
	if left := period - f.now%period; left <= f.maxArrival {
		return left
	}
	return 0
}

func (f *fleet) giveBack() {
	f.pending = slices.DeleteFunc(f.pending, func(r simReturn) bool {
		if r.at > f.now {
			return false
		}
		r.share.Return(r.org.name, f.limit(r.instance, r.org), f.now)
		return true
	})
}

func (f *fleet) retryWaiting(in *simInstance) {
	in.waiting = slices.DeleteFunc(in.waiting, func(w simWait) bool {
		d := in.share.Retake(w.org.name, f.limit(in, w.org), f.now)
		switch d.Outcome {
		case Admitted:
			f.admit(in, w.org)
		case Refused:
			f.refused++
		}
		return d.Outcome != Waiting
	})
}

func (f *fleet) expireWaiting(in *simInstance) {
	in.waiting = slices.DeleteFunc(in.waiting, func(w simWait) bool {
		if f.now-w.since < simWaiting {
			return false
		}
		in.share.Cancel(w.org.name, f.now)
		f.refused++
		return true
	})
}
