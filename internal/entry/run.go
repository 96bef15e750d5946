package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/retry"
	"geraniumbeam/internal/route"
	"geraniumbeam/internal/wire"
)

// answerGracePeriod is how long a call may outlast the deadline, so that the pool
// can return its own error. That error says whether the request was run, which a
// cancelled call does not.
const answerGracePeriod = 1 * time.Second

// backoff sets the delays between the attempts of one request.
var backoff = retry.Backoff{Base: 10 * time.Millisecond, Max: 250 * time.Millisecond}

// attempt is one try of a request: a database and the pool that owns it.
type attempt struct {
	target    route.Target
	address   string // of the pool
	term      uint64 // of the group when the attempt was chosen
	markStale bool   // the pool may answer with data of unknown age, marked as stale
}

func (a attempt) key() attemptKey {
	k := attemptKey{
		database: a.target.Database.Name, address: a.address, primary: a.target.Primary, markStale: a.markStale,
	}
	if a.target.Primary {
		k.term = a.term
	}
	return k
}

type attemptKey struct {
	database, address  string
	primary, markStale bool
	term               uint64
}

// outcome is the final result of a request: a response without failure, or err.
type outcome struct {
	resp     *wire.ExecuteResponse
	at       attempt
	verified bool // the position was verified by a second database
	err      *result.Error
}

// requestRunner runs one request outside a transaction.
type requestRunner struct {
	server       *Server
	caller       *callerConn
	request      *request
	inFlight     *inFlightRequest
	triedAt      map[attemptKey]int // backoffs at the last try, plus 1; 0 if not tried
	notHandledBy map[string]bool    // addresses of pools that did not handle the request
	attempts     int
	backoffs     int
	primaryOnly  bool          // a replica refused the batch because it writes
	acceptStale  bool          // no database could prove the age of its data
	mayHaveRun   bool          // an earlier attempt may have run the batch
	lastErr      *result.Error // of the last attempt
	shedErr      *result.Error // a database was skipped because of its load
}

// run executes a request until it is answered, refused or past its deadline.
func (s *Server) run(c *callerConn, r *request) outcome {
	f := newInFlightRequest(r.id)
	c.inFlight.Store(f)
	defer c.inFlight.Store(nil)
	var done outcome
	if c.tx != nil {
		done = s.runInTransaction(c, r, f)
	} else {
		s.budgets.Class(r.class.ObjectName()).Earn()
		runner := &requestRunner{server: s, caller: c, request: r, inFlight: f, triedAt: make(map[attemptKey]int), notHandledBy: make(map[string]bool)}
		done = runner.runAttempts()
	}
	s.recordOutcome(r, done)
	return done
}

// recordRefusal records an error that was found before the batch became a
// request, and returns the request id of the recorded event.
func (s *Server) recordRefusal(e *result.Error) string {
	id := s.requestID()
	s.record(events.Event{Kind: events.KindRefusal, Request: id, Code: e.Code, Text: e.Message})
	return id
}

func (s *Server) recordOutcome(r *request, done outcome) {
	e := events.Event{
		Request: r.id, Group: r.group, Database: done.at.target.Database.Name, Class: r.class.ObjectName(),
	}
	switch {
	case done.err == nil && !done.resp.GetStale():
		return
	case done.err == nil:
		e.Kind, e.Code, e.Text = events.KindStaleRead, result.StaleAnswer, "answered and marked stale, because the age of the data could not be proved"
	case done.err.Ran == result.RanUnknown:
		e.Kind, e.Code, e.Text = events.KindUnknown, done.err.Code, done.err.Message
	case done.err.Code == result.Overloaded:
		e.Kind, e.Code, e.Text = events.KindShed, done.err.Code, done.err.Message
	default:
		e.Kind, e.Code, e.Text = events.KindRefusal, done.err.Code, done.err.Message
	}
	s.record(e)
}

func (r *requestRunner) runAttempts() outcome {
	for {
		if err := r.stopReason(); err != nil {
			return outcome{err: r.finalError(err)}
		}
		changed := r.server.cfg.Directory.Changed()
		group, _ := r.server.cfg.Directory.Group(r.request.group)
		at, ok := r.nextAttempt(group)
		if !ok && r.mayAcceptStale() {
			r.acceptStale = true
			continue
		}
		if !ok {
			if r.shedErr != nil {
				return outcome{err: r.finalError(r.shedErr)}
			}
			r.setWaitReason(group)
			r.backOff(changed)
			continue
		}
		if done, ok := r.makeAttempt(at); ok {
			return done
		}
	}
}

// mayAcceptStale reports whether the class allows an answer that is marked as
// stale. It is the last resort after an attempt that required proof of the age,
// because the primary may be able to prove it when a replica cannot.
func (r *requestRunner) mayAcceptStale() bool {
	return !r.acceptStale && r.request.readHint && r.attempts > 0 && r.request.class.Reads.MaxAge > 0 &&
		r.request.class.Reads.WhenStale == catalog.WhenStaleMark
}

