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

// answerGrace is how long the entry waits beyond the deadline for the pool's
// own verdict, which is more exact than a cut connection.
const answerGrace = 1 * time.Second

// backoff spaces the attempts of one request.
var backoff = retry.Backoff{Base: 10 * time.Millisecond, Max: 250 * time.Millisecond}

// attempt is one database at one pool.
type attempt struct {
	target  route.Target
	address string // of the pool
	term    uint64 // of the group when the attempt was planned
	stale   bool   // the answer may be marked stale
}

func (a attempt) key() attemptKey {
	k := attemptKey{
		database: a.target.Database.Name, address: a.address, primary: a.target.Primary, stale: a.stale,
	}
	if a.target.Primary {
		k.term = a.term
	}
	return k
}

type attemptKey struct {
	database, address string
	primary, stale    bool
	term              uint64
}

// outcome ends a request: resp without failure, or err.
type outcome struct {
	resp     *wire.ExecuteResponse
	at       attempt
	verified bool // the position was verified by a second database
	err      *result.Error
}

// runner runs one request outside a transaction.
type runner struct {
	s           *Server
	c           *caller
	r           *request
	flight      *flight
	tried       map[attemptKey]int // pass of the last try, from 1
	turnedAway  map[string]bool    // pools that did not handle the request
	attempts    int
	pauses      int
	primaryOnly bool          // a replica refused the batch as a write
	acceptStale bool          // no database could prove the age
	maybeRan    bool          // an earlier attempt may have run the batch
	last        *result.Error // of the last attempt
	shed        *result.Error // a database was passed over because of its load
}

// run executes a request until it is answered, refused or out of time.
func (s *Server) run(c *caller, r *request) outcome {
	f := newFlight(r.id)
	c.inFlight.Store(f)
	defer c.inFlight.Store(nil)
	var done outcome
	if c.tx != nil {
		done = s.runInTransaction(c, r, f)
	} else {
		s.budgets.Class(r.class.ObjectName()).Earn()
		run := &runner{s: s, c: c, r: r, flight: f, tried: make(map[attemptKey]int), turnedAway: make(map[string]bool)}
		done = run.loop()
	}
	s.recordOutcome(r, done)
	return done
}

// recordRefusal records an error that was found before a request was made of
// what the caller sent, and returns the id that it is recorded under.
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

func (x *runner) loop() outcome {
	for {
		if err := x.stopped(); err != nil {
			return outcome{err: x.final(err)}
		}
		changed := x.s.cfg.Directory.Changed()
		group, _ := x.s.cfg.Directory.Group(x.r.group)
		at, ok := x.next(group)
		if !ok && x.mayAcceptStale() {
			x.acceptStale = true
			continue
		}
		if !ok {
			if x.shed != nil {
				return outcome{err: x.final(x.shed)}
			}
			x.explainWait(group)
			x.pause(changed)
			continue
		}
		if done, ok := x.try(at); ok {
			return done
		}
	}
}

// mayAcceptStale reports that a read whose age no database could prove may now
// be answered and marked. The proof comes first, because the primary can give
// it when a replica cannot.
func (x *runner) mayAcceptStale() bool {
	return !x.acceptStale && x.r.read && x.attempts > 0 && x.r.class.Reads.MaxAge > 0 &&
		x.r.class.Reads.WhenStale == catalog.WhenStaleMark
}

// explainWait notes why there is nothing to try, if no attempt has told yet.
func (x *runner) explainWait(g directory.Group) {
	switch {
	case x.last != nil:
	case len(g.Databases) == 0:
		x.last = result.Errorf(result.NoPrimary, "group %s is not known here", x.r.group)
	case g.Primary == "":
		x.last = result.Errorf(result.NoPrimary, "group %s has no known primary", x.r.group)
	default:
		x.last = result.Errorf(result.DatabaseDown, "the databases of group %s failed repeatedly", x.r.group)
	}
}

// stopped returns why the request must not be attempted again, or nil.
func (x *runner) stopped() *result.Error {
	if x.flight.cancelled() {
		return result.Errorf(result.Cancelled, "the caller cancelled the request")
	}
	if x.r.deadline.After(x.s.now()) {
		return nil
	}
	if x.last != nil {
		return x.last
	}
	return result.Errorf(result.DeadlineBeforeRun, "no database of group %s could be tried within %s",
		x.r.group, x.r.class.ServedIn.Std())
}

// final adds what earlier attempts may have done to the last error.
func (x *runner) final(e *result.Error) *result.Error {
	if e.Code == result.InstanceDown && e.Ran == result.RanUnknown {
		e = unknown(e)
	}
	if !x.maybeRan || x.r.harmless() || e.Ran == result.RanYes {
		return e
	}
	return result.Errorf(result.OutcomeUnknown, "an attempt may have run, and then: %s", e.Message)
}

// next returns the best attempt that is worth making now.
func (x *runner) next(g directory.Group) (attempt, bool) {
	x.shed = nil
	now := x.s.now()
	for _, t := range route.OrderTargets(x.need(), g.Primary, g.Databases) {
		if x.primaryOnly && !t.Primary {
			continue
		}
		at, ok := x.at(t, g.Term, now)
		if !ok {
			continue
		}
		if wait, full := x.s.loads.exceeds(t.Database.Name, x.r.class.Rank, x.r.deadline.Sub(now), now); full {
			x.shed = result.Errorf(result.Overloaded, "the wait at database %s is about %s, longer than the time left",
				t.Database.Name, wait).WithRetryAfter(retryAfter(wait))
			continue
		}
		return at, true
	}
	return attempt{}, false
}

