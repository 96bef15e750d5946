package primacy

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/topology"
)

func listingOf(version, content uint64, organisations []organisation.Organisation) *topology.Listing {
	return &topology.Listing{
		Configuration: topology.Configuration{Version: version, Organisations: organisations},
		Databases:     []topology.Database{{ID: "db-1", Service: "ledger"}}, Content: content,
	}
}

// Guards against a large configuration in each snapshot, against one that never arrives,
// and against a change of what instances without organisations exchange.
func TestListingPartOfASnapshot(t *testing.T) {
	some := []organisation.Organisation{{Name: "acme"}}
	for name, c := range map[string]struct {
		listing       *topology.Listing
		query         SnapshotQuery
		configuration uint64 // version of the configuration in the response; 0: none
		databases     bool
		version       uint64
	}{
		"known":                               {listingOf(3, 9, some), SnapshotQuery{Content: 9, Version: 3}, 0, false, 0},
		"without organisations":               {listingOf(3, 9, nil), SnapshotQuery{Content: 8}, 3, true, 0},
		"without organisations, same version": {listingOf(3, 9, nil), SnapshotQuery{Content: 8, Version: 3}, 3, true, 0},
		"same version":                        {listingOf(3, 9, some), SnapshotQuery{Content: 8, Version: 3}, 0, true, 3},
		"another version":                     {listingOf(3, 9, some), SnapshotQuery{Content: 8, Version: 2}, 0, false, 3},
		"no configuration":                    {listingOf(3, 9, some), SnapshotQuery{}, 0, false, 3},
		"empty list":                          {listingOf(3, 9, some[:0]), SnapshotQuery{}, 0, false, 3},
		"full":                                {listingOf(3, 9, some), SnapshotQuery{Full: true}, 3, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, version := listingFor(c.listing, c.query)
			if version != c.version {
				t.Errorf("version %d, want %d", version, c.version)
			}
			if l == nil {
				l = &topology.Listing{}
			}
			if l.Configuration.Version != c.configuration || (len(l.Databases) > 0) != c.databases {
				t.Errorf("listing %+v", l)
			}
			if c.listing.Configuration.Version != 3 {
				t.Error("the listing in use was changed")
			}
		})
	}
	encoded, err := json.Marshal([]any{SnapshotQuery{}, StoreSnapshot{}})
	if err != nil || strings.Contains(string(encoded), "Version\":0,\"Full") || strings.Contains(string(encoded), "ConfigurationVersion") {
		t.Errorf("%s, %v: fields of organisations are part of other messages", encoded, err)
	}
}

// listingPeers is a peer with a listing. It fails or delays the requests for all of it.
type listingPeers struct {
	Peers
	mu      sync.Mutex
	listing *topology.Listing
	queries []SnapshotQuery
	fail    bool
}

func (p *listingPeers) FetchSnapshot(_ context.Context, _ string, q SnapshotQuery) (StoreSnapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries = append(p.queries, q)
	if q.Full && p.fail {
		return StoreSnapshot{}, errNetwork
	}
	var s StoreSnapshot
	s.Listing, s.ConfigurationVersion = listingFor(p.listing, q)
	return s, nil
}

// Guards against an instance that does not get a new configuration because it is left out
// of snapshots, also after a request failed, and against databases that are taken over
// with another configuration than that of their listing.
func TestConfigurationIsFetchedOnItsOwn(t *testing.T) {
	some := []organisation.Organisation{{Name: "acme"}}
	peers := &listingPeers{listing: listingOf(4, 9, some), fail: true}
	listings := &fakeListings{listing: listingOf(3, 8, some)}
	r := NewRunner(Config{
		Instance: "self", DataCentre: "a", Peers: peers, Cache: NewRecordCache("self", validity, clock.SinceBoot), Listings: listings,
		Now: clock.SinceBoot, Log: zerolog.Nop(),
	})
	adopted := func() int {
		listings.mu.Lock()
		defer listings.mu.Unlock()
		return len(listings.adopted)
	}
	fetched := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !r.fetchingListing
	}
	r.renewFromPeer(t.Context(), "x:1")
	eventually(t, "the request has failed", fetched)
	if n := adopted(); n != 0 {
		t.Fatalf("%d listings were adopted", n)
	}
	peers.mu.Lock()
	peers.fail = false
	peers.mu.Unlock()
	r.renewFromPeer(t.Context(), "x:1")
	eventually(t, "the listing is adopted", func() bool { return adopted() == 1 && fetched() })
	if l := listings.adopted[0]; l.Configuration.Version != 4 || l.Content != 9 || len(l.Databases) != 1 {
		t.Errorf("adopted %+v", l)
	}

	listings.mu.Lock()
	listings.listing, peers.listing = listingOf(4, 9, some), listingOf(4, 10, some)
	listings.mu.Unlock()
	r.renewFromPeer(t.Context(), "x:1")
	if n := adopted(); n != 2 {
		t.Fatalf("%d listings were adopted", n)
	}
	if l := listings.adopted[1]; l.Configuration.Version != 4 || l.Configuration.Organisations == nil || l.Content != 10 {
		t.Errorf("adopted %+v", l)
	}
	// The instance has moved to another configuration since it asked.
	r.adoptListing(t.Context(), "x:1", StoreSnapshot{Listing: &topology.Listing{Content: 11}, ConfigurationVersion: 3}, 0)
	if n := adopted(); n != 2 {
		t.Error("databases were adopted with another configuration")
	}
	if n := len(peers.queries); n != 5 {
		t.Errorf("%d queries: %+v", n, peers.queries)
	}
}