// setWaitReason sets why no attempt can be made, unless an attempt has failed before.
func (r *requestRunner) setWaitReason(g directory.Group) {
	switch {
	case r.lastErr != nil:
	case len(g.Databases) == 0:
		r.lastErr = result.Errorf(result.NoPrimary, "group %s is not known to this instance", r.request.group)
	case g.Primary == "":
		r.lastErr = result.Errorf(result.NoPrimary, "group %s has no known primary", r.request.group)
	default:
		r.lastErr = result.Errorf(result.DatabaseDown, "every database of group %s has failed repeatedly", r.request.group)
	}
}

// stopReason returns why the request must not be attempted again, or nil.
func (r *requestRunner) stopReason() *result.Error {
	if r.inFlight.cancelled() {
		return result.Errorf(result.Cancelled, "the caller cancelled the request")
	}
	if r.request.deadline.After(r.server.now()) {
		return nil
	}
	if r.lastErr != nil {
		return r.lastErr
	}
	return result.Errorf(result.DeadlineBeforeRun, "no database of group %s could be tried within the time limit of %s",
		r.request.group, r.request.class.LatencyTarget.Std())
}

// finalError returns the error for the caller. If an earlier attempt may have run
// a batch that has effects, the outcome is unknown unless e says that it was run.
func (r *requestRunner) finalError(e *result.Error) *result.Error {
	if e.Code == result.InstanceDown && e.Ran == result.RanUnknown {
		e = outcomeUnknown(e)
	}
	if !r.mayHaveRun || r.request.hasNoEffect() || e.Ran == result.RanYes {
		return e
	}
	return result.Errorf(result.OutcomeUnknown, "an earlier attempt may have run; the request then failed: %s", e.Message)
}

// nextAttempt returns the best attempt that may be made now.
func (r *requestRunner) nextAttempt(g directory.Group) (attempt, bool) {
	r.shedErr = nil
	now := r.server.now()
	for _, t := range route.OrderTargets(r.criteria(), g.Primary, g.Databases) {
		if r.primaryOnly && !t.Primary {
			continue
		}
		at, ok := r.attemptFor(t, g.Term, now)
		if !ok {
			continue
		}
		if wait, shed := r.server.loads.waitExceeds(t.Database.Name, r.request.class.Rank, r.request.deadline.Sub(now), now); shed {
			r.shedErr = result.Errorf(result.Overloaded, "the queue wait at database %s is about %s, longer than the time left",
				t.Database.Name, wait).WithRetryAfter(retryAfter(wait))
			continue
		}
		return at, true
	}
	return attempt{}, false
}

func (r *requestRunner) criteria() route.Criteria {
	unsafe := r.server.cfg.Settings.Unsafe
	return route.Criteria{
		AllowReplica: r.request.readHint && !unsafe.AlwaysPrimary && (r.request.floorKnown || unsafe.NoFloor),
		DataCentre:   r.server.cfg.Settings.DataCentre,
		Rotation:     rand.Uint64(),
		EstimatedWait: func(database string) time.Duration {
			return r.server.loads.wait(database, r.request.class.Rank, r.server.now())
		},
	}
}

// attemptFor picks the pool of a database: the active owner, or the standby owner
// if the active one did not handle the request or is unreachable.
func (r *requestRunner) attemptFor(t route.Target, term uint64, now time.Time) (attempt, bool) {
	if !r.server.breakers.allow(t.Database.Name, now) {
		return attempt{}, false
	}
	for _, owner := range r.server.cfg.Directory.Owners(t.Database) {
		at := attempt{target: t, address: owner.Address, term: term, markStale: r.acceptStale && !t.Primary}
		if !r.server.breakers.allow(owner.Address, now) {
			continue
		}
		if r.triedAt[at.key()] > r.backoffs {
			if r.notHandledBy[owner.Address] {
				continue
			}
			return attempt{}, false
		}
		if r.triedAt[at.key()] > 0 && !r.server.budgets.Class(r.request.class.ObjectName()).Spend() {
			r.triedAt[at.key()] = r.backoffs + 1
			return attempt{}, false
		}
		return at, true
	}
	return attempt{}, false
}

