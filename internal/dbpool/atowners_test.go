package dbpool

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// Guards against a database whose queue fills although its owners keep to their
// concurrency: a statement that was given up is still run by the database, so its place
// must not be used again at once.
func TestStatementThatWasGivenUpKeepsItsPlace(t *testing.T) {
	for _, atOwners := range []bool{false, true} {
		db := &fakeDatabase{answer: func(statement.Command) (statement.Answer, error) {
			return statement.Answer{}, fmt.Errorf("read answer: %w", os.ErrDeadlineExceeded)
		}}
		p, clk := newPool(db, Sizing{MaxOpen: 1, IdleTimeout: idleTimeoutDefault})
		p.queueAtOwners = atOwners
		p.latency.add(200*time.Millisecond, clk.read())
		l := acquire(t, p)
		if _, err := l.Run(Exchange{Deadline: time.Now().Add(time.Second)}); err == nil {
			t.Fatal("the statement was answered")
		}
		l.Discard()
		ticket, free := p.queue.TryAcquire(newRequest())
		if free == atOwners {
			t.Errorf("with QueueAtOwners %v: the place of the statement is free: %v", atOwners, free)
		}
		if free {
			ticket.Release(0)
			continue
		}
		for end := time.Now().Add(5 * time.Second); !free; time.Sleep(time.Millisecond) {
			if _, free = p.queue.TryAcquire(newRequest()); !free && time.Now().After(end) {
				t.Fatal("the place is never free again")
			}
		}
	}
}

// Guards against a database or an owner that counts as failed because a request had less
// time left than the queue takes, and against a failure that is not noticed because all
// requests have short deadlines.
func TestShortDeadlineIsNoFailure(t *testing.T) {
	var h health
	h.begin(1000 * ms)
	h.end(1000*ms, 1010*ms, true)
	h.begin(1020 * ms)
	h.expired(1020*ms, 1050*ms)
	if _, unresponsive := h.unresponsiveSince(1050 * ms); unresponsive || !h.idleAndHealthy() {
		t.Error("a request that passed its own deadline counts as a failure")
	}
	h.begin(1260 * ms)
	h.expired(1260*ms, 1290*ms)
	if since, unresponsive := h.unresponsiveSince(1290 * ms); !unresponsive || since != 1020*ms || h.outstanding != 0 {
		t.Errorf("unresponsive %v since %v, want since the first request without an answer", unresponsive, since)
	}
}

// Guards against an instance that opens direct connections to a busy database because
// all of its owners are slow, and against one that never does although none answers.
func TestSlowOwnersAreNotBypassed(t *testing.T) {
	for _, c := range []struct {
		atOwners     bool
		organisation string
	}{{false, ""}, {true, ""}, {false, "acme"}, {true, "acme"}} {
		x := newOversubscribedSet(t)
		atOwners := c.atOwners
		x.set.pools["db-1"].queueAtOwners = atOwners
		now := time.Hour
		for _, p := range x.set.pools["db-1"].owners {
			p.now = func() time.Duration { return now }
			p.health.begin(now)
		}
		through := func() string { p, _ := x.set.Pool("db-1", c.organisation); return p.Owner() }
		now += stallTimeout + ms
		if got := through() != ""; got != atOwners {
			t.Errorf("with %+v: a slow owner is used: %v", c, got)
		}
		now += slowOwnerLimit
		if got := through(); got != "" {
			t.Errorf("with %+v, after a second without progress: through %q, want a direct connection", c, got)
		}
	}
}

// Guards against the organisations of slow owners that all move to the first owner, which
// then closes connections of others for them, and against an owner that prefers its own
// connections while they are as slow as those of the others.
func TestOrganisationsStayWithSlowOwners(t *testing.T) {
	for _, self := range []bool{false, true} {
		x := newOversubscribedSet(t)
		x.set.cfg.Topology.Apply(topology.Configuration{Version: 1, Organisations: []organisation.Organisation{{Name: "any"}}})
		if self {
			x.set.cfg.Instance, x.self = "o1", true
		}
		x.reconcile()
		p := x.set.pools["db-1"]
		p.queueAtOwners = true
		before := x.ownersOf(t, 40)
		now := time.Hour
		for _, pool := range append(slices.Concat(p.owners, p.peers), p.direct) {
			pool.now = func() time.Duration { return now }
			pool.health.begin(now)
		}
		now += stallTimeout + ms
		if after := x.ownersOf(t, 40); !maps.Equal(before, after) {
			t.Errorf("with self %v: owners %v of slow owners, before %v", self, after, before)
		}
	}
}

