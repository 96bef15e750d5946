package primacy

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

// renewLoop confirms the cached records periodically: from the store, or else
// from peers that reach the store, or else from the databases.
func (r *Runner) renewLoop(ctx context.Context) {
	for {
		wait := renewInterval
		if !r.isRegistered() {
			wait = checkInterval / 5
		} else {
			source, confirmed := r.renew(ctx)
			r.recordRound(confirmed)
			if r.hasUnestablished() {
				r.renewFromDatabases(ctx)
			}
			switch source {
			case fromUpstream:
				wait = upstreamInterval // the upstream holds the request
			case fromOthers:
				wait = storeDownRenewInterval
			}
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

// source is where an instance got the state of the store.
type source int

const (
	fromStore source = iota
	fromUpstream
	fromOthers // peers or databases, because the store did not answer
)

// renew confirms the cached records from an upstream, or else from the store, or else
// from peers that reach the store, or else from the databases. It reports whether it
// confirmed any.
func (r *Runner) renew(ctx context.Context) (source, bool) {
	r.mu.Lock()
	askStore := r.askStore
	r.mu.Unlock()
	if !askStore && r.renewRelayed(ctx) {
		return fromUpstream, true
	}
	from, confirmed := r.renewDirectly(ctx)
	switch {
	case askStore:
	case from == fromStore:
		r.noteSource(true)
	case confirmed && r.followsSubstitute():
		return fromUpstream, true
	}
	return from, confirmed
}

// renewDirectly asks the store, and after hedgeDelay without an answer also peers and
// databases, so that a store that is silent does not use up the validity.
func (r *Runner) renewDirectly(ctx context.Context) (source, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := r.inBackground("renewal from the store", func() bool { return r.renewFromStore(ctx) == nil })
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	select {
	case answered := <-store:
		if answered {
			return fromStore, true
		}
		r.cfg.OnStoreUnavailable()
		return fromOthers, r.renewFromOthers(ctx)
	case <-t.C:
	}
	others := r.inBackground("renewal from others", func() bool { return r.renewFromOthers(ctx) })
	if <-store {
		return fromStore, true
	}
	r.cfg.OnStoreUnavailable()
	return fromOthers, <-others
}

// renewFromOthers confirms the cached records without the store.
func (r *Runner) renewFromOthers(ctx context.Context) bool {
	return r.renewFromUpstream(ctx) || r.renewFromSubstitutesOrPeers(ctx) || r.renewFromDatabases(ctx)
}

// inBackground runs f in a goroutine and returns a channel that receives its result,
// or false if it panics.
func (r *Runner) inBackground(what string, f func() bool) <-chan bool {
	out := make(chan bool, 1)
	go func() {
		ok := false
		contain.Run(r.log, what, func() { ok = f() })
		out <- ok
	}()
	return out
}

func (r *Runner) renewFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	asked := r.cfg.Now()
	records, at, err := r.cfg.Store.Records(ctx)
	if err != nil {
		r.log.Debug().Err(err).Msg("The store did not confirm the records.")
		return err
	}
	r.mu.Lock()
	r.noteOrigin(r.cfg.Instance, asked)
	r.mu.Unlock()
	r.confirmRecords(records, at, asked)
	r.cfg.Listings.ObserveRevision(at, asked)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askStore = false
	return nil
}

// renewFromDatabases confirms the cached record of each service whose databases
// show that no replacement has begun (see ConfirmsPrimary), unless it was confirmed
// within databaseQueryAge. It reports whether any is confirmed.
func (r *Runner) renewFromDatabases(ctx context.Context) bool {
	var (
		extended atomic.Bool
		wg       sync.WaitGroup
	)
	for _, service := range r.cfg.Services() {
		rec, confirmed, ok := r.cfg.Cache.Record(service)
		if !ok || rec.Phase != Serving {
			continue
		}
		if r.cfg.Now()-confirmed < databaseQueryAge {
			extended.Store(true)
			continue
		}
		wg.Go(func() {
			contain.Run(r.log, "query to databases", func() {
				if r.extendFromDatabases(ctx, rec) {
					extended.Store(true)
				}
			})
		})
	}
	wg.Wait()
	return extended.Load()
}

// extendFromDatabases asks the databases of one service for their status. It
// confirms the record, or invalidates it if the primary is being replaced.
func (r *Runner) extendFromDatabases(ctx context.Context, rec Record) bool {
	asked := r.cfg.Now()
	others := r.countOthers(rec)
	answered := r.broadcast(ctx, rec, func(Member) (statement.Command, bool) {
		return statement.Command{Op: statement.OpStatus}, true
	})
	extended, superseded := r.cfg.Cache.ExtendFromDatabases(rec, answered, others, asked)
	if superseded {
		r.log.Info().Str("service", rec.Service).Uint64("token", rec.Token).
			Msg("A database reported a newer term or another primary. The primary is no longer used.")
	}
	return extended
}

// others returns the databases of a service without the recorded primary.
func (r *Runner) others(rec Record) []Member {
	return slices.DeleteFunc(r.cfg.Databases.Members(rec.Service), func(m Member) bool { return m.ID == rec.Primary })
}

// countOthers returns the number of databases of a service without the recorded
// primary.
func (r *Runner) countOthers(rec Record) int { return len(r.others(rec)) }

// recordRound records whether a renewal round confirmed any record.
func (r *Runner) recordRound(confirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.isolated()
	if confirmed {
		r.failedRounds = 0
	} else {
		r.failedRounds++
	}
	if is := r.isolated(); is != was {
		r.log.Warn().Bool("isolated", is).Int("failed_rounds", r.failedRounds).Msg("The reach of store and databases changed.")
	}
}

// isolatedAfterRounds is the number of consecutive failed renewal rounds after
// which an instance counts as isolated. In a failed round neither the store, nor a
// peer that reaches it, nor enough databases of any service answer. A round takes
// 0.9 s, and the load balancer removes an instance only after two failed probes
// one second apart.
const isolatedAfterRounds = 1

// Isolated reports whether this instance reaches neither the store nor the
// databases of any service, so that it can serve almost nothing.
func (r *Runner) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated()
}

// isolated implements Isolated. r.mu is held.
func (r *Runner) isolated() bool { return r.failedRounds >= isolatedAfterRounds }

// watchLoop watches the store for changed records, so that they arrive before the
// next renewal. While this instance has upstreams, these do so.
func (r *Runner) watchLoop(ctx context.Context) {
	backoff := storeRetryDelay
	for ctx.Err() == nil {
		if err := r.watch(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("The watch for changed records failed.")
			_ = sleep(ctx, backoff) // the loop condition checks ctx
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = storeRetryDelay
	}
}

// watch passes on changed records from the latest renewal on, until this instance
// has upstreams.
func (r *Runner) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after, changed, direct := r.watchStart()
	if !direct {
		return sleep(ctx, renewInterval)
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		wctx, wcancel := context.WithTimeout(ctx, watchTimeout+watchTimeoutMargin)
		records, at, err := r.cfg.Store.WatchRecords(wctx, after, watchTimeout)
		wcancel()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for _, rec := range records {
			r.applyRecord(rec, "watched")
		}
		after = at
	}
	return nil
}

// watchStart returns the store's revision from which to watch and a channel that is
// closed when the upstreams change. It reports false if this instance has upstreams or
// a substitute, does not know them yet, or has not heard from the store.
func (r *Runner) watchStart() (after revision.Revision, changed <-chan struct{}, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	relayed := len(r.upstreams.ordered) > 0 || r.substitution.upstream.Address != ""
	return r.state.revision, r.roleChanged, r.roleKnown && !relayed && r.state.asked != 0
}

// applyRecord stores a record in the cache if it is newer than the cached one.
func (r *Runner) applyRecord(rec Record, how string) {
	if r.cfg.Cache.Update(rec) {
		r.recordChanged(rec, how)
	}
}

// recordChanged handles a record that was just stored in the cache. The cache no
// longer returns the former primary at that point, so the registration may state
// that this instance stopped using it.
func (r *Runner) recordChanged(rec Record, how string) {
	if rec.Service == LimitsRecord {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.state.advance()
		return
	}
	r.log.Info().Str("service", rec.Service).Uint64("token", rec.Token).Str("phase", string(rec.Phase)).
		Str("primary", rec.Primary).Uint64("term", rec.Term).Stringer("revision", rec.Revision).Str("how", how).
		Str("promoter", rec.Promoter).Str("candidate", rec.Candidate).Msg("The record of a service changed.")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.advance()
	r.recordSeenAt[rec.Service] = r.cfg.Now()
	if r.era.known && rec.Revision.Era == r.era.number {
		delete(r.unestablished, rec.Service)
	}
	if rec.Phase == Replacing && r.reg.Stopped[rec.Service] < rec.Token {
		r.reg.Stopped[rec.Service] = rec.Token
		r.markDirty()
	}
	if slices.Contains(rec.Excluded, r.reg.Incarnation) {
		r.reregistrations++
		r.reg.Incarnation = r.cfg.Incarnation + incarnationSeparator + strconv.Itoa(r.reregistrations)
		r.markDirty()
	}
}
