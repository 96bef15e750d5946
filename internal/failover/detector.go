package failover

import (
	"cmp"
	"slices"
	"time"

	"geraniumbeam/internal/backend"
)

// View is what an instance knows of a group.
type View struct {
	Term    uint64
	Primary string   // empty when unknown
	Members []string // names of the databases
}

// Observation is the result of one status call to a database.
type Observation struct {
	Database  string
	Reachable bool
	Status    backend.Status // valid if Reachable
}

// DatabaseHealth is what an instance can say about one database. Reachable is
// smoothed: a single lost call does not change it.
type DatabaseHealth struct {
	Database  string
	Reachable bool
	Status    backend.Status // the latest that was received
}

// PrimaryLost reports whether the evidence speaks against the group's primary: the
// primary cannot be reached, a replica has not heard from it for too long, or
// the current term has no primary.
func (t Thresholds) PrimaryLost(v View, e DatabaseHealth) bool {
	if e.Database == v.Primary {
		return !e.Reachable || e.Status.Role != backend.RolePrimary
	}
	switch {
	case !e.Reachable:
		return v.Primary == "" // it may be the primary that nobody knows
	case e.Status.Role == backend.RolePrimary && e.Status.Term >= v.Term:
		return false
	case e.Status.Role == backend.RolePrimary || e.Status.Term < v.Term:
		return v.Primary == "" // with a known primary the owner makes it follow
	}
	return e.Status.PrimaryAge >= t.HeartbeatTimeout
}

// Detector watches the databases of one group that an instance owns. It is
// used by one goroutine at a time.
type Detector struct {
	thresholds Thresholds
	view       View
	changed    time.Time // when the highest known term last grew
	seen       map[string]*sighting
}

type sighting struct {
	reached time.Time // last successful call, or the first attempt
	status  backend.Status
	since   time.Time // when status was first received, or a call failed
	leaving time.Time // since when status says that the database is leaving
	known   bool
}

// maxAgeing bounds how far a replica's PrimaryAge is extrapolated. The pool
// waits up to 250 ms for the next status of a database without news.
const maxAgeing = 250 * time.Millisecond

// aged returns the status with the PrimaryAge that a replica would report now
// if it had heard nothing since. A candidate checks with fresh statuses.
func (s *sighting) aged(now time.Time) backend.Status {
	st := s.status
	if st.Role != backend.RolePrimary {
		st.PrimaryAge += min(now.Sub(s.since), maxAgeing)
	}
	return st
}

// NewDetector returns a detector that has seen nothing.
func NewDetector(t Thresholds) *Detector {
	return &Detector{thresholds: t, seen: make(map[string]*sighting)}
}

// Observe takes the directory's view and one round of status calls.
func (d *Detector) Observe(now time.Time, v View, round []Observation) {
	current := make(map[string]bool, len(round))
	for _, o := range round {
		current[o.Database] = true
		s, ok := d.seen[o.Database]
		if !ok {
			s = &sighting{reached: now}
			d.seen[o.Database] = s
		}
		if !o.Reachable {
			s.since = now
			continue
		}
		if !s.known || o.Status != s.status {
			s.since = now
		}
		switch {
		case !o.Status.Leaving:
			s.leaving = time.Time{}
		case s.leaving.IsZero():
			s.leaving = now
		}
		s.reached, s.status, s.known = now, o.Status, true
		if o.Status.Term > v.Term {
			v.Term, v.Primary = o.Status.Term, ""
		}
		if o.Status.Term == v.Term && o.Status.Role == backend.RolePrimary {
			v.Primary = o.Database
		}
	}
	for name := range d.seen {
		if !current[name] {
			delete(d.seen, name)
		}
	}
	if v.Term > d.view.Term || d.changed.IsZero() {
		d.changed = now
	}
	// The directory may be behind the databases, but the term must not fall.
	if v.Term < d.view.Term || (v.Term == d.view.Term && v.Primary == "") {
		v.Term, v.Primary = d.view.Term, d.view.Primary
	}
	d.view = v
}

// View returns the view with the highest term seen.
func (d *Detector) View() View { return d.view }

// Health returns what is known of the observed databases, sorted by name.
func (d *Detector) Health(now time.Time) []DatabaseHealth {
	out := make([]DatabaseHealth, 0, len(d.seen))
	for name, s := range d.seen {
		reachable := s.known && now.Sub(s.reached) < d.thresholds.UnreachableAfter
		if !s.known && now.Sub(s.reached) < d.thresholds.UnreachableAfter {
			continue // nothing is known yet
		}
		out = append(out, DatabaseHealth{Database: name, Reachable: reachable, Status: s.aged(now)})
	}
	slices.SortFunc(out, func(a, b DatabaseHealth) int { return cmp.Compare(a.Database, b.Database) })
	return out
}

// Suspect reports whether any observed database speaks against the primary.
func (d *Detector) Suspect(now time.Time) bool {
	if now.Sub(d.changed) < d.thresholds.Cooldown {
		return false
	}
	return slices.ContainsFunc(d.Health(now), func(e DatabaseHealth) bool { return d.thresholds.PrimaryLost(d.view, e) })
}

// handoverDelay gives short transactions on a leaving primary time to end. New
// work is refused meanwhile.
const handoverDelay = 500 * time.Millisecond

// SwitchoverDue reports whether the group's primary is observed here, works and is
// leaving, so that another database should take over.
func (d *Detector) SwitchoverDue(now time.Time) bool {
	s, ok := d.seen[d.view.Primary]
	return ok && s.known && s.status.Role == backend.RolePrimary && s.status.Term == d.view.Term &&
		!s.leaving.IsZero() && now.Sub(s.leaving) >= handoverDelay && now.Sub(d.changed) >= d.thresholds.Cooldown
}
