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

// maxBudget limits the time that a request may take.
const maxBudget = 10 * time.Minute

// execution is the state of one Execute call.
type execution struct {
	db           *ownedDatabase
	req          *wire.ExecuteRequest
	resp         *wire.ExecuteResponse
	outcome      outcome.Request
	active       activeRequest
	ticket       *admission.Ticket
	sentAt       time.Time     // when the latest batch was sent, on the pool's clock
	databaseTime time.Duration // total time spent at the database
	readSequence uint64        // from beginVerifiedRead; 0: no verification
}

// Execute implements wire.Pool. It reports failures in the response and always
// returns a nil error.
func (p *Pool) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteResponse, error) {
	resp := &wire.ExecuteResponse{
		RequestId: req.GetRequestId(), TransactionId: req.GetTransactionId(), Sequence: req.GetSequence(),
		Hint: p.hint(req.GetGroup()),
	}
	d := p.transactions.database(req.GetTransactionId())
	if d == nil {
		d = p.database(req.GetDatabase())
	}
	if d == nil {
		resp.Failure = wire.NewFailure(result.Errorf(result.NotOwner, "database %s is not owned by this instance", req.GetDatabase()))
		return resp, nil
	}
	p.inFlight.add()
	defer p.inFlight.done()
	d.inFlight.add()
	defer d.inFlight.done()
	e := &execution{db: d, req: req, resp: resp, outcome: outcome.New(req.GetRepeatable())}
	if err := e.execute(ctx); err != nil {
		e.setFailure(err)
	}
	resp.Load = d.load()
	return resp, nil
}

func (e *execution) execute(ctx context.Context) error {
	budget := time.Duration(e.req.GetBudgetMs()) * time.Millisecond
	if budget <= 0 {
		return result.Errorf(result.DeadlineBeforeRun, "the request arrived after its deadline")
	}
	// Refuse a damaged batch before it waits in the queue and takes a connection.
	if err := backend.CheckBatch(e.req.GetBatch()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, min(budget, maxBudget))
	defer cancel()
	e.active.cancel = cancel
	if err := e.db.registerRequest(e.req.GetRequestId(), &e.active); err != nil {
		return err
	}
	defer e.db.unregisterRequest(e.req.GetRequestId())
	if id := e.req.GetTransactionId(); id != "" {
		t, previous, err := e.pool().transactions.beginStatement(id, e.req.GetSequence(), e.now(), cancel)
		if err != nil {
			return err
		}
		if t != nil {
			return e.executeInTransaction(ctx, t, previous)
		}
		if err := e.pool().transactions.checkMayOpen(id, e.req.GetSequence()); err != nil {
			return err
		}
	}
	return e.executeNew(ctx)
}

// executeNew runs a batch that belongs to no open transaction.
func (e *execution) executeNew(ctx context.Context) error {
	if e.pool().draining.Load() {
		return result.Errorf(result.ShuttingDown, "instance %s is shutting down", e.pool().cfg.Settings.Instance)
	}
	if err := e.checkKey(); err != nil {
		return err
	}
	if err := e.db.awaitReady(ctx, e.req.GetWantPrimary()); err != nil {
		return err
	}
	if !e.canConfirm(ctx) {
		return result.Errorf(result.Unverified, "cannot confirm batches: no majority of group %s answers at the primary's term", e.db.group)
	}
	e.prepareRead(ctx)
	conn, err := e.acquire(ctx)
	if err != nil {
		return err
	}
	if e.usesRequestKey() {
		return e.runKeyed(ctx, conn)
	}
	a, err := e.runBatch(ctx, conn, e.batch(), true)
	e.releaseTicket(e.databaseTime)
	if err != nil && conn.Broken() {
		e.db.conns.discard(conn)
		return err
	}
	open := a.TransactionStatus != statusIdle
	if open && err == nil && e.req.GetWantPrimary() {
		return e.openTransaction(ctx, conn, a)
	}
	e.returnConn(conn, open)
	if open && err == nil {
		err = result.Errorf(result.NotSupported, "a read must not open a transaction")
	}
	if a.StatusBefore.Role != backend.RolePrimary && a.StatusAfter.Role != backend.RolePrimary && !e.req.GetWantPrimary() {
		return e.finishReplicaRead(a, err)
	}
	return e.finishOnPrimary(ctx, a, err)
}

// returnConn makes a connection available to other requests. It closes a connection
// with an open transaction or with a cancellation that may still arrive.
func (e *execution) returnConn(conn backend.Conn, open bool) {
	if open || e.db.wasCancelled(&e.active) {
		e.db.conns.discard(conn)
		return
	}
	e.db.conns.put(conn)
}

// canConfirm reports whether a batch on the primary can be expected to be confirmed.
func (e *execution) canConfirm(ctx context.Context) bool {
	return !e.req.GetWantPrimary() || e.pool().cfg.Settings.Unsafe.NoConfirmation || e.db.confirmer.awaitReplica(ctx, e.req.GetTermHint())
}

