package primacy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/topology"
)

const (
	// relayMaxAge is the age above which the state of an upstream or a peer is not
	// used; an upstream hears from the store each renewInterval. The first instances
	// of the data centres turn to another source at headMaxAge already, so that the
	// others, which wait for them, do not all query the store when the top of the
	// tree fails.
	headMaxAge  = renewInterval + 150*time.Millisecond
	relayMaxAge = renewInterval + 300*time.Millisecond
	// maxUpstreamWait bounds the wait that a request may ask for.
	maxUpstreamWait = 2 * time.Second
	// upstreamTimeout bounds the transfer of a response.
	upstreamTimeout = 120 * time.Millisecond
	// upstreamInterval is the minimum interval between two requests to an upstream.
	upstreamInterval = 20 * time.Millisecond
	// peerTimeout bounds a request to a peer that does not wait.
	peerTimeout = 120 * time.Millisecond
	// fallbackPeerCount is how many peers an instance that can't reach the store
	// asks at once for their latest snapshot. If the store refuses a third of the
	// instances, at least one of three peers reaches it in 96 % of the rounds.
	fallbackPeerCount = 3
	// storeContactMaxAge is the largest age of a snapshot that proves that the
	// peer reaches the store: one renewal period and two network delays. An older
	// one proves nothing: a peer that lost the store together with this instance
	// still has its snapshot from before.
	storeContactMaxAge = renewInterval + 100*time.Millisecond
)

// SnapshotQuery asks an instance for a StoreSnapshot. The zero value asks for the
// whole current one.
type SnapshotQuery struct {
	// After and Records are the Sequence and the RecordsVersion of the latest
	// snapshot that the requester has from the same process, Process.
	Process        string
	After, Records uint64
	Content        uint64        // of the requester's listing
	Wait           time.Duration // how long to wait for a snapshot after After
	// Version is that of the requester's configuration, if that has organisations.
	Version uint64 `json:",omitempty"`
	// Full asks for the whole listing, also if it is large.
	Full bool `json:",omitempty"`
}

// StoreSnapshot is the state of the store as an instance knows it, directly or from
// others.
type StoreSnapshot struct {
	Records  []Record          // nil if the requester has them already
	Revision revision.Revision // of the store
	Age      time.Duration     // since the request to the store, when the response was sent
	Held     time.Duration     // between the arrival of the query and the response

	Process        string // the responding process
	Sequence       uint64 // grows with each change of the snapshot
	RecordsVersion uint64 // grows with each change of Records

	// Listing is nil if the instance has none. Its configuration and databases are
	// left out if the requester has them already.
	Listing    *topology.Listing
	ListingAge time.Duration // since the listing was last known to be current
	// Leaving has the databases that are leaving, as far as the instance knows for how
	// long, when the response was sent.
	Leaving []topology.LeavingAge `json:",omitempty"`
	// ConfigurationVersion is not 0 if the configuration of the listing, or all of the
	// listing, is left out because the configuration has organisations.
	ConfigurationVersion uint64 `json:",omitempty"`

	// Origin is the instance that asked the store.
	Origin string `json:",omitempty"`
}

// Peers sends requests to other instances.
type Peers interface {
	// FetchSnapshot returns the latest snapshot of an instance.
	FetchSnapshot(ctx context.Context, address string, q SnapshotQuery) (StoreSnapshot, error)
	// Vote sends a record to an instance and returns its vote on it.
	Vote(ctx context.Context, address string, r Record) (Vote, error)
}

// Listings holds the listing of the topology that instances exchange.
type Listings interface {
	// Listing returns the listing in use and when it was last known to be current.
	Listing() (*topology.Listing, time.Duration)
	// Adopt takes over the listing of another instance.
	Adopt(l *topology.Listing, currentAt time.Duration)
	// LeavingAges returns how long the databases that are leaving have been so at most.
	LeavingAges() []topology.LeavingAge
	// AdoptLeavingAges takes over the bounds of another instance. at is the earliest
	// time at which they were determined.
	AdoptLeavingAges(ages []topology.LeavingAge, at time.Duration)
	// SetRelayed tells whether listings come from another instance.
	SetRelayed(relayed bool)
	// ObserveRevision records the revision that the store returned to a request that
	// was sent at asked.
	ObserveRevision(at revision.Revision, asked time.Duration)
}

