package primacy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"geraniumbeam/internal/statement"
)

const (
	// controlTimeout bounds a control command to one database. It covers the
	// queue of a database whose slots are all busy with slow work.
	controlTimeout = 400 * time.Millisecond
	// confirmPause is the pause between two looks at who has confirmed.
	confirmPause = 40 * time.Millisecond
	// listPerInstance is how much longer the promoter waits between two lists of
	// the registrations for each of them, up to maxListPause. At 64 instances a
	// list has 25 KB, and every 40 ms it would take half of a link of 10 Mbit/s.
	// Instances are asked directly in between.
	listPerInstance = 2 * time.Millisecond
	maxListPause    = 1 * time.Second
	// plannedConfirm is how long a planned replacement waits for all instances
	// to confirm before it treats some as cut off from the store.
	plannedConfirm = 400 * time.Millisecond
	// raisePause is how long the promoter waits for confirmations before it
	// looks whether enough databases were raised.
	raisePause = 100 * time.Millisecond
	// catchUpLimit bounds the wait of a planned replacement for the candidate
	// to hold what the former primary holds.
	catchUpLimit = 600 * time.Millisecond
	// promoteTimeout bounds one promotion call.
	promoteTimeout = 1500 * time.Millisecond
	// leadLimit bounds the wait for a promoted database to lead.
	leadLimit = 4 * time.Second
	// leadPause is the pause between two questions whether it leads.
	leadPause = 60 * time.Millisecond
	// storePause is the pause before a failed call to the store is repeated.
	storePause = 100 * time.Millisecond
)

// errLost means that another promoter holds the record.
var errLost = errors.New("another instance holds the service's record")

// begin takes the service's record for this instance.
func (r *Runner) begin(ctx context.Context, from Record, planned bool) (Record, error) {
	next := from
	next.Token, next.Phase, next.Promoter = from.Token+1, Replacing, r.incarnation()
	next.Candidate, next.Planned = "", planned
	return r.update(ctx, next)
}

// update writes a record that this instance holds. An answer that was lost is
// settled by reading the record back.
func (r *Runner) update(ctx context.Context, next Record) (Record, error) {
	for {
		done, err := r.cfg.Store.UpdateRecord(ctx, next)
		if err == nil {
			r.adopt(done, "written by this instance")
			return done, nil
		}
		if !errors.Is(err, ErrConflict) {
			r.log.Warn().Str("service", next.Service).Uint64("token", next.Token).Err(err).Msg("The record was not written.")
		}
		if err := pause(ctx, storePause); err != nil {
			return Record{}, err
		}
		records, _, err := r.cfg.Store.Records(ctx)
		if err != nil {
			continue
		}
		current, ok := find(records, next.Service)
		switch {
		case !ok:
			return Record{}, fmt.Errorf("the record of service %s is missing", next.Service)
		case current.Revision == next.Revision:
			continue // not executed so far; a late execution finds another revision
		case current.Promoter == next.Promoter && current.Token == next.Token && current.Phase == next.Phase && current.Candidate == next.Candidate:
			r.adopt(current, "read back")
			return current, nil
		}
		r.adopt(current, "read back")
		return Record{}, errLost
	}
}

func find(records []Record, service string) (Record, bool) {
	for _, r := range records {
		if r.Service == service {
			return r, true
		}
	}
	return Record{}, false
}

// replace carries out one replacement of a primary, from a record that this
// instance holds.
func (r *Runner) replace(ctx context.Context, rec Record) error {
	excluded, err := r.stopAll(ctx, rec)
	if err != nil {
		return err
	}
	observed := r.raise(ctx, rec)
	if done, ok := r.alreadyLeads(ctx, rec); ok {
		return r.finish(ctx, rec, done, excluded)
	}
	for _, c := range OrderCandidates(observed, len(excluded) > len(rec.Excluded)) {
		rec.Candidate = c.ID
		if rec, err = r.update(ctx, rec); err != nil {
			return err
		}
		leader, err := r.promote(ctx, rec)
		if errors.Is(err, ErrNotRunning) {
			continue
		}
		if err != nil {
			return err
		}
		return r.finish(ctx, rec, leader, excluded)
	}
	return fmt.Errorf("no database of service %s can be promoted", rec.Service)
}

