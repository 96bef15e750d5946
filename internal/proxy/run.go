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
	// noDatabaseDelay is the retry delay while no database is usable.
	noDatabaseDelay = 20 * time.Millisecond
	// overloadedDelay is the retry delay after a database refused work because
	// it was overloaded.
	overloadedDelay = 15 * time.Millisecond
	// notPrimaryDelay is the retry delay after the recorded primary refused a
	// write. A failover is in progress then, which takes longer.
	notPrimaryDelay = 150 * time.Millisecond
	// unreachableThreshold is how long a primary must have been unreachable from
	// this instance before requests are refused at once. A primary that is
	// unreachable from all instances is being replaced by then.
	unreachableThreshold = 1200 * time.Millisecond
	// startupPeriod is how long after its start an instance may lack a valid
	// record of a primary, so that requests wait for one.
	startupPeriod = 3 * time.Second
	// attemptTimeout bounds one attempt of a request that can be repeated on
	// another database. In nine of ten cases it covers the longest read on a
	// database that is five times slower than normal.
	attemptTimeout = 300 * time.Millisecond
	// confirmTimeout bounds the wait for a confirmation of the record when an
	// answer arrives after the record's validity ended.
	confirmTimeout = 300 * time.Millisecond
)

// outcome is the final result of a request or of one attempt.
type outcome struct {
	answer statement.Answer
	target target
	reason string // logged cause; empty for a success
}

func failure(e *result.Error, reason string, t target) outcome {
	return outcome{answer: statement.Answer{Err: e}, target: t, reason: reason}
}

// runUnpinned runs a request that is not pinned to a connection. The first
// statement of a transaction pins the transaction to the connection it used.
func (s *session) runUnpinned(req *request) outcome {
	o := s.runAttempts(req)
	s.endWait()
	if e := o.answer.Err; e != nil && req.timeouts > 0 && req.isRepeatable() && e.Ran == result.RanNo {
		// An earlier attempt was sent and not answered, so it may have been run.
		o.answer.Err = result.Errorf(result.StatementFailed, "an attempt was not answered in time; the last attempt failed: %s", e.Message)
	}
	return o
}

// runAttempts makes attempts until one is final or no further attempt can be
// made.
func (s *session) runAttempts(req *request) outcome {
	s.srv.budgets.Class(req.route.Database).Earn()
	req.attemptsByDatabase = make(map[string]int)
	var last *result.Error
	for {
		s.startWait(req.cancel)
		changed := s.srv.cfg.Records.Changed()
		if req.ctx.Err() != nil {
			return callerGone(target{})
		}
		if !time.Now().Before(req.deadline) {
			return s.finalRefusal(req, last)
		}
		t, ok := s.chooseTarget(req)
		if !ok {
			if s.attemptsExhausted(req) || s.unavailableOnlyHere(req) {
				return s.finalRefusal(req, last)
			}
			req.waitedForDatabase = true
			waitNoDatabaseDelay(changed, req.deadline)
			continue
		}
		o, retry := s.attempt(req, t)
		if !retry {
			return o
		}
		last = o.answer.Err
	}
}

// waitNoDatabaseDelay waits until changed is closed, noDatabaseDelay has passed
// or the deadline is reached.
func waitNoDatabaseDelay(changed <-chan struct{}, deadline time.Time) {
	waitUntil(changed, earlier(deadline, time.Now().Add(noDatabaseDelay)))
}

