package primacy

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/ownership"
)

// failoverLoop checks all services for primaries that have failed, are leaving or
// were never recorded, and for replacements that make no progress.
func (r *Runner) failoverLoop(ctx context.Context) {
	for sleep(ctx, checkInterval) == nil {
		if !r.isRegistered() {
			continue
		}
		for _, service := range r.cfg.Services() {
			if r.isHealthy(service) {
				continue
			}
			r.mu.Lock()
			busy := r.checking[service]
			r.checking[service] = true
			r.mu.Unlock()
			if busy {
				continue
			}
			go func() {
				contain.Run(r.log, "check of a service", func() { r.checkService(ctx, service) })
				r.mu.Lock()
				defer r.mu.Unlock()
				r.checking[service] = false
			}()
		}
	}
}

// isHealthy reports whether a service needs no check: its primary stays and
// answers, this instance has no suspicion, and no other one has asked for it. It runs
// ten times a second for each service, so it must allocate little.
func (r *Runner) isHealthy(service string) bool {
	rec, _, ok := r.cfg.Cache.Record(service)
	if !ok || rec.Phase != Serving {
		return false
	}
	m, ok := r.primaryMember(rec)
	if !ok || m.Leaving {
		return false
	}
	if r.cfg.Databases.Reach(service, rec.Primary).Lost() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, suspected := r.reg.Suspects[service]
	_, lost := r.lossReports[service]
	return !suspected && !lost && !r.reachQueries[service] && !r.unestablished[service]
}

func (r *Runner) checkService(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	rec, confirmed, ok := r.cfg.Cache.Record(service)
	switch {
	case r.isUnestablished(service):
		r.establish(ctx, service)
	case !ok:
		r.bootstrap(ctx, service)
	case r.cfg.Now()-confirmed > recordValidity:
		// The store is unavailable, so no replacement can be agreed.
	case rec.Phase == Replacing:
		r.takeOver(ctx, rec)
	case r.primaryLeaving(rec):
		r.switchOver(ctx, rec)
	default:
		r.failOver(ctx, rec)
	}
}

// bootstrap creates the record of a service from the primary that the databases
// report.
func (r *Runner) bootstrap(ctx context.Context, service string) {
	// All instances of a new deployment start together. After the random delay
	// usually one of them creates the record and the others find it.
	if sleep(ctx, rand.N(maxBootstrapDelay)) != nil {
		return
	}
	if _, _, known := r.cfg.Cache.Record(service); known {
		return
	}
	for _, m := range r.cfg.Databases.Members(service) {
		if !m.Primary {
			continue
		}
		s, err := r.cfg.Databases.Status(ctx, service, m.ID, controlTimeout)
		if err != nil || !s.Primary {
			continue
		}
		era := r.StoreEra()
		rec, err := r.cfg.Store.CreateRecord(ctx, era, Record{Service: service, Token: nextToken(era, 0), Phase: Serving, Primary: m.ID, Term: s.Term})
		if err == nil {
			r.applyRecord(rec, "created")
		}
		return // if another instance created it, the next renewal returns it
	}
}

// primaryMember returns the recorded primary from the known databases.
func (r *Runner) primaryMember(rec Record) (Member, bool) {
	for _, m := range r.cfg.Databases.Members(rec.Service) {
		if m.ID == rec.Primary {
			return m, true
		}
	}
	return Member{}, false
}

// primaryLeaving reports whether the primary is leaving and another database
// stays.
func (r *Runner) primaryLeaving(rec Record) bool {
	m, ok := r.primaryMember(rec)
	if !ok || !m.Leaving {
		return false
	}
	return slices.ContainsFunc(r.cfg.Databases.Members(rec.Service), func(m Member) bool {
		return m.ID != rec.Primary && !m.Leaving
	})
}

// switchOver replaces a primary that is leaving.
func (r *Runner) switchOver(ctx context.Context, rec Record) {
	registered, err := r.cfg.Store.Registrations(ctx)
	if err != nil {
		return
	}
	r.replaceInTurn(ctx, rec, registered, switchoverRankDelay, true)
}

// failOver replaces a primary that does not answer if a quorum of the instances
// suspects it. A suspicion that few share is neither published nor counted in the
// store: in a large deployment some instances always fail to reach some database.
func (r *Runner) failOver(ctx context.Context, rec Record) {
	if !r.suspectsPrimary(ctx, rec) {
		r.clearSuspicion(rec.Service)
		return
	}
	r.suspect(rec)
	if !r.isWidelySuspected(ctx, rec) {
		r.delayNextCount(ctx, rec.Service)
		return
	}
	r.publishSuspicion(rec.Service)
	if !r.awaitTurn(ctx, rec) {
		return
	}
	registered, err := r.cfg.Store.Registrations(ctx)
	if err == nil && !HasQuorum(registered, rec.Excluded, rec.Service, rec.Token) {
		registered = r.addDirectSuspicions(ctx, rec, registered)
	}
	if err != nil {
		r.delayNextCount(ctx, rec.Service)
		return
	}
	quorum := HasQuorum(registered, rec.Excluded, rec.Service, rec.Token)
	suspects, all := countSuspicions(registered, rec.Excluded, rec.Service, rec.Token)
	r.log.Info().Str("service", rec.Service).Str("database", rec.Primary).Uint64("token", rec.Token).Int("suspects", suspects).
		Int("registered", all).Bool("quorum", quorum).Msg("The suspicions of the instances were counted.")
	if !quorum {
		r.delayNextCount(ctx, rec.Service)
		return
	}
	r.replaceInTurn(ctx, rec, registered, rankDelay, false)
}

