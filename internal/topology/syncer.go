package topology

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/revision"
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
	// firstListDelay is how long a process that starts waits for a listing from
	// another instance. Instances that start together answer each other after some
	// 30 ms.
	firstListDelay = 200 * time.Millisecond
	// maxRelayedAge is how long ago a listing of another instance may have been
	// current. An instance that lists the store itself is up to minListInterval and
	// a renewal of the records behind.
	maxRelayedAge = 1500 * time.Millisecond
	// expireInterval is the interval between two checks for registrations to remove.
	expireInterval = 250 * time.Millisecond
)

// ErrInvalidConfiguration means that the stored configuration can't be used.
var ErrInvalidConfiguration = errors.New("invalid configuration")

// Source returns the registrations and the configuration, each with the store's
// revision at that time. Registrations and organisations that can't be decoded are
// reported in damaged and left out of the result. Configuration fails with ErrInvalidConfiguration if the
// store answers and its configuration can't be used.
type Source interface {
	Databases(ctx context.Context) (all []Database, at revision.Revision, damaged []error, err error)
	Configuration(ctx context.Context) (c Configuration, at revision.Revision, damaged []error, err error)
}

// Syncer keeps a Topology up to date. It lists the registrations and the
// configuration whenever the store's revision has moved, or takes over the listings
// of another instance. The revision comes with the responses that confirm the
// primaries, so no other requests are sent while nothing changes, and changes are
// not lost if a watch connection hangs.
type Syncer struct {
	Topology *Topology
	Source   Source
	Now      func() time.Duration // includes time spent suspended
	Log      zerolog.Logger
	// OnListing, if set, is called when a new listing is in use. It must not call
	// the syncer.
	OnListing func()

	mu        sync.Mutex
	listing   *Listing      // nil before the first one
	currentAt time.Duration // time of the latest request that showed that the listing was current
	stability stability     // of the registrations
	needed    bool          // the store must be listed
	relayed   bool          // another instance provides the listings
	ignoring  bool          // an older listing was ignored since the one in use

	changed        chan struct{}
	reportedDamage map[string]bool // errors that were logged already; only Run uses it
}

// NewSyncer returns a syncer. Call Run to start it.
func NewSyncer(t *Topology, source Source, now func() time.Duration, log zerolog.Logger) *Syncer {
	return &Syncer{
		Topology: t, Source: source, Now: now, Log: log, changed: make(chan struct{}, 1), reportedDamage: make(map[string]bool),
	}
}

// Run updates the topology until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.expireLoop(ctx)
	s.awaitRelay(ctx)
	wait := retryMin
	for s.awaitNeed(ctx) {
		began := s.Now()
		err := s.list(ctx)
		if err == nil {
			wait = retryMin
			sleep(ctx, began+minListInterval-s.Now())
			continue
		}
		s.Topology.StoreUnavailable(s.Now())
		s.Log.Warn().Err(err).Uint64("version", s.Topology.Snapshot().Version).Msg("The store does not answer; the last known state stays in use.")
		sleep(ctx, wait/2+rand.N(wait)) // jitter, so that instances do not retry together after an outage
		wait = min(2*wait, retryMax)
	}
	return ctx.Err()
}

// awaitRelay waits until another instance has provided the first listing, or it is
// known that the store must be listed, for firstListDelay at most.
func (s *Syncer) awaitRelay(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstListDelay)
	defer cancel()
	select {
	case <-s.changed:
		s.signal()
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.listing == nil {
			s.requestList()
		}
	}
}

