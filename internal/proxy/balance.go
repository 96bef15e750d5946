package proxy

import (
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/measure"
)

// primaryReserve is the waiting time that the primary must save to get a read that a
// replica can serve. Its reports already contain the work that only it can do, so this
// only decides between databases that are equally busy.
const primaryReserve = 2 * time.Millisecond

// chooseBalanced spreads reads over the options by distance and free capacity. It reports
// false if there is no option.
func (s *session) chooseBalanced(req *request, options []option) (target, bool) {
	now := s.srv.cfg.Now()
	candidates := make([]balance.Candidate, len(options))
	for i, o := range options {
		candidates[i] = candidate(o, s.srv.cfg.Distances, now)
	}
	i, reason := balance.Choose(candidates, rand.Float64)
	if i < 0 {
		return target{}, false
	}
	o, c := options[i], candidates[i]
	tier := s.srv.cfg.Distances.Tier(o.place())
	s.srv.cfg.Metrics.Count(metricReads, measure.Labels{{Name: "tier", Value: tier.String()}})
	if e := s.srv.cfg.Log.Debug(); e.Enabled() {
		e.Str("id", req.st.ID).Str("database", o.target.pool.Database().ID).Stringer("tier", tier).Int("options", len(options)).
			Dur("expected_ms", c.Expected()).Dur("round_trip_ms", c.RoundTrip).Dur("report_age_ms", c.Age).Dur("refused_for_ms", c.RefusedFor).
			Float64("busy", c.Report.Busy).Str("reason", string(reason)).Msg("A database was chosen for a read.")
	}
	return o.target, true
}

// candidate returns what the choice needs to know of an option.
func candidate(o option, distances *distance.Times, now time.Duration) balance.Candidate {
	c := balance.Candidate{
		Report: o.load.Report, Age: o.load.ReportAge, Latency: o.load.MeanLatency, RefusedFor: o.load.RefusedFor,
		Penalty: openingCost(o.load) + distances.Tier(o.place()).Price() + o.extra,
	}
	if o.target.pool == nil || o.target.pool.Owner() != "" {
		// The mean of a direct pool already contains its round trips.
		c.RoundTrip, _, _ = distances.RoundTrip(o.place(), now)
	}
	switch {
	case o.target.usesPrimary():
		c.Penalty += primaryReserve
	case o.load.Position.Before(o.required):
		c.Penalty += laggingPenalty
	}
	return c
}

// place returns the data centre to which a request for the option is sent.
func (o option) place() string {
	if o.target.pool != nil {
		return o.target.pool.DataCentre()
	}
	return o.dataCentre
}

// maxPaths bounds the attempts of a request that follow each other without delay because
// the owner of each one failed. A database has at most eight owners.
const maxPaths = 8

// hasOtherPath reports whether the database of a target is reached through another
// instance now, after an attempt that got no connection.
func (s *session) hasOtherPath(req *request, t target) bool {
	if s.srv.cfg.Distances == nil || req.acquireFailures >= maxPaths {
		return false
	}
	pool, ok := s.srv.cfg.Pools.Pool(t.pool.Database().ID, req.organisation)
	return ok && pool != t.pool && !pool.Load().Down
}
