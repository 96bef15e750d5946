package primacy

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/result"
)

// Reach is what an instance knows about the connection between itself and a database.
// It holds two facts, each with its own time. An answer through a detour shows that
// another instance reaches the database. It says nothing about this instance, so it
// never ends a loss. Times are on the clock of Config.Now; 0 means never.
type Reach struct {
	// LostSince is the start of the first exchange that the database did not answer
	// after its latest answer; 0 if it has answered since. Only exchanges of this
	// instance itself count or, if the database has owners, those through them.
	LostSince time.Duration
	// Requests is set if the pool of connections met the loss before a probe did, so that
	// requests may depend on detours.
	Requests bool
	// Answered is the time of the latest answer to this instance itself.
	Answered time.Duration
	// DetourAnswered is when the latest query was sent that the database answered
	// through another instance, and Detour is that instance.
	DetourAnswered time.Duration
	Detour         string
}

const (
	// probeTimeout bounds a status request to a primary that may be lost. A database
	// that is five times slower than usual with all connections busy answers in that
	// time.
	probeTimeout = 250 * time.Millisecond
	// detourMaxAge is the age up to which an answer through a detour shows that the
	// detour works. Queries follow each other within 350 ms; a busy instance may fail
	// to answer two in a row.
	detourMaxAge = 1 * time.Second
	// detourGrace is how long working detours delay the suspicion of a primary that
	// this instance has lost. They bridge short cuts, which cost less than a
	// replacement. A primary that a majority has lost must be replaced within 9 s;
	// the votes and the replacement take up to 4 s of that.
	detourGrace = 3 * time.Second
	// unusedGrace is the delay for an instance that learned of the loss by a probe,
	// because another one suspects the primary and asked. That one has waited for
	// detourGrace or has no detour, but a single failed probe must not count.
	unusedGrace = 1 * time.Second
	// reachMaxAge is the age above which the latest answer of a primary does not show
	// another instance that it is reached now, and the minimum interval between two
	// probes because others ask.
	reachMaxAge = 1 * time.Second
	// lossReportInterval is the interval between two log lines about a lost primary.
	lossReportInterval = 2 * time.Second
)

// Lost reports whether the instance itself gets no answer.
func (r Reach) Lost() bool { return r.LostSince != 0 }

// DetourWorks reports whether the database has answered through another instance
// lately.
func (r Reach) DetourWorks(now time.Duration) bool {
	return r.DetourAnswered != 0 && now-r.DetourAnswered <= detourMaxAge
}

// suspicious reports whether an instance that has lost its primary, and whose probe was
// not answered, must suspect it: at once if its requests are not served, and otherwise
// after a delay.
func (r Reach) suspicious(now time.Duration) bool {
	lost := now - r.LostSince
	switch {
	case !r.Lost():
		return false
	case !r.Requests:
		return lost >= unusedGrace
	case r.DetourWorks(now):
		return lost >= detourGrace
	}
	return lost >= suspectAfter
}

// Answered reports whether a request that ended with err shows that the database is
// reached. It may refuse one because of its load or its connection limit.
func Answered(err error) bool {
	return err == nil || result.Is(err, result.Overloaded) || result.Is(err, result.ConnectionsBusy)
}

// suspectsPrimary reports whether the primary does not answer this instance. Before it
// says so it probes the primary. A primary that has been unknown for too long counts as
// failed.
func (r *Runner) suspectsPrimary(ctx context.Context, rec Record) bool {
	if _, ok := r.primaryMember(rec); !ok {
		return r.recordAge(rec.Service) > unknownPrimaryTimeout
	}
	reach := r.cfg.Databases.Reach(rec.Service, rec.Primary)
	if !r.needsProbe(rec.Service, reach) {
		if !reach.Lost() {
			r.reportReach(rec, reach)
		}
		return false
	}
	reach = r.cfg.Databases.Probe(ctx, rec.Service, rec.Primary, probeTimeout)
	r.reportReach(rec, reach)
	return reach.suspicious(r.cfg.Now())
}

// needsProbe reports whether a primary must be probed: it is lost, or another instance
// wants to know whether it is and the latest answer is too old to tell.
func (r *Runner) needsProbe(service string, reach Reach) bool {
	asked := r.takeReachQuery(service)
	if reach.Lost() {
		return r.cfg.Now()-reach.LostSince >= suspectAfter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if !asked || now-max(reach.Answered, r.probedAt[service]) <= reachMaxAge {
		return false
	}
	r.probedAt[service] = now
	return true
}

// queryReach notes that another instance wants to know whether this one reaches the
// primary of a service. Without requests an instance does not notice a loss.
func (r *Runner) queryReach(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachQueries[service] = true
}

// takeReachQuery reports whether another instance wants to know whether this one
// reaches the primary, and forgets that.
func (r *Runner) takeReachQuery(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.reachQueries[service]
	delete(r.reachQueries, service)
	return asked
}

// reportReach logs that the primary of a record is lost to this instance, when that
// begins and each lossReportInterval, and that it is reached again.
func (r *Runner) reportReach(rec Record, reach Reach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	reported, known := r.lossReports[rec.Service]
	switch {
	case !reach.Lost():
		if known {
			delete(r.lossReports, rec.Service)
			r.log.Info().Str("service", rec.Service).Str("database", rec.Primary).Msg("This instance reaches the primary again.")
		}
	case !known || now-reported >= lossReportInterval:
		r.lossReports[rec.Service] = now
		e := r.log.Warn().Str("service", rec.Service).Str("database", rec.Primary).Uint64("token", rec.Token)
		reach.logFields(e, now).Msg("This instance has lost the primary.")
	}
}

// logFields adds both facts, with their ages, to a log line.
func (r Reach) logFields(e *zerolog.Event, now time.Duration) *zerolog.Event {
	if r.Lost() {
		e = e.Dur("lost_ms", now-r.LostSince)
	}
	if r.Answered != 0 {
		e = e.Dur("answer_age_ms", now-r.Answered)
	}
	if r.DetourAnswered != 0 {
		e = e.Str("detour", r.Detour).Dur("detour_age_ms", now-r.DetourAnswered)
	}
	return e
}
