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
	// ProbeInterval is the time between two probes that an instance sends. Every
	// second probe goes to the successor on the hash ring, so that each instance
	// is probed at least once every two intervals; the others go to a random
	// partner.
	ProbeInterval = 400 * time.Millisecond
	// directTimeout and indirectTimeout bound direct and indirect probes within
	// a data centre. Between data centres the timeouts are remoteTimeoutFactor
	// times longer.
	directTimeout       = 150 * time.Millisecond
	indirectTimeout     = 250 * time.Millisecond
	remoteTimeoutFactor = 2
	// suspicionTimeout is the minimum time between suspecting a member and
	// declaring it dead. Together with the wait for a probe and the two probe
	// timeouts, a death is detected within 2 s.
	suspicionTimeout = 600 * time.Millisecond
	// remoteSuspicionTimeout is the suspicionTimeout for members of other data
	// centres; the links to them lose more packets.
	remoteSuspicionTimeout = 1200 * time.Millisecond
	// attemptInterval is the time between two attempts to reach a suspect.
	// Without indirect probes an attempt yields at most one failure, so
	// minFailedAttempts takes more attempts: they follow each other faster.
	attemptInterval           = 100 * time.Millisecond
	directOnlyAttemptInterval = 60 * time.Millisecond
	// exchangeInterval is the time between two exchanges of a relay with other
	// data centres.
	exchangeInterval = 500 * time.Millisecond
	// unresolvedSuspicionAge is the age at which this instance checks a member
	// whose suspicion by a peer was neither confirmed nor refuted.
	unresolvedSuspicionAge = 3 * time.Second
	// suspendThreshold is the time between two ticks above which this process is
	// taken to have been suspended. Failed attempts from before the gap are
	// discarded: they may be failures of this process.
	suspendThreshold = time.Second
	// noContactTimeout is the time without a message from any peer after which
	// an instance asks the platform for peers.
	noContactTimeout = 3 * time.Second
	// linkStaleAfter is the time without contact after which two data centres
	// exchange their members in full.
	linkStaleAfter = 5 * time.Second
	// deadProbeInterval is how often a relay probes a dead member, which lets the
	// two sides of a healed partition find each other.
	deadProbeInterval = 2 * time.Second
	// removeAfter is the time after which a dead or leaving member is removed. It
	// exceeds the lag of the platform's instance list; otherwise the list would
	// bring the member back.
	removeAfter = 10 * time.Minute
)

// Limits on state and messages.
const (
	// minFailedAttempts is the number of failed attempts before a member is
	// declared dead. With direct probes only and 30 % packet loss, a suspicion
	// ends in a false death with probability 0.3^14, below 1e-7.
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
	// maxRemotelyChecked is the number of instances up to which a data centre's
	// deaths are detected by other data centres too. Larger data centres detect
	// their deaths themselves: otherwise a partition would mark hundreds of
	// instances dead, each of which has to refute that afterwards.
	maxRemotelyChecked      = 4
	pushFanout              = 3
	pushRounds              = 2 // one round with a fanout of 3 misses 6 % of the peers
	pushInterval            = 50 * time.Millisecond
	partnerRotationInterval = 30 * time.Second
)

type memberRecord struct {
	Member
	lastHeard   time.Time  // last time the member was known to be alive
	statusSince time.Time  // last change of status
	listed      listStatus // in the latest instance list of the platform
	localOnly   bool       // a death that is not sent to peers
}

// State is the protocol's state machine. It does no I/O: it takes messages,
// outcomes of messages and the time, and returns messages to send. It is not
// safe for concurrent use.
//
// Invariants: an instance declares a peer dead only after its own failed
// attempts during the whole suspicion timeout, and a member's incarnation
// never decreases.
type State struct {
	self      Member
	random    *rand.Rand
	members   map[string]*memberRecord // without self
	checks    map[string]*check
	priority  *queue[Member] // deaths and departures, sent before updates
	updates   *queue[Member]
	hints     *queue[Hint]
	lastHints map[string]Hint  // last hint queued, by group
	links     map[string]*link // to other data centres, by name

	lastTick, nextProbe, nextExchange, nextDeadProbe time.Time
	nextPush, nextRotation, lastHeard                time.Time

	probeCount    int // alternates between ring successor and random partner
	exchangeCount int // selects the next data centre in rotation
	repairCursor  int // index in view.names of the last repair record sent
	pendingPushes int // rounds of pushes still to send
	events        []Event
	viewOutdated  bool
	version       uint64
	view          view
	partners      []string
	listed        listStatus // this instance in the latest instance list
}

// view holds what is derived from the members.
type view struct {
	live        []ownership.Instance            // including self unless leaving
	ring        []string                        // other serving members of the own data centre, in hash order
	successor   int                             // index in ring of the successor
	remote      map[string][]ownership.Instance // serving members of other data centres, by data centre
	remoteNames []string                        // other data centres, sorted
	names       []string                        // all members except self, sorted
	relayRank   int                             // rank among the relays of the own data centre, -1 if not a relay
}

// Event is a change of a member's status.
type Event struct {
	Member
	Previous Status
	Known    bool   // the member was known before
	Source   string // who reported it: a peer's name, "probe" or "platform"
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

// Live returns the serving instances, sorted by name, and a version that
// increases with each change. The caller must not modify the slice.
func (s *State) Live() ([]ownership.Instance, uint64) {
	s.refresh()
	return s.view.live, s.version
}

// Members returns all known members including self, sorted by name.
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

// Member returns the current claim about a member.
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

// refresh recomputes the view if members have changed.
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

// ringOrder orders names by hash. In name order, neighbours would tend to share
// a rack and fail together.
func ringOrder(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// refreshPartners replaces partners that no longer serve with random members of
// the ring.
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
