package proxy

import (
	"context"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// request is a statement in progress, with the state of its attempts.
type request struct {
	st           statement.Statement
	route        topology.Route
	preparedStmt *dbpool.PreparedStatement
	writes       bool
	begin        *statement.Statement // BEGIN to send before the statement; nil if none
	arrivedAt    time.Duration
	deadline     time.Time // for the answer, over all attempts
	target       time.Time // by which the caller should have the answer; zero if the route has no target
	organisation string    // on whose behalf the request runs; empty if the deployment has none
	charge       *charge   // of the operation; may be nil
	ctx          context.Context
	cancel       context.CancelFunc // of ctx; nil if it does not end

	attemptsByDatabase map[string]int
	attempts           int
	timeouts           int
	acquireFailures    int  // attempts that got no connection
	waitedForDatabase  bool // no database was usable for a time
}

// target is the database to which a request is sent.
type target struct {
	pool    *dbpool.Pool
	primary primacy.Primary    // zero if the database is used as a replica
	waitFor statement.Position // position that the database must have reached
}

// usesPrimary reports whether the database is used as the primary.
func (t target) usesPrimary() bool { return t.primary != primacy.Primary{} }

// defaultTimeout bounds a statement whose route sets no timeout.
const defaultTimeout = 2 * time.Second

func (s *session) newRequest(st statement.Statement, route topology.Route) *request {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	req := &request{
		st: st, route: route, writes: st.Kind == statement.Write,
		arrivedAt: s.srv.cfg.Now(), deadline: time.Now().Add(timeout), organisation: s.identity.name,
	}
	req.ctx, req.cancel = s.newContext()
	if s.tx != nil {
		req.charge = s.tx.charge
	}
	if route.LatencyTarget > 0 {
		req.target = time.Now().Add(route.LatencyTarget)
	}
	if s.tx != nil && s.tx.lease == nil {
		req.begin = &s.tx.begin
	}
	return req
}

// needsPrimary reports whether only the primary may run the request.
func (req *request) needsPrimary() bool {
	return req.writes || req.route.Consistency == topology.FromPrimary || (req.begin != nil && !req.begin.ReadOnly)
}

// isRepeatable reports whether the request may be sent again after an attempt
// whose outcome is unknown. The statements of a transaction that has not reached
// its commit have no lasting effect.
func (req *request) isRepeatable() bool { return !req.writes && req.st.Kind != statement.Commit }

// rank maps the priority of the route to an admission rank.
func (req *request) rank() catalog.Rank {
	return catalog.Ranks[min(max(req.route.Priority, 0), len(catalog.Ranks)-1)]
}

// class returns the admission class. Requests that open a transaction have a
// class of their own because they hold their connection for longer.
func (req *request) class() string {
	if req.begin != nil {
		return req.route.Database + "/transaction"
	}
	return req.route.Database
}