// prepareRead starts the verification or the position samples that a read needs.
func (e *execution) prepareRead(ctx context.Context) {
	switch {
	case e.req.GetVerify():
		e.readSequence = e.db.confirmer.beginVerifiedRead()
	case e.req.GetBound() == wire.ReadBound_READ_BOUND_AGE && !e.req.GetWantPrimary():
		e.db.history.ensureSampling(ctx, e.maxAge())
	}
}

// acquire waits for an admission ticket and a connection. If open transactions hold
// all connections, it releases the ticket while it waits, because the transactions
// need tickets to finish.
func (e *execution) acquire(ctx context.Context) (backend.Conn, error) {
	for {
		freed := e.db.conns.unpinSignal()
		if err := e.admit(ctx, false); err != nil {
			return nil, err
		}
		conn, err := e.db.conns.get(ctx, e.req.GetTransactionId() != "")
		if err == nil {
			return conn, nil
		}
		e.releaseTicket(0)
		if !errors.Is(err, errNoConnection) {
			return nil, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, result.Errorf(result.ConnectionsBusy, "open transactions hold all connections to %s", e.db.info.Name)
		}
	}
}

// pinnedAdmitTimeout limits the wait of a transaction's statement for a ticket.
const pinnedAdmitTimeout = 50 * time.Millisecond

// admitPinned takes an admission ticket for a statement of an open transaction if
// one becomes free in time. The statement runs without a ticket otherwise: the
// requests that hold the tickets may be waiting for locks of this transaction.
func (e *execution) admitPinned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pinnedAdmitTimeout)
	defer cancel()
	_ = e.admit(ctx, true)
}

func (e *execution) admit(ctx context.Context, pinned bool) error {
	class, ok := e.pool().cfg.Directory.Catalog().Class(e.req.GetService(), e.req.GetClass())
	if !ok {
		class.Rank = catalog.RankNormal // the class has just been deleted
	}
	deadline, _ := ctx.Deadline()
	t, err := e.db.queue.Acquire(ctx, admission.Request{
		ID: e.req.GetRequestId(), Class: class.ObjectName(), Caller: e.req.GetCallerKey(),
		Rank: class.Rank, Deadline: deadline, Pinned: pinned,
	})
	if err != nil {
		return err
	}
	e.ticket = t
	return nil
}

func (e *execution) releaseTicket(service time.Duration) {
	if e.ticket != nil {
		e.ticket.Release(service)
		e.ticket = nil
	}
}

// runBatch runs one batch on conn. The connection is closed on every error except
// an answer that is too large.
func (e *execution) runBatch(ctx context.Context, conn backend.Conn, b backend.Batch, after bool) (backend.Answer, error) {
	if !e.db.beginBatch(&e.active, conn) {
		return backend.Answer{}, result.Errorf(result.Cancelled, "the caller cancelled the request")
	}
	began := time.Now()
	e.sentAt = e.now()
	a, err := conn.Run(ctx, b, after, e.maxAnswer(), e.outcome.MarkSent)
	e.databaseTime += time.Since(began)
	e.db.endBatch(&e.active)
	return a, err
}

func (e *execution) setFailure(err error) {
	ifNotSent := result.DatabaseDown
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		ifNotSent = result.DeadlineBeforeRun
	}
	f := e.outcome.Failure(ifNotSent, err)
	if f.Ran == result.RanNo && e.db.wasCancelled(&e.active) {
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
		Kind: kind, Request: e.req.GetRequestId(), Group: e.db.group, Database: e.db.info.Name,
		Class: e.className(), Code: f.Code, Text: f.Message,
	})
}

// className returns the class name in the form that the entry's events use.
func (e *execution) className() string {
	return catalog.Class{Service: e.req.GetService(), Name: e.req.GetClass()}.ObjectName()
}

func (e *execution) pool() *Pool    { return e.db.pool }
func (e *execution) now() time.Time { return e.pool().cfg.Clock.Now() }

func (e *execution) batch() backend.Batch {
	return backend.Batch{Messages: e.req.GetBatch(), InjectedParses: e.req.GetInjectedParses()}
}

func (e *execution) maxAge() time.Duration {
	return time.Duration(e.req.GetMaxAgeMs()) * time.Millisecond
}

// maxAnswer returns the size limit of the answer. An answer must also fit into an
// internal message.
func (e *execution) maxAnswer() int {
	n := e.req.GetMaxAnswer()
	if n == 0 {
		n = catalog.DefaultMaxAnswer
	}
	return int(min(n, wire.MaxMessage-messageOverhead))
}

// messageOverhead is the size reserved for the other fields of a response.
const messageOverhead = 64 << 10

// load returns the load of the admission queue.
func (d *ownedDatabase) load() *wire.Load {
	l := d.queue.Load()
	out := &wire.Load{Database: d.info.Name, Queued: uint32(l.Queued), Limit: uint32(l.Limit)}
	ranks := make([]wire.RankLoad, len(l.Ranks))
	out.Ranks = make([]*wire.RankLoad, len(l.Ranks))
	for i, r := range l.Ranks {
		ranks[i].Rank, ranks[i].WaitMs = string(r.Rank), r.Wait.Milliseconds()
		out.Ranks[i] = &ranks[i]
	}
	return out
}
