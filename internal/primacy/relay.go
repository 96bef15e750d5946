package primacy

import (
	"context"
	"time"

	"geraniumbeam/internal/ownership"
)

const (
	// relayedFrom is the number of instances in a data centre from which most
	// of them ask relays instead of the store.
	relayedFrom = 6
	// instancesPerRelay bounds the questions that a relay answers to 40 a second.
	instancesPerRelay = 16
	// minRelays is how many relays a data centre has at least, so that the loss
	// of one is no loss of contact.
	minRelays = 2
	// relayTimeout bounds a question to a relay in the same data centre.
	relayTimeout = 120 * time.Millisecond
	// relayMaxAge is the age from which a relay's knowledge is not worth having.
	relayMaxAge = 900 * time.Millisecond
)

// Report is what a relay last saw in the store.
type Report struct {
	Records  []Record
	Revision uint64        // of the store
	Age      time.Duration // since the relay sent its question
}

// Peers asks relays.
type Peers interface {
	Ask(ctx context.Context, address string) (Report, error)
}

// seen is the latest answer of the store.
type seen struct {
	records  []Record
	revision uint64
	asked    time.Duration
}

// Report returns what this instance last saw in the store itself.
func (r *Runner) Report() (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSeen.asked == 0 {
		return Report{}, false
	}
	return Report{Records: r.lastSeen.records, Revision: r.lastSeen.revision, Age: r.cfg.Now() - r.lastSeen.asked}, true
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
	if len(local) < relayedFrom {
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
		report, err := r.cfg.Peers.Ask(rctx, relay.Address)
		cancel()
		if err != nil || report.Age > relayMaxAge {
			continue // the next relay is asked, and the store after all of them
		}
		r.confirm(report.Records, report.Revision, asked-report.Age)
		return true
	}
	return false
}

// confirm takes over a complete list of records that was asked for at asked.
func (r *Runner) confirm(records []Record, revision uint64, asked time.Duration) {
	r.cfg.OnRevision(revision)
	for _, rec := range r.cfg.Beliefs.Confirm(records, asked) {
		r.adopted(rec, "listed")
	}
}
