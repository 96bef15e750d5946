package daemon

import (
	"context"

	"geraniumbeam/internal/confsync"
	"geraniumbeam/internal/membership"
	"geraniumbeam/internal/wire"
)

// peerService implements wire.Peer by membership and configuration.
type peerService struct {
	members *membership.Membership
	conf    *confsync.Syncer
}

// Gossip implements wire.Peer.
func (p peerService) Gossip(ctx context.Context, req *wire.GossipRequest) (*wire.GossipResponse, error) {
	return p.members.Gossip(ctx, req)
}

// PushObjects implements wire.Peer.
func (p peerService) PushObjects(ctx context.Context, req *wire.PushObjectsRequest) (*wire.PushObjectsResponse, error) {
	return p.conf.PushObjects(ctx, req)
}

// FetchObjects implements wire.Peer.
func (p peerService) FetchObjects(ctx context.Context, req *wire.FetchObjectsRequest) (*wire.FetchObjectsResponse, error) {
	return p.conf.FetchObjects(ctx, req)
}
