package primacy

import (
	"context"
	"testing"
	"time"
)

// Guards against a service without a primary for 5 s because an instance that shuts
// down starts a replacement and ends before it is complete.
func TestRetiredInstanceStartsNoReplacement(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	for _, name := range []string{"a", "b"} {
		all[name].runner.Retire(t.Context())
	}
	g.stop("db-1")
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	if _, tokens := g.promotions(); len(tokens) != 1 || tokens[0] != 2 {
		t.Errorf("promotions with tokens %v, want one with 2", tokens)
	}
}

// Guards against a replacement that stands still until the time-out because its
// promoter shuts down, and against two promoters that use one token.
func TestRetiringInstanceGivesUpItsReplacement(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	g.mu.Lock()
	g.promotionStalls = true
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "a promotion is tried", func() bool { promoted, _ := g.promotions(); return len(promoted) > 0 })
	promoter := all[store.record().Promoter].runner
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	promoter.Retire(ctx)
	given := time.Now()
	_, before := g.promotions()
	if r := store.record(); r.Phase != Replacing || r.Promoter != noPromoter {
		t.Fatalf("record %+v, want one without a promoter", r)
	}
	g.mu.Lock()
	g.promotionStalls = false
	g.mu.Unlock()
	eventually(t, "db-2 leads", allUse(all, "db-2"))
	if took := time.Since(given); took > takeoverTimeout {
		t.Errorf("the successor took %v; it waited for the time-out", took)
	}
	_, tokens := g.promotions()
	for _, token := range tokens[len(before):] {
		if token <= before[0] {
			t.Errorf("token %d is used after %d was given up", token, before[0])
		}
	}
}

// Guards against a hand-over while a promotion call is on its way: it could arrive
// after the call of the successor, with an older token.
func TestUnansweredPromotionIsNotHandedOver(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	all := startInstances(t, store, g, "a", "b", "c")
	g.mu.Lock()
	g.promotionFails = true
	g.mu.Unlock()
	g.stop("db-1")
	eventually(t, "a promotion is tried", func() bool { promoted, _ := g.promotions(); return len(promoted) > 0 })
	promoter := store.record().Promoter
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	all[promoter].runner.Retire(ctx)
	if r := store.record(); r.Promoter != promoter {
		t.Errorf("record %+v, want promoter %s until the time-out", r, promoter)
	}
}
