package primacy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/statement"
)

const (
	// controlTimeout bounds a control command to one database. It covers the
	// queue of a database whose slots are all busy with slow statements.
	controlTimeout = 400 * time.Millisecond
	// confirmPollInterval is the interval between two checks of which instances have
	// confirmed.
	confirmPollInterval = 40 * time.Millisecond
	// listIntervalPerInstance is by how much each registered instance lengthens the
	// interval between two lists of the registrations, up to maxListInterval. At 64
	// instances a list has 25 KB; every 40 ms it would take half of a 10 Mbit/s
	// link. Instances are queried directly in between.
	listIntervalPerInstance = 2 * time.Millisecond
	maxListInterval         = 1 * time.Second
	// switchoverConfirmTimeout is how long a switchover waits for all instances
	// to confirm before it treats the others as cut off from the store.
	switchoverConfirmTimeout = 400 * time.Millisecond
	// fenceRetryDelay is how long the promoter waits for confirmations before it
	// fences the remaining replicas again.
	fenceRetryDelay = 100 * time.Millisecond
	// catchUpTimeout bounds the wait of a switchover until a replica has received the
	// whole log of the former primary.
	catchUpTimeout = 600 * time.Millisecond
	// promoteTimeout bounds one promotion call.
	promoteTimeout = 1500 * time.Millisecond
	// leadTimeout bounds the wait until a promoted database reports that it is
	// primary.
	leadTimeout = 4 * time.Second
	// leadPollInterval is the interval between two status requests in that wait.
	leadPollInterval = 60 * time.Millisecond
	// storeRetryDelay is the delay before a failed call to the store is retried.
	storeRetryDelay = 100 * time.Millisecond
)

// errRecordTaken means that another promoter holds the record.
var errRecordTaken = errors.New("another instance holds the service's record")

// errPromotionUnanswered means that a promotion call may still be on its way.
var errPromotionUnanswered = errors.New("a promotion call was not answered")

// takeRecord starts a replacement: it makes this instance the promoter in the
// service's record, under a new token of the given era.
func (r *Runner) takeRecord(ctx context.Context, era uint64, from Record, planned bool) (Record, error) {
	next := from
	next.Token, next.Phase, next.Promoter = nextToken(era, from.Token), Replacing, r.incarnation()
	next.Candidate, next.Planned = "", planned
	next.Unsettled = from.Unsettled || from.Revision.Era != era
	return r.writeRecord(ctx, era, next)
}

// writeRecord writes a record of which this instance is the promoter. If the
// response is lost, it reads the record back to find out whether the write took
// effect. It fails with ErrRestored if the store leaves the era.
func (r *Runner) writeRecord(ctx context.Context, era uint64, next Record) (Record, error) {
	for {
		done, err := r.storeRecord(ctx, era, next)
		if err == nil {
			r.applyRecord(done, "written by this instance")
			return done, nil
		}
		if errors.Is(err, ErrRestored) {
			return Record{}, fmt.Errorf("write record of service %s: %w", next.Service, err)
		}
		if !errors.Is(err, ErrConflict) {
			r.log.Warn().Str("service", next.Service).Uint64("token", next.Token).Err(err).Msg("Writing the record of a service failed.")
		}
		if err := sleep(ctx, storeRetryDelay); err != nil {
			return Record{}, err
		}
		records, at, err := r.cfg.Store.Records(ctx)
		if err != nil {
			continue
		}
		current, ok := findRecord(records, next.Service)
		switch {
		case at.Era != era:
			return Record{}, fmt.Errorf("write record of service %s: %w", next.Service, ErrRestored)
		case !ok && next.Revision.IsZero():
			continue
		case !ok:
			return Record{}, fmt.Errorf("write record of service %s: the store has no such record", next.Service)
		case current.Revision == next.Revision:
			continue // not applied yet; if it arrives after the retry, its revision is outdated
		case current.Promoter == next.Promoter && current.Token == next.Token && current.Phase == next.Phase && current.Candidate == next.Candidate:
			r.applyRecord(current, "read back")
			return current, nil
		}
		r.applyRecord(current, "read back")
		return Record{}, errRecordTaken
	}
}

func findRecord(records []Record, service string) (Record, bool) {
	for _, r := range records {
		if r.Service == service {
			return r, true
		}
	}
	return Record{}, false
}

