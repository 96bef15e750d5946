package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/asynclog"
)

// report writes the line of a finished request and counts it.
func (x *session) report(q *request, o outcome) {
	took := x.s.cfg.Now() - q.arrived
	code := "ok"
	if o.answer.Err != nil {
		code = o.answer.Err.Code.String()
	}
	observe(x.s.cfg.Metrics, q.route.Database, q.st.Kind.String(), code, took)
	late := q.route.LatencyTarget > 0 && took > q.route.LatencyTarget
	if o.answer.Err == nil && !late && !asynclog.Sampled(q.st.ID) {
		return
	}
	x.describe(x.s.cfg.Log.Info(), q, o, took).Str("code", code).Msg("A request ended.")
}

// describe adds the inputs that decided on a request, with their ages.
func (x *session) describe(e *zerolog.Event, q *request, o outcome, took time.Duration) *zerolog.Event {
	now := x.s.cfg.Now()
	e = e.Str("id", q.st.ID).Uint64("session", x.number).Str("kind", q.st.Kind.String()).Str("route", q.route.Database).
		Str("service", q.route.Service).Int("attempts", q.attempts).Int("timeouts", q.timeouts).Dur("took_ms", took).
		Uint64("version", x.s.cfg.Topology.Snapshot().Version)
	if o.reason != "" {
		e = e.Str("reason", o.reason)
	}
	if o.answer.Err != nil {
		e = e.Str("error", o.answer.Err.Message).Str("ran", o.answer.Err.Ran.String())
	}
	if o.at.pool != nil {
		load := o.at.pool.Load()
		e = e.Str("database", o.at.pool.Database().ID).Bool("primary", o.at.usesPrimary()).Int("in_use", load.InUse).
			Int("queued", load.Queued).Dur("usual_ms", load.MeanLatency)
		if via := o.at.pool.Owner(); via != "" {
			e = e.Str("owner", via)
		}
	}
	if !o.at.waitFor.IsZero() {
		e = e.Stringer("wait_for", o.at.waitFor)
	}
	if !x.floor.IsZero() {
		e = e.Stringer("floor", x.floor)
	}
	if rec, confirmed, ok := x.s.cfg.Records.Record(q.route.Service); ok {
		e = e.Str("believed_primary", rec.Primary).Uint64("term", rec.Term).Uint64("token", rec.Token).
			Str("phase", string(rec.Phase)).Dur("belief_age_ms", now-confirmed)
	}
	if q.waited {
		e = e.Bool("waited_for_database", true)
	}
	return e
}
