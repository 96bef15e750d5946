package primacy

import (
	"context"
	"maps"
	"slices"
	"time"

	"geraniumbeam/internal/statement"
)

// A promotion rolls back what the promoted database has not received. So before one, the
// logs of the fenced databases must be certain to include every commit that the service
// promises to keep.
//
// With n synchronous replicas the primary acknowledges a commit once n of the others have
// it. A fenced database receives nothing more from the former primary. If fewer than n of
// the others are missing among the fenced ones, each acknowledged commit is in the log of
// one of these. Logs of one term are prefixes of the primary's, and one of an earlier term
// counts as shorter, so the longest has them all. All others count: also those whose
// registration has lapsed, because a database that crashed comes back with its log. One
// that holds nothing may have lost its log and proves nothing.
//
// A database that has not followed the term of the former primary missed a whole change of
// primary. What it has beyond the start of that term was rolled back there, and readers
// were shown that it does not exist; a promotion would bring it back, and lose all commits
// of the term. So it is promoted only if no other database, nor the former primary,
// answers within missedTermTimeout.

const (
	// slowControlTimeout bounds the repetition of a control command to a database that
	// did not answer the first one. It covers the queue of a database that is five times
	// slower than usual.
	slowControlTimeout = 2 * time.Second
	// reinstateDelay is how long a promoter waits for the logs of replicas before it leaves
	// a former primary in place that answers it. A replica that is five times slower
	// than usual answers within it in nine of ten cases.
	reinstateDelay = 1 * time.Second
	// missedTermTimeout is how long a promoter waits for a database that followed the
	// former primary's term before it promotes one that did not. Primaries that crashed
	// are back with their logs within 7 s.
	missedTermTimeout = 7 * time.Second
	// waitReportInterval is the interval at which a promoter that waits for logs logs
	// that, and shows in the record that it is at work.
	waitReportInterval = 1 * time.Second
)

// Reasons for which a promoter waits.
const (
	tooFewLogs = "too few databases have answered to promote one without losing commits"
	missedTerm = "the databases that answered missed the last change of primary"
)

// Promotable returns the databases that may be promoted, given those that answered out of a
// number of databases other than the primary of rec, and how long the promoter has waited.
// If there is none yet, it says why.
func Promotable(rec Record, answered []MemberStatus, others, syncReplicas int, waited time.Duration) (candidates []MemberStatus, reason string) {
	if !LogsSuffice(rec, answered, others, syncReplicas) {
		return nil, tooFewLogs
	}
	candidates = answered
	if syncReplicas > 0 {
		candidates = withLongestLog(answered)
	}
	current := slices.DeleteFunc(slices.Clone(candidates), func(o MemberStatus) bool { return o.Status.Term < rec.Term })
	switch {
	case len(current) > 0:
		return current, ""
	case waited < missedTermTimeout:
		return nil, missedTerm
	}
	return candidates, ""
}

// LogsSuffice reports whether the logs of the databases that answered, out of a number of
// databases other than the primary, include every commit that the primary of rec has
// acknowledged to a service with the given number of synchronous replicas. Without
// synchronous replicas any log will do: such a service does not promise to keep what only
// its primary has.
func LogsSuffice(rec Record, answered []MemberStatus, others, syncReplicas int) bool {
	n := 0
	for _, o := range answered {
		if o.ID != rec.Primary && isFenced(rec, o) && !o.Status.Received.IsZero() {
			n++
		}
	}
	if syncReplicas == 0 {
		return len(answered) > 0
	}
	return n > max(0, others-syncReplicas)
}

// isFenced reports whether a database receives nothing from the primary of rec.
func isFenced(rec Record, o MemberStatus) bool {
	return o.Status.HeldTerm > rec.Term || o.Status.Term > rec.Term
}

// withLongestLog returns the databases whose log reaches as far as the furthest one.
func withLongestLog(of []MemberStatus) []MemberStatus {
	var end statement.Position
	for _, o := range of {
		end = end.Max(o.Status.Received)
	}
	return slices.DeleteFunc(slices.Clone(of), func(o MemberStatus) bool { return o.Status.Received != end })
}

// gatheredLogs is what a promoter found out about the databases of a service.
type gatheredLogs struct {
	rec        Record         // as written last
	leader     *leader        // a database that leads already; nil if there is none
	candidates []MemberStatus // databases that may be promoted
}

// gatherLogs fences the replicas until one may be promoted, or until a database leads. The
// former primary, which no instance uses any more, has every commit: if it answers, a
// replica whose log is as long may be promoted. If there is none and no promotion was
// requested, it stays in place.
func (r *Runner) gatherLogs(ctx context.Context, rec Record) (gatheredLogs, error) {
	answered := make(map[string]MemberStatus)
	timeout := controlTimeout
	began := r.cfg.Now()
	reported := began
	for {
		for _, o := range r.fenceReplicas(ctx, rec, timeout, answered) {
			answered[o.ID] = o
		}
		all := slices.Collect(maps.Values(answered))
		if l, ok := r.findLeader(ctx, rec); ok {
			return gatheredLogs{rec: rec, leader: &l}, nil
		}
		others, syncReplicas, waited := r.countMayHaveCommits(rec), r.cfg.Databases.SyncReplicas(rec.Service), r.cfg.Now()-began
		candidates, reason := Promotable(rec, all, others, syncReplicas, waited)
		if reason == "" {
			return gatheredLogs{rec: rec, candidates: candidates}, nil
		}
		if former, ok := r.statusOfLeader(ctx, rec); ok {
			if reach := withLongestLog(all); len(reach) > 0 && !reach[0].Status.Received.Before(former.Received) {
				return gatheredLogs{rec: rec, candidates: reach}, nil
			}
			if !rec.Attempted && waited >= reinstateDelay {
				return gatheredLogs{rec: rec, leader: &leader{rec.Primary, rec.Term}}, nil
			}
		}
		if r.cfg.Now()-reported >= waitReportInterval {
			reported = r.cfg.Now()
			r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Str("reason", reason).Int("answered", len(answered)).
				Int("databases", others).Int("sync_replicas", syncReplicas).Dur("waited_ms", waited).Msg("No database may be promoted yet.")
			rec.Progress++
			var err error
			if rec, err = r.writeRecord(ctx, rec.Revision.Era, rec); err != nil {
				return gatheredLogs{}, err
			}
		}
		if err := sleep(ctx, fenceRetryDelay); err != nil {
			return gatheredLogs{}, err
		}
		if !r.holds(rec) {
			return gatheredLogs{}, errRecordTaken
		}
		if syncReplicas > 0 {
			timeout = slowControlTimeout
		}
	}
}

// countMayHaveCommits returns the number of databases, without the recorded primary, that
// may have commits of the service.
func (r *Runner) countMayHaveCommits(rec Record) int {
	n := r.countOthers(rec)
	for _, id := range r.cfg.Databases.Lapsed(rec.Service) {
		if id != rec.Primary {
			n++
		}
	}
	return n
}

// statusOfLeader returns the status of the recorded primary if it answers that it leads
// its term.
func (r *Runner) statusOfLeader(ctx context.Context, rec Record) (statement.Status, bool) {
	s, err := r.cfg.Databases.Status(ctx, rec.Service, rec.Primary, controlTimeout)
	return s, err == nil && leads(rec, []MemberStatus{{Member{ID: rec.Primary}, s}})
}
