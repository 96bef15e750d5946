// Package membership determines which instances are alive, suspected, leaving or
// dead, and updates the directory. It implements a gossip protocol of the SWIM
// family.
//
// Each instance probes one other member of its data centre per interval,
// directly and, if that fails, through other members. A member that does not
// answer is suspected; it can refute the suspicion with a higher incarnation
// until the suspicion times out. Updates are piggybacked on the probes. Two
// relays per data centre exchange updates with the other data centres. The
// platform's instance list, which may lag behind, provides the first peers.
//
// Invariants: membership is a hint. Work and traffic per instance do not depend
// on the number of instances, only on the number of changes.
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

// Config configures a Membership. Events, Clock, ObserveDigest, OnLeaving and OnDead
// may be nil.
type Config struct {
	Directory  *directory.Directory
	Clients    *wire.Clients
	Platform   platform.API
	Events     events.Recorder
	Log        zerolog.Logger
	Clock      clock.Clock
	RandomSeed uint64
	// ObserveDigest is called with the configuration digest of each peer that
	// sends or answers a message; it must not block.
	ObserveDigest func(peer ownership.Instance, digest, version uint64)
	// OnLeaving is called when the platform's instance list starts to mark this
	// instance as leaving.
	OnLeaving func()
	// OnDead is called with the address of an instance that was declared dead,
	// after the directory was updated. It must not block.
	OnDead func(address string)
}

// tickInterval limits the delay of decisions that depend on time only.
const tickInterval = 50 * time.Millisecond

// Membership runs a State: it sends messages, answers peers and updates the
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

// Run participates in the protocol until ctx ends.
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
		messages := m.state.Tick(m.clock.Now())
		m.mu.Unlock()
		m.publish()
		for _, msg := range messages {
			m.sendAsync(ctx, msg)
		}
		select {
		case <-m.clock.After(tickInterval):
		case <-m.wake:
		case <-ctx.Done():
			return
		}
	}
}

// sendAsync sends a message in the background unless Run has ended.
func (m *Membership) sendAsync(ctx context.Context, msg Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.pendingSends.Go(func() { m.send(ctx, msg) })
}

// send sends one message and processes its outcome. It returns whether the
// receiver answered and its answer.
func (m *Membership) send(ctx context.Context, msg Message) (reached, ok bool) {
	digest, version := m.cfg.Directory.Digest()
	call, cancel := context.WithTimeout(ctx, msg.Timeout)
	defer cancel()
	m.vars.Add("sent", 1)
	resp, err := m.cfg.Clients.Peer(msg.To.Address).Gossip(call, &wire.GossipRequest{
		From: m.cfg.Directory.Self().Name, Updates: toWire(msg.Updates), Hints: hintsToWire(msg.Hints),
		RelayTarget: msg.Target, CatalogDigest: digest, CatalogVersion: version,
	})
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		m.vars.Add("failed", 1)
	}
	reached, ok = err == nil, resp.GetOk()
	m.mu.Lock()
	m.state.HandleResult(m.clock.Now(), msg, reached, ok, fromWire(resp.GetUpdates()))
	m.mu.Unlock()
	m.publish()
	if reached {
		m.applyHints(hintsFromWire(resp.GetHints()))
		m.observe(msg.To.Instance(), resp.GetCatalogDigest(), resp.GetCatalogVersion())
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

// Gossip implements wire.Peer.
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

// probeOnBehalf probes target on behalf of a peer and adds the current claim about
// target to the reply, for example target's refutation of a suspicion.
func (m *Membership) probeOnBehalf(ctx context.Context, target string, reply *Reply) bool {
	m.mu.Lock()
	msg, known := m.state.IndirectProbe(target)
	m.mu.Unlock()
	if !known {
		return false
	}
	reached, _ := m.send(ctx, msg)
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.state.Member(target); ok {
		reply.Updates = append(reply.Updates, t)
	}
	return reached
}

// Leave announces to peers that this instance is leaving, and returns when they
// have answered or ctx has ended.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	messages := m.state.Leave(m.clock.Now())
	m.mu.Unlock()
	m.publish()
	var wg sync.WaitGroup
	for _, msg := range messages {
		wg.Go(func() { m.send(ctx, msg) })
	}
	wg.Wait()
}

// publish passes changes to the directory, the event recorder and the log.
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

// addressInUse reports whether a live instance has the address, for example one
// that replaced a dead instance under another name.
func (m *Membership) addressInUse(address string) bool {
	live, _ := m.state.Live()
	return slices.ContainsFunc(live, func(in ownership.Instance) bool { return in.Address == address })
}

func (m *Membership) recordEvent(e Event) {
	m.log.Debug().Str("member", e.Name).Stringer("status", e.Status).Str("source", e.Source).Msg("Member status changed.")
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
