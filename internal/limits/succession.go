package limits

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/quota"
)

const (
	// silenceTime and silenceRankTime are for how long the coordinator must not have
	// answered the first instance in the order of succession, and each further one.
	silenceTime     = 1 * time.Second
	silenceRankTime = 500 * time.Millisecond
	// maxRank bounds the rank. Only instances that send requests notice that the
	// coordinator does not answer, so all of the first ones in the order may be unaware.
	maxRank = 8
	// turnTime is the delay per rank in the order of succession if the coordinator is
	// known to have ended.
	turnTime = 60 * time.Millisecond
	// maxJitter spreads the instances of the same rank.
	maxJitter = 250 * time.Millisecond
	// retryTime is the delay after an attempt to take the record.
	retryTime = 500 * time.Millisecond
	// storeTimeout bounds a call to the store.
	storeTimeout = 1 * time.Second
	// settledTime is how long after a restore of the store all shares that were granted
	// under lost records have expired, and instances that hold others have registered.
	settledTime = quota.ConfirmValidity + quota.ShareValidity + 5*time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = 1
)

// succession is what an instance knows of the coordinator. Limiter.mu guards it.
type succession struct {
	stopping    bool          // this instance shuts down
	token       uint64        // of the coordinator
	silentSince time.Duration // the first request without a reply; 0: all were answered
	ended       bool          // the coordinator says that it grants nothing any more
	vacantSince time.Duration // 0: there is a coordinator
	attemptedAt time.Duration
	listingAt   time.Duration
}

// noteRequest notes that a request was sent to the coordinator.
func (l *Limiter) noteRequest(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.succession.silentSince == 0 {
		l.succession.silentSince = now
	}
}

// noteReply notes a reply of the coordinator.
func (l *Limiter) noteReply(r quota.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.succession.silentSince = 0
	l.succession.ended = r.Stopping && r.Token >= l.succession.token
}

// coordinate takes the record over if it is this instance's turn, and gives the allocator
// what it needs.
func (l *Limiter) coordinate(ctx context.Context, now time.Duration, era uint64, rec primacy.Record, known bool) {
	l.mu.Lock()
	if rec.Token > l.succession.token {
		l.succession.token, l.succession.silentSince, l.succession.ended, l.succession.vacantSince = rec.Token, 0, false, 0
	}
	alloc, due := l.alloc, l.isTurn(now, era, rec, known)
	if due {
		l.succession.attemptedAt = now
	}
	list := alloc != nil && alloc.NeedsList(now) && now-l.succession.listingAt >= retryTime
	if list {
		l.succession.listingAt = now
	}
	l.mu.Unlock()
	if list {
		go l.listInstances(ctx, alloc)
	}
	if due {
		l.takeOver(ctx, era, rec, known)
	}
}

// isTurn reports whether this instance should take the record over now. l.mu is held.
func (l *Limiter) isTurn(now time.Duration, era uint64, rec primacy.Record, known bool) bool {
	s := &l.succession
	if s.stopping || (s.attemptedAt != 0 && now-s.attemptedAt < retryTime) {
		return false
	}
	own := known && rec.Promoter == l.cfg.Incarnation
	if own && rec.Revision.Era == era && l.alloc != nil && l.alloc.Token() == rec.Token {
		return false
	}
	if own || (known && rec.Primary == l.cfg.Instance) {
		return true // the store lost the record, or a former process of this instance wrote it
	}
	rank := time.Duration(min(l.rank(rec.Primary), maxRank))
	if !known || rec.Revision.Era != era || s.ended || l.hasEnded(rec) {
		if s.vacantSince == 0 {
			s.vacantSince = now
		}
		return now-s.vacantSince >= rank*turnTime+l.jitter()
	}
	s.vacantSince = 0
	return s.silentSince != 0 && now-s.silentSince >= silenceTime+rank*silenceRankTime+l.jitter()
}

// hasEnded reports whether the process that a record names has ended: its instance is
// registered under another incarnation, or no longer.
func (l *Limiter) hasEnded(rec primacy.Record) bool {
	known := l.cfg.Registry.KnownInstances()
	i := slices.IndexFunc(known, func(r primacy.Registration) bool { return r.Instance == rec.Primary })
	if i < 0 {
		return false // it may have registered since the list
	}
	// A list may be from before a restart, but no instance starts again under an
	// incarnation of the past.
	return known[i].Revision.Era == rec.Revision.Era && rec.Revision.Number < known[i].Revision.Number && !isOwn(known[i].Incarnation, rec.Promoter)
}

