package confsync

import (
	"context"
	"sync"

	"geraniumbeam/internal/ownership"
)

// startPeers is the number of peers that a starting instance asks.
const startPeers = 3

// start asks several peers and the platform. It retries until one of them has
// answered; later differences are repaired by digests.
func (s *Syncer) start(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.startFromPeers(ctx) })
	pause := newPause()
	for ctx.Err() == nil {
		if s.startFromPlatform(ctx) {
			s.setLoaded()
			return
		}
		select {
		case <-s.loaded:
			return // peers have it; relays follow the platform
		default:
		}
		s.sleep(ctx, pause.NextBackOff())
	}
}

// startFromPlatform reads all kinds, tombstones included.
func (s *Syncer) startFromPlatform(ctx context.Context) bool {
	for _, kind := range Kinds {
		objects, _, err := s.cfg.Platform.Watch(ctx, kind, 0, 0)
		if err != nil {
			s.log.Info().Err(err).Str("kind", kind).Msg("No configuration from the platform yet.")
			return false
		}
		s.apply(objects, "platform")
	}
	return true
}

// startFromPeers asks peers as soon as there are any.
func (s *Syncer) startFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.cfg.Directory.Changed()
		if peers := s.startChoice(); len(peers) > 0 {
			var wg sync.WaitGroup
			for _, in := range peers {
				wg.Go(func() { s.fetch(ctx, in, floor(0)) })
			}
			wg.Wait()
			if s.cfg.Directory.Version() > 0 {
				s.setLoaded()
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// startChoice returns the peers to ask, those of the own data centre first.
func (s *Syncer) startChoice() []ownership.Instance {
	peers := s.local()
	s.shuffle(peers)
	if len(peers) < startPeers {
		var remote []ownership.Instance
		for _, in := range s.cfg.Directory.Live() {
			if in.DataCentre != s.self.DataCentre {
				remote = append(remote, in)
			}
		}
		s.shuffle(remote)
		peers = append(peers, remote...)
	}
	return peers[:min(startPeers, len(peers))]
}
