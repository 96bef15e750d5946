package proxy

import (
	"context"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
)

const (
	// scanInterval is the interval between two scans for callers that have disconnected.
	scanInterval = 25 * time.Millisecond
	// unobservedWait is how long a request waits before its caller's connection is looked
	// at. Most requests wait for less, and cost no system call.
	unobservedWait = 25 * time.Millisecond
)

// waiting describes a request of which nothing is sent while it waits: for a permit, in
// the queue of a database, or for a database that can be used.
type waiting struct {
	since  time.Time
	cancel context.CancelFunc
}

// newContext returns the context of a request. It ends when the caller is found to have
// disconnected, which is looked for only where organisations are in force.
func (s *session) newContext() (context.Context, context.CancelFunc) {
	if s.identity.name == "" {
		return context.Background(), nil
	}
	return context.WithCancel(context.Background())
}

// startWait makes the scan look at the caller's connection once the request has waited
// for unobservedWait. It has no effect while the request waits already.
func (s *session) startWait(cancel context.CancelFunc) {
	if cancel != nil && s.waiting.Load() == nil {
		s.waiting.Store(&waiting{time.Now(), cancel})
	}
}

// endWait ends what startWait began, before something is sent.
func (s *session) endWait() {
	if s.waiting.Load() != nil {
		s.waiting.Store(nil)
	}
}

// callerGone is the outcome of a request that was given up because its caller has
// disconnected.
func callerGone(t target) outcome {
	return failure(result.Errorf(result.Cancelled, "the caller has disconnected"), "the caller has disconnected", t)
}

// cancelAbandoned cancels the waiting requests whose callers have disconnected.
func (s *Server) cancelAbandoned(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		w := sess.waiting.Load()
		if w != nil && now.Sub(w.since) > unobservedWait && sess.conn.Peek() == sockets.Closed {
			w.cancel()
		}
	}
}

// Run follows the configuration until ctx ends: it closes idle sessions whose keys are
// revoked, and gives up the waiting requests of callers that have disconnected. Without
// organisations it does neither.
func (s *Server) Run(ctx context.Context) error {
	var version uint64
	for {
		changed := s.cfg.Topology.Changed()
		snap := s.cfg.Topology.Snapshot()
		if snap.Directory != nil && snap.Version != version {
			s.closeRevoked(snap)
			s.organisations.retain(snap.Directory)
		}
		version = snap.Version
		var scan <-chan time.Time
		if snap.Directory != nil {
			scan = time.After(scanInterval)
		}
		select {
		case <-changed:
		case <-scan:
			s.cancelAbandoned(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
