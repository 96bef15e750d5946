package dbpool

import (
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// LoadReporter is a connection to an owner that passes on the owner's reports about the
// load of the database.
type LoadReporter interface {
	// TakeReport returns the report of the latest exchange, once. It returns false if
	// there is none.
	TakeReport() (balance.Report, bool)
}

// busyWeight is the weight of one exchange in the mean share of busy places. An owner
// with a quarter of a database's reads ends about 20 exchanges a second.
const busyWeight = 0.1

// sharedLoad is what an instance knows about the load of a database from all instances,
// and about its refusals. Pool.mu protects it.
type sharedLoad struct {
	refusals balance.Refusals
	report   balance.Report // of the owner
	reportAt time.Duration
	busy     float64 // mean of (in use + queued) / places at the ends of exchanges
}

// DataCentre returns the place of the database or, if it is reached through an owner, of
// the owner.
func (p *Pool) DataCentre() string { return p.dataCentre }

// reportAt returns what is known about the database's load, and its age. p.mu is held.
func (p *Pool) reportAt(now time.Duration, queued int) (balance.Report, time.Duration) {
	if p.owner != "" {
		return p.shared.report, now - p.shared.reportAt
	}
	return balance.Report{
		Queued: queued, InUse: p.open - len(p.idle), Limit: p.concurrency(), Busy: p.shared.busy, Mean: p.latency.at(now),
	}, 0
}

// learn takes over the owner's report and the refusals for a full queue in the answers of
// an exchange, and tells OnRoundTrip the time on the way. p.mu is held.
func (p *Pool) learn(c Conn, answers []statement.Answer, took, now time.Duration, queued int) {
	load := float64(p.open-len(p.idle)+queued) / float64(max(1, p.concurrency()))
	p.shared.busy += (load - p.shared.busy) * busyWeight
	for _, a := range answers {
		if a.Err != nil && a.Err.Code == result.Overloaded {
			p.learnRefusal(now, "answer")
			break
		}
	}
	r, ok := c.(LoadReporter)
	if !ok {
		return
	}
	report, ok := r.TakeReport()
	if !ok {
		return
	}
	if report.RefusedFor > 0 && p.shared.refusals.Remaining(now) == 0 {
		p.countRefusal("report")
	}
	p.shared.refusals.Learn(now, report.RefusedFor)
	p.shared.report, p.shared.reportAt = report, now
	if p.onRoundTrip != nil {
		p.onRoundTrip(took - report.Took)
	}
}

// learnRefusal records that the database refused a statement for a full queue. p.mu is
// held.
func (p *Pool) learnRefusal(now time.Duration, source string) {
	p.shared.refusals.Refused(now, rand.Float64())
	p.countRefusal(source)
}

// countRefusal counts a refusal that was learned from an answer of the database or from
// an owner's report.
func (p *Pool) countRefusal(source string) {
	p.metrics.Count(metricRefusals, measure.Labels{
		{Name: "service", Value: p.db.Service}, {Name: "database", Value: p.db.ID}, {Name: "source", Value: source},
	})
}
