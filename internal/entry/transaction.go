package entry

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
	"geraniumbeam/internal/wire"
)

// Limits of open transactions. A pool rolls a transaction back after 2 s without a
// statement or keep-alive, so that three keep-alives fit in this time.
const (
	keepAliveInterval     = 500 * time.Millisecond
	keepAliveTimeout      = 1 * time.Second
	endTransactionTimeout = 2 * time.Second
)

// transaction is an open transaction of a caller. All its statements go to the
// database and pool of at.
type transaction struct {
	id              string
	at              attempt
	group           string
	sequence        uint64      // of the last statement
	status          byte        // 'T' or 'E'
	sessionParams   proxyParams // of the session at the start of the transaction
	effectiveParams proxyParams // in effect for the request that started the transaction
}

// openTransactions holds the open transactions of all callers for keep-alives.
type openTransactions struct {
	mu   sync.Mutex
	byID map[string]*transaction
}

func newOpenTransactions() *openTransactions {
	return &openTransactions{byID: make(map[string]*transaction)}
}

func (t *openTransactions) add(tx *transaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[tx.id] = tx
}

func (t *openTransactions) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}

// byAddress returns the ids of the open transactions by the address of their pool.
func (t *openTransactions) byAddress() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]string)
	for id, tx := range t.byID {
		out[tx.at.address] = append(out[tx.at.address], id)
	}
	return out
}

// runKeepAlive sends keep-alives for the open transactions until ctx ends.
func (s *Server) runKeepAlive(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ctx.Done():
			return
		case <-s.cfg.Clock.After(keepAliveInterval):
		}
		for address, ids := range s.transactions.byAddress() {
			s.background.Go(func() { s.sendKeepAlive(address, ids) })
		}
	}
}

// sendKeepAlive sends the ids of the open transactions to their pool. It ignores
// ids that the pool does not know, because the pool refuses the next statement of
// such a transaction.
func (s *Server) sendKeepAlive(address string, ids []string) {
	ctx, cancel := context.WithTimeout(s.ctx, keepAliveTimeout)
	defer cancel()
	_, err := s.cfg.Clients.Pool(address).KeepAlive(ctx, &wire.KeepAliveRequest{
		EntryInstance: s.cfg.Settings.Instance, TransactionIds: ids,
	})
	if err != nil {
		s.cfg.Log.Info().Err(err).Str("address", address).Int("transactions", len(ids)).Msg("A keep-alive of open transactions failed.")
	}
}

// runInTransaction sends a statement of an open transaction to its pool. It makes
// one attempt only.
func (s *Server) runInTransaction(c *callerConn, r *request, f *inFlightRequest) outcome {
	tx := c.tx
	tx.sequence++
	req := s.baseRequest(r, tx.at)
	req.TransactionId, req.Sequence, req.WantPrimary = tx.id, tx.sequence, true
	if !s.cfg.Settings.Unsafe.NoFloor {
		if r.floorKnown {
			req.Floor = wire.NewPosition(r.floor)
		}
		req.Verify = r.readHint && r.batch.executes && !r.floorKnown
	}
	resp, err := s.call(f, tx.at, r.class.Rank, req, r.deadline)
	failure := callFailure(tx.at, f, resp, err)
	if failure == nil {
		return outcome{resp: resp, at: tx.at, verified: req.GetVerify()}
	}
	return outcome{at: tx.at, err: transactionFailure(r, failure)}
}

// transactionFailure returns the error for the caller of a failed statement in a
// transaction. If no commit was sent, the transaction has no effect, because the
// pool rolls back a transaction that is not continued.
func transactionFailure(r *request, e *result.Error) *result.Error {
	switch {
	case e.Ran == result.RanYes:
		return e
	case e.Ran == result.RanUnknown && r.mayCommit:
		if e.Code == result.OutcomeUnknown {
			return e
		}
		return result.Errorf(result.OutcomeUnknown, "the commit was sent but its outcome is unknown: %s", e.Message)
	case reportedUnchanged(e.Code):
		return e.WithRan(result.RanNo)
	}
	return result.Errorf(result.RolledBack, "the transaction was rolled back: %s", e.Message)
}

