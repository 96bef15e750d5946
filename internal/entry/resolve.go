package entry

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/wire"
)

// Limits of queries for the primary of a group.
const (
	// minResolveInterval is the minimum time between two queries about one
	// group, however many requests wait for its primary. The interval doubles
	// with each query that returns nothing new: at the design size about 600
	// instances wait for the primary of a group at the same time, and their
	// queries take processing time from the pools that also run the failover.
	minResolveInterval = 50 * time.Millisecond
	maxResolveInterval = 100 * time.Millisecond
	resolveTimeout     = 500 * time.Millisecond
)

// resolver queries the pools of a group for its primary.
type resolver struct {
	server *Server

	mu      sync.Mutex
	queries map[string]*groupQuery
}

type groupQuery struct {
	inProgress bool
	next       time.Time // earliest start of the next query
	interval   time.Duration
	term       uint64 // term and primary known after the last query
	primary    string
}

// scheduleNext sets the earliest time of the next query after one that ended at now.
func (q *groupQuery) scheduleNext(g directory.Group, now time.Time) {
	if g.Term != q.term || g.Primary != q.primary {
		q.interval = 0
	}
	q.term, q.primary = g.Term, g.Primary
	q.interval = min(max(2*q.interval, minResolveInterval), maxResolveInterval)
	q.next = now.Add(q.interval)
}

func newResolver(s *Server) *resolver {
	return &resolver{server: s, queries: make(map[string]*groupQuery)}
}

// trigger starts a query about a group unless one is running or has ended less than
// the interval ago. It does not wait for the result, which goes to the directory.
func (r *resolver) trigger(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queries[group]
	if q == nil {
		q = &groupQuery{}
		r.queries[group] = q
	}
	if q.inProgress || r.server.now().Before(q.next) || r.server.ctx.Err() != nil {
		return
	}
	q.inProgress = true
	r.server.background.Go(func() {
		r.queryGroup(group)
		r.mu.Lock()
		defer r.mu.Unlock()
		q.inProgress = false
		g, _ := r.server.cfg.Directory.Group(group)
		q.scheduleNext(g, r.server.now())
	})
}

// queryGroup sends one GroupStatus call to each pool that owns a database of the
// group.
func (r *resolver) queryGroup(group string) {
	g, ok := r.server.cfg.Directory.Group(group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.server.ctx, resolveTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, address := range r.addresses(g) {
		queries.Go(func() {
			resp, err := r.server.cfg.Clients.Pool(address).GroupStatus(ctx, &wire.GroupStatusRequest{Group: group})
			if err != nil {
				r.server.cfg.Log.Debug().Err(err).Str("group", group).Str("address", address).Msg("A pool did not return the status of a group.")
				return
			}
			r.update(group, resp)
		})
	}
	queries.Wait()
}

func (r *resolver) addresses(g directory.Group) []string {
	seen := make(map[string]bool)
	var out []string
	for _, d := range g.Databases {
		for _, owner := range r.server.cfg.Directory.Owners(d) {
			if !seen[owner.Address] {
				seen[owner.Address] = true
				out = append(out, owner.Address)
			}
		}
	}
	return out
}

// update passes the reported primary to the directory. A higher term without a
// primary is ignored: a candidate that gave up may have fenced a single database at
// that term while the primary still serves.
func (r *resolver) update(group string, resp *wire.GroupStatusResponse) {
	if h := resp.GetHint(); h.GetPrimary() != "" {
		r.server.cfg.Directory.LearnPrimary(group, h.GetTerm(), h.GetPrimary())
	}
	for _, d := range resp.GetDatabases() {
		if d.GetReachable() && d.GetRole() == wire.Role_ROLE_PRIMARY {
			r.server.cfg.Directory.LearnPrimary(group, d.GetTerm(), d.GetDatabase())
		}
	}
}
