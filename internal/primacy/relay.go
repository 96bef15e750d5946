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
	// minInstancesForRelays is the number of instances in a data centre from which most
	// of them ask relays instead of the store.
	minInstancesForRelays = 6
	// instancesPerRelay bounds the questions that a relay answers to 40 a second.
	instancesPerRelay = 16
	// minRelays is how many relays a data centre has at least, so that the loss
	// of one is no loss of contact.
	minRelays = 2
	// relayTimeout bounds a question to a relay in the same data centre.
	relayTimeout = 120 * time.Millisecond
	// relayMaxAge is the age from which a relay's knowledge is not worth having.
	relayMaxAge = 900 * time.Millisecond
	// fallbackPeerCount is how many instances are asked at once for what they saw in
	// the store by one that the store does not answer. With a third of the
	// instances refused by the store, one of three reaches it in 96 % of rounds.
	fallbackPeerCount = 3
	// storeContactMaxAge is the age up to which what a peer saw shows that the peer is in
	// touch with the store: the pause between its questions and two ways. A peer
	// that was cut off together with this instance still knows as much as it.
	storeContactMaxAge = renewInterval + 100*time.Millisecond
)

// StoreSnapshot is what a relay last saw in the store.
type StoreSnapshot struct {
	Records  []Record
	Revision uint64        // of the store
	Age      time.Duration // since the relay sent its question
}

// Peers asks other instances.
type Peers interface {
	// FetchSnapshot returns what an instance last saw in the store.
	FetchSnapshot(ctx context.Context, address string) (StoreSnapshot, error)
	// Vote tells an instance of a record and asks where it stands.
	Vote(ctx context.Context, address string, r Record) (Vote, error)
}

// storeAnswer is the latest answer of the store.
type storeAnswer struct {
	records  []Record
	revision uint64
	asked    time.Duration
}

// StoreSnapshot returns what this instance last saw in the store itself, if that is
// not too long ago.
func (r *Runner) StoreSnapshot() (StoreSnapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.cfg.Now() - r.lastAnswer.asked
	if r.lastAnswer.asked == 0 || age > relayMaxAge {
		return StoreSnapshot{}, false
	}
	return StoreSnapshot{Records: r.lastAnswer.records, Revision: r.lastAnswer.revision, Age: age}, true
}

// Relays returns the instances that ask the store for the data centre, in the
// order in which the instance asks them. It returns nothing if the instance asks
// the store itself.
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

// renewFromRelays confirms the records from a relay.
func (r *Runner) renewFromRelays(ctx context.Context) bool {
	r.mu.Lock()
	relays := r.relays
	r.mu.Unlock()
	for _, relay := range relays {
		rctx, cancel := context.WithTimeout(ctx, relayTimeout)
		asked := r.cfg.Now()
		report, err := r.cfg.Peers.FetchSnapshot(rctx, relay.Address)
		cancel()
		if err != nil || report.Age > relayMaxAge {
			continue // the next relay is asked, and the store after all of them
		}
		r.confirmRecords(report.Records, report.Revision, asked-report.Age)
		return true
	}
	return false
}

// renewFromPeers confirms the records from instances that the store answers. It
// reports whether there is one.
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
			report, err := r.cfg.Peers.FetchSnapshot(ctx, address)
			if err != nil || report.Age > relayMaxAge {
				return // the databases are asked if no peer knows more
			}
			if report.Age <= storeContactMaxAge {
				inContact.Store(true)
			}
			for _, rec := range r.cfg.Cache.Confirm(report.Records, asked-report.Age) {
				r.recordChanged(rec, "told by a peer")
			}
		})
	}
	wg.Wait()
	return inContact.Load()
}

// randomPeers returns the addresses of a few other instances, drawn anew each
// time.
func (r *Runner) randomPeers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var some []string
	for _, i := range rand.Perm(len(r.knownInstances)) {
		if len(some) == fallbackPeerCount {
			break
		}
		if reg := r.knownInstances[i]; reg.Instance != r.cfg.Instance && reg.Address != "" {
			some = append(some, reg.Address)
		}
	}
	return some
}

// confirmRecords takes over a complete list of records that was asked for at asked.
func (r *Runner) confirmRecords(records []Record, revision uint64, asked time.Duration) {
	r.cfg.OnRevision(revision)
	for _, rec := range r.cfg.Cache.Confirm(records, asked) {
		r.recordChanged(rec, "listed")
	}
}