// stopAll makes sure that no instance uses the former primary and returns the
// incarnations that did not confirm it.
func (r *Runner) stopAll(ctx context.Context, rec Record) ([]string, error) {
	direct := newStops()
	if rec.Planned {
		missing, err := r.awaitStopped(ctx, rec, direct, func(time.Duration) time.Duration { return plannedConfirm })
		if err != nil {
			return nil, err
		}
		r.awaitCatchUp(ctx, rec)
		if len(missing) == 0 {
			return rec.Excluded, nil
		}
	}
	// An instance without the store uses the former primary until no database
	// extends its knowledge any more, so its validity counts from here. The
	// former primary is not demoted before: a statement that follows Begin
	// would run outside its transaction there.
	missing, err := r.raiseEnough(ctx, rec, direct)
	if err != nil {
		return nil, err
	}
	if len(missing) == 0 {
		return rec.Excluded, nil
	}
	missing, err = r.awaitStopped(ctx, rec, direct, func(validity time.Duration) time.Duration { return validity + validityMargin })
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Strs("missing", missing).
			Msg("Some instances did not confirm; the validity of their knowledge has passed.")
	}
	return append(append([]string{}, rec.Excluded...), missing...), nil
}

// raiseEnough raises databases until no instance that did not confirm can extend
// its knowledge without meeting one of them, or all have confirmed. It returns the
// incarnations that have not confirmed.
func (r *Runner) raiseEnough(ctx context.Context, rec Record, direct *stops) ([]string, error) {
	for {
		raised := r.raise(ctx, rec)
		missing, err := r.awaitStopped(ctx, rec, direct, func(time.Duration) time.Duration { return raisePause })
		if err != nil || len(missing) == 0 || len(raised) >= raising(r.others(rec)) {
			return missing, err
		}
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Int("raised", len(raised)).Strs("missing", missing).
			Msg("Too few databases were raised to go on without the missing instances.")
	}
}

// awaitStopped waits until every registered instance has stopped using the
// former primary, or the limit has passed, which follows from the validity of
// the missing ones' knowledge. It returns the incarnations that did not confirm,
// neither in the store nor directly.
func (r *Runner) awaitStopped(ctx context.Context, rec Record, direct *stops, limit func(validity time.Duration) time.Duration) ([]string, error) {
	since := r.cfg.Now()
	var (
		registered []Registration
		listed     time.Duration
		err        error
	)
	for {
		if now := r.cfg.Now(); registered == nil || now-listed >= listPause(len(registered)) {
			listed = now
			registered, err = r.cfg.Store.Registrations(ctx)
		}
		if err == nil {
			missing := direct.remaining(registered, rec)
			if len(missing) == 0 || r.cfg.Now()-since > limit(longestValidity(missing)) {
				return incarnations(missing), nil
			}
			r.askStopped(ctx, rec, missing, direct)
		}
		if err := pause(ctx, confirmPause); err != nil {
			return nil, err
		}
	}
}

// listPause is the pause between two lists of n registrations.
func listPause(n int) time.Duration {
	return min(max(confirmPause, time.Duration(n)*listPerInstance), maxListPause)
}

// awaitCatchUp waits until a replica that stays holds the former primary's log.
func (r *Runner) awaitCatchUp(ctx context.Context, rec Record) {
	until := r.cfg.Now() + catchUpLimit
	former, err := r.cfg.Databases.Status(ctx, rec.Service, rec.Primary, controlTimeout)
	if err != nil {
		r.log.Warn().Str("service", rec.Service).Str("database", rec.Primary).Err(err).Msg("The former primary does not tell its position.")
		return
	}
	for r.cfg.Now() < until {
		for _, o := range r.ask(ctx, rec, func(m Member) (statement.Command, bool) {
			return statement.Command{Op: statement.OpStatus}, m.ID != rec.Primary && !m.Leaving
		}) {
			if !o.Status.Received.Before(former.Received) {
				return
			}
		}
		if pause(ctx, confirmPause) != nil {
			return
		}
	}
}

