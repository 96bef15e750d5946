package primacy

import (
	"context"
	"time"

	"geraniumbeam/internal/statement"
)

// A store that was restored from an older copy has lost what the instances wrote
// since: records, and registrations. A record that it still has may be older than
// those that the instances have acted on. So in a new era each instance registers
// again, and a record from an earlier era confirms no primary until an instance has
// established it: compared it with the records that the instances remember and with
// the state of the databases, and written it again.
//
// Until then the databases confirm the records that the instances remember, as while
// the store is unavailable.

const (
	// unprovenDelay is by how much longer an instance that uses no primary of a
	// service waits before it establishes the record. One that uses it needs fewer
	// databases to prove who leads.
	unprovenDelay = 200 * time.Millisecond
	// establishTimeout is how long after the restore a record may be unestablished
	// before an instance replaces a primary for which it finds no proof. Others, which
	// reach more databases, have tried by then.
	establishTimeout = 1500 * time.Millisecond
)

// tokenEraBits is the number of the low bits of a token that count replacements
// within an era.
const tokenEraBits = 20

// NextToken is nextToken for holders of other records.
func NextToken(era, prev uint64) uint64 { return nextToken(era, prev) }

// nextToken returns the fencing token that follows prev in an era of the store. It is
// higher than all tokens of earlier eras, also of those that the store has lost.
func nextToken(era, prev uint64) uint64 { return max(prev, era<<tokenEraBits) + 1 }

// knownEra is the latest era of the store that an instance has heard of.
type knownEra struct {
	number uint64
	known  bool
	seenAt time.Duration
}

// observeEra notes the era in a response of the store or of a peer. It reports false
// if the response is from before a restore that this instance knows of.
func (r *Runner) observeEra(era uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observeEraLocked(era)
}

// observeEraLocked is observeEra with r.mu held.
func (r *Runner) observeEraLocked(era uint64) bool {
	if r.era.known && era <= r.era.number {
		return era == r.era.number
	}
	first := !r.era.known
	former := r.era.number
	r.era = knownEra{number: era, known: true, seenAt: r.cfg.Now()}
	if first {
		return true
	}
	r.log.Warn().Uint64("era", era).Uint64("former_era", former).
		Msg("The store was restored from an older copy. This instance registers again.")
	if r.published.era < era {
		r.markDirty()
	}
	select {
	case r.relist <- struct{}{}:
	default:
	}
	return true
}

// StoreEra returns the latest known era of the store.
func (r *Runner) StoreEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era.number
}

// noteUnestablished finds the services whose record is from an earlier era than the
// list of records, or was lost. r.mu is held.
func (r *Runner) noteUnestablished(records []Record, era uint64) {
	clear(r.unestablished)
	listed := make(map[string]bool, len(records))
	for _, rec := range records {
		listed[rec.Service] = true
		if rec.Revision.Era < era && rec.Service != LimitsRecord {
			r.unestablished[rec.Service] = true
		}
	}
	cached, _ := r.cfg.Cache.Records()
	for _, rec := range cached {
		switch {
		case rec.Revision.Era == era:
			delete(r.unestablished, rec.Service) // written since the list
		case !listed[rec.Service] && rec.Service != LimitsRecord:
			r.unestablished[rec.Service] = true
		}
	}
}

// isUnestablished reports whether the record of a service must be established.
func (r *Runner) isUnestablished(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unestablished[service]
}

// hasUnestablished reports whether the record of any service must be established.
func (r *Runner) hasUnestablished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unestablished) > 0
}

// establish writes the record of a service for the present era of the store, in this
// instance's turn. If the databases prove who leads, it names that database as
// primary. Otherwise it starts a replacement.
func (r *Runner) establish(ctx context.Context, service string) {
	if !r.awaitEstablishTurn(ctx, service) {
		return
	}
	asked := r.cfg.Now()
	records, at, err := r.cfg.Store.Records(ctx)
	if err != nil {
		r.log.Warn().Str("service", service).Err(err).Msg("Listing the records of the restored store failed.")
		return
	}
	r.confirmRecords(records, at, asked)
	known, _, ok := r.cfg.Cache.Record(service)
	if !ok || !r.isUnestablished(service) {
		return
	}
	stored, _ := findRecord(records, service) // the zero value if the store has lost it
	r.establishFrom(ctx, at.Era, known, stored)
}

