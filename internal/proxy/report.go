package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/asynclog"
)

// reportRequest records the metrics of a finished request and logs it if it
// failed, missed its latency target or is sampled.
func (s *session) reportRequest(req *request, o outcome) {
	took := s.srv.cfg.Now() - req.arrivedAt
	code := "ok"
	if o.answer.Err != nil {
		code = o.answer.Err.Code.String()
	}
	recordRequest(s.srv.cfg.Metrics, req.route.Database, req.st.Kind.String(), code, took)
	late := req.route.LatencyTarget > 0 && took > req.route.LatencyTarget
	if o.answer.Err == nil && !late && !asynclog.Sampled(req.st.ID) {
		return
	}
	s.addDecisionFields(s.srv.cfg.Log.Info(), req, o, took).Str("code", code).Msg("A request ended.")
}

// addDecisionFields adds the inputs of the routing decision to a log event, such
// as the target's load and the age of the record.
func (s *session) addDecisionFields(e *zerolog.Event, req *request, o outcome, took time.Duration) *zerolog.Event {
	now := s.srv.cfg.Now()
	e = e.Str("id", req.st.ID).Uint64("session", s.number).Str("kind", req.st.Kind.String()).Str("route", req.route.Database).
		Str("service", req.route.Service).Int("attempts", req.attempts).Int("timeouts", req.timeouts).Dur("took_ms", took).
		Uint64("version", s.srv.cfg.Topology.Snapshot().Version)
	if req.organisation != "" {
		e = e.Str("organisation", req.organisation)
	}
	if o.reason != "" {
		e = e.Str("reason", o.reason)
	}
	if o.answer.Err != nil {
		e = e.Str("error", o.answer.Err.Message).Str("ran", o.answer.Err.Ran.String())
	}
	if o.target.pool != nil {
		load := o.target.pool.Load()
		e = e.Str("database", o.target.pool.Database().ID).Bool("primary", o.target.usesPrimary()).Int("in_use", load.InUse).
			Int("queued", load.Queued).Dur("usual_ms", load.MeanLatency)
		if owner := o.target.pool.Owner(); owner != "" {
			e = e.Str("owner", owner)
		}
	}
	if !o.target.waitFor.IsZero() {
		e = e.Stringer("wait_for", o.target.waitFor)
	}
	if !s.floor.IsZero() {
		e = e.Stringer("floor", s.floor)
	}
	if rec, confirmed, ok := s.srv.cfg.Records.Record(req.route.Service); ok {
		e = e.Str("believed_primary", rec.Primary).Uint64("term", rec.Term).Uint64("token", rec.Token).
			Str("phase", string(rec.Phase)).Dur("belief_age_ms", now-confirmed)
	}
	if req.waitedForDatabase {
		e = e.Bool("waited_for_database", true)
	}
	return e
}