func (x *runner) need() route.Criteria {
	unsafe := x.s.cfg.Settings.Unsafe
	return route.Criteria{
		AllowReplica: x.r.read && !unsafe.AlwaysPrimary && (x.r.known || unsafe.NoFloor),
		DataCentre:   x.s.cfg.Settings.DataCentre,
		Rotation:     rand.Uint64(),
		EstimatedWait: func(database string) time.Duration {
			return x.s.loads.wait(database, x.r.class.Rank, x.s.now())
		},
	}
}

// at picks the pool of a database: the active owner, or the standby if the
// active one turned the request away or cannot be reached.
func (x *runner) at(t route.Target, term uint64, now time.Time) (attempt, bool) {
	if !x.s.health.allows(t.Database.Name, now) {
		return attempt{}, false
	}
	for _, owner := range x.s.cfg.Directory.Owners(t.Database) {
		at := attempt{target: t, address: owner.Address, term: term, stale: x.acceptStale && !t.Primary}
		if !x.s.health.allows(owner.Address, now) {
			continue
		}
		if x.tried[at.key()] > x.pauses {
			if x.turnedAway[owner.Address] {
				continue
			}
			return attempt{}, false
		}
		if x.tried[at.key()] > 0 && !x.s.budgets.Class(x.r.class.ObjectName()).Spend() {
			x.tried[at.key()] = x.pauses + 1
			return attempt{}, false
		}
		return at, true
	}
	return attempt{}, false
}

// pause waits until the view of the group changes, for a back-off, or until
// the deadline or a cancellation.
func (x *runner) pause(changed <-chan struct{}) {
	x.s.resolver.wake(x.r.group)
	wait := backoff.Delay(x.pauses, newRand())
	x.pauses++
	left := x.r.deadline.Sub(x.s.now())
	select {
	case <-changed:
	case <-x.flight.cancel:
	case <-x.s.cfg.Clock.After(min(wait, left)):
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// try makes one attempt; ok is false if another one should follow.
func (x *runner) try(at attempt) (outcome, bool) {
	x.attempts++
	x.tried[at.key()] = x.pauses + 1
	if x.attempts > 1 {
		x.r.counters.Retries.Add(1)
		x.s.record(events.Event{
			Kind: events.KindRetry, Request: x.r.id, Group: x.r.group, Database: at.target.Database.Name,
			Class: x.r.class.ObjectName(), Code: codeOf(x.last), Text: retryText(x.attempts, at.address, x.last),
		})
	}
	req := x.s.executeRequest(x.r, at)
	resp, err := x.s.call(x.flight, at, x.r.class.Rank, req, x.r.deadline)
	v := x.judge(at, resp, err)
	switch v.next {
	case finished:
		return outcome{resp: resp, at: at, verified: req.GetVerify()}, true
	case refused:
		return outcome{at: at, err: x.final(v.err)}, true
	}
	x.last = v.err
	return outcome{}, false
}

// retryText tells why there is another attempt. A pool that answered "not
// owner" or "not primary" taught the entry where to go next.
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

// executeRequest builds the call for an attempt outside a transaction.
func (s *Server) executeRequest(r *request, at attempt) *wire.ExecuteRequest {
	req := s.baseRequest(r, at)
	req.Sequence = 1
	unsafe := s.cfg.Settings.Unsafe
	req.WantPrimary = at.target.Primary
	if r.known && !unsafe.NoFloor {
		req.Floor = wire.NewPosition(r.floor)
	}
	if !r.read {
		return req
	}
	maxAge := r.class.Reads.MaxAge.Std()
	req.MaxAgeMs = maxAge.Milliseconds()
	req.MarkStale = at.stale
	switch {
	case at.target.Primary:
		// An isolated old primary can be arbitrarily old, so a promise of age
		// needs the same proof as an unknown floor.
		req.Verify = r.batch.executes && !unsafe.NoFloor && (!r.known || maxAge > 0)
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
		RequestKey:     r.key,
		Batch:          r.batch.messages,
		InjectedParses: r.batch.injected,
		MaxAnswer:      uint64(r.service.AnswerLimit()),
		EntryInstance:  s.cfg.Settings.Instance,
		Repeatable:     r.class.Repeatable,
		Service:        r.service.Name,
	}
}

// call sends one request to a pool and learns from the answer.
func (s *Server) call(f *flight, at attempt, rank catalog.Rank, req *wire.ExecuteRequest, deadline time.Time) (*wire.ExecuteResponse, error) {
	pool := s.poolFor(rank, at.address)
	f.sending(pool, req)
	ctx, cancel := context.WithTimeout(s.ctx, max(0, deadline.Sub(s.now()))+answerGrace)
	defer cancel()
	if req.GetWantPrimary() {
		remove := s.primaryCalls.add(req.GetGroup(), &primaryCall{database: req.GetDatabase(), term: at.term, stop: cancel})
		defer remove()
	}
	resp, err := pool.Execute(ctx, req)
	if err != nil {
		return nil, err
	}
	s.loads.learn(resp.GetLoad(), s.now())
	if h := resp.GetHint(); h.GetGroup() != "" {
		s.cfg.Directory.LearnPrimary(h.GetGroup(), h.GetTerm(), h.GetPrimary())
	}
	return resp, nil
}

// poolFor keeps urgent calls off the connection that other work may saturate.
func (s *Server) poolFor(rank catalog.Rank, address string) wire.Pool {
	if rank == catalog.RankUrgent {
		return s.cfg.Clients.Pool(address)
	}
	return s.cfg.Clients.BulkPool(address)
}
