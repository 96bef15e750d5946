package primacy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/ownership"
)

const (
	// minInstancesForRelays is the number of instances in a data centre from which
	// most of them ask relays instead of the store.
	minInstancesForRelays = 6
	// instancesPerRelay limits the load of a relay to 40 requests per second.
	instancesPerRelay = 16
	// minRelays is the minimum number of relays per data centre, so that the loss
	// of one relay does not cut its clients off.
	minRelays = 2
	// relayTimeout bounds a request to a relay in the same data centre.
	relayTimeout = 120 * time.Millisecond
	// relayMaxAge is the age above which a relay's snapshot is not used.
	relayMaxAge = 900 * time.Millisecond
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

// StoreSnapshot is the latest list of records that an instance read from the
// store.
type StoreSnapshot struct {
	Records  []Record
	Revision uint64        // of the store
	Age      time.Duration // since the instance sent its request to the store
}

// Peers sends requests to other instances.
type Peers interface {
	// FetchSnapshot returns the latest snapshot of an instance.
	FetchSnapshot(ctx context.Context, address string) (StoreSnapshot, error)
	// Vote sends a record to an instance and returns its vote on it.
	Vote(ctx context.Context, address string, r Record) (Vote, error)
}

// storeAnswer is the latest answer of the store to this instance.
type storeAnswer struct {
	records  []Record
	revision uint64
	asked    time.Duration // when the request was sent
}

// StoreSnapshot returns the latest records that this instance itself read from
// the store, if they are not older than relayMaxAge.
func (r *Runner) StoreSnapshot() (StoreSnapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.cfg.Now() - r.lastAnswer.asked
	if r.lastAnswer.asked == 0 || age > relayMaxAge {
		return StoreSnapshot{}, false
	}
	return StoreSnapshot{Records: r.lastAnswer.records, Revision: r.lastAnswer.revision, Age: age}, true
}

// Relays returns the relays of an instance, the instances of its data centre that
// query the store for the others, in the order in which the instance should try
// them. It returns nil if the instance must query the store itself.
func Relays(registered []Registration, self, dataCentre string) []ownership.Instance {
	var local []ownership.Instance
	for _, reg := range registered {
		if reg.DataCentre == dataCentre && reg.Address != "" {
			local = append(local, ownership.Instance{Name: reg.Instance, Address: reg.Address})
		}
	}
	if len(local) < minInstancesForRelays {
		return nil
	}
	n := max(minRelays, (len(local)+instancesPerRelay-1)/instancesPerRelay)
	relays := ownership.Order("relay "+dataCentre, local)[:n]
	for _, x := range relays {
		if x.Name == self {
			return nil
		}
	}
	return ownership.Order(self, relays)[:minRelays]
}

// renewFromRelays confirms the cached records from the snapshot of a relay.
func (r *Runner) renewFromRelays(ctx context.Context) bool {
	r.mu.Lock()
	relays := r.relays
	r.mu.Unlock()
	for _, relay := range relays {
		rctx, cancel := context.WithTimeout(ctx, relayTimeout)
		asked := r.cfg.Now()
		snapshot, err := r.cfg.Peers.FetchSnapshot(rctx, relay.Address)
		cancel()
		if err != nil || snapshot.Age > relayMaxAge {
			continue // try the next relay; the caller falls back to the store
		}
		r.confirmRecords(snapshot.Records, snapshot.Revision, asked-snapshot.Age)
		return true
	}
	return false
}

// renewFromPeers confirms the cached records from the snapshots of a few peers.
// It reports whether one of them is in contact with the store.
func (r *Runner) renewFromPeers(ctx context.Context) bool {
	var (
		wg        sync.WaitGroup
		inContact atomic.Bool
	)
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for _, address := range r.randomPeers() {
		wg.Go(func() {
			asked := r.cfg.Now()
			snapshot, err := r.cfg.Peers.FetchSnapshot(ctx, address)
			if err != nil || snapshot.Age > relayMaxAge {
				return // the caller falls back to the databases
			}
			if snapshot.Age <= storeContactMaxAge {
				inContact.Store(true)
			}
			for _, rec := range r.cfg.Cache.Confirm(snapshot.Records, asked-snapshot.Age) {
				r.recordChanged(rec, "told by a peer")
			}
		})
	}
	wg.Wait()
	return inContact.Load()
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
// store at asked.
func (r *Runner) confirmRecords(records []Record, revision uint64, asked time.Duration) {
	r.cfg.OnRevision(revision)
	for _, rec := range r.cfg.Cache.Confirm(records, asked) {
		r.recordChanged(rec, "listed")
	}
}
