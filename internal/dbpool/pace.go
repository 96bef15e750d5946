package dbpool

import (
	"io"
	"maps"
	"slices"
	"time"

	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/pace"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

const (
	metricPaceLimit   = "geraniumbeam_pace_limit"
	metricPaceChanges = "geraniumbeam_pace_changes_total"
)

// pacer adapts the concurrency of a pool to how the database answers. Pool.mu protects it.
type pacer struct {
	limiter *pace.Limiter
	// held is the number of leases whose transaction is open and runs nothing. They don't
	// count against the limit, as the database could serve others meanwhile.
	held    int
	primary bool // as of the latest registration
}

// newPacer returns nil if the pool has a fixed concurrency. Connections to an owner do: the
// owner limits the concurrency of all instances.
func newPacer(cfg Config) *pacer {
	if !cfg.AdaptivePace || cfg.Owner != "" {
		return nil
	}
	return &pacer{limiter: pace.New(cfg.Sizing.concurrency(), cfg.Now(), 0), primary: cfg.Database.Primary}
}

// limit returns the concurrency of a pool whose sizing allows n. Pool.mu is held.
func (c *pacer) limit(n int) int {
	if c == nil {
		return n
	}
	c.limiter.SetBound(n)
	return min(n, c.limiter.Limit()+c.held)
}

// hold records whether the lease's transaction is open and runs nothing. Pool.mu is held.
func (l *Lease) hold(held bool) {
	c := l.pool.pace
	if c == nil || l.held == held {
		return
	}
	l.held = held
	if held {
		c.held++
	} else {
		c.held--
	}
	l.pool.queue.SetConcurrency(l.pool.concurrency())
}

// endHold ends the effect of hold at the end of the lease.
func (l *Lease) endHold() {
	if l.pool.pace == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.hold(false)
}

// observePace records the end of an exchange. Pool.mu is held.
func (l *Lease) observePace(began, ended time.Duration, withStatement bool, answers []statement.Answer, err error) {
	p := l.pool
	if p.pace == nil {
		return
	}
	e := pace.End{Class: l.class, Began: began, Ended: ended, Waited: p.queue.Queued() > 0}
	var last statement.Answer
	if len(answers) > 0 {
		last = answers[len(answers)-1]
	}
	switch {
	case err != nil:
		e.Outcome = pace.NoAnswer
	case last.Err != nil && last.Err.Code == result.Overloaded:
		e.Outcome = pace.Refused
	}
	if withStatement { // others need no slot of the database
		p.paceChanged(p.pace.limiter.Observe(e))
	}
	l.hold(err == nil && last.State == statement.TxOpen)
}

// restartPace begins again with a low limit, as the database was just promoted or has
// failed. p.mu is held.
func (p *Pool) restartPace() {
	if p.pace != nil {
		p.pace.limiter.Restart(p.now(), 0)
		p.paceChanged(pace.Restart)
	}
}

// setPrimary records whether the database is a primary.
func (p *Pool) setPrimary(primary bool) {
	if p.pace == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if primary && !p.pace.primary {
		p.restartPace()
	}
	p.pace.primary = primary
}

// paceChanged applies a change of the limit. p.mu is held.
func (p *Pool) paceChanged(reason pace.Reason) {
	if reason == pace.None {
		return
	}
	p.metrics.Count(metricPaceChanges, measure.Labels{{Name: "database", Value: p.db.ID}, {Name: "reason", Value: string(reason)}})
	p.queue.SetConcurrency(p.concurrency())
}

// WriteMetrics writes the limits of the databases whose concurrency is adapted.
func (s *Set) WriteMetrics(w io.Writer) error {
	if !s.cfg.AdaptivePace {
		return nil
	}
	limits := make(map[string]int)
	s.mu.RLock()
	for id, x := range s.pools {
		if x.direct == nil || x.direct.pace == nil {
			continue
		}
		x.direct.mu.Lock()
		limits[id] = x.direct.pace.limiter.Limit()
		x.direct.mu.Unlock()
	}
	s.mu.RUnlock()
	for _, id := range slices.Sorted(maps.Keys(limits)) {
		if err := measure.WriteValue(w, metricPaceLimit, measure.Labels{{Name: "database", Value: id}}, int64(limits[id])); err != nil {
			return err
		}
	}
	return nil
}
