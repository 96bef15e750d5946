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

// Intervals of repairs.
const (
	repairInterval = 500 * time.Millisecond // between attempts for one database
	refollowAge    = 3 * time.Second        // a replica of the right term that hears nothing is told its primary again
	publishDelay   = 3 * time.Second        // time for the candidate to tell the platform itself
)

// repair is the state of repairs of one database.
type repair struct {
	busy  bool
	next  time.Time
	since time.Time // since when the platform does not name the database as the primary
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
	return s.Role == backend.RoleFenced || (s.Role == backend.RoleReplica && s.PrimaryAge >= refollowAge)
}

// repair starts the repairs that a round of observations calls for. Only the
// active owner of a database repairs it.
func (r *Manager) repair(ctx context.Context, now time.Time, g directory.Group, d *Detector, round []Observation) {
	v := d.View()
	for _, o := range round {
		db, ok := g.Database(o.Database)
		if !ok || !o.Reachable || r.cfg.Directory.OwnerIndex(db) != 0 {
			continue
		}
		state, ok := r.repairs[o.Database]
		if !ok {
			state = &repair{}
			r.repairs[o.Database] = state
		}
		if state.busy || now.Before(state.next) {
			continue
		}
		switch {
		case ShouldFollow(v, o.Database, o.Status):
			primary, _ := g.Database(v.Primary)
			r.start(state, now, func() { r.makeFollow(ctx, g.Name, db, v.Term, primary, o.Status) })
		case r.unpublished(state, now, g.Name, o):
			r.start(state, now, func() { r.publish(ctx, g.Name, o) })
		}
	}
}

func (r *Manager) start(state *repair, now time.Time, f func()) {
	state.busy, state.next = true, now.Add(repairInterval)
	r.running.Go(func() {
		f()
		r.mu.Lock()
		defer r.mu.Unlock()
		state.busy = false
	})
}

func (r *Manager) makeFollow(ctx context.Context, group string, db platform.Database, term uint64, primary platform.Database, before backend.Status) {
	ctx, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	h := &handle{db: db, open: r.cfg.Open}
	defer h.close()
	_, err := h.do(ctx, func(c backend.Control) (backend.Status, error) { return followPrimary(ctx, c, term, primary.Address) })
	if err != nil {
		r.vars.Add("follow_failed", 1)
		r.cfg.Log.Warn().Err(err).Str("group", group).Str("database", db.Name).Msg("Database could not be made to follow.")
		return
	}
	r.vars.Add("followed", 1)
	r.cfg.Log.Info().Str("group", group).Str("database", db.Name).Uint64("term", term).Str("primary", primary.Name).Msg("Database follows.")
	r.record(group, db.Name, fmt.Sprintf("was %s at term %d, now follows %s of term %d", before.Role, before.Term, primary.Name, term))
}

// unpublished reports whether the platform has not been told for a while that
// the database is the primary of the term.
func (r *Manager) unpublished(state *repair, now time.Time, group string, o Observation) bool {
	if o.Status.Role != backend.RolePrimary || !r.platformLacks(group, o) {
		state.since = time.Time{}
		return false
	}
	if state.since.IsZero() {
		state.since = now
	}
	return now.Sub(state.since) >= publishDelay
}

func (r *Manager) platformLacks(group string, o Observation) bool {
	object, ok := r.cfg.Directory.Object(platform.KindGroup, group)
	if !ok || object.Deleted {
		return false
	}
	g, err := decodeGroup(object)
	return err == nil && g.Term == o.Status.Term && g.Primary == ""
}

// publish names the primary on the platform, in place of a candidate that
// failed before it did.
func (r *Manager) publish(ctx context.Context, group string, o Observation) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout)
	defer cancel()
	object, err := r.cfg.Platform.Get(ctx, platform.KindGroup, group)
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
	if _, err := r.cfg.Platform.Put(ctx, platform.KindGroup, group, object.Version, data); err == nil {
		r.record(group, o.Database, fmt.Sprintf("named as the primary of term %d on the platform", g.Term))
	}
}