// reportedUnchanged reports whether a failure in a transaction keeps its code, because
// the code is more specific than result.RolledBack.
func reportedUnchanged(c result.Code) bool {
	switch c {
	case result.AnswerTooLarge, result.Cancelled, result.Overloaded, result.DeadlineBeforeRun, result.RolledBack,
		result.KeyInUse, result.KeyReused, result.NotSupported, result.BadParameter:
		return true
	}
	return false
}

// updateTransaction starts, updates or ends the caller's transaction by the
// transaction status of an answer.
func (c *callerConn) updateTransaction(r *request, done outcome) {
	status := byte(done.resp.GetTransactionStatus())
	switch {
	case status != 'T' && status != 'E':
		if c.tx != nil {
			c.server.transactions.remove(c.tx.id)
			c.setTransaction(nil)
		}
	case c.tx != nil:
		c.tx.status = status
	default:
		tx := &transaction{
			id: done.resp.GetTransactionId(), at: done.at, group: r.group, sequence: 1, status: status,
			sessionParams: c.params, effectiveParams: r.effectiveParams,
		}
		c.setTransaction(tx)
		c.server.transactions.add(tx)
	}
}

// setTransaction sets the open transaction under mu, because a drain waits for
// callers with an open transaction.
func (c *callerConn) setTransaction(tx *transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tx = tx
}

// endTransaction makes the pool roll an open transaction back, without waiting for
// it.
func (c *callerConn) endTransaction() {
	tx := c.tx
	if tx == nil {
		return
	}
	c.setTransaction(nil)
	c.server.transactions.remove(tx.id)
	c.server.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTransactionTimeout)
		defer cancel()
		_, err := c.server.cfg.Clients.Pool(tx.at.address).EndTransaction(ctx, &wire.EndTransactionRequest{
			TransactionId: tx.id, Database: tx.at.target.Database.Name,
		})
		if err != nil {
			c.server.cfg.Log.Info().Err(err).Str("transaction", tx.id).Msg("The rollback of a transaction could not be sent to its pool.")
		}
	})
}

// failTransaction rolls the transaction back. As after any error in PostgreSQL, the
// caller must end the transaction before it can run further statements.
func (c *callerConn) failTransaction() {
	c.endTransaction()
	c.txFailed = true
}

// answerInFailedTransaction answers a batch after failTransaction. It accepts only
// statements that end the transaction.
func (c *callerConn) answerInFailedTransaction(b *batch) error {
	if !endsTransaction(b) {
		return c.refuse(b, nil, result.Errorf(result.RolledBack,
			"the transaction was rolled back: statements are refused until ROLLBACK"))
	}
	c.txFailed = false
	c.params.requestKey = ""
	out := rollbackAnswer(b)
	c.applyStatementUpdates(b, out)
	return c.sendAnswer(b, appendReady(out, 'I'))
}

func endsTransaction(b *batch) bool {
	if len(b.scripts) == 0 {
		return false
	}
	for _, s := range b.scripts {
		_, commit := s.Single(route.KindCommit)
		_, rollback := s.Single(route.KindRollback)
		if !commit && !rollback {
			return false
		}
	}
	return true
}

// raiseFloor raises the session's floor to the position of an answer and reports
// whether the floor changed. A verified read proves that its position includes all
// earlier confirmed writes, so an unknown floor becomes known. The answer stored for
// a request key belongs to a write at or below the position confirmed with it.
func (c *callerConn) raiseFloor(r *request, done outcome) bool {
	p := wire.PositionOf(done.resp.GetPosition())
	switch {
	case done.resp.GetWrote(), done.resp.GetReplayed():
		return c.floors.Raise(r.group, p)
	case done.verified && !r.floorKnown && p.Term > 0:
		return c.floors.Raise(r.group, p)
	}
	return false
}
