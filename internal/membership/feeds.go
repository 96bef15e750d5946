package membership

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Timing of the platform's list and of hints.
const (
	firstSeedPause   = 200 * time.Millisecond
	longestSeedPause = 30 * time.Second
	// relaySeedPeriod is how often a relay reads the list. Other instances
	// read it at their start and when nobody answers them.
	relaySeedPeriod = 5 * time.Second
	seedCheck       = time.Second
	hintPeriod      = 500 * time.Millisecond
)

// runSeeds reads the platform's list when it is needed.
func (m *Membership) runSeeds(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstSeedPause, longestSeedPause
	pause.Reset()
	for started := false; ctx.Err() == nil; {
		lone, relay := m.needsList()
		wait := seedCheck
		switch {
		case !started || lone || relay:
			ok := m.seed(ctx)
			started = started || ok
			if ok && !lone {
				pause.Reset()
				wait = relaySeedPeriod
			} else {
				wait = pause.NextBackOff()
			}
		default:
			pause.Reset()
		}
		select {
		case <-m.clock.After(wait):
		case <-ctx.Done():
		}
	}
}

func (m *Membership) needsList() (lone, relay bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.NeedsPeers(m.clock.Now()), m.state.IsRelay()
}

func (m *Membership) seed(ctx context.Context) bool {
	list, err := m.cfg.Platform.Instances(ctx)
	if err != nil {
		m.log.Debug().Err(err).Msg("No instance list from the platform.")
		return false
	}
	m.mu.Lock()
	leaving := m.state.MergeInstanceList(m.clock.Now(), list)
	m.mu.Unlock()
	m.publish()
	m.wakeUp()
	if leaving && m.cfg.OnLeaving != nil {
		m.cfg.OnLeaving()
	}
	return true
}

// learn gives hints of peers to the directory and passes on those that were
// new.
func (m *Membership) learn(hints []Hint) {
	for _, h := range hints {
		g, ok := m.cfg.Directory.Group(h.Group)
		if !ok || h.Term < g.Term || (h.Term == g.Term && (h.Primary == "" || h.Primary == g.Primary)) {
			continue
		}
		m.cfg.Directory.LearnPrimary(h.Group, h.Term, h.Primary)
		m.mu.Lock()
		m.state.QueueHint(h)
		m.mu.Unlock()
	}
}

// runHints spreads what this instance learns about primaries by itself.
func (m *Membership) runHints(ctx context.Context) {
	for {
		changed := m.cfg.Directory.Changed()
		for _, g := range m.cfg.Directory.Groups() {
			if g.FromHint { // the configuration brings the rest
				m.mu.Lock()
				m.state.QueueHint(Hint{Group: g.Name, Term: g.Term, Primary: g.Primary})
				m.mu.Unlock()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-m.clock.After(hintPeriod):
		case <-ctx.Done():
			return
		}
	}
}