// Guards against instances that together hold more statements in a database than its
// slots and its queue, 4 and 32 here, while each keeps to its own bound.
func TestConnectionsStayBelowTheQueueOfADatabase(t *testing.T) {
	const limit, places = 46, 36
	for _, n := range []int{3, 11, 12, 15, 20, 23, 30, 33, 46, 67} {
		var all []primacy.Registration
		for i := range n {
			name := fmt.Sprintf("inst-%d", i)
			all = append(all, primacy.Registration{Instance: name, Address: name + ":1", DataCentre: string(rune('a' + i%6))})
		}
		total := 0
		for _, reg := range all {
			set := NewSet(SetConfig{
				Clock: clock.Real{}, Now: clock.SinceBoot, Instances: func() int { return n }, Topology: topology.New(), QueueAtOwners: true,
				Owners: func(d topology.Database, limit int) ([]ownership.Instance, bool) {
					return primacy.Owners(all, reg.Instance, d.ID, d.DataCentre, limit)
				},
				MayConnect: func(d topology.Database, limit int) bool { return primacy.MayConnect(all, reg.Instance, d.ID, limit) },
			})
			set.started -= time.Hour
			set.reconcile(topology.Database{ID: "db-1", Service: "ledger", Address: "db:1", DataCentre: "a", Primary: true}, limit, n)
			if p := set.pools["db-1"]; p.isOwner || p.mayConnect {
				total += p.direct.Load().MaxOpen
			}
		}
		if total > places {
			t.Errorf("%d instances may hold %d connections, the database holds %d statements", n, total, places)
		}
	}
}

// Guards against an owner that gets no requests for long after it has restarted, and
// against requests that wait for the back-off of one owner while another can be dialled.
func TestRestartedOwnerIsTriedSoon(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.cfg.MayConnect = func(topology.Database, int) bool { return false }
	x.set.pools["db-1"].queueAtOwners = true
	now := time.Hour
	for _, p := range x.set.pools["db-1"].owners {
		p.now, p.queueAtOwners = func() time.Duration { return now }, true
	}
	x.reconcile()
	for _, owner := range []string{"o1:1", "o2:1"} {
		setError(x.owners[owner], errBroken)
	}
	for range 10 {
		now += time.Second
		for range 2 {
			if _, err := x.use(t); err == nil {
				t.Fatal("a request succeeds without an owner")
			}
		}
	}
	o1, o2 := x.set.pools["db-1"].owners[0], x.set.pools["db-1"].owners[1]
	if o1.dialBackoff != ownerBackoffMax || o2.dialBackoff != ownerBackoffMax {
		t.Errorf("back-offs of %v and %v, want %v", o1.dialBackoff, o2.dialBackoff, ownerBackoffMax)
	}
	o1.dialAfter, o2.dialAfter = now+200*ms, now+100*ms
	setError(x.owners["o2:1"], nil)
	now += 100 * ms
	if owner, err := x.use(t); owner != "o2" || err != nil {
		t.Errorf("through %q, %v, want the owner that may be dialled first", owner, err)
	}
}

// Guards against requests to the former address of an owner that has restarted elsewhere.
func TestOwnerWithAnotherAddressIsDialledThere(t *testing.T) {
	x := newOversubscribedSet(t)
	if _, err := x.use(t); err != nil {
		t.Fatal(err)
	}
	x.owners["o1:2"] = &fakeDatabase{}
	x.set.cfg.Owners = func(topology.Database, int) ([]ownership.Instance, bool) {
		return []ownership.Instance{{Name: "o1", Address: "o1:2"}}, false
	}
	x.reconcile()
	if owner, err := x.use(t); owner != "o1" || err != nil || x.owners["o1:2"].dialed != 1 {
		t.Errorf("through %q, %v, %d connections to the new address", owner, err, x.owners["o1:2"].dialed)
	}
}

// Guards against a database that only few instances reach because all of its owners are
// lost at once, and against substitutes that are used while an owner answers.
func TestSubstitutesServeWhileAllOwnersAreLost(t *testing.T) {
	x := newOversubscribedSet(t)
	x.set.cfg.QueueAtOwners = true
	x.set.pools["db-1"].queueAtOwners = true
	x.set.cfg.MayConnect = func(topology.Database, int) bool { return false }
	x.owners["s:1"] = &fakeDatabase{}
	x.set.cfg.Substitutes = func(topology.Database, int) []ownership.Instance {
		return []ownership.Instance{{Name: "o2", Address: "o2:1"}, {Name: "s", Address: "s:1"}}
	}
	x.reconcile()
	if _, ok := x.set.Owned("db-1"); ok {
		t.Error("an instance that may not connect offers connections")
	}
	setError(x.owners["o1:1"], errBroken)
	for range 3 {
		if _, err := x.use(t); err != nil {
			x.reconcile()
		}
	}
	if owner, err := x.use(t); owner != "o2" || err != nil {
		t.Errorf("through %q, %v, want the other owner", owner, err)
	}
	setError(x.owners["o2:1"], errBroken)
	for range 3 {
		if _, err := x.use(t); err != nil {
			x.reconcile()
		}
	}
	if owner, err := x.use(t); owner != "s" || err != nil {
		t.Errorf("through %q, %v, want the substitute", owner, err)
	}
	x.set.cfg.MayConnect = func(topology.Database, int) bool { return true }
	if x.reconcile(); len(x.set.pools["db-1"].owners) != 2 {
		t.Error("an instance that may connect itself uses substitutes")
	}
	if _, ok := x.set.Owned("db-1"); !ok {
		t.Error("an instance that may connect does not offer its connection")
	}
}
