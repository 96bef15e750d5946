package primacy

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
)

// Guards against an instance that is suspended when it has written the candidate, and that
// promotes it when it wakes: a successor has promoted another database meanwhile, whose
// acknowledged writes would be lost.
func TestSuspendedPromoterDoesNotPromote(t *testing.T) {
	store, g := newFakeStore(), newFakeGroup()
	var suspended atomic.Int64
	now := func() time.Duration { return clock.SinceBoot() + time.Duration(suspended.Load()) }
	cache := NewRecordCache("a", recordValidity, now)
	r := NewRunner(Config{
		Instance: "a", Incarnation: "a", Store: store, Databases: databaseView{g, "a"}, Promotions: g, Cache: cache,
		Now: now, Log: zerolog.Nop(),
	})
	rec, err := store.CreateRecord(t.Context(), 0, Record{Service: "ledger", Token: 1, Phase: Serving, Primary: "db-1", Term: 1})
	if err != nil {
		t.Fatal(err)
	}
	cache.Update(rec)
	g.stop("db-1")
	store.after = func(r Record) error {
		if r.Candidate != "" && suspended.Load() == 0 {
			suspended.Store(int64(takeoverTimeout))
		}
		return nil
	}
	r.runReplacement(t.Context(), 0, rec, false)
	if promoted, tokens := g.promotions(); len(promoted) != 0 {
		t.Errorf("promoted %v under the tokens %v after a suspension of %v", promoted, tokens, takeoverTimeout)
	}
	known, _, _ := cache.Record("ledger")
	r.runReplacement(t.Context(), 0, known, false)
	if _, tokens := g.promotions(); !slices.Equal(tokens, []uint64{3}) {
		t.Errorf("promoted under the tokens %v, want the next attempt's", tokens)
	}
}

// Guards against a successor that takes a replacement over while a promotion call of the
// former promoter may still be sent or on its way.
func TestPromotionsEndBeforeATakeover(t *testing.T) {
	if promotionWindow+promoteTimeout > takeoverTimeout {
		t.Errorf("calls are sent for %v and take up to %v; a replacement is taken over after %v", promotionWindow, promoteTimeout, takeoverTimeout)
	}
	if promotionWindow < promoteTimeout {
		t.Error("a call that is not answered is not repeated")
	}
}
