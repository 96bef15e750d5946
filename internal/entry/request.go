package entry

import (
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
)

// minTransactionBudget is the least time that a statement of an open
// transaction gets. served_within is chosen for whole requests and can be a few
// hundred milliseconds; cutting a transaction that already holds a connection
// and locks would waste the work done so far.
const minTransactionBudget = 5 * time.Second

// request is a batch with everything that decides how it is run.
type request struct {
	id       string
	caller   *caller
	batch    *batch
	service  catalog.Service
	class    catalog.Class
	group    string
	key      string
	used     params // class and partition in effect
	read     bool   // hint
	pure     bool   // the text shows no way to write
	begin    bool   // only starts a transaction
	commits  bool   // may make a transaction's changes permanent
	floor    backend.Position
	known    bool // floor is known
	start    time.Time
	deadline time.Time
	counters *metrics.Class
}

// newRequest resolves class, group and key. The request key of SET is used up
// by the first batch that executes something. The request has its id even if
// there is an error.
func (c *caller) newRequest(b *batch, start time.Time) (*request, error) {
	r := &request{id: c.s.requestID(), caller: c, batch: b, start: start}
	var err error
	if r.service, err = c.lookupService(); err != nil {
		return r, err
	}
	given := params{class: c.params.class, partition: c.params.partition}
	if b.executes {
		given.key, c.params.key = c.params.key, ""
	}
	c.inherit(&given)
	if given, err = withDirectives(given, b); err != nil {
		return r, err
	}
	if r.class, err = c.lookupClass(given.class); err != nil {
		return r, err
	}
	if b.executes {
		r.key = given.key
	}
	r.used = given
	r.group = route.GroupOf(given.partition, r.service.Groups)
	if c.tx != nil && c.tx.group != r.group {
		return r, result.Errorf(result.BadParameter,
			"partition %q is in group %s, but the transaction was started in group %s",
			given.partition, r.group, c.tx.group)
	}
	r.hints()
	r.floor, r.known = c.floors.Get(r.group)
	r.deadline = start.Add(r.budget())
	r.counters = c.s.cfg.Metrics.Class(r.service.Name, r.class.Name)
	return r, nil
}

// inherit makes a statement of a transaction use the class and partition that
// the transaction was started with, unless SET has changed them since.
func (c *caller) inherit(given *params) {
	if c.tx == nil {
		return
	}
	if given.class == c.tx.session.class {
		given.class = c.tx.used.class
	}
	if given.partition == c.tx.session.partition {
		given.partition = c.tx.used.partition
	}
}

func withDirectives(p params, b *batch) (params, error) {
	var d route.Directives
	for _, s := range b.scripts {
		if err := d.Merge(s.Directives); err != nil {
			return p, err
		}
	}
	if d.HasClass {
		p.class = d.Class
	}
	if d.HasPartition {
		p.partition = d.Partition
	}
	if d.HasKey {
		p.key = d.Key
	}
	return p, nil
}

// hints derives from the texts what the batch seems to do. A portal that was
// bound in an earlier batch has no text here and may be anything.
func (r *request) hints() {
	scripts := r.batch.scripts
	r.read, r.pure, r.begin = len(scripts) > 0, len(scripts) > 0, len(scripts) > 0
	for _, s := range scripts {
		_, begin := s.Single(route.KindBegin)
		r.begin = r.begin && begin
		r.read = r.read && s.ReadHint()
		r.pure = r.pure && s.ReadOnly()
		r.commits = r.commits || s.MayCommit()
	}
	if len(scripts) == 0 || r.batch.foreign {
		r.read, r.pure, r.begin, r.commits = false, false, false, true
	}
	// A key is stored with the work, so it needs the primary.
	r.read = r.read && r.key == ""
}

func (r *request) budget() time.Duration {
	d := r.class.ServedIn.Std()
	if r.caller.tx != nil {
		return max(d, minTransactionBudget)
	}
	return d
}

