package entry

import (
	"context"
	"sync"
	"time"

	"geraniumbeam/internal/directory"
)

// supersededGrace is how long a call to a primary may continue after another
// database has become the primary. In a switchover the old primary answers its last
// calls within this time; an isolated primary never answers.
const supersededGrace = 150 * time.Millisecond

// primaryCalls holds the outstanding calls to primaries by group, so that they end
// when the primary is replaced instead of at their deadline.
type primaryCalls struct {
	mu     sync.Mutex
	groups map[string]map[*primaryCall]struct{}
}

type primaryCall struct {
	database string
	term     uint64
	cancel   context.CancelFunc
}

func newPrimaryCalls() *primaryCalls {
	return &primaryCalls{groups: make(map[string]map[*primaryCall]struct{})}
}

// add adds a call and returns a function that removes it.
func (p *primaryCalls) add(group string, c *primaryCall) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups[group] == nil {
		p.groups[group] = make(map[*primaryCall]struct{})
	}
	p.groups[group][c] = struct{}{}
	return func() { p.remove(group, c) }
}

func (p *primaryCalls) remove(group string, c *primaryCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.groups[group], c)
	if len(p.groups[group]) == 0 {
		delete(p.groups, group)
	}
}

// superseded returns the outstanding calls to databases that are no longer the
// primary of their group.
func (p *primaryCalls) superseded(current func(group string) (directory.Group, bool)) []*primaryCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*primaryCall
	for name, calls := range p.groups {
		g, ok := current(name)
		if !ok || g.Primary == "" {
			continue
		}
		for c := range calls {
			if c.term < g.Term && c.database != g.Primary {
				out = append(out, c)
			}
		}
	}
	return out
}

// cancelSuperseded cancels calls to replaced primaries until ctx ends. Their requests
// fail with an unknown outcome, or are repeated at the new primary if that is safe.
func (s *Server) cancelSuperseded(ctx context.Context) {
	for {
		changed := s.cfg.Directory.Changed()
		calls := s.primaryCalls.superseded(s.cfg.Directory.Group)
		if len(calls) > 0 {
			s.background.Go(func() { s.cancelAfterGrace(ctx, calls) })
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) cancelAfterGrace(ctx context.Context, calls []*primaryCall) {
	select {
	case <-ctx.Done():
	case <-s.cfg.Clock.After(supersededGrace):
	}
	for _, c := range calls {
		c.cancel()
	}
}