// awaitNeed waits until the store must be listed. It reports false if ctx ends
// first.
func (s *Syncer) awaitNeed(ctx context.Context) bool {
	for {
		s.mu.Lock()
		needed := s.needed
		s.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if needed {
			return true
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
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

// list reads the configuration and the registrations into the topology.
func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := s.Now()
	c, configured, damaged, err := s.Source.Configuration(ctx)
	if errors.Is(err, ErrInvalidConfiguration) {
		damaged = []error{err} // the one in force stays, and the databases are listed all the same
		c, err = Configuration{}, nil
	}
	if err != nil {
		return err
	}
	s.reportDamaged(damaged)
	s.applyConfiguration(c)
	all, at, damaged, err := s.Source.Databases(ctx)
	if err != nil {
		return err
	}
	s.reportDamaged(damaged)
	// A store that was restored from an older copy may have forgotten what the
	// instances that get this listing must not.
	c, all = s.inForce(c), s.Topology.MarkLeaving(all)
	content, err := contentOf(c, all)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listing != nil && at.Before(s.listing.DatabasesRevision) {
		s.needed = false // another instance has provided a newer listing meanwhile
		s.reportIgnored(at)
		return nil
	}
	s.apply(&Listing{Configuration: c, Databases: all, ConfigurationRevision: configured, DatabasesRevision: at, Content: content}, asked)
	return nil
}

// reportChanges logs each registration that differs from the one in a former snapshot.
func (s *Syncer) reportChanges(before *Snapshot, at revision.Revision) {
	now := s.Now()
	for _, databases := range s.Topology.Snapshot().Databases {
		for _, d := range databases {
			old, known := before.Find(d.Service, d.ID)
			old.leavingSince, old.knownSince = d.leavingSince, d.knownSince
			if known && old == d {
				continue
			}
			e := s.Log.Info().Str("database", d.ID).Str("service", d.Service).Str("address", d.Address).Bool("leaving", d.Leaving)
			if d.Leaving && d.leavingSince != leavingSinceUnknown {
				e = e.Dur("leaving_at_most_ms", d.LeavingFor(now))
			}
			e.Bool("primary", d.Primary).Int64("born_ms", d.StartMillis).Stringer("revision", at).Msg("A registration changed.")
		}
	}
}

// maxReportedDamage bounds the remembered errors.
const maxReportedDamage = 256

// reportDamaged logs each registration, organisation or configuration that can't be decoded, once
// per error text.
func (s *Syncer) reportDamaged(damaged []error) {
	for _, err := range damaged {
		if text := err.Error(); !s.reportedDamage[text] {
			if len(s.reportedDamage) >= maxReportedDamage {
				clear(s.reportedDamage) // another writer may change its entry again and again
			}
			s.reportedDamage[text] = true
			s.Log.Warn().Err(err).Msg("An entry of the store can't be decoded and is ignored.")
		}
	}
}

// inForce returns the configuration in force if that is newer than c.
func (s *Syncer) inForce(c Configuration) Configuration {
	if snap := s.Topology.Snapshot(); snap.Version > c.Version {
		return snap.Configuration
	}
	return c
}

// applyConfiguration puts a configuration in force if it is newer than the current one.
func (s *Syncer) applyConfiguration(c Configuration) {
	if c.Version == 0 || !s.Topology.Apply(c) {
		return
	}
	e := s.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services))
	if c.Organisations != nil {
		e = e.Int("organisations", len(c.Organisations))
	}
	e.Msg("A new configuration is in force.")
	s.reportFindings(c)
}

// maxReportedFindings bounds the lines about organisations of one configuration.
const maxReportedFindings = 20

// reportFindings logs what is probably not intended about the organisations.
func (s *Syncer) reportFindings(c Configuration) {
	findings := organisation.Check(c.Organisations)
	for _, f := range findings[:min(len(findings), maxReportedFindings)] {
		e := s.Log.Warn().Uint64("version", c.Version).Str("organisation", f.Organisation)
		if f.Other != "" {
			e = e.Str("other_organisation", f.Other)
		}
		e.Str("reason", f.Text).Msg("The configuration has an organisation that may not be intended so.")
	}
	if rest := len(findings) - maxReportedFindings; rest > 0 {
		s.Log.Warn().Uint64("version", c.Version).Int("count", rest).Msg("The configuration has further organisations that may not be intended so.")
	}
}
