package entry

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
	"geraniumbeam/internal/wire"
)

// Limits of open transactions. A pool rolls a transaction back when it has not
// heard of it for 2 s, so three keep-alives fit.
const (
	keepAliveInterval     = 500 * time.Millisecond
	keepAliveTimeout      = 1 * time.Second
	endTransactionTimeout = 2 * time.Second
)

// transaction is an open transaction of a caller, pinned to one pool.
type transaction struct {
	id              string
	at              attempt
	group           string
	sequence        uint64      // of the last statement
	status          byte        // 'T' or 'E'
	sessionParams   proxyParams // of the session when it was started
	effectiveParams proxyParams // class and partition that it was started with
}

// openTransactions lists the open openTransactions for keep-alives.
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

// byAddress groups the ids of the open transactions by pool.
func (t *openTransactions) byAddress() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]string)
	for id, tx := range t.byID {
		out[tx.at.address] = append(out[tx.at.address], id)
	}
	return out
}

// runKeepAlive extends the life of open transactions until ctx ends.
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

// sendKeepAlive ignores ids that the pool does not know: the next statement of
// such a transaction is refused by the pool.
func (s *Server) sendKeepAlive(address string, ids []string) {
	ctx, cancel := context.WithTimeout(s.ctx, keepAliveTimeout)
	defer cancel()
	_, err := s.cfg.Clients.Pool(address).KeepAlive(ctx, &wire.KeepAliveRequest{
		EntryInstance: s.cfg.Settings.Instance, TransactionIds: ids,
	})
	if err != nil {
		s.cfg.Log.Info().Err(err).Str("address", address).Int("transactions", len(ids)).Msg("Keep-alive failed.")
	}
}

// runInTransaction sends a statement of an open transaction to its pool, once.
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

// transactionFailure tells what a failed statement means for its transaction.
// Without a commit nothing of it can remain, because the pool rolls back a
// transaction that is not continued.
func transactionFailure(r *request, e *result.Error) *result.Error {
	switch {
	case e.Ran == result.RanYes:
		return e
	case e.Ran == result.RanUnknown && r.mayCommit:
		if e.Code == result.OutcomeUnknown {
			return e
		}
		return result.Errorf(result.OutcomeUnknown, "the commit was sent and its outcome is not known: %s", e.Message)
	case reportedUnchanged(e.Code):
		return e.WithRan(result.RanNo)
	}
	return result.Errorf(result.RolledBack, "the transaction was rolled back: %s", e.Message)
}

// reportedUnchanged reports codes that tell the caller more than that the transaction
// was rolled back.
func reportedUnchanged(c result.Code) bool {
	switch c {
	case result.AnswerTooLarge, result.Cancelled, result.Overloaded, result.DeadlineBeforeRun, result.RolledBack,
		result.KeyInUse, result.KeyReused, result.NotSupported, result.BadParameter:
		return true
	}
	return false
}

// updateTransaction follows the transaction status of an answer.
func (c *callerConn) updateTransaction(r *request, done outcome) {
	status := byte(done.resp.GetTransactionStatus())
	switch {
	case status != 'T' && status != 'E':
		if c.tx != nil {
			c.s.transactions.remove(c.tx.id)
			c.setTransaction(nil)
		}
	case c.tx != nil:
		c.tx.status = status
	default:
		tx := &transaction{
			id: done.resp.GetTransactionId(), at: done.at, group: r.group, sequence: 1, status: status,
			sessionParams: c.params, effectiveParams: r.effective,
		}
		c.setTransaction(tx)
		c.s.transactions.add(tx)
	}
}

// setTransaction is under the lock of Drain, which spares open transactions.
func (c *callerConn) setTransaction(tx *transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tx = tx
}

// endTransaction rolls an open transaction back at its pool.
func (c *callerConn) endTransaction() {
	tx := c.tx
	if tx == nil {
		return
	}
	c.setTransaction(nil)
	c.s.transactions.remove(tx.id)
	c.s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTransactionTimeout)
		defer cancel()
		_, err := c.s.cfg.Clients.Pool(tx.at.address).EndTransaction(ctx, &wire.EndTransactionRequest{
			TransactionId: tx.id, Database: tx.at.target.Database.Name,
		})
		if err != nil {
			c.s.cfg.Log.Info().Err(err).Str("transaction", tx.id).Msg("Rollback did not reach the pool.")
		}
	})
}

// failTransaction rolls back and makes the caller end the transaction before
// it can go on, as after any error in PostgreSQL.
func (c *callerConn) failTransaction() {
	c.endTransaction()
	c.txFailed = true
}

// answerInFailedTransaction answers a batch in a transaction that was rolled back here.
func (c *callerConn) answerInFailedTransaction(b *batch) error {
	if !endsTransaction(b) {
		return c.refuse(b, nil, result.Errorf(result.RolledBack,
			"the transaction was rolled back: commands are refused until ROLLBACK"))
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

// raiseFloor applies what the answer proves to the session's floor and reports
// whether it changed. A verified read proves that the position covers all
// earlier confirmed writes, so an unknown floor becomes known. A stored answer
// stands for a write at or below the position that was confirmed with it.
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
