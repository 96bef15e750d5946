package primacy

import (
	"context"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/topology"
)

// A configuration with organisations and 1,400 routes takes 290 KB, which occupies a link of
// 10 Mbit/s for 240 ms, and longer with several requesters. The records of the primaries
// must be confirmed more often. Such a configuration is therefore left out of a snapshot
// and fetched by a request of its own.

// listingTimeout bounds the transfer of a listing that is fetched on its own. A
// configuration must be in force everywhere within 5 s.
const listingTimeout = 4 * time.Second

// listingFor returns the part of a listing that the response to a query contains, and the
// version of its configuration if that is left out.
func listingFor(l *topology.Listing, q SnapshotQuery) (part *topology.Listing, version uint64) {
	if q.Content == l.Content {
		return &topology.Listing{
			ConfigurationRevision: l.ConfigurationRevision, DatabasesRevision: l.DatabasesRevision, Content: l.Content,
		}, 0
	}
	switch c := l.Configuration; {
	case c.Organisations == nil || q.Full:
		return l, 0
	case q.Version == c.Version:
		databases := *l
		databases.Configuration = topology.Configuration{}
		return &databases, c.Version
	default:
		return nil, c.Version
	}
}

// describeListing completes a query with what the requester has.
func (r *Runner) describeListing(q SnapshotQuery) SnapshotQuery {
	if l, _ := r.cfg.Listings.Listing(); l != nil {
		q.Content = l.Content
		if l.Configuration.Organisations != nil {
			q.Version = l.Configuration.Version
		}
	}
	return q
}

// adoptListing takes over the listing of a snapshot. If it is not part of the snapshot, it
// is fetched in the background. asked is when the store was asked for the snapshot.
func (r *Runner) adoptListing(ctx context.Context, address string, s StoreSnapshot, asked time.Duration) {
	sent := asked + s.Age // at the earliest
	defer r.cfg.Listings.AdoptLeavingAges(s.Leaving, sent)
	current := sent - s.ListingAge
	switch {
	case s.Listing == nil && s.ConfigurationVersion != 0:
		r.fetchListing(ctx, address)
	case s.Listing == nil:
	case s.ConfigurationVersion == 0:
		r.cfg.Listings.Adopt(s.Listing, current)
	default:
		// The configuration was left out because this instance had it when it asked.
		if own, _ := r.cfg.Listings.Listing(); own != nil && own.Configuration.Version == s.ConfigurationVersion {
			s.Listing.Configuration = own.Configuration
			r.cfg.Listings.Adopt(s.Listing, current)
		}
	}
}

// fetchListing fetches the whole listing of another instance in the background, unless
// that is in progress.
func (r *Runner) fetchListing(ctx context.Context, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetchingListing {
		return
	}
	r.fetchingListing = true
	go func() {
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.fetchingListing = false
		}()
		contain.Run(r.log, "fetch of a listing", func() {
			ctx, cancel := context.WithTimeout(ctx, listingTimeout)
			defer cancel()
			sent := r.cfg.Now()
			s, err := r.cfg.Peers.FetchSnapshot(ctx, address, SnapshotQuery{Full: true})
			if err != nil || s.Listing == nil {
				r.log.Debug().Str("address", address).Err(err).Msg("An instance did not provide its listing.")
				return
			}
			answered := askedAt(s, sent, r.cfg.Now()) + s.Age // at the earliest
			r.cfg.Listings.Adopt(s.Listing, answered-s.ListingAge)
			r.cfg.Listings.AdoptLeavingAges(s.Leaving, answered)
		})
	}()
}
