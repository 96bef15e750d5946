package topology

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

const (
	// watchWait is how long a watch waits for a change. A connection that went
	// silent is noticed after this time and watchSlack, well within the time
	// in which a leaving database or a new configuration must be known.
	watchWait  = 3 * time.Second
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds a list.
	listTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call, before jitter.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// expirePeriod is the pause between two looks for lapsed registrations.
	expirePeriod = 250 * time.Millisecond
)

// Change is a change of one registration.
type Change struct {
	Database Database
	Removed  bool
}

// Source tells what is registered and configured. Damaged registrations are
// returned beside the others.
type Source interface {
	Servers(ctx context.Context) (all []Database, at uint64, damaged []error, err error)
	WatchServers(ctx context.Context, after uint64, wait time.Duration) (changes []Change, at uint64, damaged []error, err error)
	Configuration(ctx context.Context) (Configuration, uint64, error)
	WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (Configuration, uint64, error)
}

// Follower keeps a Topology up to date.
type Follower struct {
	Topology *Topology
	Source   Source
	Now      func() time.Duration // counts suspension
	Log      zerolog.Logger
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.loop(ctx, "registrations", f.followServers)
	go f.loop(ctx, "configuration", f.followConfiguration)
	t := time.NewTicker(expirePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, id := range f.Topology.Expire(f.Now()) {
				f.Log.Info().Str("database", id).Dur("missing_ms", GoneAfter).Msg("A registration lapsed; the database is gone.")
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// loop runs follow again whenever it fails. The state is kept meanwhile.
func (f *Follower) loop(ctx context.Context, what string, follow func(context.Context, func()) error) {
	wait := retryMin
	lost := false
	answered := func() {
		wait = retryMin
		if lost {
			f.Log.Info().Str("what", what).Msg("The store answers again.")
		}
		lost = false
	}
	for {
		err := follow(ctx, answered)
		if ctx.Err() != nil {
			return
		}
		f.Topology.StoreAway(f.Now())
		if !lost {
			f.Log.Warn().Str("what", what).Err(err).Uint64("version", f.Topology.Snapshot().Version).Msg("The store does not answer; the last known state stays in use.")
		}
		lost = true
		t := time.NewTimer(wait/2 + rand.N(wait)) // spreads the instances after an outage
		wait = min(2*wait, retryMax)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

func (f *Follower) followServers(ctx context.Context, answered func()) error {
	lctx, cancel := context.WithTimeout(ctx, listTimeout)
	all, at, damaged, err := f.Source.Servers(lctx)
	cancel()
	if err != nil {
		return err
	}
	answered()
	f.reportDamaged(damaged)
	f.Topology.Replace(all, f.Now())
	f.Log.Info().Int("databases", len(all)).Uint64("revision", at).Msg("Listed the registrations.")
	for {
		wctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		changes, next, damaged, err := f.Source.WatchServers(wctx, at, watchWait)
		cancel()
		if err != nil {
			return err
		}
		at = next
		f.reportDamaged(damaged)
		for _, c := range changes {
			f.applyChange(c, at)
		}
	}
}

func (f *Follower) applyChange(c Change, at uint64) {
	if c.Removed {
		f.Topology.Unregister(c.Database.ID, f.Now())
		f.Log.Info().Str("database", c.Database.ID).Uint64("revision", at).Msg("A registration was removed.")
		return
	}
	f.Topology.Register(c.Database, f.Now())
	f.Log.Info().Str("database", c.Database.ID).Str("service", c.Database.Service).Str("address", c.Database.Address).
		Bool("leaving", c.Database.Leaving).Bool("primary", c.Database.Primary).Int64("born_ms", c.Database.Born).
		Uint64("revision", at).Msg("A registration changed.")
}

func (f *Follower) reportDamaged(damaged []error) {
	for _, err := range damaged {
		f.Log.Warn().Err(err).Msg("A registration is damaged and is not used.")
	}
}

func (f *Follower) followConfiguration(ctx context.Context, answered func()) error {
	lctx, cancel := context.WithTimeout(ctx, listTimeout)
	c, at, err := f.Source.Configuration(lctx)
	cancel()
	if err != nil {
		return err
	}
	answered()
	f.applyConfiguration(c)
	for {
		wctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		c, at, err = f.Source.WatchConfiguration(wctx, at, watchWait)
		cancel()
		if err != nil {
			return err
		}
		f.applyConfiguration(c)
	}
}

func (f *Follower) applyConfiguration(c Configuration) {
	if c.Version != 0 && f.Topology.Apply(c) {
		f.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("A configuration is in force.")
	}
}