// waitUntil waits until changed is closed or the given time is reached.
func waitUntil(changed <-chan struct{}, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// attemptsExhausted reports whether the request has used up its attempts at every
// database that may serve it. A request that needs the primary waits for it
// until its deadline.
func (s *session) attemptsExhausted(req *request) bool {
	if req.needsPrimary() {
		return false
	}
	for _, d := range s.srv.cfg.Topology.Snapshot().Databases[req.route.Service] {
		if req.attemptsByDatabase[d.ID] < maxAttemptsPerDatabase && !d.Leaving {
			return false
		}
	}
	return true
}

// unavailableOnlyHere reports whether, according to the record, the databases are
// available but this instance can't use them. Waiting does not help then, and
// another instance may serve the caller. This is the case if the instance's
// record of a serving primary is no longer valid, or if the primary has been
// unreachable from this instance for long without being replaced.
func (s *session) unavailableOnlyHere(req *request) bool {
	srv := s.srv
	rec, _, known := srv.cfg.Records.Record(req.route.Service)
	if !known || rec.Phase != primacy.Serving {
		return false
	}
	if _, valid := srv.cfg.Records.Primary(req.route.Service); !valid {
		return srv.cfg.Now()-srv.started > startupPeriod
	}
	pool, ok := srv.cfg.Pools.Pool(rec.Primary, req.organisation)
	if !ok {
		return false
	}
	since, unresponsive := pool.UnresponsiveSince()
	return unresponsive && srv.cfg.Now()-since > unreachableThreshold
}

// finalRefusal returns the outcome of a request that ran out of attempts or time.
// The request was not run, or is repeatable. last is the error of the latest
// attempt, or nil.
func (s *session) finalRefusal(req *request, last *result.Error) outcome {
	if last != nil && (last.Ran == result.RanNo || req.attempts == 0) {
		return failure(last, "no attempt succeeded in time", target{})
	}
	if last != nil {
		return failure(result.Errorf(result.StatementFailed, "no answer in time: %s", last.Message), "no attempt was answered in time", target{})
	}
	return failure(result.Errorf(result.NoPrimary, "no database of service %s can be used now", req.route.Service).
		WithRetryAfter(retryAfterOutage), "no usable database", target{})
}

// retryAfterOutage is the retry delay sent to callers while no database is usable:
// half the usual duration of a failover.
const retryAfterOutage = 500 * time.Millisecond

// attempt sends the request to the target once. It reports true if another attempt
// may be made.
func (s *session) attempt(req *request, t target) (outcome, bool) {
	id := t.pool.Database().ID
	begin := req.begin
	lease, begun := s.takeEarly(t)
	if begun {
		begin = nil
	} else {
		var err error
		ctx, cancel := context.WithDeadline(req.ctx, req.deadline)
		lease, err = t.pool.Acquire(ctx, s.admissionRequest(req), s.variables)
		cancel()
		if req.ctx.Err() != nil {
			return s.giveUp(t, lease, false)
		}
		if err != nil {
			return s.handleAcquireError(req, t, result.From(err))
		}
	}
	if t.usesPrimary() && !s.srv.cfg.Records.IsCurrent(req.route.Service, t.primary) {
		s.endUnused(lease, begun)
		return failure(result.Errorf(result.NoPrimary, "the primary of service %s is being replaced", req.route.Service), "", t), true
	}
	withdrawable := t.pool.Owner() != "" && !begun // the owner has a queue of its own
	if !withdrawable {
		s.endWait()
	}
	if req.ctx.Err() != nil {
		return s.giveUp(t, lease, begun)
	}
	req.attemptsByDatabase[id]++
	req.attempts++
	deadline := req.deadline
	if req.isRepeatable() && !s.isFinalAttempt(req) {
		deadline = earlier(deadline, time.Now().Add(attemptTimeout))
	}
	sentBefore := req.charge.setSent(true)
	sentAt := s.srv.cfg.Now()
	x := dbpool.Exchange{
		Variables: s.variables, Prepared: req.preparedStmt, Begin: begin, Statement: req.st, WaitFor: t.waitFor, Deadline: deadline,
	}
	if withdrawable {
		x.Context = req.ctx
	}
	a, err := lease.Run(x)
	s.endWait()
	if notSent := (*dbpool.NotSentError)(nil); errors.As(err, &notSent) {
		lease.ReleaseNotSent(notSent)
		if result.From(notSent.Cause).Code != result.DatabaseDown {
			req.charge.setSent(sentBefore) // the owner refused the request before it had a connection
		}
		if req.ctx.Err() != nil {
			return callerGone(t), false
		}
		return s.handleNotSent(req, t, notSent)
	}
	if err != nil {
		lease.Discard()
		return s.handleNoAnswer(req, t, err)
	}
	s.observePosition(req, t, sentAt, a)
	return s.handleAnswer(req, t, lease, a)
}

// endUnused ends the use of a connection on which nothing but the begin of a transaction,
// if begun is set, was sent.
func (s *session) endUnused(lease *dbpool.Lease, begun bool) {
	if begun {
		s.srv.rollBack(lease)
		return
	}
	lease.Release()
}

// giveUp ends an attempt before its statement is sent, because the caller has
// disconnected. lease may be nil.
func (s *session) giveUp(t target, lease *dbpool.Lease, begun bool) (outcome, bool) {
	if lease != nil {
		s.endUnused(lease, begun)
	}
	return callerGone(t), false
}

// admissionRequest describes a request to the queue of a database.
func (s *session) admissionRequest(req *request) admission.Request {
	return admission.Request{
		ID: req.st.ID, Class: req.class(), Caller: s.fairnessKey(), Organisation: req.organisation, Rank: req.rank(),
		Deadline: req.deadline, Target: req.target,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isFinalAttempt reports whether the retry budget allows no attempt after this one,
// so that this one may use the time until the deadline. Each call after a timeout
// spends one retry from the budget.
func (s *session) isFinalAttempt(req *request) bool {
	return req.timeouts > 0 && !s.srv.budgets.Class(req.route.Database).Spend()
}

// handleAcquireError handles an attempt that got no connection. Nothing was sent.
func (s *session) handleAcquireError(req *request, t target, e *result.Error) (outcome, bool) {
	o := failure(e, "no connection", t)
	switch e.Code {
	case result.Overloaded, result.DeadlineBeforeRun:
		if req.needsPrimary() {
			return o, false
		}
		req.attemptsByDatabase[t.pool.Database().ID]++
		return o, true
	}
	if s.hasOtherPath(req, t) {
		req.acquireFailures++
		return o, true
	}
	if req.needsPrimary() || req.acquireFailures > 0 {
		waitNoDatabaseDelay(s.srv.cfg.Records.Changed(), req.deadline)
	}
	req.acquireFailures++
	return o, true
}

// handleNotSent handles an attempt that the owner of the connection did not start.
// If the owner or its connection to the database failed, the next attempt follows
// without delay and takes another path.
func (s *session) handleNotSent(req *request, t target, err *dbpool.NotSentError) (outcome, bool) {
	e := result.From(err.Cause)
	if e.Code == result.DatabaseDown && req.acquireFailures == 0 {
		req.acquireFailures++
		return failure(e, "no connection", t), true
	}
	return s.handleAcquireError(req, t, e)
}

// handleNoAnswer handles an attempt that was sent and not answered.
func (s *session) handleNoAnswer(req *request, t target, err error) (outcome, bool) {
	req.timeouts++
	if req.isRepeatable() {
		e := result.Errorf(result.StatementFailed, "database %s did not answer: %w", t.pool.Database().ID, err)
		return failure(e, "no answer", t), true
	}
	if req.st.Kind != statement.Commit && req.begin != nil {
		// The connection was closed before a commit was sent, so the database
		// rolls the transaction back.
		return failure(result.Errorf(result.RolledBack, "database %s did not answer; the transaction was rolled back", t.pool.Database().ID), "no answer in the transaction", t), false
	}
	return failure(result.Errorf(result.OutcomeUnknown, "database %s did not answer", t.pool.Database().ID), "sent and not answered", t), false
}

// observePosition records the log position that the primary reported with its
// answer.
func (s *session) observePosition(req *request, t target, sentAt time.Duration, a statement.Answer) {
	if t.usesPrimary() && a.Err == nil && s.srv.cfg.Records.IsCurrent(req.route.Service, t.primary) {
		s.srv.history(req.route.Service).Observe(sentAt, a.Position)
	}
}

// handleAnswer handles an attempt that was answered.
func (s *session) handleAnswer(req *request, t target, lease *dbpool.Lease, a statement.Answer) (outcome, bool) {
	if a.Err != nil {
		return s.handleDatabaseError(req, t, lease, a)
	}
	if t.usesPrimary() && !s.confirmPrimary(req, t) {
		return s.handleReplacedPrimary(req, t, lease)
	}
	if req.begin != nil && req.st.Kind != statement.Commit {
		s.tx.lease, s.tx.target = lease, t
		return outcome{answer: a, target: t}, false
	}
	if req.writes {
		s.floor = s.floor.Max(a.Position)
	}
	s.releaseOrRollback(lease, a)
	return outcome{answer: a, target: t}, false
}

// releaseOrRollback ends the use of a connection. An open transaction is rolled back
// before the connection is reused.
func (s *session) releaseOrRollback(lease *dbpool.Lease, a statement.Answer) {
	if a.State == statement.TxIdle {
		lease.Release()
		return
	}
	s.srv.rollBack(lease)
}

// confirmPrimary reports whether the target is still the recorded primary. If the
// record is no longer valid, it waits up to confirmTimeout for a confirmation.
func (s *session) confirmPrimary(req *request, t target) bool {
	records := s.srv.cfg.Records
	until := time.Now().Add(confirmTimeout)
	for {
		changed := records.Changed()
		if records.IsCurrent(req.route.Service, t.primary) {
			return true
		}
		rec, _, _ := records.Record(req.route.Service)
		if rec.Token != t.primary.Token || !time.Now().Before(until) {
			return false
		}
		waitNoDatabaseDelay(changed, until)
	}
}

// handleReplacedPrimary handles an answer from a primary that may have been
// replaced before it answered.
func (s *session) handleReplacedPrimary(req *request, t target, lease *dbpool.Lease) (outcome, bool) {
	if req.begin != nil && req.st.Kind != statement.Commit {
		s.srv.rollBack(lease)
		e := result.Errorf(result.RolledBack, "the primary is being replaced; the transaction was rolled back")
		return failure(e, "the primary may have been replaced", t), req.isRepeatable()
	}
	lease.Release()
	if req.isRepeatable() {
		return failure(result.Errorf(result.StatementFailed, "the primary is being replaced"), "the primary may have been replaced", t), true
	}
	return failure(result.Errorf(result.OutcomeUnknown, "the primary was replaced before it answered"), "the primary may have been replaced", t), false
}

// handleDatabaseError handles an error that the database returned.
func (s *session) handleDatabaseError(req *request, t target, lease *dbpool.Lease, a statement.Answer) (outcome, bool) {
	s.releaseOrRollback(lease, a)
	o := outcome{answer: a, target: t, reason: "the database refused"}
	id := t.pool.Database().ID
	switch a.Err.Code {
	case result.BehindFloor:
		t.pool.MarkLagging()
		req.attemptsByDatabase[id] = maxAttemptsPerDatabase
		return o, true
	case result.Overloaded:
		if s.srv.cfg.Distances == nil || req.needsPrimary() || req.attemptsByDatabase[id] > 1 {
			time.Sleep(min(overloadedDelay, time.Until(req.deadline)))
		}
		return o, req.attemptsByDatabase[id] < maxAttemptsPerDatabase || !req.needsPrimary()
	case result.NotPrimary:
		waitUntil(s.srv.cfg.Records.Changed(), earlier(req.deadline, time.Now().Add(notPrimaryDelay)))
		return o, true
	case result.StatementFailed, result.StatementTimeout:
		return o, req.isRepeatable()
	case result.UnknownStatement:
		return o, req.attemptsByDatabase[id] < maxAttemptsPerDatabase
	}
	return o, false
}

// runPinned runs a statement on the connection of its transaction.
func (s *session) runPinned(req *request) outcome {
	t, lease := s.tx.target, s.tx.lease
	commit := req.st.Kind == statement.Commit
	if t.usesPrimary() && !s.srv.cfg.Records.IsCurrent(req.route.Service, t.primary) && !s.confirmPrimary(req, t) {
		s.failTransaction()
		return failure(result.Errorf(result.RolledBack, "the primary was replaced; the transaction was rolled back"), "the primary was replaced", t)
	}
	sentAt := s.srv.cfg.Now()
	a, err := lease.Run(dbpool.Exchange{Variables: s.variables, Prepared: req.preparedStmt, Statement: req.st, Deadline: req.deadline})
	if err != nil {
		s.tx.lease = nil
		lease.Discard()
		return s.connectionLost(req, t, commit, err)
	}
	s.observePosition(req, t, sentAt, a)
	if a.Err != nil {
		return outcome{answer: s.pinnedError(a, commit), target: t, reason: "the database refused"}
	}
	if t.usesPrimary() && !s.confirmPrimary(req, t) {
		if commit && s.tx.wrote {
			return failure(result.Errorf(result.OutcomeUnknown, "the primary was replaced before it answered"), "the primary may have been replaced", t)
		}
		return failure(result.Errorf(result.RolledBack, "the primary was replaced; the transaction was rolled back"), "the primary may have been replaced", t)
	}
	if commit && s.tx.wrote {
		s.floor = s.floor.Max(a.Position)
	}
	return outcome{answer: a, target: t}
}

// pinnedError converts an error in a transaction to the one that the caller gets.
// The transaction is rolled back after any error, so a refused commit has no
// effect.
func (s *session) pinnedError(a statement.Answer, commit bool) statement.Answer {
	if commit && a.Err.Ran == result.RanNo {
		a.Err = result.Errorf(result.RolledBack, "the commit was refused: %s", a.Err.Message)
	}
	return a
}

// connectionLost returns the outcome of a statement whose transaction lost its
// connection.
func (s *session) connectionLost(req *request, t target, commit bool, err error) outcome {
	var refused *result.Error
	detail := "the connection failed"
	if errors.As(err, &refused) {
		detail = refused.Message
	}
	switch {
	case !commit || dbpool.IsNotSent(err):
		return failure(result.Errorf(result.RolledBack, "%s; the transaction was rolled back", detail), "the connection failed", t)
	case s.tx.wrote:
		return failure(result.Errorf(result.OutcomeUnknown, "the commit was sent and not answered"), "commit sent and not answered", t)
	}
	return failure(result.Errorf(result.StatementFailed, "the commit of a transaction without writes was not answered"), "commit sent and not answered", t)
}
