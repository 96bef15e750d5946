// Package membership finds out which instances are live, suspected, leaving or
// dead, and tells the directory.
//
// Each instance probes one other of its data centre per period, directly and
// then through helpers. A member that does not answer is suspected; it may
// refute the suspicion with a higher incarnation until the suspicion window
// ends. Updates travel with the probes. Two relays per data centre exchange
// with the other data centres. The platform's lagging list is the seed.
//
// Invariants: what membership says is a hint. The work and traffic of an
// instance do not grow with the fleet, except with the number of changes.
package membership

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// Config configures a Membership. Events, Clock, Observe, OnLeaving and OnDead
// may be nil.
type Config struct {
	Directory  *directory.Directory
	Clients    *wire.Clients
	Platform   platform.API
	Events     events.Recorder
	Log        zerolog.Logger
	Clock      clock.Clock
	RandomSeed uint64
	// ObserveDigest receives the configuration digest of each peer that is heard;
	// it is confsync.Syncer.ObserveDigest and must not block.
	ObserveDigest func(peer ownership.Instance, digest, version uint64)
	// OnLeaving is called when the platform's list begins to mark this
	// instance as leaving.
	OnLeaving func()
	// OnDead is called with the address of an instance that was declared dead,
	// after the directory was updated. It must not block.
	OnDead func(address string)
}

// tickInterval bounds the delay of decisions that depend on time only.
const tickInterval = 50 * time.Millisecond

// Membership runs a State: it sends messages, answers peers and feeds the
// directory.
type Membership struct {
	cfg          Config
	log          zerolog.Logger
	clock        clock.Clock
	vars         *expvar.Map
	wake         chan struct{}
	pendingSends sync.WaitGroup

	mu               sync.Mutex
	state            *State
	publishedVersion uint64
	stopped          bool
}

// New returns a Membership that does nothing until Run.
func New(cfg Config) *Membership {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	now := cfg.Clock.Now()
	return &Membership{
		cfg:   cfg,
		log:   cfg.Log,
		clock: cfg.Clock,
		vars:  new(expvar.Map).Init(),
		wake:  make(chan struct{}, 1),
		state: NewState(cfg.Directory.Self(), uint64(now.UnixMilli()), cfg.RandomSeed, now),
	}
}

// Run takes part in the protocol until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { m.runTicks(ctx); return nil })
	g.Go(func() error { m.runInstanceList(ctx); return nil })
	g.Go(func() error { m.runHints(ctx); return nil })
	err := g.Wait()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.pendingSends.Wait()
	return err
}

// Vars returns the counters: messages sent, failed and received, and changes
// of status.
func (m *Membership) Vars() expvar.Var { return m.vars }

// Members returns all known instances for status reports, sorted by name.
func (m *Membership) Members() []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return toWire(m.state.Members())
}

func (m *Membership) runTicks(ctx context.Context) {
	for {
		m.mu.Lock()
		actions := m.state.Tick(m.clock.Now())
		m.mu.Unlock()
		m.publish()
		for _, a := range actions {
			m.sendAsync(ctx, a)
		}
		select {
		case <-m.clock.After(tickInterval):
		case <-m.wake:
		case <-ctx.Done():
			return
		}
	}
}

// sendAsync sends an action in the background.
func (m *Membership) sendAsync(ctx context.Context, a Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.pendingSends.Go(func() { m.send(ctx, a) })
}

// send sends one action and takes its result. It returns whether the receiver
// answered and what.
func (m *Membership) send(ctx context.Context, a Message) (reached, ok bool) {
	digest, version := m.cfg.Directory.Digest()
	call, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	m.vars.Add("sent", 1)
	resp, err := m.cfg.Clients.Peer(a.To.Address).Gossip(call, &wire.GossipRequest{
		From: m.cfg.Directory.Self().Name, Updates: toWire(a.Updates), Hints: hintsToWire(a.Hints),
		RelayTarget: a.Target, CatalogDigest: digest, CatalogVersion: version,
	})
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		m.vars.Add("failed", 1)
	}
	reached, ok = err == nil, resp.GetOk()
	m.mu.Lock()
	m.state.HandleResult(m.clock.Now(), a, reached, ok, fromWire(resp.GetUpdates()))
	m.mu.Unlock()
	m.publish()
	if reached {
		m.applyHints(hintsFromWire(resp.GetHints()))
		m.observe(a.To.Instance(), resp.GetCatalogDigest(), resp.GetCatalogVersion())
	}
	m.wakeUp()
	return reached, ok
}

