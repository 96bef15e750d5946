package topology

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// listTimeout bounds a list.
	listTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the back-off after a failed call, before jitter.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// minListInterval is the minimum time between the starts of two lists. The
	// store's revision moves with each write of any instance, but leaving databases
	// and new configurations need only be known within 3 s.
	minListInterval = 1 * time.Second
	// expireInterval is the interval between two checks for registrations to remove.
	expireInterval = 250 * time.Millisecond
)

// Source returns the registrations and the configuration, each with the store's
// revision at that time. Registrations that can't be decoded are reported in
// damaged and left out of all.
type Source interface {
	Databases(ctx context.Context) (all []Database, at uint64, damaged []error, err error)
	Configuration(ctx context.Context) (Configuration, uint64, error)
}

// Syncer keeps a Topology up to date. It lists the registrations and the
// configuration whenever the store's revision has moved. The revision comes with
// the responses that confirm the primaries, so no other requests are sent while
// nothing changes, and changes are not lost if a watch connection hangs.
type Syncer struct {
	Topology *Topology
	Source   Source
	Now      func() time.Duration // includes time spent suspended
	Log      zerolog.Logger

	latestRevision atomic.Uint64 // newest known revision of the store
	changed        chan struct{}
	reportedDamage map[string]bool // errors that were logged already
}

// NewSyncer returns a syncer. Call Run to start it.
func NewSyncer(t *Topology, source Source, now func() time.Duration, log zerolog.Logger) *Syncer {
	return &Syncer{
		Topology: t, Source: source, Now: now, Log: log, changed: make(chan struct{}, 1), reportedDamage: make(map[string]bool),
	}
}

// ObserveRevision records a revision that the store returned. A newer one than
// before triggers a list.
func (s *Syncer) ObserveRevision(at uint64) {
	if at <= s.latestRevision.Load() {
		return
	}
	s.latestRevision.Store(at)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run updates the topology until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.expireLoop(ctx)
	var known uint64
	wait := retryMin
	for ctx.Err() == nil {
		began := s.Now()
		at, err := s.list(ctx)
		if err == nil {
			known = at
			wait = retryMin
			s.awaitRevision(ctx, known, began+minListInterval)
			continue
		}
		s.Topology.StoreUnavailable(s.Now())
		s.Log.Warn().Err(err).Uint64("version", s.Topology.Snapshot().Version).Uint64("revision", known).
			Msg("The store does not answer; the last known state stays in use.")
		t := time.NewTimer(wait/2 + rand.N(wait)) // jitter, so that instances do not retry together after an outage
		wait = min(2*wait, retryMax)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

// awaitRevision waits until the store's revision is newer than the known one and
// the clock has reached earliest.
func (s *Syncer) awaitRevision(ctx context.Context, known uint64, earliest time.Duration) {
	for s.latestRevision.Load() <= known {
		select {
		case <-s.changed:
		case <-ctx.Done():
			return
		}
	}
	t := time.NewTimer(earliest - s.Now())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Syncer) expireLoop(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, id := range s.Topology.Expire(s.Now()) {
				s.Log.Info().Str("database", id).Dur("missing_ms", RemovalDelay).Msg("A database was removed because its registration is missing.")
			}
		case <-ctx.Done():
			return
		}
	}
}

// list reads the configuration and the registrations into the topology and
// returns the revision up to which they are complete. If the configuration can't
// be read, nothing changes.
func (s *Syncer) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c, configured, err := s.Source.Configuration(ctx)
	if err != nil {
		return 0, err
	}
	s.applyConfiguration(c)
	all, at, damaged, err := s.Source.Databases(ctx)
	if err != nil {
		return 0, err
	}
	s.reportDamaged(damaged)
	s.reportChanges(all, at)
	s.Topology.Replace(all, s.Now())
	return min(at, configured), nil
}

// reportChanges logs each registration that differs from the known one.
func (s *Syncer) reportChanges(all []Database, at uint64) {
	snap := s.Topology.Snapshot()
	for _, d := range all {
		old, known := snap.Find(d.Service, d.ID)
		old.leavingSince, old.knownSince = 0, 0
		if known && old == d {
			continue
		}
		s.Log.Info().Str("database", d.ID).Str("service", d.Service).Str("address", d.Address).Bool("leaving", d.Leaving).
			Bool("primary", d.Primary).Int64("born_ms", d.StartMillis).Uint64("revision", at).Msg("A registration changed.")
	}
}

// reportDamaged logs each registration that can't be decoded, once per error
// text.
func (s *Syncer) reportDamaged(damaged []error) {
	for _, err := range damaged {
		if text := err.Error(); !s.reportedDamage[text] {
			s.reportedDamage[text] = true
			s.Log.Warn().Err(err).Msg("A registration can't be decoded and is ignored.")
		}
	}
}

func (s *Syncer) applyConfiguration(c Configuration) {
	if c.Version != 0 && s.Topology.Apply(c) {
		s.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("A new configuration is in force.")
	}
}
