package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumbeam/internal/ownership"
)

// Timing of the protocol.
const (
	// ProbeInterval is the time between two probes of an instance. Every second
	// one goes to the ring successor, so that each instance is probed at
	// least every 2 periods; the others go to a random partner.
	ProbeInterval = 400 * time.Millisecond
	// directTimeout and indirectTimeout bound the direct and the relayed probe
	// in a data centre, remoteFactor times as much is allowed between them.
	directTimeout       = 150 * time.Millisecond
	indirectTimeout     = 250 * time.Millisecond
	remoteTimeoutFactor = 2
	// suspicionTimeout is the least time between suspicion and death. With the
	// wait for a probe and the two timeouts it stays below 2 s.
	suspicionTimeout = 600 * time.Millisecond
	// remoteSuspicionTimeout is suspectWindow for members of other data centres, whose
	// links lose more.
	remoteSuspicionTimeout = 1200 * time.Millisecond
	// attemptInterval is the time between two attempts to reach a suspect. Without
	// helpers, evidence takes more attempts.
	attemptInterval           = 100 * time.Millisecond
	directOnlyAttemptInterval = 60 * time.Millisecond
	// exchangeInterval is the time between two exchanges of a relay with other data
	// centres.
	exchangeInterval = 500 * time.Millisecond
	// unresolvedSuspicionAge is when a suspicion of others that nobody settled is
	// checked here.
	unresolvedSuspicionAge = 3 * time.Second
	// suspendThreshold is a time between two ticks that shows that this instance was
	// paused; failures from before it prove nothing.
	suspendThreshold = time.Second
	// noContactTimeout is the time without an answer after which an instance asks the
	// platform for peers.
	noContactTimeout = 3 * time.Second
	// linkStaleAfter is the time without contact after which data centres exchange
	// their members in full.
	linkStaleAfter = 5 * time.Second
	// deadProbeInterval is how often a relay tries a dead member, to find the
	// other side after a partition.
	deadProbeInterval = 2 * time.Second
	// removeAfter is when a dead or leaving member is forgotten. It exceeds
	// the lag of the platform's list.
	removeAfter = 10 * time.Minute
)

// Limits on state and messages.
const (
	// minFailedAttempts is the number of failed attempts that a death needs. Without
	// helpers, with 30 % of probes lost, a false death has probability
	// 0.3^14, below 1e-7, per suspicion.
	minFailedAttempts = 14
	indirectProbers   = 2
	maxChecks         = 64
	maxUpdates        = 8
	maxUpdateBytes    = 480
	maxPush           = 32
	maxPushBytes      = 1920
	maxHints          = 4
	maxHintBytes      = 160
	maxQueuedUpdates  = 4096
	maxQueuedHints    = 256
	maxPartners       = 16
	// maxRemotelyChecked is the number of instances up to which other data centres
	// find the deaths of a data centre. The instances of a larger one find
	// them by themselves; a partition must not make hundreds look dead that
	// would have to refute it one by one afterwards.
	maxRemotelyChecked = 4
	pushFanout         = 3
	pushRounds         = 2 // one round of width 3 leaves out 6 % of the peers
	pushInterval       = 50 * time.Millisecond
	// partnerRotationInterval is how often one partner is replaced.
	partnerRotationInterval = 30 * time.Second
)

type memberRecord struct {
	Member
	lastHeard   time.Time  // last proof of life
	statusSince time.Time  // last change of status
	listed      listStatus // what the platform's list said last
	localOnly   bool       // a death that is not passed on
}

// State is the pure part of membership: it takes messages, results and the
// time, and returns messages to send. It is not safe for concurrent use.
//
// Invariants: an instance declares a peer dead only after failed attempts of
// its own during the whole suspicion window, and a member's incarnation never
// decreases.
type State struct {
	self      Member
	random    *rand.Rand
	members   map[string]*memberRecord // without self
	checks    map[string]*check
	priority  *queue[Member] // deaths and departures, sent before the rest
	updates   *queue[Member]
	hints     *queue[Hint]
	lastHints map[string]Hint  // last hint passed on, by group
	links     map[string]*link // by other data centre

	lastTick, nextProbe, nextExchange, nextDeadProbe time.Time
	nextPush, nextRotation, lastHeard                time.Time

	probeCount    int // sent, alternates ring and random
	exchangeCount int // exchanges, rotates data centres
	repairCursor  int // cursor for records sent in passing
	pendingPushes int // rounds of pushes that are due
	events        []Event
	viewOutdated  bool
	version       uint64
	view          view
	partners      []string
	listed        listStatus // what the platform's list said last of this instance
}

