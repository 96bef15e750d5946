package limits

import (
	"cmp"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/quota"
)

// Names of the metrics; docs/OPERATIONS.md describes them.
const (
	metricOperations  = "geraniumbeam_limit_operations_total"
	metricExchanges   = "geraniumbeam_limit_exchanges_total"
	metricTakeovers   = "geraniumbeam_limit_takeovers_total"
	metricCoordinator = "geraniumbeam_limit_coordinator"
	metricOpen        = "geraniumbeam_limit_coordinator_open"
	metricShare       = "geraniumbeam_limit_share_milli"
	metricPermits     = "geraniumbeam_limit_permits"
	metricRefused     = "geraniumbeam_limit_refused"
)

const (
	// maxSeries is the number of organisations with series of their own.
	maxSeries = 20
	// otherOrganisations is the label of all further ones.
	otherOrganisations = "other"
	// maxLoggedRefusals bounds the lines about refusals in refusalPeriod.
	maxLoggedRefusals = 20
	refusalPeriod     = 30 * time.Second
)

type stats struct {
	asked, admitted, refused, waited      atomic.Int64
	exchanges, failedExchanges, takeovers atomic.Int64
	loggedPeriod, logged                  atomic.Int64
}

// logRefusal logs the first refusal of an organisation in a period.
func (l *Limiter) logRefusal(organisation string, limit quota.Limit, d quota.Decision) {
	if period := int64(l.cfg.Now() / refusalPeriod); l.stats.loggedPeriod.Swap(period) != period {
		l.stats.logged.Store(0)
	}
	if l.stats.logged.Add(1) > maxLoggedRefusals {
		return
	}
	l.log.Info().Str("organisation", organisation).Float64("rate", limit.Rate).Dur("retry_after", d.RetryAfter).
		Msg("An operation was refused because its organisation has reached its limit.")
}

// WriteMetrics writes the metrics as text. It writes nothing without limits.
func (l *Limiter) WriteMetrics(w io.Writer) error {
	if len(l.limits()) == 0 {
		return nil
	}
	s := &l.stats
	l.mu.Lock()
	alloc := l.alloc
	l.mu.Unlock()
	for _, v := range []struct {
		name, label, labelValue string
		value                   int64
	}{
		{metricOperations, "result", "asked", s.asked.Load()},
		{metricOperations, "result", "admitted", s.admitted.Load()},
		{metricOperations, "result", "refused", s.refused.Load()},
		{metricOperations, "result", "waited", s.waited.Load()},
		{metricExchanges, "result", "sent", s.exchanges.Load()},
		{metricExchanges, "result", "failed", s.failedExchanges.Load()},
		{metricTakeovers, "", "", s.takeovers.Load()},
		{metricCoordinator, "", "", boolToInt(alloc != nil)},
		{metricOpen, "", "", boolToInt(alloc != nil && alloc.IsOpen())},
	} {
		if err := measure.WriteValue(w, v.name, measure.Labels{{Name: v.label, Value: v.labelValue}}, v.value); err != nil {
			return err
		}
	}
	return l.writeOrganisations(w)
}

// writeOrganisations writes the shares of the organisations with the highest demand, and
// the sum of the others.
func (l *Limiter) writeOrganisations(w io.Writer) error {
	all := l.share.Usage(l.cfg.Now())
	slices.SortFunc(all, func(a, b quota.Usage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Organisation, b.Organisation))
	})
	if len(all) > maxSeries {
		other := quota.Usage{Organisation: otherOrganisations}
		for _, u := range all[maxSeries:] {
			other.Rate += u.Rate
			other.Permits += u.Permits
			other.Refused += u.Refused
		}
		all = append(all[:maxSeries], other)
	}
	for _, u := range all {
		labels := measure.Labels{{Name: "organisation", Value: u.Organisation}}
		for _, v := range []struct {
			name  string
			value int64
		}{
			{metricShare, int64(u.Rate * 1000)},
			{metricPermits, int64(u.Permits)},
			{metricRefused, int64(u.Refused)},
		} {
			if err := measure.WriteValue(w, v.name, labels, v.value); err != nil {
				return err
			}
		}
	}
	return nil
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
