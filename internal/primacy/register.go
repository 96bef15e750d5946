package primacy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumbeam/internal/revision"
)

// publishLoop writes this instance's registration whenever it has changed.
// Cached records are confirmed only after the first successful write, so that a
// promoter knows every instance that uses a primary.
func (r *Runner) publishLoop(ctx context.Context) {
	r.markDirty()
	for {
		select {
		case <-r.dirty:
		case <-ctx.Done():
			return
		}
		for r.publish(ctx) != nil {
			if sleep(ctx, storeRetryDelay) != nil {
				return
			}
		}
	}
}

func (r *Runner) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.mu.Lock()
	reg := r.reg
	reg.Stopped, reg.Suspects = maps.Clone(reg.Stopped), maps.Clone(reg.Suspects)
	r.mu.Unlock()
	// A shorter validity takes effect before it is published, a longer one after,
	// so that promoters never wait for less than the validity in use.
	if reg.Validity < r.published.validity {
		r.cfg.Cache.SetValidity(reg.Validity)
	}
	stored, err := r.cfg.Store.Register(ctx, reg)
	if err != nil {
		r.log.Warn().Err(err).Msg("Writing the registration failed.")
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reg.Revision = stored.Revision
	r.cfg.Cache.SetValidity(stored.Validity)
	known := r.published
	r.published = publishedState{stored.Incarnation, stored.Validity, reg.Suspects, stored.Revision.Era}
	if known.incarnation != stored.Incarnation {
		r.cfg.Cache.SetIncarnation(stored.Incarnation)
		r.askStore = true
	}
	if known.era != stored.Revision.Era {
		r.cfg.Cache.SetEra(stored.Revision.Era)
	}
	if !r.observeEraLocked(stored.Revision.Era) {
		r.markDirty() // the store was restored while the response was on its way
	}
	return nil
}

// markDirty makes publishLoop write the registration. It never blocks.
func (r *Runner) markDirty() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// Unregister removes the registration of this instance, which must no longer use any
// primary. Run must have ended: otherwise it may register again.
//
// The call names the revision of the registration. If its response is lost it may be
// executed seconds later, when the process has been started again and has registered:
// a removal without the revision then leaves a running instance without registration,
// and promoters don't wait for it.
func (r *Runner) Unregister(ctx context.Context) {
	r.mu.Lock()
	at, era := r.reg.Revision, r.era.number
	r.mu.Unlock()
	for {
		if at.IsZero() || at.Era != era {
			return // not registered in this era; the next process takes over what a late write may leave
		}
		found, err := r.cfg.Store.Unregister(ctx, r.cfg.Instance, at)
		switch {
		case err == nil:
			return
		case errors.Is(err, ErrConflict) && r.isOwn(found) && found.Revision != at:
			at, era = found.Revision, found.Revision.Era // of a write whose response was lost
		default:
			r.log.Warn().Err(err).Stringer("revision", at).Str("found", found.Incarnation).Msg("Removing the registration failed.")
			return
		}
	}
}

// isOwn reports whether this process wrote a registration, under its first incarnation
// or one that followed an exclusion.
func (r *Runner) isOwn(reg Registration) bool {
	return reg.Incarnation == r.cfg.Incarnation || strings.HasPrefix(reg.Incarnation, r.cfg.Incarnation+incarnationSeparator)
}

// incarnationSeparator separates the incarnation of the process from the number of its
// registration after an exclusion.
const incarnationSeparator = "+"

// checkRegistration compares a list of the registrations, which the store had at a
// revision, with this instance's own. If the store has lost it, no primary may be used
// until the instance has registered again: promoters don't wait for it.
func (r *Runner) checkRegistration(registered []Registration, at revision.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.reg.Revision
	if r.published.incarnation == "" || known.Era != at.Era || at.Before(known) || slices.ContainsFunc(registered, r.isOwn) {
		return
	}
	r.log.Error().Stringer("revision", known).Stringer("list", at).
		Msg("The store has lost the registration of this instance. It uses no primary until it has registered again.")
	r.published = publishedState{}
	r.cfg.Cache.Unregistered()
	r.markDirty()
}

func (r *Runner) isRegistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published.incarnation != ""
}

const (
	// instancesInterval is the interval between two lists of the instances, and
	// secondListDelay the delay before the second list. All instances of a new
	// deployment register within a second; after a restart of all instances the
	// first list still shows the registrations of the previous processes.
	instancesInterval = 10 * time.Second
	secondListDelay   = 1500 * time.Millisecond
	// emptyListDelay is the delay after a list that shows no instances. Those of a
	// new deployment start within 300 ms of each other.
	emptyListDelay = 400 * time.Millisecond
)

// instancesLoop lists the registered instances and derives from them the number
// of instances, by which connections are divided, and the upstreams.
func (r *Runner) instancesLoop(ctx context.Context) {
	waits := []time.Duration{0, secondListDelay}
	failures := 0
	for wait := time.Duration(0); r.awaitListTime(ctx, wait) == nil; {
		cctx, cancel := context.WithTimeout(ctx, storeTimeout)
		registered, at, err := r.cfg.Store.StaleRegistrations(cctx)
		cancel()
		wait = instancesInterval
		if len(waits) > 1 {
			waits = waits[1:]
			wait = waits[0]
		}
		if err != nil {
			wait = r.listRetryDelay(failures)
			failures++
			continue
		}
		failures = 0
		r.checkRegistration(registered, at)
		registered = slices.DeleteFunc(registered, func(reg Registration) bool { return reg.Unreadable })
		if len(registered) == 0 {
			wait = emptyListDelay // the upstreams are not known yet
			continue
		}
		if r.isRegistered() && at.Era > r.StoreEra() {
			r.observeEra(at.Era) // the next list is due when all have registered again
			continue
		}
		r.setInstances(ctx, registered)
	}
}

// awaitListTime waits for d, or until secondListDelay after the store was restored: by
// then the instances have registered again.
func (r *Runner) awaitListTime(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-r.relist:
			t.Reset(secondListDelay)
		case <-t.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// setInstances takes over a list of the registered instances.
func (r *Runner) setInstances(ctx context.Context, registered []Registration) {
	r.mu.Lock()
	first := !r.roleKnown
	r.instanceCount = max(1, len(registered))
	r.knownInstances = registered
	clear(r.ownersCache)
	ordered := upstreamsIn(r.cfg.Regions, registered, r.cfg.Instance, r.cfg.DataCentre)
	changed := first || !slices.Equal(ordered, r.upstreams.ordered)
	relayed := r.upstreams.set(ordered)
	r.substitution.setFleet(registered)
	r.roleKnown = true
	if changed {
		close(r.roleChanged)
		r.roleChanged = make(chan struct{})
		r.substitution.direct = false // the next renewal tells the listings again
	}
	r.mu.Unlock()
	if !changed {
		return
	}
	names := make([]string, 0, len(ordered))
	for _, u := range ordered {
		names = append(names, u.Name)
	}
	r.log.Info().Strs("upstreams", names).Int("instances", len(registered)).Msg("The upstreams of this instance changed.")
	if first && relayed {
		r.fetchUpstream(ctx, ordered[0], SnapshotQuery{})
	}
	r.cfg.Listings.SetRelayed(relayed)
}