// mayWrite reports whether an unknown outcome can include a write of this
// session. A statement of a transaction writes nothing until its commit.
func (r *request) mayWrite() bool {
	return r.batch.executes && !r.pure && !r.begin
}

// harmless reports that running the batch twice, or not knowing whether it
// ran, makes no difference: it executes nothing or only starts a transaction,
// which the pool rolls back when nobody continues it.
func (r *request) harmless() bool { return !r.batch.executes || r.begin }

func (c *caller) lookupService() (catalog.Service, error) {
	s, ok := c.s.cfg.Directory.Catalog().Service(c.service)
	if !ok {
		return s, result.Errorf(result.UnknownService, "service %q does not exist any more", c.service)
	}
	return s, nil
}

// lookupClass returns the named class, or the service's default class for the
// empty name.
func (c *caller) lookupClass(name string) (catalog.Class, error) {
	snapshot := c.s.cfg.Directory.Catalog()
	if name != "" {
		if class, ok := snapshot.Class(c.service, name); ok {
			return class, nil
		}
		return catalog.Class{}, result.Errorf(result.UnknownClass, "class %q does not exist in service %q: known classes are %s",
			name, c.service, snapshot.ClassNames(c.service))
	}
	if class, ok := snapshot.Default(c.service); ok {
		return class, nil
	}
	return catalog.Class{}, result.Errorf(result.UnknownClass,
		"the request names no class and service %q has no class %q: known classes are %s",
		c.service, catalog.DefaultClass, snapshot.ClassNames(c.service))
}

// reasons maps codes to the reason that a miss is counted under.
var reasons = map[result.Code]metrics.Reason{
	result.Overloaded:        metrics.ReasonShed,
	result.ConnectionsBusy:   metrics.ReasonShed,
	result.RetryBudgetSpent:  metrics.ReasonShed,
	result.DeadlineBeforeRun: metrics.ReasonQueue,
	result.NotOwner:          metrics.ReasonFailover,
	result.NotPrimary:        metrics.ReasonFailover,
	result.InstanceDown:      metrics.ReasonFailover,
	result.DatabaseDown:      metrics.ReasonFailover,
	result.NoPrimary:         metrics.ReasonFailover,
	result.DatabaseLeaving:   metrics.ReasonFailover,
	result.Unverified:        metrics.ReasonFailover,
	result.OutcomeUnknown:    metrics.ReasonFailover,
	result.RolledBack:        metrics.ReasonFailover,
	result.BehindFloor:       metrics.ReasonStale,
	result.TooOld:            metrics.ReasonStale,
	result.BadParameter:      metrics.ReasonCaller,
	result.NotSupported:      metrics.ReasonCaller,
	result.KeyReused:         metrics.ReasonCaller,
	result.Cancelled:         metrics.ReasonCaller,
	result.AnswerTooLarge:    metrics.ReasonCaller,
}

// count records a finished request.
func (r *request) count(done outcome, failure *result.Error, took time.Duration) {
	m := r.counters
	m.Requests.Add(1)
	m.Observe(took)
	if failure != nil {
		reason, ok := reasons[failure.Code]
		if !ok {
			reason = metrics.ReasonOther
		}
		m.AddMissed(reason)
		if failure.Ran == result.RanUnknown {
			m.Unknown.Add(1)
		}
		return
	}
	m.Served.Add(1)
	if took <= r.class.ServedIn.Std() {
		m.WithinTarget.Add(1)
	} else {
		m.AddMissed(metrics.ReasonQueue)
	}
	switch {
	case done.resp.GetWrote():
		m.Writes.Add(1)
	case r.read && done.at.target.Primary:
		m.PrimaryReads.Add(1)
	case r.read:
		m.ReplicaReads.Add(1)
	}
	if done.resp.GetStale() {
		m.StaleReads.Add(1)
	}
}
