package proxy

import (
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// request is one statement on its way.
type request struct {
	st       statement.Statement
	route    topology.Route
	shape    *dbpool.PreparedStatement
	writes   bool
	begin    *statement.Statement // sent before the statement
	arrived  time.Duration
	deadline time.Time // of the statement

	tried    map[string]int // attempts by database
	attempts int
	timeouts int
	refusals int  // connections that were not had
	waited   bool // for a primary
}

// target is where a request goes.
type target struct {
	pool    *dbpool.Pool
	primary primacy.Primary // zero: the database is used as a replica
	waitFor statement.Position
}

// usesPrimary reports that the database is used as the primary.
func (t target) usesPrimary() bool { return t.primary != primacy.Primary{} }

// defaultTimeout bounds a statement whose route names no limit.
const defaultTimeout = 2 * time.Second

func (x *session) request(st statement.Statement, route topology.Route) *request {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	q := &request{
		st: st, route: route, writes: st.Kind == statement.Write,
		arrived: x.s.cfg.Now(), deadline: time.Now().Add(timeout),
	}
	if x.tx != nil && x.tx.lease == nil {
		q.begin = &x.tx.begin
	}
	return q
}

// needsPrimary reports that no replica may run the request.
func (q *request) needsPrimary() bool {
	return q.writes || q.route.Consistency == topology.FromPrimary || (q.begin != nil && !q.begin.ReadOnly)
}

// mayRepeat reports that the request may be sent again after an attempt whose
// outcome is unknown. A transaction that never reached its commit kept nothing.
func (q *request) mayRepeat() bool { return !q.writes && q.st.Kind != statement.Commit }

// rank orders requests by the urgency of their route.
func (q *request) rank() catalog.Rank {
	return catalog.Ranks[min(max(q.route.Priority, 0), len(catalog.Ranks)-1)]
}

// class separates requests that hold a connection for different times.
func (q *request) class() string {
	if q.begin != nil {
		return q.route.Database + "/transaction"
	}
	return q.route.Database
}