func (m *Membership) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Membership) observe(peer ownership.Instance, digest, version uint64) {
	if m.cfg.ObserveDigest != nil {
		m.cfg.ObserveDigest(peer, digest, version)
	}
}

// Gossip implements the method of wire.Peer.
func (m *Membership) Gossip(ctx context.Context, req *wire.GossipRequest) (*wire.GossipResponse, error) {
	m.vars.Add("received", 1)
	m.mu.Lock()
	reply := m.state.HandleMessage(m.clock.Now(), req.GetFrom(), fromWire(req.GetUpdates()))
	sender, known := m.state.Member(req.GetFrom())
	m.mu.Unlock()
	m.publish()
	m.applyHints(hintsFromWire(req.GetHints()))
	if known {
		m.observe(sender.Instance(), req.GetCatalogDigest(), req.GetCatalogVersion())
	}
	m.wakeUp()

	ok := true
	if target := req.GetRelayTarget(); target != "" {
		ok = m.probeOnBehalf(ctx, target, &reply)
	}
	digest, version := m.cfg.Directory.Digest()
	return &wire.GossipResponse{
		Ok: ok, Updates: toWire(reply.Updates), Hints: hintsToWire(reply.Hints),
		CatalogDigest: digest, CatalogVersion: version,
	}, nil
}

// probeOnBehalf probes target on behalf of a peer and adds what is believed of it
// to the reply, such as its refutation of a suspicion.
func (m *Membership) probeOnBehalf(ctx context.Context, target string, reply *Reply) bool {
	m.mu.Lock()
	a, known := m.state.IndirectProbe(target)
	m.mu.Unlock()
	if !known {
		return false
	}
	reached, _ := m.send(ctx, a)
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.state.Member(target); ok {
		reply.Updates = append(reply.Updates, t)
	}
	return reached
}

// Leave announces to peers that this instance is leaving, and returns when
// they answered or ctx ended.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	actions := m.state.Leave(m.clock.Now())
	m.mu.Unlock()
	m.publish()
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() { m.send(ctx, a) })
	}
	wg.Wait()
}

// publish gives changes to the directory, the events and the log.
func (m *Membership) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if live, version := m.state.Live(); version != m.publishedVersion {
		m.publishedVersion = version
		m.cfg.Directory.SetLive(live, m.state.Self().Status == Leaving)
	}
	for _, e := range m.state.TakeEvents() {
		m.vars.Add(e.Status.String(), 1)
		m.recordEvent(e)
	}
}

// addressInUse reports whether a live instance has the address, for example one that
// replaced the dead one under another name.
func (m *Membership) addressInUse(address string) bool {
	live, _ := m.state.Live()
	return slices.ContainsFunc(live, func(in ownership.Instance) bool { return in.Address == address })
}

func (m *Membership) recordEvent(e Event) {
	m.log.Debug().Str("member", e.Name).Stringer("status", e.Status).Str("source", e.Source).Msg("Member changed.")
	if e.Status == Suspect || (e.Known && e.Previous == Suspect && e.Status == Alive) {
		return
	}
	if e.Status == Dead && !m.addressInUse(e.Address) {
		m.cfg.Clients.Forget(e.Address)
		if m.cfg.OnDead != nil {
			m.cfg.OnDead(e.Address)
		}
	}
	if m.cfg.Events != nil {
		m.cfg.Events.Record(events.Event{
			Kind: events.KindMembership,
			Text: "instance " + e.Name + " of " + e.DataCentre + " is " + e.Status.String() + ", learned from " + e.Source,
		})
	}
}