// storeState is what this instance knows of the store, besides the records, which
// are in the cache.
type storeState struct {
	revision revision.Revision
	asked    time.Duration // when the request to the store was sent; 0: none
	origin   string        // the instance that sent it
	sequence uint64
	changed  chan struct{} // closed at the next change of sequence
}

// advance notes a change of the state. Runner.mu is held.
func (s *storeState) advance() {
	s.sequence++
	close(s.changed)
	s.changed = make(chan struct{})
}

// NotifyListing wakes the instances that wait for a snapshot, because the listing
// has changed.
func (r *Runner) NotifyListing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.advance()
}

// Snapshot returns the state of the store as this instance knows it. It reports
// false if that is older than relayMaxAge. With q.Wait it waits until there is a
// newer one than the requester has.
func (r *Runner) Snapshot(ctx context.Context, q SnapshotQuery) (StoreSnapshot, bool) {
	arrived := r.cfg.Now()
	r.awaitChange(ctx, q)
	listing, current := r.cfg.Listings.Listing()
	// The records are read after the state, so they are never older than it. Newer
	// ones only make the snapshot newer than it claims.
	r.mu.Lock()
	state := r.state
	r.mu.Unlock()
	records, version := r.cfg.Cache.Records()
	now := r.cfg.Now()
	if state.asked == 0 || now-state.asked > relayMaxAge {
		return StoreSnapshot{}, false
	}
	s := StoreSnapshot{
		Revision: state.revision, Age: now - state.asked, Held: now - arrived,
		Process: r.cfg.Incarnation, Sequence: state.sequence, RecordsVersion: version,
		Origin: state.origin,
	}
	if q.Process != s.Process || q.Records != s.RecordsVersion {
		s.Records = records
	}
	if listing != nil {
		s.ListingAge = now - current
		s.Listing, s.ConfigurationVersion = listingFor(listing, q)
		s.Leaving = r.cfg.Listings.LeavingAges()
	}
	return s, true
}

