package primacy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"geraniumbeam/internal/ownership"
)

// newRegistrations returns the registrations of n instances in a data centre.
func newRegistrations(n int, dataCentre string) []Registration {
	var all []Registration
	for i := range n {
		name := fmt.Sprintf("%s-%d", dataCentre, i)
		all = append(all, Registration{Instance: name, Incarnation: name, DataCentre: dataCentre, Address: name + ":1"})
	}
	return all
}

// Guards against a data centre in which all instances, or none, query the store.
func TestRelaysOfADataCentre(t *testing.T) {
	for _, c := range []struct{ instances, asking int }{{1, 1}, {5, 5}, {6, 2}, {16, 2}, {33, 3}, {433, 28}} {
		all := append(newRegistrations(c.instances, "a"), newRegistrations(40, "b")...)
		asking, served := 0, map[string]int{}
		for _, reg := range all[:c.instances] {
			relays := Relays(all, reg.Instance, "a")
			if relays == nil {
				asking++
				continue
			}
			if len(relays) != minRelays {
				t.Errorf("%s has %d relays", reg.Instance, len(relays))
			}
			served[relays[0].Name]++
			for _, x := range relays {
				if x.Name[0] != 'a' {
					t.Errorf("%s asks %s in another data centre", reg.Instance, x.Name)
				}
				if Relays(all, x.Name, "a") != nil {
					t.Errorf("%s is a relay and does not query the store", x.Name)
				}
			}
		}
		if asking != c.asking {
			t.Errorf("%d instances: %d query the store, want %d", c.instances, asking, c.asking)
		}
		for name, n := range served {
			if n > 3*instancesPerRelay {
				t.Errorf("%d instances: %d ask %s first", c.instances, n, name)
			}
		}
	}
}

// fakePeers returns fixed snapshots by address, and no votes. It counts the
// requests.
type fakePeers struct {
	mu        sync.Mutex
	snapshots map[string]StoreSnapshot
	fetches   int
	votes     int
}

func (f *fakePeers) FetchSnapshot(_ context.Context, address string) (StoreSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetches++
	r, ok := f.snapshots[address]
	if !ok {
		return r, errors.New("unreachable")
	}
	return r, nil
}

func (f *fakePeers) Vote(context.Context, string, Record) (Vote, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.votes++
	return Vote{}, errors.New("unreachable")
}

// Guards against a validity that counts from the relay's response instead of the
// relay's own request to the store, and against using a relay that lost the store
// itself.
func TestRelayedRecordsKeepTheirAge(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a")
	r := all["a"].runner
	all["a"].stop()
	peers := &fakePeers{snapshots: map[string]StoreSnapshot{}}
	r.cfg.Peers = peers
	relays := newRegistrations(2, "x")
	for _, x := range relays {
		r.relays = append(r.relays, ownership.Instance{Name: x.Instance, Address: x.Address})
	}
	rec := store.record()
	rec.Revision += 10
	peers.snapshots["x-1:1"] = StoreSnapshot{Records: []Record{rec}, Revision: 99, Age: 500 * time.Millisecond}
	before := r.cfg.Now()
	if !r.renewFromRelays(context.Background()) || peers.fetches != 2 {
		t.Fatalf("the second relay was not used; %d were asked", peers.fetches)
	}
	got, confirmed, _ := r.cfg.Cache.Record("ledger")
	if got.Revision != rec.Revision {
		t.Errorf("record %+v", got)
	}
	if age := r.cfg.Now() - confirmed; confirmed > before || age < 0 {
		t.Errorf("confirmed at %v, asked at %v", confirmed, before)
	}
	peers.snapshots["x-1:1"] = StoreSnapshot{Records: []Record{rec}, Age: relayMaxAge + 1}
	if r.renewFromRelays(context.Background()) {
		t.Error("the snapshot of a relay without the store is used")
	}
}

// Guards against a database that has no owners or whose owners together exceed
// half of its connection limit, and against instances that compute different
// owners.
func TestOwnersOfADatabase(t *testing.T) {
	for _, c := range []struct{ local, remote, limit, owners int }{
		{16, 48, 46, 4}, {75, 225, 46, 4}, {16, 48, 16, 2}, {433, 3467, 400, 8}, {1, 40, 46, 4}, {0, 1, 46, 1}, {0, 0, 46, 0},
	} {
		all := append(newRegistrations(c.local, "a"), newRegistrations(c.remote, "b")...)
		selves, firsts := 0, make(map[string]int)
		for _, reg := range all {
			owners, self := Owners(all, reg.Instance, "db-1", "a", c.limit)
			if len(owners) != c.owners {
				t.Fatalf("%+v: %d owners, want %d", c, len(owners), c.owners)
			}
			if self {
				selves++
			}
			firsts[owners[0].Name]++
			for _, o := range owners {
				if o.DataCentre != "a" && c.local >= minOwners {
					t.Errorf("%+v: owner %s is in another data centre", c, o.Name)
				}
			}
		}
		if selves != c.owners {
			t.Errorf("%+v: %d instances count themselves as owners", c, selves)
		}
		if c.owners > 1 && len(firsts) != c.owners {
			t.Errorf("%+v: only %d owners are asked first", c, len(firsts))
		}
	}
}

// Guards against all instances listing the registrations at once when a primary
// fails, and against a vote that no instance counts immediately.
func TestFewInstancesCountVotesAtOnce(t *testing.T) {
	for _, n := range []int{1, 7, 64, 300} {
		all := newRegistrations(n, "a")
		at := make(map[time.Duration]int)
		for _, reg := range all {
			at[voteCountDelay(all, reg.Instance, "ledger")]++
		}
		if at[0] != min(n, countersPerTurn) {
			t.Errorf("%d instances: %d count immediately", n, at[0])
		}
		for wait, k := range at {
			if k > countersPerTurn {
				t.Errorf("%d instances: %d count after %v", n, k, wait)
			}
		}
	}
	if listInterval(7) != confirmPollInterval || listInterval(64) != 64*listIntervalPerInstance || listInterval(3900) != maxListInterval {
		t.Errorf("list intervals: %v, %v, %v", listInterval(7), listInterval(64), listInterval(3900))
	}
}
