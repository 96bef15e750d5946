package pool

import (
	"context"
	"errors"
	"os"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/outcome"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// maxBudget bounds the time that a request may take.
const maxBudget = 10 * time.Minute

// execution is one Execute call.
type execution struct {
	u       *unit
	req     *wire.ExecuteRequest
	resp    *wire.ExecuteResponse
	outcome outcome.Request
	running running
	ticket  *admission.Ticket
	asked   time.Time     // when the latest batch was sent, on the pool's clock
	service time.Duration // time at the database
	read    uint64        // sequence number at the begin, for verification; 0: none
}

// Execute implements wire.Pool. Failures are part of the response; the error is
// always nil.
func (p *Pool) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	resp := &wire.ExecuteResponse{
		RequestId: req.GetRequestId(), TransactionId: req.GetTransactionId(), Sequence: req.GetSequence(),
		Hint: p.hint(req.GetGroup()),
	}
	u := p.transactions.unit(req.GetTransactionId())
	if u == nil {
		u = p.unit(req.GetDatabase())
	}
	if u == nil {
		resp.Failure = wire.NewFailure(result.Errorf(result.NotOwner, "database %s is not owned by this instance", req.GetDatabase()))
		return resp, nil
	}
	p.inFlight.add()
	defer p.inFlight.done()
	u.inFlight.add()
	defer u.inFlight.done()
	e := &execution{u: u, req: req, resp: resp, outcome: outcome.New(req.GetRepeatable())}
	if err := e.execute(ctx); err != nil {
		e.fail(err)
	}
	resp.Load = u.load()
	return resp, nil
}

func (e *execution) execute(ctx context.Context) error {
	budget := time.Duration(e.req.GetBudgetMs()) * time.Millisecond
	if budget <= 0 {
		return result.Errorf(result.DeadlineBeforeRun, "the request has no time left")
	}
	// A damaged batch must not wait for a turn and take a connection first.
	if err := backend.CheckBatch(e.req.GetBatch()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, min(budget, maxBudget))
	defer cancel()
	e.running.stop = cancel
	if err := e.u.register(e.req.GetRequestId(), &e.running); err != nil {
		return err
	}
	defer e.u.unregister(e.req.GetRequestId())
	if id := e.req.GetTransactionId(); id != "" {
		t, previous, err := e.pool().transactions.enter(id, e.req.GetSequence(), e.now(), cancel)
		if err != nil {
			return err
		}
		if t != nil {
			return e.inTransaction(ctx, t, previous)
		}
		if err := e.pool().transactions.mayOpen(id, e.req.GetSequence()); err != nil {
			return err
		}
	}
	return e.newWork(ctx)
}

// newWork runs a batch that belongs to no open transaction.
func (e *execution) newWork(ctx context.Context) error {
	if e.pool().draining.Load() {
		return result.Errorf(result.ShuttingDown, "instance %s is stopping", e.pool().cfg.Settings.Instance)
	}
	if err := e.checkKey(); err != nil {
		return err
	}
	if err := e.u.admits(ctx, e.req.GetWantPrimary()); err != nil {
		return err
	}
	if !e.mayConfirm(ctx) {
		return result.Errorf(result.Unverified, "no second database of group %s answers", e.u.group)
	}
	e.prepare(ctx)
	conn, err := e.acquire(ctx)
	if err != nil {
		return err
	}
	if e.keyed() {
		return e.runKeyed(ctx, conn)
	}
	a, err := e.run(ctx, conn, e.batch(), true)
	e.release(e.service)
	if err != nil && conn.Broken() {
		e.u.conns.discard(conn)
		return err
	}
	open := a.TransactionStatus != statusIdle
	if open && err == nil && e.req.GetWantPrimary() {
		return e.openTransaction(ctx, conn, a)
	}
	e.giveBack(conn, open)
	if open && err == nil {
		err = result.Errorf(result.NotSupported, "a read must not open a transaction")
	}
	if a.Before.Role != backend.RolePrimary && a.After.Role != backend.RolePrimary && !e.req.GetWantPrimary() {
		return e.finishReplica(a, err)
	}
	return e.finishPrimary(ctx, a, err)
}

// giveBack returns a connection that can serve another request. One with an
// open transaction, or with a cancellation that may still arrive, can't.
func (e *execution) giveBack(conn backend.Conn, open bool) {
	if open || e.u.wasCancelled(&e.running) {
		e.u.conns.discard(conn)
		return
	}
	e.u.conns.put(conn)
}

// mayConfirm reports whether a batch on the primary has a chance to be confirmed.
func (e *execution) mayConfirm(ctx context.Context) bool {
	return !e.req.GetWantPrimary() || e.pool().cfg.Settings.Unsafe.NoConfirmation || e.u.confirm.reachable(ctx, e.req.GetTermHint())
}

// prepare starts what the read needs besides the database's answer.
func (e *execution) prepare(ctx context.Context) {
	switch {
	case e.req.GetVerify():
		e.read = e.u.confirm.beginVerified()
	case e.req.GetBound() == wire.ReadBound_READ_BOUND_AGE && !e.req.GetWantPrimary():
		e.u.ages.prepare(ctx, e.maxAge())
	}
}

