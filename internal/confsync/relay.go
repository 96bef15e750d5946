package confsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"geraniumbeam/internal/ownership"
)

// RelaysPerDataCentre is the number of relays per data centre.
const RelaysPerDataCentre = 2

// Timing of platform calls. The maximum retry delay spreads the calls of all
// relays after an outage.
const (
	longPollTimeout = 25 * time.Second
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// relayKey is the rendezvous key of a data centre's relays.
func relayKey(dataCentre string) string { return "confsync/" + dataCentre }

// RelayRank returns the rank of self among the relays of its data centre, or -1 if
// it is not a relay.
func RelayRank(self ownership.Instance, live []ownership.Instance) int {
	var local []ownership.Instance
	for _, in := range live {
		if in.DataCentre == self.DataCentre {
			local = append(local, in)
		}
	}
	rank := slices.IndexFunc(ownership.Order(relayKey(self.DataCentre), local),
		func(in ownership.Instance) bool { return in.Name == self.Name })
	if rank >= RelaysPerDataCentre {
		return -1
	}
	return rank
}

// runRelay watches the platform as long as this instance is a relay.
func (s *Syncer) runRelay(ctx context.Context) {
	var stop func()
	defer func() {
		if stop != nil {
			stop()
		}
	}()
	for {
		changed := s.cfg.Directory.Changed()
		rank := RelayRank(s.self, s.cfg.Directory.Live())
		s.mu.Lock()
		previous := s.relayRank
		s.relayRank = rank
		s.mu.Unlock()
		if previous != rank {
			s.log.Info().Int("rank", rank).Msg("Relay rank changed.")
		}
		switch {
		case rank >= 0 && stop == nil:
			stop = s.startWatches(ctx)
		case rank < 0 && stop != nil:
			stop()
			stop = nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// startWatches starts a watch per kind. The returned function stops the watches
// and waits for their end.
func (s *Syncer) startWatches(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, kind := range Kinds {
		wg.Go(func() { s.watchKind(ctx, kind) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// watchKind applies and pushes the changes of a kind. It starts at version 0,
// because holding the highest version does not imply having received all lower
// ones.
func (s *Syncer) watchKind(ctx context.Context, kind string) {
	retry := newBackoff()
	var after uint64
	wait := longPollTimeout
	for ctx.Err() == nil {
		began := s.clock.Now()
		objects, version, err := s.cfg.Platform.Watch(ctx, kind, after, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.vars.Add("watch_failed", 1)
			s.log.Debug().Err(err).Str("kind", kind).Msg("Watch failed.")
			s.sleep(ctx, retry.NextBackOff())
			wait = 0 // the platform may have been restored, which only a response shows
			continue
		}
		wait = longPollTimeout
		s.applyAndPush(ctx, objects, "platform")
		after = max(after, version)
		for _, o := range objects {
			after = max(after, o.Version)
		}
		if len(objects) == 0 && s.clock.Now().Sub(began) < minRetryDelay {
			// Do not call a platform that returns at once in a tight loop.
			s.sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	b.Reset()
	return b
}

func (s *Syncer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-ctx.Done():
	}
}