// view is derived from the members.
type view struct {
	live        []ownership.Instance            // with self unless leaving
	ring        []string                        // other members of the own data centre that serve, in hash order
	successor   int                             // index of the ring successor
	remote      map[string][]ownership.Instance // serving members by other data centre
	remoteNames []string                        // other data centres, sorted
	names       []string                        // all members, sorted
	relayRank   int                             // rank among the own relays, -1 if none
}

// Event is a change of status that is worth recording.
type Event struct {
	Member
	Previous Status
	Known    bool // the member was known before
	Source   string
}

// NewState returns the state of an instance that knows only itself.
func NewState(self ownership.Instance, incarnation, seed uint64, now time.Time) *State {
	s := &State{
		self: Member{
			Name: self.Name, Address: self.Address, DataCentre: self.DataCentre, Incarnation: incarnation,
		},
		random:       rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))),
		members:      make(map[string]*memberRecord),
		checks:       make(map[string]*check),
		priority:     newQueue[Member](maxQueuedUpdates),
		updates:      newQueue[Member](maxQueuedUpdates),
		hints:        newQueue[Hint](maxQueuedHints),
		lastHints:    make(map[string]Hint),
		links:        make(map[string]*link),
		viewOutdated: true,
	}
	s.lastTick, s.lastHeard = now, now
	s.nextProbe = now.Add(time.Duration(s.random.Int64N(int64(ProbeInterval))))
	s.nextExchange = now.Add(time.Duration(s.random.Int64N(int64(exchangeInterval))))
	s.nextRotation = now.Add(partnerRotationInterval)
	s.enqueue(s.self)
	return s
}

// Self returns the claim about this instance.
func (s *State) Self() Member { return s.self }

// Live returns the instances that serve, sorted by name, and a number that
// changes with it. The caller must not modify the slice.
func (s *State) Live() ([]ownership.Instance, uint64) {
	s.refresh()
	return s.view.live, s.version
}

// Members returns all known members and self, sorted by name.
func (s *State) Members() []Member {
	return s.membersWhere(func(*memberRecord) bool { return true })
}

func (s *State) membersWhere(want func(*memberRecord) bool) []Member {
	out := []Member{s.self}
	for _, r := range s.members {
		if want(r) {
			out = append(out, r.Member)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

// Member returns what is known of a member.
func (s *State) Member(name string) (Member, bool) {
	if name == s.self.Name {
		return s.self, true
	}
	r, ok := s.members[name]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// TakeEvents returns the changes since the last call.
func (s *State) TakeEvents() []Event {
	out := s.events
	s.events = nil
	return out
}

// refresh derives the view after changes.
func (s *State) refresh() {
	if !s.viewOutdated {
		return
	}
	s.viewOutdated = false
	s.version++
	v := view{remote: make(map[string][]ownership.Instance), relayRank: -1}
	var local []ownership.Instance
	if s.self.serves() {
		v.live = append(v.live, s.self.Instance())
		local = append(local, s.self.Instance())
	}
	for _, r := range s.members {
		v.names = append(v.names, r.Name)
		if !r.serves() {
			continue
		}
		in := r.Instance()
		v.live = append(v.live, in)
		if r.DataCentre == s.self.DataCentre {
			v.ring = append(v.ring, r.Name)
			local = append(local, in)
		} else {
			v.remote[r.DataCentre] = append(v.remote[r.DataCentre], in)
		}
	}
	instanceOrder := func(a, b ownership.Instance) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(v.live, instanceOrder)
	slices.Sort(v.names)
	slices.SortFunc(v.ring, ringOrder)
	v.successor, _ = slices.BinarySearchFunc(v.ring, s.self.Name, ringOrder)
	for dc, list := range v.remote {
		slices.SortFunc(list, instanceOrder)
		v.remoteNames = append(v.remoteNames, dc)
	}
	slices.Sort(v.remoteNames)
	v.relayRank = slices.IndexFunc(ownership.Order(relayKey(s.self.DataCentre), local),
		func(in ownership.Instance) bool { return in.Name == s.self.Name })
	if v.relayRank >= RelaysPerDataCentre {
		v.relayRank = -1
	}
	s.view = v
	s.refreshPartners()
}

// ringOrder does not follow the names: neighbours by name tend to share a rack.
func ringOrder(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// refreshPartners drops partners that do not serve and fills up from the ring.
func (s *State) refreshPartners() {
	s.partners = slices.DeleteFunc(s.partners, func(n string) bool {
		r, ok := s.members[n]
		return !ok || !r.serves() || r.DataCentre != s.self.DataCentre
	})
	want := min(maxPartners, len(s.view.ring))
	for tries := 0; len(s.partners) < want && tries < 8*maxPartners; tries++ {
		if n := s.view.ring[s.random.IntN(len(s.view.ring))]; !slices.Contains(s.partners, n) {
			s.partners = append(s.partners, n)
		}
	}
}