// acquire waits for the request's turn and a connection. A request that finds
// all connections held by transactions gives its turn back, because the
// transactions need turns to end.
func (e *execution) acquire(ctx context.Context) (backend.Conn, error) {
	for {
		freed := e.u.conns.nextUnpin()
		if err := e.admit(ctx, false); err != nil {
			return nil, err
		}
		conn, err := e.u.conns.take(ctx, e.req.GetTransactionId() != "")
		if err == nil {
			return conn, nil
		}
		e.release(0)
		if !errors.Is(err, errNoConnection) {
			return nil, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, result.Errorf(result.ConnectionsBusy, "open transactions hold all connections to %s", e.u.db.Name)
		}
	}
}

// pinnedWait is how long a statement of a transaction waits for its turn.
const pinnedWait = 50 * time.Millisecond

// admitPinned takes a turn for a statement of an open transaction if one becomes
// free soon. The statement runs in any case: those that hold the turns may wait
// for locks of this transaction, and then only its end frees them.
func (e *execution) admitPinned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pinnedWait)
	defer cancel()
	_ = e.admit(ctx, true)
}

func (e *execution) admit(ctx context.Context, pinned bool) error {
	class, ok := e.pool().cfg.Directory.Catalog().Class(e.req.GetService(), e.req.GetClass())
	if !ok {
		class.Rank = catalog.RankNormal // the class was deleted a moment ago
	}
	deadline, _ := ctx.Deadline()
	t, err := e.u.queue.Acquire(ctx, admission.Request{
		ID: e.req.GetRequestId(), Class: class.ObjectName(), Caller: e.req.GetCallerKey(),
		Rank: class.Rank, Deadline: deadline, Pinned: pinned,
	})
	if err != nil {
		return err
	}
	e.ticket = t
	return nil
}

func (e *execution) release(service time.Duration) {
	if e.ticket != nil {
		e.ticket.Release(service)
		e.ticket = nil
	}
}

// run sends one batch. The connection is closed on every error but an answer
// that is too large.
func (e *execution) run(ctx context.Context, conn backend.Conn, b backend.Batch, after bool) (backend.Answer, error) {
	if !e.u.enterDatabase(&e.running, conn) {
		return backend.Answer{}, result.Errorf(result.Cancelled, "the caller cancelled the request")
	}
	began := time.Now()
	e.asked = e.now()
	a, err := conn.Run(ctx, b, after, e.maxAnswer(), e.outcome.MarkSent)
	e.service += time.Since(began)
	e.u.leaveDatabase(&e.running)
	return a, err
}

func (e *execution) fail(err error) {
	notRun := result.DatabaseDown
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		notRun = result.DeadlineBeforeRun
	}
	f := e.outcome.Failure(notRun, err)
	if f.Ran == result.RanNo && e.u.wasCancelled(&e.running) {
		f = result.Errorf(result.Cancelled, "the caller cancelled the request")
	}
	e.resp.Answer = nil
	e.resp.Failure = wire.NewFailure(f)
	kind := events.KindRefusal
	switch {
	case f.Ran == result.RanUnknown:
		kind = events.KindUnknown
	case f.Code == result.Overloaded:
		kind = events.KindShed
	}
	e.pool().record(events.Event{
		Kind: kind, Request: e.req.GetRequestId(), Group: e.u.group, Database: e.u.db.Name,
		Class: e.className(), Code: f.Code, Text: f.Message,
	})
}

// className names the class as the entry's events do.
func (e *execution) className() string {
	return catalog.Class{Service: e.req.GetService(), Name: e.req.GetClass()}.ObjectName()
}

func (e *execution) pool() *Pool    { return e.u.pool }
func (e *execution) now() time.Time { return e.pool().cfg.Clock.Now() }

func (e *execution) batch() backend.Batch {
	return backend.Batch{Messages: e.req.GetBatch(), InjectedParses: e.req.GetInjectedParses()}
}

func (e *execution) maxAge() time.Duration {
	return time.Duration(e.req.GetMaxAgeMs()) * time.Millisecond
}

// maxAnswer returns the limit of the answer, which also has to fit into an
// internal message.
func (e *execution) maxAnswer() int {
	n := e.req.GetMaxAnswer()
	if n == 0 {
		n = catalog.DefaultMaxAnswer
	}
	return int(min(n, wire.MaxMessage-messageOverhead))
}

// messageOverhead is room in bytes for the other fields of a response.
const messageOverhead = 64 << 10

// load returns the queue's load for the wire.
func (u *unit) load() *wire.Load {
	l := u.queue.Load()
	out := &wire.Load{Database: u.db.Name, Queued: uint32(l.Queued), Limit: uint32(l.Limit)}
	ranks := make([]wire.RankLoad, len(l.Ranks))
	out.Ranks = make([]*wire.RankLoad, len(l.Ranks))
	for i, r := range l.Ranks {
		ranks[i].Rank, ranks[i].WaitMs = string(r.Rank), r.Wait.Milliseconds()
		out.Ranks[i] = &ranks[i]
	}
	return out
}
