package entry

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/wire"
)

// Limits of asking for a primary.
const (
	// minResolveInterval is the least time between two rounds of questions
	// about one group, however many requests wait for its primary. It doubles
	// with each round that learns nothing: at the size to design for about 600
	// entries wait for the primary of a group at the same time, and their
	// questions take time of the pools that also run the change of primary.
	minResolveInterval = 50 * time.Millisecond
	maxResolveInterval = 100 * time.Millisecond
	resolveTimeout     = 500 * time.Millisecond
)

// resolver asks the pools of a group which database is its primary.
type resolver struct {
	s *Server

	mu      sync.Mutex
	queries map[string]*groupQuery
}

type groupQuery struct {
	inProgress bool
	next       time.Time // earliest start of the next round
	interval   time.Duration
	term       uint64 // what was known when the last round ended
	primary    string
}

// scheduleNext sets the time of the next round after one that ended at now.
func (q *groupQuery) scheduleNext(g directory.Group, now time.Time) {
	if g.Term != q.term || g.Primary != q.primary {
		q.interval = 0
	}
	q.term, q.primary = g.Term, g.Primary
	q.interval = min(max(2*q.interval, minResolveInterval), maxResolveInterval)
	q.next = now.Add(q.interval)
}

func newResolver(s *Server) *resolver { return &resolver{s: s, queries: make(map[string]*groupQuery)} }

// trigger starts a round of questions about a group unless one is running or has
// just ended. The directory learns the answer.
func (r *resolver) trigger(group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queries[group]
	if q == nil {
		q = &groupQuery{}
		r.queries[group] = q
	}
	if q.inProgress || r.s.now().Before(q.next) || r.s.ctx.Err() != nil {
		return
	}
	q.inProgress = true
	r.s.background.Go(func() {
		r.queryGroup(group)
		r.mu.Lock()
		defer r.mu.Unlock()
		q.inProgress = false
		g, _ := r.s.cfg.Directory.Group(group)
		q.scheduleNext(g, r.s.now())
	})
}

// queryGroup sends one question to each pool that owns a database of the group.
func (r *resolver) queryGroup(group string) {
	g, ok := r.s.cfg.Directory.Group(group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.s.ctx, resolveTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, address := range r.addresses(g) {
		asked.Go(func() {
			resp, err := r.s.cfg.Clients.Pool(address).GroupStatus(ctx, &wire.GroupStatusRequest{Group: group})
			if err != nil {
				r.s.cfg.Log.Debug().Err(err).Str("group", group).Str("address", address).Msg("Group status not received.")
				return
			}
			r.update(group, resp)
		})
	}
	asked.Wait()
}

func (r *resolver) addresses(g directory.Group) []string {
	seen := make(map[string]bool)
	var out []string
	for _, d := range g.Databases {
		for _, owner := range r.s.cfg.Directory.Owners(d) {
			if !seen[owner.Address] {
				seen[owner.Address] = true
				out = append(out, owner.Address)
			}
		}
	}
	return out
}

// update takes only databases that call themselves primary. A higher term
// without a primary is ignored: a candidate that gave up may have raised a
// single database while the primary still serves.
func (r *resolver) update(group string, resp *wire.GroupStatusResponse) {
	if h := resp.GetHint(); h.GetPrimary() != "" {
		r.s.cfg.Directory.LearnPrimary(group, h.GetTerm(), h.GetPrimary())
	}
	for _, d := range resp.GetDatabases() {
		if d.GetReachable() && d.GetRole() == wire.Role_ROLE_PRIMARY {
			r.s.cfg.Directory.LearnPrimary(group, d.GetTerm(), d.GetDatabase())
		}
	}
}
