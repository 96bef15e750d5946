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

	mu     sync.Mutex
	rounds map[string]*round
}

type round struct {
	running  bool
	next     time.Time // earliest start of the next round
	interval time.Duration
	term     uint64 // what was known when the last round ended
	primary  string
}

// wait sets the time of the next round after one that ended at now.
func (r *round) wait(g directory.Group, now time.Time) {
	if g.Term != r.term || g.Primary != r.primary {
		r.interval = 0
	}
	r.term, r.primary = g.Term, g.Primary
	r.interval = min(max(2*r.interval, minResolveInterval), maxResolveInterval)
	r.next = now.Add(r.interval)
}

func newResolver(s *Server) *resolver { return &resolver{s: s, rounds: make(map[string]*round)} }

// wake starts a round of questions about a group unless one is running or has
// just ended. The directory learns the answer.
func (v *resolver) wake(group string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.rounds[group]
	if r == nil {
		r = &round{}
		v.rounds[group] = r
	}
	if r.running || v.s.now().Before(r.next) || v.s.ctx.Err() != nil {
		return
	}
	r.running = true
	v.s.background.Go(func() {
		v.ask(group)
		v.mu.Lock()
		defer v.mu.Unlock()
		r.running = false
		g, _ := v.s.cfg.Directory.Group(group)
		r.wait(g, v.s.now())
	})
}

// ask sends one question to each pool that owns a database of the group.
func (v *resolver) ask(group string) {
	g, ok := v.s.cfg.Directory.Group(group)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(v.s.ctx, resolveTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, address := range v.addresses(g) {
		asked.Go(func() {
			resp, err := v.s.cfg.Clients.Pool(address).GroupStatus(ctx, &wire.GroupStatusRequest{Group: group})
			if err != nil {
				v.s.cfg.Log.Debug().Err(err).Str("group", group).Str("address", address).Msg("Group status not received.")
				return
			}
			v.learn(group, resp)
		})
	}
	asked.Wait()
}

func (v *resolver) addresses(g directory.Group) []string {
	seen := make(map[string]bool)
	var out []string
	for _, d := range g.Databases {
		for _, owner := range v.s.cfg.Directory.Owners(d) {
			if !seen[owner.Address] {
				seen[owner.Address] = true
				out = append(out, owner.Address)
			}
		}
	}
	return out
}

// learn takes only databases that call themselves primary. A higher term
// without a primary is ignored: a candidate that gave up may have raised a
// single database while the primary still serves.
func (v *resolver) learn(group string, resp *wire.GroupStatusResponse) {
	if h := resp.GetHint(); h.GetPrimary() != "" {
		v.s.cfg.Directory.LearnPrimary(group, h.GetTerm(), h.GetPrimary())
	}
	for _, d := range resp.GetDatabases() {
		if d.GetReachable() && d.GetRole() == wire.Role_ROLE_PRIMARY {
			v.s.cfg.Directory.LearnPrimary(group, d.GetTerm(), d.GetDatabase())
		}
	}
}
