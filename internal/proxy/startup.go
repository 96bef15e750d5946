package proxy

import (
	"time"

	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/topology"
)

// startup reads and answers the caller's startup message. It reports whether the
// session is open.
func (s *session) startup() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return false
	}
	database, key, err := s.conn.ReadStartup()
	if err != nil {
		s.logEnd(err)
		return false
	}
	s.caller = caller{database, key}
	snap, e := s.awaitConfiguration()
	if e == nil {
		_, s.identity, e = s.caller.admits(snap)
	}
	if e != nil {
		s.refuseSession(e, snap)
		return false
	}
	s.established.Store(&s.caller)
	return s.conn.SendReady() == nil
}

// refuseSession tells the caller why its session is not opened.
func (s *session) refuseSession(e *result.Error, snap *topology.Snapshot) {
	if snap.Directory != nil {
		s.srv.organisations.ended(organisation.Anonymous, e.Code)
	}
	s.srv.cfg.Log.Info().Str("database", s.caller.database).Uint64("version", snap.Version).
		Str("code", e.Code.String()).Uint64("session", s.number).Msg("A session was refused.")
	_ = s.conn.SendRefusal(e) // the session ends even if this fails
}

// awaitConfiguration returns the current snapshot. If the instance has no configuration
// yet, it waits for one. What is missing at this instance may exist, so without one the
// caller is not told that its database or key is unknown.
func (s *session) awaitConfiguration() (*topology.Snapshot, *result.Error) {
	deadline := time.Now().Add(configurationTimeout)
	for {
		changed := s.srv.cfg.Topology.Changed()
		snap := s.srv.cfg.Topology.Snapshot()
		if snap.Version != 0 {
			return snap, nil
		}
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
			return snap, result.Errorf(result.NotConfigured, "the instance has no configuration yet").WithRetryAfter(retryAfterOutage)
		}
	}
}
