// Package confsync distributes configuration objects from the platform to all
// instances.
//
// Two relays per data centre watch the platform and push changes to the
// instances of their data centre down a tree. Digests that travel with gossip
// show what a push missed, and a fetch from the peer repairs it.
//
// Invariants: the version of an object on an instance never decreases. The
// number of platform calls depends on the number of relays, not of instances,
// except for the calls at the start of an instance. An instance that cannot
// reach the platform keeps what it holds and learns from its peers.
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
	cfg      Config
	self     ownership.Instance
	log      zerolog.Logger
	clock    clock.Clock
	vars     *expvar.Map
	pushes   pond.Pool
	observed chan peerDigest
	loaded   chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	relay    int // rank among the data centre's relays, -1 if none
	isLoaded bool
	rejected map[string]struct{} // errors that were reported
}

// New returns a Syncer that does nothing until Run.
func New(cfg Config) *Syncer {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	return &Syncer{
		cfg:      cfg,
		self:     cfg.Directory.Self(),
		log:      cfg.Log,
		clock:    cfg.Clock,
		vars:     new(expvar.Map).Init(),
		pushes:   pond.NewPool(pushWorkers, pond.WithQueueSize(pushQueue), pond.WithNonBlocking(true)),
		observed: make(chan peerDigest, 1),
		loaded:   make(chan struct{}),
		random:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		relay:    -1,
		rejected: make(map[string]struct{}),
	}
}

// Kinds are the kinds of objects that are distributed.
var Kinds = []string{platform.KindService, platform.KindClass, platform.KindGroup}

// Run distributes until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.pushes.StopAndWait()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.start(ctx); return nil })
	g.Go(func() error {
		// A relay must not push the whole configuration that it loads at its
		// start, so it begins after that.
		select {
		case <-s.loaded:
			s.runRelay(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	g.Go(func() error { s.runRepair(ctx); return nil })
	return g.Wait()
}

// Loaded is closed once the platform or a peer has given the configuration.
func (s *Syncer) Loaded() <-chan struct{} { return s.loaded }

// Vars returns the counters: objects applied and rejected, pushes sent and
// failed, fetches sent.
func (s *Syncer) Vars() expvar.Var { return s.vars }

func (s *Syncer) setLoaded() {
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
	return s.relay >= 0
}

func (s *Syncer) shuffle(in []ownership.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
}

// take applies objects from the platform or a peer. A relay passes on what was
// new to it.
func (s *Syncer) take(ctx context.Context, objects []platform.Object, source string) []platform.Object {
	applied := s.apply(objects, source)
	if s.isRelay() && len(applied) > 0 {
		s.pushDown(ctx, applied)
	}
	return applied
}

// maxObjectEvents bounds the events of one batch, so that a first load does
// not flush the ring buffer.
const maxObjectEvents = 16

func (s *Syncer) apply(objects []platform.Object, source string) []platform.Object {
	applied, err := s.cfg.Directory.Apply(objects)
	if err != nil {
		s.reportRejected(err, source)
	}
	s.vars.Add("applied", int64(len(applied)))
	for i, o := range applied {
		if i == maxObjectEvents {
			s.log.Info().Int("objects", len(applied)).Str("source", source).Msg("Configuration applied.")
			break
		}
		s.log.Debug().Str("kind", o.Kind).Str("name", o.Name).Uint64("version", o.Version).
			Str("source", source).Msg("Object applied.")
		s.record(appliedEvent(o, source))
	}
	return applied
}

func appliedEvent(o platform.Object, source string) events.Event {
	e := events.Event{Text: "applied " + describe(o) + " from " + source}
	switch o.Kind {
	case platform.KindGroup:
		e.Group = o.Name
	case platform.KindClass:
		e.Class = o.Name
	}
	return e
}

func (s *Syncer) record(e events.Event) {
	if s.cfg.Events != nil {
		e.Kind = events.KindConfiguration
		s.cfg.Events.Record(e)
	}
}

// local returns the live instances of the own data centre without self.
func (s *Syncer) local() []ownership.Instance {
	var out []ownership.Instance
	for _, in := range s.cfg.Directory.Live() {
		if in.DataCentre == s.self.DataCentre && in.Name != s.self.Name {
			out = append(out, in)
		}
	}
	return out
}
