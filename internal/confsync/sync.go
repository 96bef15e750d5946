// Package confsync distributes configuration objects from the platform to all
// instances.
//
// Two relays per data centre watch the platform and push changes to the
// instances of their data centre along a tree. Digests sent with gossip reveal
// objects that a push missed; the instance then fetches them from the peer.
//
// Invariants: the version of an object on an instance never decreases. The
// number of platform calls depends on the number of relays, not of instances,
// except for the calls at the start of an instance. An instance that cannot
// reach the platform keeps its objects and receives changes from its peers.
package confsync

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// Config configures a Syncer. Events and Clock may be nil.
type Config struct {
	Directory *directory.Directory
	Clients   *wire.Clients
	Platform  platform.API
	Events    events.Recorder
	Log       zerolog.Logger
	Clock     clock.Clock
	Seed      uint64
}

// Syncer keeps the configuration in the directory up to date.
type Syncer struct {
	cfg     Config
	self    ownership.Instance
	log     zerolog.Logger
	clock   clock.Clock
	vars    *expvar.Map
	pushes  pond.Pool
	digests chan peerDigest
	loaded  chan struct{}

	mu                 sync.Mutex
	rng                *rand.Rand
	relayRank          int // rank among the data centre's relays, -1 if not a relay
	isLoaded           bool
	reportedRejections map[string]struct{} // texts of the reported errors
}

// New returns a Syncer. Run starts it.
func New(cfg Config) *Syncer {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	return &Syncer{
		cfg:                cfg,
		self:               cfg.Directory.Self(),
		log:                cfg.Log,
		clock:              cfg.Clock,
		vars:               new(expvar.Map).Init(),
		pushes:             pond.NewPool(pushWorkers, pond.WithQueueSize(pushQueueSize), pond.WithNonBlocking(true)),
		digests:            make(chan peerDigest, 1),
		loaded:             make(chan struct{}),
		rng:                rand.New(rand.NewPCG(cfg.Seed, 1)),
		relayRank:          -1,
		reportedRejections: make(map[string]struct{}),
	}
}

// Kinds lists the kinds of objects that are distributed.
var Kinds = []string{platform.KindService, platform.KindClass, platform.KindGroup}

// Run distributes objects until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.pushes.StopAndWait()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.load(ctx); return nil })
	g.Go(func() error {
		// The relay starts after the configuration is loaded, so that it does not
		// push the whole configuration to the data centre.
		select {
		case <-s.loaded:
			s.runRelay(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(func() error { s.runRepairs(ctx); return nil })
	return g.Wait()
}

// Loaded returns a channel that is closed once the configuration has been loaded
// from the platform or a peer.
func (s *Syncer) Loaded() <-chan struct{} { return s.loaded }

// Vars returns the counters: objects applied and rejected, pushes sent, failed and
// dropped, fetches sent, failed watches.
func (s *Syncer) Vars() expvar.Var { return s.vars }

func (s *Syncer) markLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLoaded {
		s.isLoaded = true
		close(s.loaded)
	}
}

func (s *Syncer) isRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayRank >= 0
}

func (s *Syncer) shuffle(in []ownership.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
}

// applyAndPush applies objects from the platform or a peer. A relay pushes those
// that were new to the instances of its data centre.
func (s *Syncer) applyAndPush(ctx context.Context, objects []platform.Object, source string) []platform.Object {
	applied := s.apply(objects, source)
	if s.isRelay() && len(applied) > 0 {
		s.pushToLocalPeers(ctx, applied)
	}
	return applied
}

// maxEventsPerBatch limits the events of one batch, so that the first load does not
// displace all other events in the ring buffer.
const maxEventsPerBatch = 16

func (s *Syncer) apply(objects []platform.Object, source string) []platform.Object {
	applied, err := s.cfg.Directory.Apply(objects)
	if err != nil {
		s.reportRejected(err, source)
	}
	s.vars.Add("applied", int64(len(applied)))
	for i, o := range applied {
		if i == maxEventsPerBatch {
			s.log.Info().Int("objects", len(applied)).Str("source", source).Msg("Configuration applied.")
			break
		}
		s.log.Debug().Str("kind", o.Kind).Str("name", o.Name).Uint64("version", o.Version).
			Str("source", source).Msg("Object applied.")
		s.recordEvent(appliedEvent(o, source))
	}
	return applied
}

func appliedEvent(o platform.Object, source string) events.Event {
	e := events.Event{Text: "applied " + describeObject(o) + " from " + source}
	switch o.Kind {
	case platform.KindGroup:
		e.Group = o.Name
	case platform.KindClass:
		e.Class = o.Name
	}
	return e
}

func (s *Syncer) recordEvent(e events.Event) {
	if s.cfg.Events != nil {
		e.Kind = events.KindConfiguration
		s.cfg.Events.Record(e)
	}
}

// localPeers returns the other live instances of this data centre.
func (s *Syncer) localPeers() []ownership.Instance {
	var out []ownership.Instance
	for _, in := range s.cfg.Directory.Live() {
		if in.DataCentre == s.self.DataCentre && in.Name != s.self.Name {
			out = append(out, in)
		}
	}
	return out
}
