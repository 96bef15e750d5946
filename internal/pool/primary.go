package pool

import (
	"bytes"
	"context"
	"encoding/binary"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/confirm"
	"geraniumbeam/internal/outcome"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// statusIdle is the transaction status of a connection without a transaction.
const statusIdle = 'I'

// finishPrimary judges the answer of a primary after which no transaction is
// open. failure is set when the answer itself cannot be given.
func (e *execution) finishPrimary(ctx context.Context, a backend.Answer, failure error) error {
	if err := e.checkRoles(a); err != nil {
		return err
	}
	wrote := a.After.Last != a.Before.Last
	if !wrote {
		e.outcome.MarkDone(outcome.EffectNone)
	} else {
		e.outcome.MarkDone(outcome.EffectUnknown)
	}
	if err := e.checkFloor(a.Before); err != nil && !wrote {
		return err
	}
	if e.read == 0 && e.req.GetBound() == wire.ReadBound_READ_BOUND_AGE {
		// The read was meant for a replica. An isolated primary's data may be
		// of any age.
		e.read = e.u.confirm.beginVerified()
	}
	if err := e.confirm(ctx, a, true); err != nil {
		return err
	}
	if wrote {
		e.outcome.MarkDone(outcome.EffectConfirmed)
	}
	if failure != nil {
		return failure
	}
	e.answer(a, wrote)
	return nil
}

// checkRoles verifies that the database was primary at one term throughout. A
// database that was no primary before and after the batch took no write.
func (e *execution) checkRoles(a backend.Answer) error {
	before, after := a.Before, a.After
	primary := before.Role == backend.RolePrimary
	switch {
	case primary && after.Role == backend.RolePrimary && before.Term == after.Term:
		return nil
	case !primary && after.Role != backend.RolePrimary, a.SQLState == sqlStateReadOnly && !hasCommit(a.Messages):
		// A refused write rolls its implicit transaction back.
		e.outcome.MarkDone(outcome.EffectNone)
		return result.Errorf(result.NotPrimary, "database %s is %s at term %d", e.u.db.Name, before.Role, after.Term)
	default:
		e.outcome.MarkDone(outcome.EffectUnknown)
		return result.Errorf(result.OutcomeUnknown, "database %s changed from %s at term %d to %s at term %d during the batch",
			e.u.db.Name, before.Role, before.Term, after.Role, after.Term)
	}
}

func (e *execution) checkFloor(s backend.Status) error {
	floor := wire.PositionOf(e.req.GetFloor())
	if e.pool().cfg.Settings.Unsafe.NoFloor || s.Last.Compare(floor) >= 0 {
		return nil
	}
	return result.Errorf(result.BehindFloor, "database %s is at %d/%d, the session's floor is %d/%d",
		e.u.db.Name, s.Last.Term, s.Last.Offset, floor.Term, floor.Offset)
}

// confirm waits until the answer may be given. position tells whether the
// position after the batch has to be held by a majority.
func (e *execution) confirm(ctx context.Context, a backend.Answer, position bool) error {
	w := confirm.Requirement{VerifyAfter: e.read}
	if position {
		w.Offset = a.After.Last.Offset
	}
	if e.pool().cfg.Settings.Unsafe.NoConfirmation {
		return nil
	}
	switch e.u.confirm.wait(ctx, a.After.Term, w) {
	case confirm.Confirmed:
		return nil
	case confirm.Superseded:
		return e.unconfirmed("a majority of the group is at a higher term")
	default:
		return e.unconfirmed("no second database confirmed it in time")
	}
}

// unconfirmed reports a batch that cannot be confirmed. A batch that left the
// log as it was is a read, and can be read elsewhere.
func (e *execution) unconfirmed(why string) error {
	if e.outcome.Ran() == result.RanNo {
		return result.Errorf(result.Unverified, "read on %s: %s", e.u.db.Name, why)
	}
	return result.Errorf(result.OutcomeUnknown, "batch on %s: %s", e.u.db.Name, why)
}

func (e *execution) answer(a backend.Answer, wrote bool) {
	e.resp.Answer = a.Messages
	e.resp.TransactionStatus = uint32(a.TransactionStatus)
	e.resp.Position = wire.NewPosition(a.After.Last)
	e.resp.Wrote = wrote
}

// openTransaction keeps the connection of a batch that left a transaction open.
func (e *execution) openTransaction(ctx context.Context, conn backend.Conn, a backend.Answer) error {
	id := e.req.GetTransactionId()
	if id == "" {
		id = newTransactionID()
	}
	t := &transaction{
		id: id, entry: e.req.GetEntryInstance(), unit: e.u, conn: conn,
		term: a.After.Term, sequence: e.req.GetSequence(), tainted: e.u.wasCancelled(&e.running),
	}
	e.pool().transactions.add(t, e.now())
	if err := e.finishInside(ctx, t, a, beganWithWork(a.Messages)); err != nil {
		e.pool().transactions.remove(t, false)
		return err
	}
	e.resp.TransactionId = id
	return nil
}

// inTransaction runs a statement of an open transaction.
func (e *execution) inTransaction(ctx context.Context, t *transaction, previous uint64) error {
	ts := e.pool().transactions
	if e.req.GetRequestKey() != "" || e.req.GetDatabase() != e.u.db.Name {
		ts.leave(t, previous, e.now())
		if e.req.GetRequestKey() != "" {
			return errKeyInTransaction()
		}
		return result.Errorf(result.ProtocolViolation, "transaction %s is on database %s", t.id, e.u.db.Name)
	}
	if !e.mayConfirm(ctx) {
		ts.leave(t, previous, e.now())
		ts.remove(t, false)
		return result.Errorf(result.RolledBack, "no second database of group %s answers", e.u.group)
	}
	e.prepare(ctx)
	e.admitPinned(ctx)
	a, err := e.run(ctx, t.conn, e.batch(), true)
	e.release(e.service)
	if e.outcome.State() == outcome.Queued {
		ts.leave(t, previous, e.now())
		return err
	}
	if err != nil && t.conn.Broken() {
		ts.remove(t, false)
		return err
	}
	t.tainted = t.tainted || e.u.wasCancelled(&e.running)
	if a.TransactionStatus == statusIdle {
		ts.remove(t, true)
		return e.finishPrimary(ctx, a, err)
	}
	if ferr := e.finishInside(ctx, t, a, hasCommit(a.Messages)); ferr != nil {
		ts.remove(t, false)
		return ferr
	}
	ts.leave(t, e.req.GetSequence(), e.now())
	return err
}

// finishInside judges a statement after which the transaction is open. On an
// error the caller closes the connection, which rolls the transaction back.
// committed tells that the batch also ended work, such as COMMIT AND CHAIN.
func (e *execution) finishInside(ctx context.Context, t *transaction, a backend.Answer, committed bool) error {
	committed = committed && a.After.Last != a.Before.Last
	if committed {
		e.outcome.MarkDone(outcome.EffectUnknown)
	} else {
		e.outcome.MarkDone(outcome.EffectNone)
	}
	if a.Before.Role != backend.RolePrimary || a.After.Role != backend.RolePrimary || a.Before.Term != t.term || a.After.Term != t.term {
		if committed {
			return result.Errorf(result.OutcomeUnknown, "database %s changed its term during the batch", e.u.db.Name)
		}
		if e.req.GetSequence() <= 1 && a.Before.Role != backend.RolePrimary {
			return result.Errorf(result.NotPrimary, "database %s is %s at term %d", e.u.db.Name, a.Before.Role, a.Before.Term)
		}
		return result.Errorf(result.RolledBack, "database %s is no longer the primary of term %d", e.u.db.Name, t.term)
	}
	if err := e.checkFloor(a.Before); err != nil && !committed {
		return err
	}
	if committed || e.read != 0 {
		if err := e.confirm(ctx, a, committed); err != nil {
			return err
		}
	}
	e.answer(a, committed)
	return nil
}

// hasCommit reports whether the answer of a statement in a transaction contains
// a COMMIT.
func hasCommit(messages []byte) bool {
	for tag := range tags(messages) {
		if bytes.HasPrefix(tag, []byte("COMMIT")) {
			return true
		}
	}
	return false
}

// beganWithWork reports whether the batch that opened a transaction completed
// another command than BEGIN, which may have been committed before.
func beganWithWork(messages []byte) bool {
	for tag := range tags(messages) {
		if string(tag) != "BEGIN" && string(tag) != "START TRANSACTION" && string(tag) != "SET" {
			return true
		}
	}
	return false
}

// tags yields the command tags of an answer.
func tags(messages []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for kind, body := range frames(messages) {
			if kind == 'C' && !yield(bytes.TrimRight(body, "\x00")) {
				return
			}
		}
	}
}

// frames yields type and body of the messages of an answer.
func frames(messages []byte) func(yield func(byte, []byte) bool) {
	return func(yield func(byte, []byte) bool) {
		for len(messages) >= 5 {
			size := int(binary.BigEndian.Uint32(messages[1:])) + 1
			if size < 5 || size > len(messages) || !yield(messages[0], messages[5:size]) {
				return
			}
			messages = messages[size:]
		}
	}
}
