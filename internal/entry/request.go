package entry

import (
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
)

// minTransactionTime is the minimum time limit of a statement in an open
// transaction. served_within is meant for whole requests and can be a few hundred
// milliseconds; cancelling a transaction that already holds a connection and locks
// would waste the work done so far.
const minTransactionTime = 5 * time.Second

// request is a batch for a database with the parameters that decide how it is run.
type request struct {
	id              string
	caller          *callerConn
	batch           *batch
	service         catalog.Service
	class           catalog.Class
	group           string
	requestKey      string
	effectiveParams proxyParams // class, partition and key in effect
	readHint        bool        // the statements look like reads, so a replica may run them
	readOnly        bool        // the statements cannot write, as far as their text shows
	onlyBegins      bool        // only starts a transaction
	mayCommit       bool        // may make a transaction's changes permanent
	floor           backend.Position
	floorKnown      bool
	start           time.Time
	deadline        time.Time
	counters        *metrics.Class
}

// newRequest makes a request of a batch: it finds the service, class, group and
// request key. A request key that was set by SET applies to the first batch that
// executes something. On error the returned request has only its id for certain.
func (c *callerConn) newRequest(b *batch, start time.Time) (*request, error) {
	r := &request{id: c.server.requestID(), caller: c, batch: b, start: start}
	var err error
	if r.service, err = c.lookupService(); err != nil {
		return r, err
	}
	given := proxyParams{class: c.params.class, partition: c.params.partition}
	if b.executes {
		given.requestKey, c.params.requestKey = c.params.requestKey, ""
	}
	c.inheritFromTransaction(&given)
	if given, err = withDirectives(given, b); err != nil {
		return r, err
	}
	if r.class, err = c.lookupClass(given.class); err != nil {
		return r, err
	}
	if b.executes {
		r.requestKey = given.requestKey
	}
	r.effectiveParams = given
	r.group = route.GroupOf(given.partition, r.service.Groups)
	if c.tx != nil && c.tx.group != r.group {
		return r, result.Errorf(result.BadParameter,
			"partition %q is in group %s, but the transaction was started in group %s",
			given.partition, r.group, c.tx.group)
	}
	r.classify()
	r.floor, r.floorKnown = c.floors.Get(r.group)
	r.deadline = start.Add(r.timeLimit())
	r.counters = c.server.cfg.Metrics.Class(r.service.Name, r.class.Name)
	return r, nil
}

// inheritFromTransaction makes a statement of a transaction use the class and
// partition that the transaction was started with, unless SET has changed them
// since.
func (c *callerConn) inheritFromTransaction(given *proxyParams) {
	if c.tx == nil {
		return
	}
	if given.class == c.tx.sessionParams.class {
		given.class = c.tx.effectiveParams.class
	}
	if given.partition == c.tx.sessionParams.partition {
		given.partition = c.tx.effectiveParams.partition
	}
}

func withDirectives(p proxyParams, b *batch) (proxyParams, error) {
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
		p.requestKey = d.Key
	}
	return p, nil
}

// classify derives from the statements what the batch may do. A portal that was
// bound in an earlier batch has an unknown statement, which may do anything.
func (r *request) classify() {
	scripts := r.batch.scripts
	r.readHint, r.readOnly, r.onlyBegins = len(scripts) > 0, len(scripts) > 0, len(scripts) > 0
	for _, s := range scripts {
		_, begin := s.Single(route.KindBegin)
		r.onlyBegins = r.onlyBegins && begin
		r.readHint = r.readHint && s.ReadHint()
		r.readOnly = r.readOnly && s.ReadOnly()
		r.mayCommit = r.mayCommit || s.MayCommit()
	}
	if len(scripts) == 0 || r.batch.usesEarlierPortal {
		r.readHint, r.readOnly, r.onlyBegins, r.mayCommit = false, false, false, true
	}
	// A request key is stored in the database together with the effects of the
	// request, so the request needs the primary.
	r.readHint = r.readHint && r.requestKey == ""
}

func (r *request) timeLimit() time.Duration {
	d := r.class.LatencyTarget.Std()
	if r.caller.tx != nil {
		return max(d, minTransactionTime)
	}
	return d
}

// mayHaveWritten reports whether a request with an unknown outcome may have written
// for this session. BEGIN alone has not, because a transaction writes nothing before
// its commit.
func (r *request) mayHaveWritten() bool {
	return r.batch.executes && !r.readOnly && !r.onlyBegins
}

// hasNoEffect reports whether it makes no difference how often the batch was run: it
// executes nothing, or only starts a transaction, which the pool rolls back if it is
// not continued.
func (r *request) hasNoEffect() bool { return !r.batch.executes || r.onlyBegins }

func (c *callerConn) lookupService() (catalog.Service, error) {
	s, ok := c.server.cfg.Directory.Catalog().Service(c.service)
	if !ok {
		return s, result.Errorf(result.UnknownService, "service %q no longer exists", c.service)
	}
	return s, nil
}

// lookupClass returns the class of a name, or the default class of the service if
// the name is empty.
func (c *callerConn) lookupClass(name string) (catalog.Class, error) {
	snapshot := c.server.cfg.Directory.Catalog()
	if name != "" {
		if class, ok := snapshot.Class(c.service, name); ok {
			return class, nil
		}
		return catalog.Class{}, result.Errorf(result.UnknownClass, "class %q does not exist in service %q: known classes are %s",
			name, c.service, snapshot.ClassNames(c.service))
	}
	if class, ok := snapshot.DefaultClass(c.service); ok {
		return class, nil
	}
	return catalog.Class{}, result.Errorf(result.UnknownClass,
		"the request names no class and service %q has no class %q: known classes are %s",
		c.service, catalog.DefaultClassName, snapshot.ClassNames(c.service))
}

// missReasons maps the result code of a failed request to the reason under which it
// is counted as a miss. Other codes count as metrics.ReasonOther.
var missReasons = map[result.Code]metrics.Reason{
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

// recordMetrics counts a finished request in the metrics of its class.
func (r *request) recordMetrics(done outcome, failure *result.Error, took time.Duration) {
	m := r.counters
	m.Requests.Add(1)
	m.Observe(took)
	if failure != nil {
		reason, ok := missReasons[failure.Code]
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
	if took <= r.class.LatencyTarget.Std() {
		m.WithinTarget.Add(1)
	} else {
		m.AddMissed(metrics.ReasonQueue)
	}
	switch {
	case done.resp.GetWrote():
		m.Writes.Add(1)
	case r.readHint && done.at.target.Primary:
		m.PrimaryReads.Add(1)
	case r.readHint:
		m.ReplicaReads.Add(1)
	}
	if done.resp.GetStale() {
		m.StaleReads.Add(1)
	}
}
