package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/platform"
)

// Timing of repairs.
const (
	repairInterval = 500 * time.Millisecond // between attempts for one database
	refollowAfter  = 3 * time.Second        // PrimaryAge from which a replica of the current term is sent its primary again
	publishDelay   = 3 * time.Second        // time left to the candidate to publish the primary itself
)

// repairState is the state of the repairs of one database.
type repairState struct {
	running          bool
	nextAttempt      time.Time
	unpublishedSince time.Time // since when the database is a primary that is not published on the platform
}

// ShouldFollow reports whether a database must be raised to the view's term
// and made to follow its primary.
func ShouldFollow(v View, database string, s backend.Status) bool {
	if v.Primary == "" || v.Primary == database || s.Term > v.Term {
		return false
	}
	if s.Term < v.Term {
		return true
	}
	return s.Role == backend.RoleFenced || (s.Role == backend.RoleReplica && s.PrimaryAge >= refollowAfter)
}

// startRepairs starts the repairs that a round of observations requires. Only the
// active owner of a database repairs it.
func (m *Manager) startRepairs(ctx context.Context, now time.Time, g directory.Group, d *Detector, round []Observation) {
	v := d.View()
	for _, o := range round {
		db, ok := g.Database(o.Database)
		if !ok || !o.Reachable || m.cfg.Directory.OwnerIndex(db) != 0 {
			continue
		}
		state, ok := m.repairs[o.Database]
		if !ok {
			state = &repairState{}
			m.repairs[o.Database] = state
		}
		if state.running || now.Before(state.nextAttempt) {
			continue
		}
		switch {
		case ShouldFollow(v, o.Database, o.Status):
			primary, _ := g.Database(v.Primary)
			m.startRepair(state, now, func() { m.makeFollow(ctx, g.Name, db, v.Term, primary, o.Status) })
		case m.publishDue(state, now, g.Name, o):
			m.startRepair(state, now, func() { m.publish(ctx, g.Name, o) })
		}
	}
}

func (m *Manager) startRepair(state *repairState, now time.Time, f func()) {
	state.running, state.nextAttempt = true, now.Add(repairInterval)
	m.goroutines.Go(func() {
		f()
		m.mu.Lock()
		defer m.mu.Unlock()
		state.running = false
	})
}

func (m *Manager) makeFollow(ctx context.Context, group string, db platform.Database, term uint64, primary platform.Database, before backend.Status) {
	ctx, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	conn := &controlConn{db: db, open: m.cfg.Open}
	defer conn.close()
	_, err := conn.call(ctx, func(c backend.ControlConn) (backend.Status, error) {
		return followPrimary(ctx, c, term, primary.Address)
	})
	if err != nil {
		m.vars.Add("follow_failed", 1)
		m.cfg.Log.Warn().Err(err).Str("group", group).Str("database", db.Name).Msg("Could not make the database follow the primary.")
		return
	}
	m.vars.Add("followed", 1)
	m.cfg.Log.Info().Str("group", group).Str("database", db.Name).Uint64("term", term).Str("primary", primary.Name).Msg("Database now follows the primary.")
	m.recordEvent(group, db.Name, fmt.Sprintf("was %s at term %d, now follows %s of term %d", before.Role, before.Term, primary.Name, term))
}

// publishDue reports whether the database has been a primary that is not
// published on the platform for publishDelay.
func (m *Manager) publishDue(state *repairState, now time.Time, group string, o Observation) bool {
	if o.Status.Role != backend.RolePrimary || !m.missingOnPlatform(group, o) {
		state.unpublishedSince = time.Time{}
		return false
	}
	if state.unpublishedSince.IsZero() {
		state.unpublishedSince = now
	}
	return now.Sub(state.unpublishedSince) >= publishDelay
}

// missingOnPlatform reports whether the group object has the database's term and
// no primary.
func (m *Manager) missingOnPlatform(group string, o Observation) bool {
	object, ok := m.cfg.Directory.Object(platform.KindGroup, group)
	if !ok || object.Deleted {
		return false
	}
	g, err := decodeGroup(object)
	return err == nil && g.Term == o.Status.Term && g.Primary == ""
}

// publish records the primary on the platform in place of a candidate that failed
// before it could.
func (m *Manager) publish(ctx context.Context, group string, o Observation) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout)
	defer cancel()
	object, err := m.cfg.Platform.Get(ctx, platform.KindGroup, group)
	if err != nil {
		return
	}
	g, err := decodeGroup(object)
	if err != nil || g.Term != o.Status.Term || g.Primary != "" {
		return
	}
	g.Primary = o.Database
	data, err := json.Marshal(g)
	if err != nil {
		return
	}
	if _, err := m.cfg.Platform.Put(ctx, platform.KindGroup, group, object.Version, data); err == nil {
		m.recordEvent(group, o.Database, fmt.Sprintf("published on the platform as the primary of term %d", g.Term))
	}
}