// replace replaces the primary of a service whose record this instance holds.
func (r *Runner) replace(ctx context.Context, rec Record) error {
	excluded, err := r.revokePrimary(ctx, rec)
	if err != nil {
		return err
	}
	logs, err := r.gatherLogs(ctx, rec)
	if err != nil {
		return err
	}
	avoidNew := len(excluded) > len(rec.Excluded)
	rec = logs.rec
	if logs.leader != nil {
		return r.completeReplacement(ctx, rec, *logs.leader, excluded)
	}
	for _, c := range OrderCandidates(logs.candidates, avoidNew) {
		rec.Candidate, rec.Attempted = c.ID, true
		notAfter := r.cfg.Now() + promotionWindow
		if rec, err = r.writeRecord(ctx, rec.Revision.Era, rec); err != nil {
			return err
		}
		leader, err := r.promote(ctx, rec, notAfter)
		if errors.Is(err, ErrNotRunning) {
			continue
		}
		if err != nil {
			return err
		}
		return r.completeReplacement(ctx, rec, leader, excluded)
	}
	return fmt.Errorf("no database of service %s can be promoted", rec.Service)
}

// revokePrimary waits until no instance uses the former primary any more. It
// returns the incarnations to exclude because they did not confirm that.
func (r *Runner) revokePrimary(ctx context.Context, rec Record) ([]string, error) {
	direct := newStopTracker(r.cfg.Now())
	if rec.Planned {
		missing, err := r.awaitStopped(ctx, rec, direct, func(time.Duration) time.Duration { return switchoverConfirmTimeout })
		if err != nil {
			return nil, err
		}
		r.awaitCatchUp(ctx, rec)
		if len(missing) == 0 && !rec.Unsettled {
			return rec.Excluded, nil
		}
	}
	// An instance that can't reach the store uses the former primary until the
	// databases no longer confirm its cached record, so the wait for the validity
	// starts only when enough replicas are fenced. The former primary must not be
	// demoted before the wait: a statement that follows a Begin would run outside
	// its transaction there.
	missing, err := r.fenceUntilQuorum(ctx, rec, direct)
	if err != nil {
		return nil, err
	}
	fenced := r.cfg.Now()
	if len(missing) > 0 {
		missing, err = r.awaitStopped(ctx, rec, direct, func(validity time.Duration) time.Duration { return validity + validityMargin })
		if err != nil {
			return nil, err
		}
	}
	if rec.Unsettled {
		// Instances whose registration the store has lost may still use the primary.
		if err := sleep(ctx, fenced+recordValidity+validityMargin-r.cfg.Now()); err != nil {
			return nil, err
		}
	}
	if len(missing) > 0 {
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Strs("missing", missing).
			Msg("Some instances did not confirm the replacement. Continuing because the validity of their cached records has passed.")
	}
	return append(append([]string{}, rec.Excluded...), missing...), nil
}

// fenceUntilQuorum fences replicas until all instances have confirmed, or until no
// missing instance can have its record confirmed by databases without an answer
// from a fenced one. With an unsettled record some instances may be unknown, so only
// the latter counts. It returns the incarnations that have not confirmed.
func (r *Runner) fenceUntilQuorum(ctx context.Context, rec Record, direct *stopTracker) ([]string, error) {
	for {
		fenced := r.fenceReplicas(ctx, rec, controlTimeout, nil)
		missing, err := r.awaitStopped(ctx, rec, direct, func(time.Duration) time.Duration { return fenceRetryDelay })
		if err != nil || (len(missing) == 0 && !rec.Unsettled) || fencesSuffice(r.others(rec), fenced) {
			return missing, err
		}
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Int("raised", len(fenced)).Strs("missing", missing).
			Msg("Too few replicas are fenced to continue without the missing instances.")
	}
}

// awaitStopped waits until every registered instance has confirmed, in the store
// or directly, that it stopped using the former primary. It gives up after a
// limit that is computed from the longest validity of the missing instances, and
// returns the incarnations that have not confirmed.
func (r *Runner) awaitStopped(ctx context.Context, rec Record, direct *stopTracker, limit func(validity time.Duration) time.Duration) ([]string, error) {
	since := r.cfg.Now()
	var (
		registered []Registration
		listed     time.Duration
		err        error
	)
	for {
		if !r.holds(rec) {
			return nil, errRecordTaken
		}
		if now := r.cfg.Now(); registered == nil || now-listed >= listInterval(len(registered)) {
			listed = now
			registered, err = r.cfg.Store.Registrations(ctx)
		}
		if err == nil {
			missing := direct.missing(registered, rec)
			if len(missing) == 0 || r.cfg.Now()-since > limit(longestValidity(missing)) {
				return incarnations(missing), nil
			}
			r.requestStops(ctx, rec, missing, direct)
		}
		if err := sleep(ctx, confirmPollInterval); err != nil {
			return nil, err
		}
	}
}

// listInterval returns the pause between two lists of n registrations.
func listInterval(n int) time.Duration {
	return min(max(confirmPollInterval, time.Duration(n)*listIntervalPerInstance), maxListInterval)
}