// awaitChange waits until the state differs from the one that the requester has.
func (r *Runner) awaitChange(ctx context.Context, q SnapshotQuery) {
	if q.Wait <= 0 || q.Process != r.cfg.Incarnation {
		return
	}
	// An instance that lost the store has nothing to wait for.
	r.mu.Lock()
	stale := r.cfg.Now()-r.state.asked > relayMaxAge
	r.mu.Unlock()
	if stale {
		return
	}
	t := time.NewTimer(min(q.Wait, maxUpstreamWait))
	defer t.Stop()
	for {
		r.mu.Lock()
		sequence, changed := r.state.sequence, r.state.changed
		r.mu.Unlock()
		if sequence != q.After {
			return
		}
		select {
		case <-changed:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// askedAt returns a lower bound of the time at which the store was asked for a
// snapshot, on the clock of the requester: the responder sent its response not
// before it had held the query, which it received after it was sent.
func askedAt(s StoreSnapshot, sent, received time.Duration) time.Duration {
	return min(sent+max(s.Held, 0), received) - s.Age
}

// renewFromUpstream confirms the cached records from the snapshot of an upstream and
// takes over its listing. After the first upstream it tries the other ones at once.
func (r *Runner) renewFromUpstream(ctx context.Context) bool {
	for attempt := range maxUpstreams {
		r.mu.Lock()
		upstream, ok := r.upstreams.pick(r.cfg.Now())
		_, failedBefore := r.upstreams.failures[upstream.Address]
		q := r.lastSnapshot
		age := r.cfg.Now() - r.state.asked
		r.mu.Unlock()
		if !ok {
			return false
		}
		maxAge := relayMaxAge
		if upstream.DataCentre != r.cfg.DataCentre {
			maxAge = headMaxAge
		}
		if r.cfg.Regions.Tier(upstream.DataCentre, r.cfg.DataCentre) == distance.SameRegion {
			// The upstream may wait for an instance of another region itself.
			maxAge = (headMaxAge + relayMaxAge) / 2
		}
		q.Wait = maxAge - age
		if failedBefore || attempt > 0 || q.Wait <= 0 {
			q = SnapshotQuery{} // does not wait
		}
		ok = r.fetchUpstream(ctx, upstream, q)
		r.mu.Lock()
		if failedBefore == ok {
			r.log.Info().Str("upstream", upstream.Name).Bool("provides", ok).Msg("The source of the store's state changed.")
		}
		r.upstreams.record(upstream.Address, ok, r.cfg.Now())
		r.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// fetchUpstream sends a query to an upstream and processes the snapshot. It reports
// whether the snapshot is recent.
func (r *Runner) fetchUpstream(ctx context.Context, upstream ownership.Instance, q SnapshotQuery) bool {
	q = r.describeListing(q)
	fetch, cancel := context.WithTimeout(ctx, q.Wait+upstreamTimeout)
	defer cancel()
	sent := r.cfg.Now()
	s, err := r.cfg.Peers.FetchSnapshot(fetch, upstream.Address, q)
	received := r.cfg.Now()
	if err != nil {
		r.log.Debug().Str("upstream", upstream.Name).Err(err).Msg("An upstream did not respond.")
		return false
	}
	asked := askedAt(s, sent, received)
	if received-asked > relayMaxAge || !r.acceptOrigin(s.Origin, asked) {
		return false
	}
	r.adoptListing(ctx, upstream.Address, s, asked)
	if !r.isRegistered() {
		return true // no record may be used yet
	}
	r.mu.Lock()
	records := s.Records
	if records == nil {
		records = r.snapshotRecords
	}
	r.mu.Unlock()
	r.confirmRecords(records, s.Revision, asked)
	// Only now: a concurrent query must not learn that nothing has changed since
	// records that are not in the cache yet.
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshotRecords = records
	r.lastSnapshot = SnapshotQuery{Process: s.Process, After: s.Sequence, Records: s.RecordsVersion}
	return true
}

// renewFromPeers confirms the cached records from the snapshots of a few peers.
// It reports whether one of them is in contact with the store.
func (r *Runner) renewFromPeers(ctx context.Context) bool {
	var (
		wg        sync.WaitGroup
		inContact atomic.Bool
	)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, address := range r.randomPeers() {
		wg.Go(func() {
			contain.Run(r.log, "query to a peer", func() {
				if r.renewFromPeer(ctx, address) {
					inContact.Store(true)
				}
			})
		})
	}
	wg.Wait()
	return inContact.Load()
}

// renewFromPeer takes over the snapshot of a peer, which others may then get from this
// instance: so the state reaches those that the store does not answer, although few
// are in contact with it. It reports whether the peer is in contact with the store.
func (r *Runner) renewFromPeer(ctx context.Context, address string) bool {
	q := r.describeListing(SnapshotQuery{})
	sent := r.cfg.Now()
	s, err := r.cfg.Peers.FetchSnapshot(ctx, address, q)
	received := r.cfg.Now()
	if err != nil || s.Age > relayMaxAge {
		return false // the caller falls back to the databases
	}
	asked := askedAt(s, sent, received)
	if !r.acceptOrigin(s.Origin, asked) {
		return false
	}
	r.adoptListing(context.WithoutCancel(ctx), address, s, asked) // ctx ends with the round of queries
	r.confirmRecords(s.Records, s.Revision, asked)
	return s.Age <= storeContactMaxAge
}

// randomPeers returns the addresses of up to fallbackPeerCount other instances.
func (r *Runner) randomPeers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var peers []string
	for _, i := range rand.Perm(len(r.knownInstances)) {
		if len(peers) == fallbackPeerCount {
			break
		}
		if reg := r.knownInstances[i]; reg.Instance != r.cfg.Instance && reg.Address != "" {
			peers = append(peers, reg.Address)
		}
	}
	return peers
}

// confirmRecords processes a complete list of records that was requested from the
// store at asked. One from before a restore of the store has no effect.
func (r *Runner) confirmRecords(records []Record, at revision.Revision, asked time.Duration) {
	if !r.observeEra(at.Era) {
		return
	}
	for _, rec := range r.cfg.Cache.Confirm(records, at.Era, asked) {
		r.recordChanged(rec, "listed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if asked > r.state.asked {
		r.state.asked, r.state.revision = asked, at
		r.noteUnestablished(records, at.Era)
		r.state.advance()
	}
}
