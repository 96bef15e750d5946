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

// finishOnPrimary checks and confirms an answer of a primary after which no
// transaction is open. failure is set if the answer itself cannot be returned.
func (e *execution) finishOnPrimary(ctx context.Context, a backend.Answer, failure error) error {
	if err := e.checkPrimaryTerm(a); err != nil {
		return err
	}
	wrote := a.StatusAfter.Last != a.StatusBefore.Last
	if !wrote {
		e.outcome.MarkDone(outcome.EffectNone)
	} else {
		e.outcome.MarkDone(outcome.EffectUnknown)
	}
	if err := e.checkFloor(a.StatusBefore); err != nil && !wrote {
		return err
	}
	if e.readSequence == 0 && e.req.GetBound() == wire.ReadBound_READ_BOUND_AGE {
		// The read was intended for a replica. The data of an isolated primary
		// may be of any age, so the primary has to be verified.
		e.readSequence = e.db.confirmer.beginVerifiedRead()
	}
	if err := e.awaitConfirmation(ctx, a, true); err != nil {
		return err
	}
	if wrote {
		e.outcome.MarkDone(outcome.EffectConfirmed)
	}
	if failure != nil {
		return failure
	}
	e.setAnswer(a, wrote)
	return nil
}

// checkPrimaryTerm checks that the database was primary at the same term before and
// after the batch. A database that was primary neither before nor after it accepted
// no write.
func (e *execution) checkPrimaryTerm(a backend.Answer) error {
	before, after := a.StatusBefore, a.StatusAfter
	primary := before.Role == backend.RolePrimary
	switch {
	case primary && after.Role == backend.RolePrimary && before.Term == after.Term:
		return nil
	case !primary && after.Role != backend.RolePrimary, a.SQLState == sqlStateReadOnly && !hasCommit(a.Messages):
		// The refusal of a write rolls back its implicit transaction.
		e.outcome.MarkDone(outcome.EffectNone)
		return result.Errorf(result.NotPrimary, "database %s is %s at term %d", e.db.info.Name, before.Role, after.Term)
	default:
		e.outcome.MarkDone(outcome.EffectUnknown)
		return result.Errorf(result.OutcomeUnknown, "database %s changed from %s at term %d to %s at term %d during the batch",
			e.db.info.Name, before.Role, before.Term, after.Role, after.Term)
	}
}

func (e *execution) checkFloor(s backend.Status) error {
	floor := wire.PositionOf(e.req.GetFloor())
	if e.pool().cfg.Settings.Unsafe.NoFloor || s.Last.Compare(floor) >= 0 {
		return nil
	}
	return result.Errorf(result.BehindFloor, "database %s is at %d/%d, the session's floor is %d/%d",
		e.db.info.Name, s.Last.Term, s.Last.Offset, floor.Term, floor.Offset)
}

// awaitConfirmation waits until the answer may be returned. confirmPosition says
// whether a majority must have reached the log position after the batch.
func (e *execution) awaitConfirmation(ctx context.Context, a backend.Answer, confirmPosition bool) error {
	w := confirm.Requirement{VerifyAfter: e.readSequence}
	if confirmPosition {
		w.Offset = a.StatusAfter.Last.Offset
	}
	if e.pool().cfg.Settings.Unsafe.NoConfirmation {
		return nil
	}
	switch e.db.confirmer.wait(ctx, a.StatusAfter.Term, w) {
	case confirm.Confirmed:
		return nil
	case confirm.Superseded:
		return e.unconfirmedError("a majority of the group is at a higher term")
	default:
		return e.unconfirmedError("a majority of the group did not confirm it in time")
	}
}

// unconfirmedError returns the error for a batch that was not confirmed. A batch
// that did not advance the log is a read and can be repeated on another database.
func (e *execution) unconfirmedError(reason string) error {
	if e.outcome.Ran() == result.RanNo {
		return result.Errorf(result.Unverified, "cannot verify the read on database %s: %s", e.db.info.Name, reason)
	}
	return result.Errorf(result.OutcomeUnknown, "cannot confirm the batch on database %s: %s", e.db.info.Name, reason)
}

func (e *execution) setAnswer(a backend.Answer, wrote bool) {
	e.resp.Answer = a.Messages
	e.resp.TransactionStatus = uint32(a.TransactionStatus)
	e.resp.Position = wire.NewPosition(a.StatusAfter.Last)
	e.resp.Wrote = wrote
}

