package membership

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Timing of the platform's list and of hints.
const (
	firstListRetryDelay = 200 * time.Millisecond
	maxListRetryDelay   = 30 * time.Second
	// relayListInterval is how often a relay reads the list. Other instances
	// read it at their start and when nobody answers them.
	relayListInterval = 5 * time.Second
	listCheckInterval = time.Second
	hintInterval      = 500 * time.Millisecond
)

// runInstanceList reads the platform's list when it is needed.
func (m *Membership) runInstanceList(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstListRetryDelay, maxListRetryDelay
	pause.Reset()
	for started := false; ctx.Err() == nil; {
		lone, relay := m.needsList()
		wait := listCheckInterval
		switch {
		case !started || lone || relay:
			ok := m.readInstanceList(ctx)
			started = started || ok
			if ok && !lone {
				pause.Reset()
				wait = relayListInterval
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

func (m *Membership) readInstanceList(ctx context.Context) bool {
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

// applyHints gives hints of peers to the directory and passes on those that were
// new.
func (m *Membership) applyHints(hints []Hint) {
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
		case <-m.clock.After(hintInterval):
		case <-ctx.Done():
			return
		}
	}
}
