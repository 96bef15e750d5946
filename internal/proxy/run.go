package proxy

import (
	"context"
	"errors"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

const (
	// retryPause is the pause before another look when no database is usable.
	retryPause = 20 * time.Millisecond
	// busyPause is the pause after a database refused work for lack of room.
	busyPause = 15 * time.Millisecond
	// demotedPause is the pause after the believed primary refused a write. A
	// replacement is under way then, and takes longer.
	demotedPause = 150 * time.Millisecond
	// outOfReach is how long a primary must have been out of reach before a
	// request is refused at once. A primary that is out of everybody's reach is
	// being replaced by then.
	outOfReach = 1200 * time.Millisecond
	// settleTime is how long after its start an instance may not know the
	// primaries yet, so that requests wait.
	settleTime = 3 * time.Second
	// tryTimeout bounds one attempt of a read that may be repeated elsewhere.
	// It is above the longest work of a read on a database that is five times
	// slower than usual in nine cases of ten.
	tryTimeout = 300 * time.Millisecond
	// confirmWait bounds the wait for fresh knowledge of the primary when an
	// answer arrives after the knowledge ran out.
	confirmWait = 300 * time.Millisecond
)

// outcome is what became of a request.
type outcome struct {
	answer statement.Answer
	at     target
	reason string // why it ended so, for the log
}

func failed(e *result.Error, reason string, at target) outcome {
	return outcome{answer: statement.Answer{Err: e}, at: at, reason: reason}
}

// runFirst runs a request that is bound to no connection. The first statement
// of a transaction leaves its connection with the transaction.
func (x *session) runFirst(q *request) outcome {
	o := x.attempts(q)
	if e := o.answer.Err; e != nil && q.timeouts > 0 && q.mayRepeat() && e.Ran == result.RanNo {
		// An earlier attempt was sent and not answered, so it may have been run.
		o.answer.Err = result.Errorf(result.StatementFailed, "no answer in time, then: %s", e.Message)
	}
	return o
}

// attempts makes attempts until one ends the request.
func (x *session) attempts(q *request) outcome {
	x.s.budgets.Class(q.route.Database).Earn()
	q.tried = make(map[string]int)
	var last *result.Error
	for {
		changed := x.s.cfg.Records.Changed()
		if !time.Now().Before(q.deadline) {
			return x.outOfTime(q, last)
		}
		t, ok := x.choose(q)
		if !ok {
			if x.hopeless(q) || x.onlyHere(q) {
				return x.outOfTime(q, last)
			}
			q.waited = true
			waitFor(changed, q.deadline)
			continue
		}
		o, again := x.try(q, t)
		if !again {
			return o
		}
		last = o.answer.Err
	}
}

// waitFor waits a moment, or until changed.
func waitFor(changed <-chan struct{}, deadline time.Time) {
	waitUntil(changed, earlier(deadline, time.Now().Add(retryPause)))
}

// waitUntil waits until a moment, or until changed.
func waitUntil(changed <-chan struct{}, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// hopeless reports that every database of the request has been tried often.
func (x *session) hopeless(q *request) bool {
	if q.needsPrimary() {
		return false
	}
	for _, d := range x.s.cfg.Topology.Snapshot().Databases[q.route.Service] {
		if q.tried[d.ID] < maxTries && !d.Leaving {
			return false
		}
	}
	return true
}

// onlyHere reports that this instance alone can't use the databases, as far as
// it knows, so that waiting is of no use and another instance may serve the
// caller: its knowledge of a working primary ran out, or a primary that nobody
// replaces has been out of its reach for long.
func (x *session) onlyHere(q *request) bool {
	s := x.s
	rec, _, known := s.cfg.Records.Record(q.route.Service)
	if !known || rec.Phase != primacy.Serving {
		return false
	}
	if _, valid := s.cfg.Records.Primary(q.route.Service); !valid {
		return s.cfg.Now()-s.started > settleTime
	}
	pool, ok := s.cfg.Pools.Pool(rec.Primary)
	if !ok {
		return false
	}
	since, troubled := pool.UnresponsiveSince()
	return troubled && s.cfg.Now()-since > outOfReach
}

// outOfTime is the refusal of a request that was not run, or of a read.
func (x *session) outOfTime(q *request, last *result.Error) outcome {
	if last != nil && (last.Ran == result.RanNo || q.attempts == 0) {
		return failed(last, "no attempt succeeded in time", target{})
	}
	if last != nil {
		return failed(result.Errorf(result.StatementFailed, "no answer in time: %s", last.Message), "no attempt was answered in time", target{})
	}
	return failed(result.Errorf(result.NoPrimary, "no database of service %s can be used now", q.route.Service).
		WithRetryAfter(retryAfterOutage), "no usable database", target{})
}

// retryAfterOutage is the advice while no database can be used: half of the
// time that a replacement of the primary usually takes.
const retryAfterOutage = 500 * time.Millisecond

// try makes one attempt. It reports true if another may be made.
func (x *session) try(q *request, t target) (outcome, bool) {
	id := t.pool.Database().ID
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	lease, err := t.pool.Acquire(ctx, admission.Request{
		ID: q.st.ID, Class: q.class(), Caller: x.callerName(), Rank: q.rank(), Deadline: q.deadline,
	})
	cancel()
	if err != nil {
		return x.notAcquired(q, t, result.From(err))
	}
	if t.usesPrimary() && !x.s.cfg.Records.IsCurrent(q.route.Service, t.primary) {
		lease.Release()
		return failed(result.Errorf(result.NoPrimary, "the primary of service %s is being replaced", q.route.Service), "", t), true
	}
	q.tried[id]++
	q.attempts++
	deadline := q.deadline
	if q.mayRepeat() && !x.lastChance(q) {
		deadline = earlier(deadline, time.Now().Add(tryTimeout))
	}
	asked := x.s.cfg.Now()
	a, err := lease.Run(dbpool.Exchange{
		Variables: x.variables, Prepared: q.shape, Begin: q.begin, Statement: q.st, WaitFor: t.waitFor, Deadline: deadline,
	})
	if notSent := (*dbpool.NotSentError)(nil); errors.As(err, &notSent) {
		lease.ReleaseNotSent(notSent)
		return x.notSent(q, t, notSent)
	}
	if err != nil {
		lease.Discard()
		return x.unanswered(q, t, err)
	}
	x.observe(q, t, asked, a)
	return x.judge(q, t, lease, a)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lastChance reports that a repeated attempt would exceed the retry budget, so
// this one gets all the time there is.
func (x *session) lastChance(q *request) bool {
	return q.timeouts > 0 && !x.s.budgets.Class(q.route.Database).Spend()
}

// notAcquired decides on a request for which no connection was had. Nothing was
// sent.
func (x *session) notAcquired(q *request, t target, e *result.Error) (outcome, bool) {
	o := failed(e, "no connection", t)
	switch e.Code {
	case result.Overloaded, result.DeadlineBeforeRun:
		if q.needsPrimary() {
			return o, false
		}
		q.tried[t.pool.Database().ID]++
		return o, true
	}
	if q.needsPrimary() || q.refusals > 0 {
		waitFor(x.s.cfg.Records.Changed(), q.deadline)
	}
	q.refusals++
	return o, true
}

// notSent decides on a request that an owner of connections did not start. The
// next attempt goes another way if the owner, or its way to the database, failed.
func (x *session) notSent(q *request, t target, err *dbpool.NotSentError) (outcome, bool) {
	e := result.From(err.Cause)
	if e.Code == result.DatabaseDown && q.refusals == 0 {
		q.refusals++
		return failed(e, "no connection", t), true
	}
	return x.notAcquired(q, t, e)
}

// unanswered decides on a request that was sent and not answered.
func (x *session) unanswered(q *request, t target, err error) (outcome, bool) {
	q.timeouts++
	if q.mayRepeat() {
		e := result.Errorf(result.StatementFailed, "database %s did not answer: %w", t.pool.Database().ID, err)
		return failed(e, "no answer", t), true
	}
	if q.st.Kind != statement.Commit && q.begin != nil {
		// The connection was closed before a commit was sent.
		return failed(result.Errorf(result.RolledBack, "database %s did not answer; the transaction was rolled back", t.pool.Database().ID), "no answer in the transaction", t), false
	}
	return failed(result.Errorf(result.OutcomeUnknown, "database %s did not answer", t.pool.Database().ID), "sent and not answered", t), false
}

// observe keeps the position of a primary's answer.
func (x *session) observe(q *request, t target, asked time.Duration, a statement.Answer) {
	if t.usesPrimary() && a.Err == nil && x.s.cfg.Records.IsCurrent(q.route.Service, t.primary) {
		x.s.history(q.route.Service).Observe(asked, a.Position)
	}
}

// judge decides on an answer.
func (x *session) judge(q *request, t target, lease *dbpool.Lease, a statement.Answer) (outcome, bool) {
	if a.Err != nil {
		return x.judgeError(q, t, lease, a)
	}
	if t.usesPrimary() && !x.confirmed(q, t) {
		return x.replaced(q, t, lease)
	}
	if q.begin != nil && q.st.Kind != statement.Commit {
		x.tx.lease, x.tx.at = lease, t
		return outcome{answer: a, at: t}, false
	}
	if q.writes {
		x.floor = x.floor.Max(a.Position)
	}
	x.finish(lease, a)
	return outcome{answer: a, at: t}, false
}

// finish gives the connection back after the last statement on it.
func (x *session) finish(lease *dbpool.Lease, a statement.Answer) {
	if a.State == statement.TxIdle {
		lease.Release()
		return
	}
	go lease.Rollback(time.Now().Add(rollbackTimeout))
}

// confirmed reports whether the primary that answered had not been replaced.
func (x *session) confirmed(q *request, t target) bool {
	b := x.s.cfg.Records
	until := time.Now().Add(confirmWait)
	for {
		changed := b.Changed()
		if b.IsCurrent(q.route.Service, t.primary) {
			return true
		}
		rec, _, _ := b.Record(q.route.Service)
		if rec.Token != t.primary.Token || !time.Now().Before(until) {
			return false
		}
		waitFor(changed, until)
	}
}

// replaced decides on an answer of a primary that may have been replaced.
func (x *session) replaced(q *request, t target, lease *dbpool.Lease) (outcome, bool) {
	if q.begin != nil && q.st.Kind != statement.Commit {
		go lease.Rollback(time.Now().Add(rollbackTimeout))
		e := result.Errorf(result.RolledBack, "the primary is being replaced; the transaction was rolled back")
		return failed(e, "the primary may have been replaced", t), q.mayRepeat()
	}
	lease.Release()
	if q.mayRepeat() {
		return failed(result.Errorf(result.StatementFailed, "the primary is being replaced"), "the primary may have been replaced", t), true
	}
	return failed(result.Errorf(result.OutcomeUnknown, "the primary was replaced before it answered"), "the primary may have been replaced", t), false
}

// judgeError decides on an error that a database returned.
func (x *session) judgeError(q *request, t target, lease *dbpool.Lease, a statement.Answer) (outcome, bool) {
	x.finish(lease, a)
	o := outcome{answer: a, at: t, reason: "the database refused"}
	id := t.pool.Database().ID
	switch a.Err.Code {
	case result.BehindFloor:
		t.pool.MarkLagging()
		q.tried[id] = maxTries
		return o, true
	case result.Overloaded:
		time.Sleep(min(busyPause, time.Until(q.deadline)))
		return o, q.tried[id] < maxTries || !q.needsPrimary()
	case result.NotPrimary:
		waitUntil(x.s.cfg.Records.Changed(), earlier(q.deadline, time.Now().Add(demotedPause)))
		return o, true
	case result.StatementFailed, result.StatementTimeout:
		return o, q.mayRepeat()
	case result.UnknownStatement:
		return o, q.tried[id] < maxTries
	}
	return o, false
}

// runPinned runs a statement on its transaction's connection.
func (x *session) runPinned(q *request) outcome {
	t, lease := x.tx.at, x.tx.lease
	commit := q.st.Kind == statement.Commit
	if t.usesPrimary() && !x.s.cfg.Records.IsCurrent(q.route.Service, t.primary) && !x.confirmed(q, t) {
		x.failTransaction()
		return failed(result.Errorf(result.RolledBack, "the primary was replaced; the transaction was rolled back"), "the primary was replaced", t)
	}
	asked := x.s.cfg.Now()
	a, err := lease.Run(dbpool.Exchange{Variables: x.variables, Prepared: q.shape, Statement: q.st, Deadline: q.deadline})
	if err != nil {
		x.tx.lease = nil
		lease.Discard()
		return x.lostTransaction(q, t, commit, err)
	}
	x.observe(q, t, asked, a)
	if a.Err != nil {
		return outcome{answer: x.pinnedError(a, commit), at: t, reason: "the database refused"}
	}
	if t.usesPrimary() && !x.confirmed(q, t) {
		if commit && x.tx.wrote {
			return failed(result.Errorf(result.OutcomeUnknown, "the primary was replaced before it answered"), "the primary may have been replaced", t)
		}
		return failed(result.Errorf(result.RolledBack, "the primary was replaced; the transaction was rolled back"), "the primary may have been replaced", t)
	}
	if commit && x.tx.wrote {
		x.floor = x.floor.Max(a.Position)
	}
	return outcome{answer: a, at: t}
}

// pinnedError is the error that the caller sees. The transaction is rolled back
// after any of them, so a refusal of its commit keeps nothing.
func (x *session) pinnedError(a statement.Answer, commit bool) statement.Answer {
	if commit && a.Err.Ran == result.RanNo {
		a.Err = result.Errorf(result.RolledBack, "the commit was refused: %s", a.Err.Message)
	}
	return a
}

// lostTransaction is the outcome of a transaction whose connection failed.
func (x *session) lostTransaction(q *request, t target, commit bool, err error) outcome {
	var refused *result.Error
	detail := "the connection failed"
	if errors.As(err, &refused) {
		detail = refused.Message
	}
	switch {
	case !commit:
		return failed(result.Errorf(result.RolledBack, "%s; the transaction was rolled back", detail), "the connection failed", t)
	case x.tx.wrote:
		return failed(result.Errorf(result.OutcomeUnknown, "the commit was sent and not answered"), "commit sent and not answered", t)
	}
	return failed(result.Errorf(result.StatementFailed, "the commit of a transaction without writes was not answered"), "commit sent and not answered", t)
}
