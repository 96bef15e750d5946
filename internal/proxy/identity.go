package proxy

import (
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// caller is what a caller has asked for at the start of its session. A key is resolved
// anew for each operation, so that a change of the configuration takes effect.
type caller struct {
	database string
	key      organisation.Digest
}

// identity is the organisation on whose behalf an operation runs.
type identity struct {
	name    string // empty if the deployment has no organisations
	limited bool
}

// identify returns the organisation of a caller that uses a route. It fails if the key is
// unknown and the route is not public.
func identify(snap *topology.Snapshot, route topology.Route, key organisation.Digest) (identity, *result.Error) {
	if snap.Directory == nil {
		return identity{}, nil
	}
	if o, ok := snap.Directory.ByKey(key); ok {
		return identity{o.Name, o.Limited}, nil
	}
	if route.Public {
		return identity{name: organisation.Anonymous}, nil
	}
	return identity{}, result.Errorf(result.UnknownKey, "no organisation has this key")
}

// admits returns the caller's route and organisation under a snapshot. The database is
// checked before the key.
func (c caller) admits(snap *topology.Snapshot) (topology.Route, identity, *result.Error) {
	route, ok := snap.Routes[c.database]
	if !ok {
		return route, identity{}, result.Errorf(result.UnknownService, "no route for database %s", c.database)
	}
	id, e := identify(snap, route, c.key)
	return route, id, e
}

// revoked reports whether the caller's key is unknown where one is needed.
func (c caller) revoked(snap *topology.Snapshot) bool {
	if snap.Directory == nil {
		return false
	}
	_, e := identify(snap, snap.Routes[c.database], c.key)
	return e != nil
}

// startOperation resolves the route and the organisation of a single statement or a
// transaction.
func (s *session) startOperation() (topology.Route, *result.Error) {
	route, id, e := s.caller.admits(s.srv.cfg.Topology.Snapshot())
	s.identity = id
	return route, e
}

// checkKey refuses a statement outside a transaction that needs no database if the
// caller's key is unknown. Other statements are checked together with their route.
func (s *session) checkKey(st statement.Statement) *result.Error {
	switch st.Kind {
	case statement.Begin, statement.Read, statement.Write, statement.Execute:
		return nil
	}
	if s.tx != nil || !s.isRevoked() {
		return nil
	}
	s.identity = identity{}
	return result.Errorf(result.UnknownKey, "no organisation has this key")
}

// isRevoked reports whether the next operation of the session would be refused because of
// its key.
func (s *session) isRevoked() bool { return s.caller.revoked(s.srv.cfg.Topology.Snapshot()) }

// closeRevoked wakes the sessions whose keys are unknown under the snapshot. Those that
// are idle end; the others do so after their operation.
func (s *Server) closeRevoked(snap *topology.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for sess := range s.sessions {
		if c := sess.established.Load(); c != nil && c.revoked(snap) {
			n++
			_ = sess.conn.SetReadDeadline(expiredDeadline) // fails only if the session has ended
		}
	}
	if n > 0 {
		s.cfg.Log.Info().Int("sessions", n).Uint64("version", snap.Version).Msg("The configuration revokes the keys of sessions; they are closed when idle.")
	}
}