// establishFrom writes the record of a service in an era, given the newest known record
// and the one that the store has.
func (r *Runner) establishFrom(ctx context.Context, era uint64, known, stored Record) {
	service := known.Service
	_, inUse := r.cfg.Cache.Primary(service)
	all := len(r.cfg.Databases.Members(service))
	answered := r.broadcast(ctx, known, func(Member) (statement.Command, bool) {
		return statement.Command{Op: statement.OpStatus}, true
	})
	if !r.unchanged(known) || !r.isUnestablished(service) {
		return
	}
	rec := withLeader(known, answered)
	rec.Revision = stored.Revision
	r.log.Warn().Str("service", service).Uint64("era", era).Uint64("known_token", known.Token).Uint64("stored_token", stored.Token).
		Str("primary", rec.Primary).Uint64("term", rec.Term).Int("answered", len(answered)).Int("databases", all).Bool("in_use", inUse).
		Msg("The record of a service is from before a restore of the store.")
	switch {
	case provesLeader(known, rec, answered, all, inUse):
		r.writeEstablished(ctx, era, rec)
	case Superseded(rec, answered) || r.eraAge() > establishTimeout:
		r.runReplacement(ctx, era, rec, false)
	}
}

// awaitEstablishTurn waits for this instance's turn to establish the record of a
// service. It reports whether that is still to be done.
func (r *Runner) awaitEstablishTurn(ctx context.Context, service string) bool {
	r.mu.Lock()
	wait := time.Duration(rankOf(r.cfg.Instance, service, namesOf(r.knownInstances))) * rankDelay
	r.mu.Unlock()
	if _, inUse := r.cfg.Cache.Primary(service); !inUse {
		wait += unprovenDelay
	}
	return sleep(ctx, wait) == nil && r.isUnestablished(service)
}

// eraAge returns how long this instance has known the present era.
func (r *Runner) eraAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now() - r.era.seenAt
}

// writeEstablished writes a record whose primary leads and stays in use. If the
// write fails, the next check finds out whether it took effect.
func (r *Runner) writeEstablished(ctx context.Context, era uint64, rec Record) {
	rec.Token, rec.Phase, rec.Promoter = nextToken(era, rec.Token), Serving, r.incarnation()
	rec.Candidate, rec.Attempted, rec.Planned, rec.Unsettled = "", false, false, true
	done, err := r.storeRecord(ctx, era, rec)
	if err != nil {
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Err(err).Msg("Writing the record of a service again failed.")
		return
	}
	r.applyRecord(done, "written again")
}

// storeRecord updates a record, or creates it if it has no revision.
func (r *Runner) storeRecord(ctx context.Context, era uint64, rec Record) (Record, error) {
	if rec.Revision.IsZero() {
		return r.cfg.Store.CreateRecord(ctx, era, rec)
	}
	return r.cfg.Store.UpdateRecord(ctx, era, rec)
}

// holds reports whether this instance may go on with a replacement: no newer record is
// known, and the store was not restored since the latest write of rec.
func (r *Runner) holds(rec Record) bool {
	known, _, ok := r.cfg.Cache.Record(rec.Service)
	return ok && known.Token == rec.Token && r.StoreEra() == rec.Revision.Era
}

// withLeader returns the record with the highest term that a database knows, and with
// the database that leads this term, if one says so. The store may have lost several
// changes of primary, and fences must be above the terms of all of them.
func withLeader(rec Record, answered []MemberStatus) Record {
	for _, o := range answered {
		rec.Term = max(rec.Term, o.Status.Term)
	}
	if leads(rec, answered) {
		return rec
	}
	for _, o := range answered {
		if o.Status.Primary && o.Status.Term == rec.Term {
			rec.Primary = o.ID
		}
	}
	return rec
}

// provesLeader reports whether the answers of the databases prove that the primary of
// rec leads and that no replacement is in progress. known is the newest known record,
// and inUse tells whether this instance may use its primary. An instance that does has
// not stopped for any promoter, so a promoter would have fenced a quorum of the
// databases. Without that, all databases must have answered.
func provesLeader(known, rec Record, answered []MemberStatus, all int, inUse bool) bool {
	sameLeader := rec.Primary == known.Primary && rec.Term == known.Term
	valid := known.Phase == Serving && inUse && sameLeader
	proven := valid || (leads(rec, answered) && !Superseded(rec, answered))
	if all > 1 {
		proven = ConfirmsPrimary(rec, answered, all-1, valid)
	}
	return proven && (known.Phase == Serving || !sameLeader) // another leader: a replacement in progress has ended
}
