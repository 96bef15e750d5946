package confsync

import (
	"context"
	"sync"

	"geraniumbeam/internal/ownership"
)

// initialPeerCount is the number of peers from which a starting instance fetches.
const initialPeerCount = 3

// load gets the configuration from several peers and the platform. It retries until
// one of them has answered. Later differences are repaired through digests.
func (s *Syncer) load(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.loadFromPeers(ctx) })
	retry := newBackoff()
	for ctx.Err() == nil {
		if s.loadFromPlatform(ctx) {
			s.markLoaded()
			return
		}
		select {
		case <-s.loaded:
			return // loaded from peers; relays watch the platform
		default:
		}
		s.sleep(ctx, retry.NextBackOff())
	}
}

// loadFromPlatform reads the objects of all kinds, including deleted ones. It
// reports whether that succeeded.
func (s *Syncer) loadFromPlatform(ctx context.Context) bool {
	for _, kind := range Kinds {
		objects, _, err := s.cfg.Platform.Watch(ctx, kind, 0, 0)
		if err != nil {
			s.log.Info().Err(err).Str("kind", kind).Msg("Could not load the configuration from the platform.")
			return false
		}
		s.apply(objects, "platform")
	}
	return true
}

// loadFromPeers fetches the configuration from peers as soon as there are any.
func (s *Syncer) loadFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.cfg.Directory.Changed()
		if peers := s.chooseInitialPeers(); len(peers) > 0 {
			var wg sync.WaitGroup
			for _, in := range peers {
				wg.Go(func() { s.fetch(ctx, in, versionsAbove(0)) })
			}
			wg.Wait()
			if s.cfg.Directory.Version() > 0 {
				s.markLoaded()
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

// chooseInitialPeers returns the peers to fetch from, those of this data centre
// first.
func (s *Syncer) chooseInitialPeers() []ownership.Instance {
	peers := s.localPeers()
	s.shuffle(peers)
	if len(peers) < initialPeerCount {
		var remote []ownership.Instance
		for _, in := range s.cfg.Directory.Live() {
			if in.DataCentre != s.self.DataCentre {
				remote = append(remote, in)
			}
		}
		s.shuffle(remote)
		peers = append(peers, remote...)
	}
	return peers[:min(initialPeerCount, len(peers))]
}
