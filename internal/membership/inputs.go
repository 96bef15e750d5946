package membership

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Timing of reading the platform's instance list and of queueing hints.
const (
	firstListRetryDelay = 200 * time.Millisecond
	maxListRetryDelay   = 30 * time.Second
	// relayListInterval is how often a relay reads the list. Other instances
	// read it at startup and when no peer is reachable.
	relayListInterval = 5 * time.Second
	listCheckInterval = time.Second
	hintInterval      = 500 * time.Millisecond
)

// runInstanceList reads the platform's instance list when it is needed.
func (m *Membership) runInstanceList(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = firstListRetryDelay, maxListRetryDelay
	retryDelay.Reset()
	for started := false; ctx.Err() == nil; {
		needsPeers, isRelay := m.listNeeds()
		wait := listCheckInterval
		switch {
		case !started || needsPeers || isRelay:
			read := m.readInstanceList(ctx)
			started = started || read
			if read && !needsPeers {
				retryDelay.Reset()
				wait = relayListInterval
			} else {
				wait = retryDelay.NextBackOff()
			}
		default:
			retryDelay.Reset()
		}
		select {
		case <-m.clock.After(wait):
		case <-ctx.Done():
		}
	}
}

func (m *Membership) listNeeds() (needsPeers, isRelay bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.NeedsPeers(m.clock.Now()), m.state.IsRelay()
}

func (m *Membership) readInstanceList(ctx context.Context) bool {
	list, err := m.cfg.Platform.Instances(ctx)
	if err != nil {
		m.log.Debug().Err(err).Msg("Reading the instance list from the platform failed.")
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

// applyHints adds the hints of a peer to the directory and queues those that were
// new for other peers.
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

// runHints queues what this instance learns about primaries by itself for peers.
func (m *Membership) runHints(ctx context.Context) {
	for {
		changed := m.cfg.Directory.Changed()
		for _, g := range m.cfg.Directory.Groups() {
			if g.FromHint { // peers get the others with the configuration
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