// awaitCatchUp waits until a replica that is not leaving has received the former
// primary's log up to its current position.
func (r *Runner) awaitCatchUp(ctx context.Context, rec Record) {
	until := r.cfg.Now() + catchUpTimeout
	former, err := r.cfg.Databases.Status(ctx, rec.Service, rec.Primary, controlTimeout)
	if err != nil {
		r.log.Warn().Str("service", rec.Service).Str("database", rec.Primary).Err(err).
			Msg("Reading the log position of the former primary failed. Continuing without waiting for a replica to catch up.")
		return
	}
	for r.cfg.Now() < until {
		for _, o := range r.broadcast(ctx, rec, func(m Member) (statement.Command, bool) {
			return statement.Command{Op: statement.OpStatus}, m.ID != rec.Primary && !m.Leaving
		}) {
			if !o.Status.Received.Before(former.Received) {
				return
			}
		}
		if sleep(ctx, confirmPollInterval) != nil {
			return
		}
	}
}

// fenceReplicas pauses the replicas, except those in done, at the next term, so that they
// stop receiving from the former primary, and returns their status. A fenced replica keeps
// an instance that asks it from extending the use of the former primary.
func (r *Runner) fenceReplicas(ctx context.Context, rec Record, timeout time.Duration, done map[string]MemberStatus) []MemberStatus {
	return r.broadcastWithin(ctx, rec, timeout, func(m Member) (statement.Command, bool) {
		_, skip := done[m.ID]
		return statement.Command{Op: statement.OpPause, Term: rec.Term + 1}, m.ID != rec.Primary && !skip
	})
}

// broadcast sends a control command to the databases that command selects, in
// parallel, and returns the status of those that answered.
func (r *Runner) broadcast(ctx context.Context, rec Record, command func(Member) (statement.Command, bool)) []MemberStatus {
	return r.broadcastWithin(ctx, rec, controlTimeout, command)
}

// broadcastWithin is broadcast with a time-out for each command.
func (r *Runner) broadcastWithin(ctx context.Context, rec Record, timeout time.Duration, command func(Member) (statement.Command, bool)) []MemberStatus {
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		answered []MemberStatus
	)
	for _, m := range r.cfg.Databases.Members(rec.Service) {
		c, ok := command(m)
		if !ok {
			continue
		}
		wg.Go(func() {
			contain.Run(r.log, "control command", func() {
				s, err := r.control(ctx, rec, m, c, timeout)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				answered = append(answered, MemberStatus{m, s})
			})
		})
	}
	wg.Wait()
	return answered
}

// control sends a control command to a database and logs the outcome.
func (r *Runner) control(ctx context.Context, rec Record, m Member, c statement.Command, timeout time.Duration) (statement.Status, error) {
	s, err := r.cfg.Databases.Control(ctx, rec.Service, m.ID, c, timeout)
	if err != nil {
		r.log.Warn().Str("service", rec.Service).Str("database", m.ID).Err(err).Msg("A database did not answer a control command.")
		return s, err
	}
	r.log.Info().Str("service", rec.Service).Uint64("token", rec.Token).Str("database", m.ID).Stringer("command", c.Op).
		Uint64("command_term", c.Term).Bool("primary", s.Primary).Uint64("term", s.Term).Stringer("received", s.Received).
		Uint64("held_term", s.HeldTerm).Uint64("lag_ms", s.LagMillis).Msg("A database answered a control command.")
	return s, nil
}

// findLeader returns a database that is already primary: one that an earlier
// promoter promoted, or one that took over the former primary's log and term
// under another id.
func (r *Runner) findLeader(ctx context.Context, rec Record) (leader, bool) {
	for _, o := range r.broadcast(ctx, rec, func(m Member) (statement.Command, bool) {
		return statement.Command{Op: statement.OpStatus}, m.ID != rec.Primary
	}) {
		if o.Status.Primary && o.Status.Term >= rec.Term {
			return leader{o.ID, o.Status.Term}, true
		}
	}
	return leader{}, false
}

type leader struct {
	id   string
	term uint64
}

