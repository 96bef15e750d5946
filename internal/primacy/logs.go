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

const (
	// slowControlTimeout bounds the repetition of a control command to a database that
	// did not answer the first one. It covers the queue of a database that is five times
	// slower than usual.
	slowControlTimeout = 2 * time.Second
	// reinstateDelay is how long a promoter waits for the logs of replicas before it leaves
	// a former primary in place that answers it. A replica that is five times slower
	// than usual answers within it in nine of ten cases.
	reinstateDelay = 1 * time.Second
	// waitReportInterval is the interval between two log lines of a promoter that waits
	// for logs.
	waitReportInterval = 1 * time.Second
)

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
	leader   *leader // a database that leads already; nil if there is none
	answered []MemberStatus
}

// gatherLogs fences the replicas until their logs suffice for a promotion, or until a
// database leads. The former primary, which no instance uses any more, has every commit: if
// it answers, a log that is as long suffices. If there is none and no promotion was
// requested, it stays in place.
func (r *Runner) gatherLogs(ctx context.Context, rec Record) (gatheredLogs, error) {
	answered := make(map[string]MemberStatus)
	timeout := controlTimeout
	began, reported := r.cfg.Now(), time.Duration(0)
	for {
		for _, o := range r.fenceReplicas(ctx, rec, timeout, answered) {
			answered[o.ID] = o
		}
		g := gatheredLogs{answered: slices.Collect(maps.Values(answered))}
		if l, ok := r.findLeader(ctx, rec); ok {
			g.leader = &l
			return g, nil
		}
		others, syncReplicas := r.countMayHaveCommits(rec), r.cfg.Databases.SyncReplicas(rec.Service)
		if LogsSuffice(rec, g.answered, others, syncReplicas) {
			return g, nil
		}
		if syncReplicas > 0 {
			timeout = slowControlTimeout
		}
		if former, ok := r.statusOfLeader(ctx, rec); ok {
			if reach := withLongestLog(g.answered); len(reach) > 0 && !reach[0].Status.Received.Before(former.Received) {
				return g, nil
			}
			if !rec.Attempted && r.cfg.Now()-began >= reinstateDelay {
				g.leader = &leader{rec.Primary, rec.Term}
				return g, nil
			}
		}
		if now := r.cfg.Now(); reported == 0 || now-reported >= waitReportInterval {
			reported = now
			r.log.Warn().Str("service", rec.Service).Uint64("token", rec.Token).Int("answered", len(answered)).Int("databases", others).
				Int("sync_replicas", syncReplicas).Dur("waited_ms", now-began).
				Msg("Too few databases have answered to promote one without losing commits.")
		}
		if err := sleep(ctx, fenceRetryDelay); err != nil {
			return g, err
		}
		if !r.holds(rec) {
			return g, errRecordTaken
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
