package integration

import (
	"fmt"
	"testing"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

// configurationDeadline is how long a configuration may take until it is in force
// everywhere, after the store has acknowledged it.
const configurationDeadline = 3 * time.Second

// configure stores a configuration with the routes of the first service and one more
// that callers know as database extra.
func (h *hostedCluster) configure(version int, extra string) {
	routes := append(routesOf("svc0"), hosted.Route{
		Database: extra, Type: "primary", Service: "svc0", Timeout: 800 * time.Millisecond, MaxAge: boundedAge,
	})
	h.store.Configure(version, routes, map[string]int{"svc0": 4 * len(h.instances)}, 3*time.Second)
}

// serves reports whether an instance serves a read of a caller's database.
func (h *hostedCluster) serves(i int, database string) bool {
	c, err := dialHosted(h.callerAddresses[i], database)
	if err != nil {
		return false
	}
	defer c.close()
	a, err := c.query(fmt.Sprintf("probe-%d", time.Now().UnixNano()), "READ k")
	return err == nil && a.code == ""
}

// waitServed waits until all instances serve a database, for the time that a
// configuration may take.
func (h *hostedCluster) waitServed(database string) {
	h.t.Helper()
	end := time.Now().Add(configurationDeadline)
	for i := range h.callerAddresses {
		for !h.serves(i, database) {
			if time.Now().After(end) {
				h.t.Fatalf("instance %d does not serve the route %s %v after it was acknowledged", i, database, configurationDeadline)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// checkTokensRise checks that no promotion was asked for with a token that another
// instance had used, or with one below that of an earlier call.
func (h *hostedCluster) checkTokensRise() {
	h.t.Helper()
	for _, g := range h.groups {
		var last hosted.PromotionCall
		for _, c := range g.PromotionCalls() {
			if c.Token < last.Token || (c.Token == last.Token && c.Holder != last.Holder) {
				h.t.Errorf("promotion %+v follows %+v; want a higher token", c, last)
			}
			last = c
		}
	}
}

// failOver makes the primary of the first service unreachable to everybody until
// another database is the primary.
func (h *hostedCluster) failOver() {
	h.t.Helper()
	former := h.groups[0].Primary()
	former.SetPartitioned(true)
	for i := range h.instances {
		former.SetUnresponsiveTo(fmt.Sprintf("inst-%d", i), true)
	}
	waitFor(h.t, 30*time.Second, "another database is the primary", func() bool { return h.groups[0].Primary() != former })
	former.SetPartitioned(false)
	for i := range h.instances {
		former.SetUnresponsiveTo(fmt.Sprintf("inst-%d", i), false)
	}
	h.waitAllServing()
}

// Guards against instances that take no configuration from a store that was restored
// from an older copy, because its revisions are below those that they have seen.
func TestHostedRestoredStoreTakesNewConfiguration(t *testing.T) {
	h := startHosted(t, 3, 1)
	backup := h.store.Backup()
	for version := 10; version < 40; version++ {
		h.configure(version, fmt.Sprintf("before%d", version))
	}
	h.waitServed("before39")
	h.store.SetFault("", hosted.Busy)
	time.Sleep(300 * time.Millisecond)
	h.store.Restore(backup)
	h.store.SetFault("", hosted.Healthy)
	h.configure(50, "after")
	h.waitServed("after")
}

// Guards against instances that use the former primary, reuse a fencing token or
// replace no primary any more after the store lost a change of primary.
func TestHostedRestoredStoreLosesPromotion(t *testing.T) {
	h := startHosted(t, 3, 1)
	hist := &history{}
	stop := runCallers(h, hist, 8, 27)
	backup := h.store.Backup()
	h.failOver()
	leader := h.groups[0].Primary()
	h.store.SetFault("", hosted.Busy)
	time.Sleep(300 * time.Millisecond)
	h.store.Restore(backup)
	h.store.SetFault("", hosted.Healthy)
	time.Sleep(2 * time.Second) // longer than the validity of the instances' records
	h.waitAllServing()
	if now := h.groups[0].Primary(); now != leader {
		t.Errorf("the restore replaced a working primary")
	}
	h.failOver()
	stop()
	h.checkTokensRise()
	h.report(hist)
}
