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
	// retryMin and retryMax bound the pause after a failed call, before jitter.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// minListInterval is the least time between two lists. The store's revision moves
	// with each write of any instance; leaving databases and configurations
	// must be known within 3 s.
	minListInterval = 1 * time.Second
	// expireInterval is the pause between two looks for lapsed registrations.
	expireInterval = 250 * time.Millisecond
)

// Source tells what is registered and configured, and the store's revision at
// that time. Damaged registrations are returned beside the others.
type Source interface {
	Databases(ctx context.Context) (all []Database, at uint64, damaged []error, err error)
	Configuration(ctx context.Context) (Configuration, uint64, error)
}

// Syncer keeps a Topology up to date. It lists the registrations and the
// configuration whenever the store's revision has moved. The revision comes with
// the questions that confirm the primaries, so nothing else is asked while
// nothing changes, and no change depends on a watch that may have gone silent.
type Syncer struct {
	Topology *Topology
	Source   Source
	Now      func() time.Duration // counts suspension
	Log      zerolog.Logger

	latestRevision atomic.Uint64 // revision of the store, as last seen
	changed        chan struct{}
	reportedDamage map[string]bool // reported already
}

// NewSyncer returns a follower; Run starts it.
func NewSyncer(t *Topology, source Source, now func() time.Duration, log zerolog.Logger) *Syncer {
	return &Syncer{
		Topology: t, Source: source, Now: now, Log: log, changed: make(chan struct{}, 1), reportedDamage: make(map[string]bool),
	}
}

// ObserveRevision notes the store's revision.
func (f *Syncer) ObserveRevision(at uint64) {
	if at <= f.latestRevision.Load() {
		return
	}
	f.latestRevision.Store(at)
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Run follows the source until ctx ends.
func (f *Syncer) Run(ctx context.Context) error {
	go f.expireLoop(ctx)
	var known uint64
	wait := retryMin
	for ctx.Err() == nil {
		began := f.Now()
		at, err := f.list(ctx)
		if err == nil {
			known = at
			wait = retryMin
			f.awaitRevision(ctx, known, began+minListInterval)
			continue
		}
		f.Topology.StoreUnavailable(f.Now())
		f.Log.Warn().Err(err).Uint64("version", f.Topology.Snapshot().Version).Uint64("revision", known).
			Msg("The store does not answer; the last known state stays in use.")
		t := time.NewTimer(wait/2 + rand.N(wait)) // spreads the instances after an outage
		wait = min(2*wait, retryMax)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

// awaitRevision waits until the store's revision is beyond the known one, and at least
// until a moment.
func (f *Syncer) awaitRevision(ctx context.Context, known uint64, earliest time.Duration) {
	for f.latestRevision.Load() <= known {
		select {
		case <-f.changed:
		case <-ctx.Done():
			return
		}
	}
	t := time.NewTimer(earliest - f.Now())
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Syncer) expireLoop(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, id := range f.Topology.Expire(f.Now()) {
				f.Log.Info().Str("database", id).Dur("missing_ms", RemovalDelay).Msg("A registration lapsed; the database is gone.")
			}
		case <-ctx.Done():
			return
		}
	}
}

// list takes over the registrations and the configuration and returns the
// revision up to which they are complete. A configuration that is damaged
// changes nothing.
func (f *Syncer) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c, configured, err := f.Source.Configuration(ctx)
	if err != nil {
		return 0, err
	}
	f.applyConfiguration(c)
	all, at, damaged, err := f.Source.Databases(ctx)
	if err != nil {
		return 0, err
	}
	f.reportDamaged(damaged)
	f.reportChanges(all, at)
	f.Topology.Replace(all, f.Now())
	return min(at, configured), nil
}

// reportChanges writes a line for each registration that differs from the known
// one.
func (f *Syncer) reportChanges(all []Database, at uint64) {
	snap := f.Topology.Snapshot()
	for _, d := range all {
		old, known := snap.Find(d.Service, d.ID)
		old.leavingSince, old.knownSince = 0, 0
		if known && old == d {
			continue
		}
		f.Log.Info().Str("database", d.ID).Str("service", d.Service).Str("address", d.Address).Bool("leaving", d.Leaving).
			Bool("primary", d.Primary).Int64("born_ms", d.StartMillis).Uint64("revision", at).Msg("A registration changed.")
	}
}

// reportDamaged writes one line for each registration that can't be used.
func (f *Syncer) reportDamaged(damaged []error) {
	for _, err := range damaged {
		if text := err.Error(); !f.reportedDamage[text] {
			f.reportedDamage[text] = true
			f.Log.Warn().Err(err).Msg("A registration is damaged and is not used.")
		}
	}
}

func (f *Syncer) applyConfiguration(c Configuration) {
	if c.Version != 0 && f.Topology.Apply(c) {
		f.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("A configuration is in force.")
	}
}