// rank returns the position of this instance in the order of succession.
func (l *Limiter) rank(coordinator string) int {
	var all []ownership.Instance
	for _, r := range l.cfg.Registry.KnownInstances() {
		if r.Instance != coordinator {
			all = append(all, ownership.Instance{Name: r.Instance})
		}
	}
	order := ownership.Order(primacy.LimitsRecord, all)
	if i := slices.IndexFunc(order, func(i ownership.Instance) bool { return i.Name == l.cfg.Instance }); i >= 0 {
		return i
	}
	return len(order)
}

func (l *Limiter) jitter() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(l.cfg.Incarnation)) // never fails
	return maxJitter * time.Duration(h.Sum32()%1000) / 1000
}

// takeOver makes this instance the coordinator by a conditional write.
func (l *Limiter) takeOver(ctx context.Context, era uint64, rec primacy.Record, known bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored := rec.Revision
	if known && rec.Revision.Era != era {
		found, ok := l.storedRecord(ctx, era)
		if !ok {
			return
		}
		stored = found.Revision
		rec.Token = max(rec.Token, found.Token)
		rec.Unsettled = rec.Unsettled || found.Unsettled
	}
	next := primacy.Record{
		Service: primacy.LimitsRecord, Revision: stored, Token: primacy.NextToken(era, max(rec.Token, l.share.Token())),
		Phase: primacy.Serving, Primary: l.cfg.Instance, Promoter: l.cfg.Incarnation, Candidate: l.cfg.Address,
		Unsettled: l.isIncomplete(era, rec, known),
	}
	asked := l.cfg.Now()
	write := l.cfg.Store.UpdateRecord
	if stored.IsZero() {
		write = l.cfg.Store.CreateRecord
	}
	written, err := write(ctx, era, next)
	if err != nil {
		if !errors.Is(err, primacy.ErrConflict) {
			l.log.Warn().Err(err).Uint64("token", next.Token).Msg("Taking over the coordination of the limits failed.")
		}
		return
	}
	l.startCoordinating(written, rec.Primary, asked)
}

// storedRecord returns the record in the store, or the zero value if there is none.
func (l *Limiter) storedRecord(ctx context.Context, era uint64) (primacy.Record, bool) {
	all, at, err := l.cfg.Store.Records(ctx)
	if err != nil || at.Era != era {
		return primacy.Record{}, false
	}
	for _, r := range all {
		if r.Service == primacy.LimitsRecord {
			return r, true
		}
	}
	return primacy.Record{}, true
}

// isIncomplete reports whether the store may have lost a record or registrations lately.
func (l *Limiter) isIncomplete(era uint64, rec primacy.Record, known bool) bool {
	switch {
	case !known:
		return era > firstEra
	case rec.Revision.Era != era:
		return true
	}
	return rec.Unsettled && l.cfg.Registry.EraAge() < settledTime
}

// startCoordinating starts the coordination under a record that the store has accepted.
func (l *Limiter) startCoordinating(rec primacy.Record, predecessor string, asked time.Duration) {
	now := l.cfg.Now()
	l.mu.Lock()
	if l.alloc != nil {
		l.alloc.ObserveToken(rec.Token)
	}
	l.share.ObserveToken(rec.Token)
	l.share.LimitValidity(now + quota.ConfirmValidity)
	l.alloc = quota.NewAllocator(quota.AllocatorConfig{
		Instance: l.cfg.Instance, Token: rec.Token, Asked: asked, Started: now, Predecessor: predecessor, Incomplete: rec.Unsettled,
	})
	if l.succession.stopping {
		l.alloc.Stop()
	}
	l.mu.Unlock()
	l.cfg.Records.Update(rec)
	l.stats.takeovers.Add(1)
	l.log.Info().Uint64("token", rec.Token).Str("predecessor", predecessor).Bool("unsettled", rec.Unsettled).
		Msg("This instance coordinates the limits of organisations.")
}

// listInstances gives the allocator a list of the registered instances.
func (l *Limiter) listInstances(ctx context.Context, alloc *quota.Allocator) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := l.cfg.Now()
	all, err := l.cfg.Store.Registrations(ctx)
	if err != nil {
		l.log.Debug().Err(err).Msg("Listing the instances for the limits failed.")
		return
	}
	names := make([]string, 0, len(all))
	for _, r := range all {
		names = append(names, r.Instance)
	}
	alloc.SetRegistered(names, asked, l.cfg.Now())
}