// awaitTurn delays the counting of votes by this instance's turn. The length of a
// list of registrations grows with the number of instances, so the cost of all
// instances listing at once would grow with its square. awaitTurn reports whether
// the record is unchanged afterwards.
func (r *Runner) awaitTurn(ctx context.Context, rec Record) bool {
	r.mu.Lock()
	wait := voteCountDelay(r.knownInstances, r.cfg.Instance, rec.Service)
	r.mu.Unlock()
	return sleep(ctx, wait) == nil && r.unchanged(rec)
}

// unchanged reports whether rec is still the newest known record of its service.
func (r *Runner) unchanged(rec Record) bool {
	now, _, _ := r.cfg.Cache.Record(rec.Service)
	return now.Revision == rec.Revision
}

// rankOf returns the position of an instance in the rendezvous order of a
// service, from 0. An instance that is not in the list has rank 0.
func rankOf(self, service string, instances []ownership.Instance) int {
	order := ownership.Order(service, instances)
	return max(0, slices.IndexFunc(order, func(i ownership.Instance) bool { return i.Name == self }))
}

// voteCountDelay returns how long an instance waits before it counts the votes on
// a service. The first countersPerTurn instances do not wait.
func voteCountDelay(known []Registration, self, service string) time.Duration {
	return time.Duration(rankOf(self, service, namesOf(known))/countersPerTurn) * turnDelay
}

// namesOf returns the instances by their names only.
func namesOf(registered []Registration) []ownership.Instance {
	instances := make([]ownership.Instance, 0, len(registered))
	for _, reg := range registered {
		instances = append(instances, ownership.Instance{Name: reg.Instance})
	}
	return instances
}

// suspect notes that this instance gets no answer from the primary of a record.
func (r *Runner) suspect(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.reg.Suspects[rec.Service]; ok && t == rec.Token {
		return
	}
	r.reg.Suspects[rec.Service] = rec.Token
	e := r.log.Warn().Str("service", rec.Service).Str("database", rec.Primary).Uint64("token", rec.Token)
	r.cfg.Databases.Reach(rec.Service, rec.Primary).logFields(e, r.cfg.Now()).Msg("The primary does not answer this instance.")
}

// publishSuspicion makes publishLoop write a suspicion unless the registration has
// it already.
func (r *Runner) publishSuspicion(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token, ok := r.published.suspects[service]; !ok || token != r.reg.Suspects[service] {
		r.markDirty()
	}
}

// delayNextCount waits after a vote without a quorum, longer after each one in a row.
func (r *Runner) delayNextCount(ctx context.Context, service string) {
	r.mu.Lock()
	delay := min(max(2*r.countDelays[service], quorumRetryDelay), maxQuorumRetryDelay)
	r.countDelays[service] = delay
	r.mu.Unlock()
	_ = sleep(ctx, delay) // the next check observes the end of ctx
}

func (r *Runner) clearSuspicion(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.countDelays, service)
	if _, ok := r.reg.Suspects[service]; ok {
		delete(r.reg.Suspects, service)
		if _, published := r.published.suspects[service]; published {
			r.markDirty()
		}
		r.log.Info().Str("service", service).Msg("The primary answers this instance again.")
	}
}

// recordAge returns how long this instance has known the current record.
func (r *Runner) recordAge(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Now() - r.recordSeenAt[service]
}

// replaceInTurn waits for a delay that grows with this instance's rank among the
// registered ones, and starts the replacement unless another instance did
// meanwhile. Unless planned is set, only instances that suspect the primary have a
// rank.
func (r *Runner) replaceInTurn(ctx context.Context, rec Record, registered []Registration, delayPerRank time.Duration, planned bool) {
	var instances []ownership.Instance
	for _, reg := range registered {
		if !planned && reg.Suspects[rec.Service] != rec.Token {
			continue
		}
		instances = append(instances, ownership.Instance{Name: reg.Instance})
	}
	rank := rankOf(r.cfg.Instance, rec.Service, instances)
	if sleep(ctx, time.Duration(rank)*delayPerRank) != nil || !r.unchanged(rec) {
		return
	}
	r.runReplacement(ctx, rec.Revision.Era, rec, planned)
}

// takeOver restarts a replacement that makes no progress.
func (r *Runner) takeOver(ctx context.Context, rec Record) {
	r.mu.Lock()
	age := r.cfg.Now() - r.recordSeenAt[rec.Service]
	r.mu.Unlock()
	limit := takeoverTimeout
	switch rec.Promoter {
	case r.incarnation():
		limit = ownRetryDelay // this instance's own attempt failed
	case noPromoter:
		limit = 0
	}
	if age < limit {
		return
	}
	registered, err := r.cfg.Store.Registrations(ctx)
	if err != nil {
		return
	}
	r.replaceInTurn(ctx, rec, registered, rankDelay, true)
}

// runReplacement replaces the primary of a record that the store has, in the given era.
func (r *Runner) runReplacement(ctx context.Context, era uint64, rec Record, planned bool) {
	ctx, end, ok := r.retirement.begin(ctx)
	if !ok {
		return // another instance replaces the primary
	}
	defer end()
	held, err := r.takeRecord(ctx, era, rec, planned && rec.Phase == Serving)
	if err == nil {
		err = r.replace(ctx, held)
	}
	// A promotion call that is still on its way must not arrive after one of a
	// successor, so the successor then waits for the time-out.
	if err != nil && r.retirement.started() && !errors.Is(err, errPromotionUnanswered) {
		r.handOver(rec.Service)
	}
	if err != nil && !errors.Is(err, errRecordTaken) {
		r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token+1).Err(err).Msg("The primary was not replaced.")
	}
}