// openTransaction keeps the connection of a batch that left a transaction open.
func (e *execution) openTransaction(ctx context.Context, conn backend.Conn, a backend.Answer) error {
	id := e.req.GetTransactionId()
	if id == "" {
		id = newTransactionID()
	}
	t := &transaction{
		id: id, entry: e.req.GetEntryInstance(), db: e.db, conn: conn,
		term: a.StatusAfter.Term, sequence: e.req.GetSequence(), cancelPending: e.db.wasCancelled(&e.active),
	}
	e.pool().transactions.add(t, e.now())
	if err := e.finishInTransaction(ctx, t, a, ranOtherCommands(a.Messages)); err != nil {
		e.pool().transactions.remove(t, false)
		return err
	}
	e.resp.TransactionId = id
	return nil
}

// executeInTransaction runs a statement of an open transaction.
func (e *execution) executeInTransaction(ctx context.Context, t *transaction, previous uint64) error {
	ts := e.pool().transactions
	if e.req.GetRequestKey() != "" || e.req.GetDatabase() != e.db.info.Name {
		ts.endStatement(t, previous, e.now())
		if e.req.GetRequestKey() != "" {
			return errKeyInTransaction()
		}
		return result.Errorf(result.ProtocolViolation, "transaction %s is on database %s", t.id, e.db.info.Name)
	}
	if !e.canConfirm(ctx) {
		ts.endStatement(t, previous, e.now())
		ts.remove(t, false)
		return result.Errorf(result.RolledBack, "cannot confirm batches: no majority of group %s answers at the primary's term", e.db.group)
	}
	e.prepareRead(ctx)
	e.admitPinned(ctx)
	a, err := e.runBatch(ctx, t.conn, e.batch(), true)
	e.releaseTicket(e.databaseTime)
	if e.outcome.State() == outcome.Queued {
		ts.endStatement(t, previous, e.now())
		return err
	}
	if err != nil && t.conn.Broken() {
		ts.remove(t, false)
		return err
	}
	t.cancelPending = t.cancelPending || e.db.wasCancelled(&e.active)
	if a.TransactionStatus == statusIdle {
		ts.remove(t, true)
		return e.finishOnPrimary(ctx, a, err)
	}
	if ferr := e.finishInTransaction(ctx, t, a, hasCommit(a.Messages)); ferr != nil {
		ts.remove(t, false)
		return ferr
	}
	ts.endStatement(t, e.req.GetSequence(), e.now())
	return err
}

// finishInTransaction checks the answer of a statement after which the transaction
// is open. On an error the caller closes the connection, which rolls the
// transaction back. committed says that the batch may have committed something as
// well, for example by COMMIT AND CHAIN.
func (e *execution) finishInTransaction(ctx context.Context, t *transaction, a backend.Answer, committed bool) error {
	committed = committed && a.StatusAfter.Last != a.StatusBefore.Last
	if committed {
		e.outcome.MarkDone(outcome.EffectUnknown)
	} else {
		e.outcome.MarkDone(outcome.EffectNone)
	}
	if a.StatusBefore.Role != backend.RolePrimary || a.StatusAfter.Role != backend.RolePrimary || a.StatusBefore.Term != t.term || a.StatusAfter.Term != t.term {
		if committed {
			return result.Errorf(result.OutcomeUnknown, "database %s changed its role or term during the batch", e.db.info.Name)
		}
		if e.req.GetSequence() <= 1 && a.StatusBefore.Role != backend.RolePrimary {
			return result.Errorf(result.NotPrimary, "database %s is %s at term %d", e.db.info.Name, a.StatusBefore.Role, a.StatusBefore.Term)
		}
		return result.Errorf(result.RolledBack, "database %s is no longer the primary of term %d", e.db.info.Name, t.term)
	}
	if err := e.checkFloor(a.StatusBefore); err != nil && !committed {
		return err
	}
	if committed || e.readSequence != 0 {
		if err := e.awaitConfirmation(ctx, a, committed); err != nil {
			return err
		}
	}
	e.setAnswer(a, committed)
	return nil
}

// hasCommit reports whether an answer contains the completion of a COMMIT.
func hasCommit(messages []byte) bool {
	for tag := range commandTags(messages) {
		if bytes.HasPrefix(tag, []byte("COMMIT")) {
			return true
		}
	}
	return false
}

// ranOtherCommands reports whether a batch that opened a transaction also completed
// other commands. They may have been committed before the BEGIN.
func ranOtherCommands(messages []byte) bool {
	for tag := range commandTags(messages) {
		if string(tag) != "BEGIN" && string(tag) != "START TRANSACTION" && string(tag) != "SET" {
			return true
		}
	}
	return false
}

// commandTags yields the command tags of an answer.
func commandTags(messages []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for kind, body := range protocolMessages(messages) {
			if kind == 'C' && !yield(bytes.TrimRight(body, "\x00")) {
				return
			}
		}
	}
}

// protocolMessages yields the type and body of each message of an answer.
func protocolMessages(messages []byte) func(yield func(byte, []byte) bool) {
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