// raise stops all replicas from receiving and returns what they hold. Raised
// databases deny an instance that asks them the extension of its knowledge.
func (r *Runner) raise(ctx context.Context, rec Record) []MemberStatus {
	return r.ask(ctx, rec, func(m Member) (statement.Command, bool) {
		return statement.Command{Op: statement.OpPause, Term: rec.Term + 1}, m.ID != rec.Primary
	})
}

// ask runs a command on several databases at once and returns the answers.
func (r *Runner) ask(ctx context.Context, rec Record, command func(Member) (statement.Command, bool)) []MemberStatus {
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
			s, err := r.cfg.Databases.Control(ctx, rec.Service, m.ID, c, controlTimeout)
			if err != nil {
				r.log.Warn().Str("service", rec.Service).Str("database", m.ID).Err(err).Msg("A database did not answer a control command.")
				return
			}
			r.log.Info().Str("service", rec.Service).Uint64("token", rec.Token).Str("database", m.ID).Stringer("command", c.Op).
				Uint64("command_term", c.Term).Bool("primary", s.Primary).Uint64("term", s.Term).Stringer("received", s.Received).
				Uint64("held_term", s.HeldTerm).Uint64("lag_ms", s.LagMillis).Msg("A database answered a control command.")
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, MemberStatus{m, s})
		})
	}
	wg.Wait()
	return answered
}

// alreadyLeads finds a database that an earlier promoter promoted, or one that
// took the place of the former primary under another id, with its log and term.
func (r *Runner) alreadyLeads(ctx context.Context, rec Record) (leader, bool) {
	for _, o := range r.ask(ctx, rec, func(m Member) (statement.Command, bool) {
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

// promote has the record's candidate promoted and waits until it leads.
func (r *Runner) promote(ctx context.Context, rec Record) (leader, error) {
	until := r.cfg.Now() + leadLimit
	for r.cfg.Now() < until {
		err := r.callPromote(ctx, rec)
		if errors.Is(err, ErrNotRunning) {
			return leader{}, err
		}
		if err != nil {
			r.log.Warn().Str("service", rec.Service).Str("database", rec.Candidate).Err(err).Msg("The promotion call was not confirmed.")
		}
		if l, ok := r.awaitLead(ctx, rec, err == nil, until); ok {
			return l, nil
		}
		if err := pause(ctx, storePause); err != nil {
			return leader{}, err
		}
	}
	return leader{}, fmt.Errorf("database %s does not lead service %s after the promotion", rec.Candidate, rec.Service)
}

func (r *Runner) callPromote(ctx context.Context, rec Record) error {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	return r.cfg.Promotions.Promote(ctx, rec.Service, rec.Candidate, r.cfg.Instance, rec.Token)
}

func (r *Runner) awaitLead(ctx context.Context, rec Record, accepted bool, until time.Duration) (leader, bool) {
	for {
		s, err := r.cfg.Databases.Status(ctx, rec.Service, rec.Candidate, controlTimeout)
		if err == nil && s.Primary && s.Term > rec.Term {
			return leader{rec.Candidate, s.Term}, true
		}
		if !accepted || r.cfg.Now() >= until || pause(ctx, leadPause) != nil {
			return leader{}, false
		}
	}
}

// finish publishes the new primary and brings the others into line.
func (r *Runner) finish(ctx context.Context, rec Record, l leader, excluded []string) error {
	former := rec.Primary
	rec.Phase, rec.Primary, rec.Term, rec.Candidate, rec.Excluded = Serving, l.id, l.term, "", excluded
	rec, err := r.update(ctx, rec)
	if err != nil {
		return err
	}
	r.log.Info().Str("service", rec.Service).Str("database", l.id).Uint64("term", l.term).Uint64("token", rec.Token).Msg("A database was promoted.")
	r.ask(ctx, rec, func(m Member) (statement.Command, bool) {
		switch m.ID {
		case l.id:
			return statement.Command{}, false
		case former:
			return statement.Command{Op: statement.OpDemote, Term: l.term}, true
		}
		return statement.Command{Op: statement.OpResume}, true
	})
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
