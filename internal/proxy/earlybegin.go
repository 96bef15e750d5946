package proxy

import (
	"maps"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/dbpool"
)

// A statement is not sent before its transaction has begun at the database. In another
// data centre that takes a round trip of 8 to 10 ms, which passes unnoticed between the
// caller's BEGIN and its first statement.

// earlyBegin is a transaction that begins at the primary before its first statement has
// arrived.
type earlyBegin struct {
	target target
	done   chan struct{}
	lease  *dbpool.Lease // valid when done is closed; nil if the transaction did not begin
}

// earlyBeginTimeout bounds the wait for the answer to an early BEGIN. It is below the
// deadlines of statements, so that the first one can still begin the transaction anew.
const earlyBeginTimeout = 300 * time.Millisecond

// beginEarly begins the transaction at the primary in the background, if the primary is
// in another data centre, a connection is idle and no request waits for one.
func (s *session) beginEarly() {
	srv, tx := s.srv, s.tx
	req := s.newRequest(tx.begin, tx.route)
	if !req.needsPrimary() {
		return // the first statement chooses a database by the position that it needs
	}
	primary, ok := srv.cfg.Records.Primary(tx.route.Service)
	if !ok {
		return
	}
	pool, ok := srv.cfg.Pools.Pool(primary.ID, req.organisation)
	if !ok || pool.Owner() != "" || pool.Database().DataCentre == srv.cfg.DataCentre {
		return // an owner begins the transaction on its way to the statement
	}
	deadline := earlier(req.deadline, time.Now().Add(earlyBeginTimeout))
	lease, ok := pool.TryAcquire(s.admissionRequest(req), s.variables)
	if !ok {
		return
	}
	e := &earlyBegin{target: target{pool: pool, primary: primary}, done: make(chan struct{})}
	tx.early = e
	tx.charge.setSent(true)
	variables := maps.Clone(s.variables)
	go func() {
		defer close(e.done)
		contain.Run(srv.cfg.Log, "early begin", func() {
			if lease.Begin(deadline, variables, tx.begin) {
				e.lease = lease
			}
		})
	}()
}

// takeEarly returns the connection on which the transaction has begun early, if that
// succeeded at the given target.
func (s *session) takeEarly(t target) (*dbpool.Lease, bool) {
	if s.tx == nil || s.tx.early == nil {
		return nil, false
	}
	e := s.tx.early
	s.tx.early = nil
	<-e.done
	if e.lease == nil {
		return nil, false
	}
	if e.target.pool != t.pool || e.target.primary != t.primary {
		s.srv.rollBack(e.lease)
		return nil, false
	}
	return e.lease, true
}

// endEarly rolls back a transaction that began early and whose first statement was not
// sent.
func (s *session) endEarly() {
	if s.tx == nil || s.tx.early == nil {
		return
	}
	e := s.tx.early
	s.tx.early = nil
	go contain.Run(s.srv.cfg.Log, "rollback", func() {
		<-e.done
		if e.lease != nil {
			e.lease.Rollback(time.Now().Add(rollbackTimeout))
		}
	})
}