// promote asks the platform to promote the record's candidate, again until notAfter, and
// waits until the candidate reports that it is primary.
func (r *Runner) promote(ctx context.Context, rec Record, notAfter time.Duration) (_ leader, err error) {
	until := r.cfg.Now() + leadTimeout
	requested, unanswered := false, false
	defer func() {
		if err != nil && unanswered {
			err = fmt.Errorf("%w: %w", errPromotionUnanswered, err)
		}
	}()
	for r.cfg.Now() < until {
		if !r.holds(rec) {
			return leader{}, errRecordTaken
		}
		err := r.callPromote(ctx, rec, notAfter)
		switch {
		case errors.Is(err, ErrNotRunning):
			return leader{}, err
		case errors.Is(err, ErrPromotionLate):
			if !requested {
				return leader{}, fmt.Errorf("promote database %s of service %s: %w", rec.Candidate, rec.Service, err)
			}
		case err != nil:
			unanswered = true
			r.log.Warn().Str("service", rec.Service).Str("database", rec.Candidate).Err(err).Msg("The promotion call failed. It may still take effect.")
		}
		requested = true
		if l, ok := r.awaitLeadership(ctx, rec, err == nil, until); ok {
			return l, nil
		}
		if err := sleep(ctx, storeRetryDelay); err != nil {
			return leader{}, err
		}
	}
	return leader{}, fmt.Errorf("promote database %s of service %s: it did not become primary in time", rec.Candidate, rec.Service)
}

func (r *Runner) callPromote(ctx context.Context, rec Record, notAfter time.Duration) error {
	if r.cfg.Now() >= notAfter {
		return ErrPromotionLate
	}
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	return r.cfg.Promotions.Promote(ctx, Promotion{
		Service: rec.Service, Database: rec.Candidate, Holder: r.cfg.Instance, Token: rec.Token, NotAfter: notAfter,
	})
}

// awaitLeadership polls the candidate's status until it is primary in a new
// term. If the promotion call was not accepted, it asks only once.
func (r *Runner) awaitLeadership(ctx context.Context, rec Record, accepted bool, until time.Duration) (leader, bool) {
	for {
		s, err := r.cfg.Databases.Status(ctx, rec.Service, rec.Candidate, controlTimeout)
		if err == nil && s.Primary && s.Term > rec.Term {
			return leader{rec.Candidate, s.Term}, true
		}
		if !accepted || r.cfg.Now() >= until || sleep(ctx, leadPollInterval) != nil {
			return leader{}, false
		}
	}
}

// completeReplacement records the new primary, demotes the former one and lets
// the other replicas receive again.
func (r *Runner) completeReplacement(ctx context.Context, rec Record, l leader, excluded []string) error {
	former := rec.Primary
	rec.Phase, rec.Primary, rec.Term, rec.Candidate, rec.Attempted, rec.Excluded = Serving, l.id, l.term, "", false, excluded
	rec.Unsettled = false // no instance that the store does not know of uses an earlier record
	rec, err := r.writeRecord(ctx, rec.Revision.Era, rec)
	if err != nil {
		return err
	}
	if l.id == former {
		r.log.Warn().Str("service", rec.Service).Str("database", l.id).Uint64("term", l.term).Uint64("token", rec.Token).Msg("The former primary stays in place.")
	} else {
		r.log.Info().Str("service", rec.Service).Str("database", l.id).Uint64("term", l.term).Uint64("token", rec.Token).Msg("A database was promoted.")
	}
	answered := r.broadcast(ctx, rec, func(m Member) (statement.Command, bool) {
		switch m.ID {
		case l.id:
			return statement.Command{}, false
		case former:
			return statement.Command{Op: statement.OpDemote, Term: l.term}, true
		}
		return statement.Command{Op: statement.OpResume}, true
	})
	go contain.Run(r.log, "resumption of replicas", func() { r.resumeOthers(rec, answered) })
	return nil
}

const (
	// resumeInterval is the interval at which replicas are told to receive again that did
	// not answer.
	resumeInterval = 500 * time.Millisecond
	// resumeTimeout is how long they are told. A replica that is out of reach for longer
	// has been restarted in most cases, which also makes it receive again.
	resumeTimeout = 30 * time.Second
)

// resumeOthers makes the replicas receive again that have not answered yet, as long as the
// record is the latest one: a later promoter needs its own fences. A replica that stays
// fenced receives nothing until it is restarted or promoted.
func (r *Runner) resumeOthers(rec Record, answered []MemberStatus) {
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	done := map[string]bool{rec.Primary: true}
	for _, o := range answered {
		done[o.ID] = true
	}
	for sleep(ctx, resumeInterval) == nil && r.holds(rec) && !r.retirement.started() {
		fenced := r.broadcast(ctx, rec, func(m Member) (statement.Command, bool) {
			return statement.Command{Op: statement.OpStatus}, !done[m.ID]
		})
		for _, o := range fenced {
			done[o.ID] = true
			if o.Status.HeldTerm == 0 || o.Status.Primary || !r.holds(rec) {
				continue
			}
			if _, err := r.control(ctx, rec, o.Member, statement.Command{Op: statement.OpResume}, controlTimeout); err != nil {
				done[o.ID] = false
			}
		}
		if !slices.ContainsFunc(r.cfg.Databases.Members(rec.Service), func(m Member) bool { return !done[m.ID] }) {
			return
		}
	}
}

// sleep waits for d or until ctx ends, and then returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
