package primacy

import (
	"context"
	"testing"
)

// Guards against a running instance without registration, because the store carries out
// a removal of the former process after the response was lost and the instance has
// started again (review/3). A promoter does not wait for an instance that it doesn't
// know, and that one goes on with the replaced primary.
func TestLateRemovalSparesTheNextProcess(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b")
	x := all["a"]
	x.stop()
	store.mu.Lock()
	store.loseRemoval = true
	store.mu.Unlock()
	x.runner.Unregister(context.Background())
	next := startInstance(t, store, g, x.network, "a", "a of the next process")
	eventually(t, "the next process uses the primary", func() bool { _, ok := next.cache.Primary("ledger"); return ok })
	store.carryOutLate()
	if reg, ok := store.registration("a"); !ok || reg.Incarnation != "a of the next process" {
		t.Errorf("the registration is %+v, %v", reg, ok)
	}
}

// Guards against a registration that stays behind because the response to its latest
// write was lost, so that the process does not know its revision.
func TestRegistrationOfAnUnknownRevisionIsRemoved(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	x := startInstances(t, store, g, "a", "b")["a"]
	x.stop()
	store.mu.Lock()
	reg := store.regs["a"]
	store.mu.Unlock()
	if _, err := store.Register(context.Background(), reg); err != nil {
		t.Fatal(err)
	}
	x.runner.Unregister(context.Background())
	if _, ok := store.registration("a"); ok {
		t.Error("the registration is still there")
	}
}

// Guards against an instance that goes on without registration, which no promoter waits
// for, after the store has lost it.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	x := startInstances(t, store, g, "a", "b")["a"]
	store.lose("a")
	eventually(t, "the instance has registered again", func() bool { _, ok := store.registration("a"); return ok })
	eventually(t, "the primary is in use again", func() bool { _, ok := x.cache.Primary("ledger"); return ok })
}

// Guards against use of a primary between the loss of a registration and the next one.
func TestLostRegistrationEndsTheUseOfPrimaries(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	x := startInstances(t, store, g, "a", "b")["a"]
	store.mu.Lock()
	store.unavailable = true // no new registration
	store.mu.Unlock()
	_, at, _ := store.StaleRegistrations(context.Background())
	at.Number += 1000
	x.runner.checkRegistration(nil, at)
	if p, ok := x.cache.Primary("ledger"); ok {
		t.Errorf("%+v is still used", p)
	}
}

// Guards against an instance that registers again because a list is older than its
// registration.
func TestOldListIsNoLossOfTheRegistration(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	x := startInstances(t, store, g, "a", "b")["a"]
	x.runner.mu.Lock()
	at := x.runner.reg.Revision
	x.runner.mu.Unlock()
	at.Number--
	x.runner.checkRegistration(nil, at)
	if _, ok := x.cache.Primary("ledger"); !ok {
		t.Error("the primary is no longer used")
	}
}