// backOff starts a query for the primary and waits until the directory changes,
// the back-off has passed, the deadline is reached or the caller cancels.
func (r *requestRunner) backOff(changed <-chan struct{}) {
	r.server.resolver.trigger(r.request.group)
	wait := backoff.Delay(r.backoffs, newRand())
	r.backoffs++
	left := r.request.deadline.Sub(r.server.now())
	select {
	case <-changed:
	case <-r.inFlight.cancel:
	case <-r.server.cfg.Clock.After(min(wait, left)):
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// makeAttempt makes one attempt. It returns false if another one should follow.
func (r *requestRunner) makeAttempt(at attempt) (outcome, bool) {
	r.attempts++
	r.triedAt[at.key()] = r.backoffs + 1
	if r.attempts > 1 {
		r.request.counters.Retries.Add(1)
		r.server.record(events.Event{
			Kind: events.KindRetry, Request: r.request.id, Group: r.request.group, Database: at.target.Database.Name,
			Class: r.request.class.ObjectName(), Code: codeOf(r.lastErr), Text: retryText(r.attempts, at.address, r.lastErr),
		})
	}
	req := r.server.executeRequest(r.request, at)
	resp, err := r.server.call(r.inFlight, at, r.request.class.Rank, req, r.request.deadline)
	v := r.evaluate(at, resp, err)
	switch v.action {
	case actionAnswer:
		return outcome{resp: resp, at: at, verified: req.GetVerify()}, true
	case actionRefuse:
		return outcome{at: at, err: r.finalError(v.err)}, true
	}
	r.lastErr = v.err
	return outcome{}, false
}

// retryText is the event text of a repeated attempt: where it goes and why the
// previous one failed. A "not owner" or "not primary" also explains the new target,
// because such a refusal names the owner or the primary.
func retryText(attempt int, address string, last *result.Error) string {
	text := fmt.Sprintf("attempt %d goes to the instance at %s", attempt, address)
	if last != nil {
		text += "; the one before failed: " + last.Message
	}
	return text
}

func codeOf(e *result.Error) result.Code {
	if e == nil {
		return 0
	}
	return e.Code
}

// executeRequest builds the message for an attempt outside a transaction.
func (s *Server) executeRequest(r *request, at attempt) *wire.ExecuteRequest {
	req := s.baseRequest(r, at)
	req.Sequence = 1
	unsafe := s.cfg.Settings.Unsafe
	req.WantPrimary = at.target.Primary
	if r.floorKnown && !unsafe.NoFloor {
		req.Floor = wire.NewPosition(r.floor)
	}
	if !r.readHint {
		return req
	}
	maxAge := r.class.Reads.MaxAge.Std()
	req.MaxAgeMs = maxAge.Milliseconds()
	req.MarkStale = at.markStale
	switch {
	case at.target.Primary:
		// The data of an isolated old primary can be arbitrarily stale, so a
		// bounded age needs the same verification as an unknown floor.
		req.Verify = r.batch.executes && !unsafe.NoFloor && (!r.floorKnown || maxAge > 0)
	case maxAge > 0:
		req.Bound = wire.ReadBound_READ_BOUND_AGE
	default:
		req.Bound = wire.ReadBound_READ_BOUND_FLOOR
	}
	return req
}

func (s *Server) baseRequest(r *request, at attempt) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{
		RequestId:      r.id,
		Group:          r.group,
		Database:       at.target.Database.Name,
		Class:          r.class.Name,
		CallerKey:      r.caller.user,
		BudgetMs:       max(1, r.deadline.Sub(s.now()).Milliseconds()),
		TermHint:       at.term,
		RequestKey:     r.requestKey,
		Batch:          r.batch.messages,
		InjectedParses: r.batch.injected,
		MaxAnswer:      uint64(r.service.AnswerLimit()),
		EntryInstance:  s.cfg.Settings.Instance,
		Repeatable:     r.class.Repeatable,
		Service:        r.service.Name,
	}
}

// call sends one request to a pool. It stores the load and the primary that the
// response reports.
func (s *Server) call(f *inFlightRequest, at attempt, rank catalog.Rank, req *wire.ExecuteRequest, deadline time.Time) (*wire.ExecuteResponse, error) {
	pool := s.poolFor(rank, at.address)
	f.setSent(pool, req)
	ctx, cancel := context.WithTimeout(s.ctx, max(0, deadline.Sub(s.now()))+answerGracePeriod)
	defer cancel()
	if req.GetWantPrimary() {
		remove := s.primaryCalls.add(req.GetGroup(), &primaryCall{database: req.GetDatabase(), term: at.term, cancel: cancel})
		defer remove()
	}
	resp, err := pool.Execute(ctx, req)
	if err != nil {
		return nil, err
	}
	s.loads.update(resp.GetLoad(), s.now())
	if h := resp.GetHint(); h.GetGroup() != "" {
		s.cfg.Directory.LearnPrimary(h.GetGroup(), h.GetTerm(), h.GetPrimary())
	}
	return resp, nil
}

// poolFor returns the pool's client for the rank. Urgent calls have a connection of
// their own, because other work may saturate the shared one.
func (s *Server) poolFor(rank catalog.Rank, address string) wire.Pool {
	if rank == catalog.RankUrgent {
		return s.cfg.Clients.Pool(address)
	}
	return s.cfg.Clients.BulkPool(address)
}
