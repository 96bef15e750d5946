package failover

import (
	"cmp"
	"slices"
	"time"

	"geraniumbeam/internal/backend"
)

// View is the group's state as known to an instance.
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

// Health is an instance's assessment of one database. A single failed
// call does not change Reachable.
type Health struct {
	Database  string
	Reachable bool
	Status    backend.Status // latest received
}

// LostPrimary reports whether the health of a database indicates that the group
// has lost its primary: the primary is unreachable or has another role, a
// replica has received no heartbeat for HeartbeatTimeout, or the current term
// has no primary.
func (t Thresholds) LostPrimary(v View, h Health) bool {
	if h.Database == v.Primary {
		return !h.Reachable || h.Status.Role != backend.RolePrimary
	}
	switch {
	case !h.Reachable:
		return v.Primary == "" // the database may be the unknown primary
	case h.Status.Role == backend.RolePrimary && h.Status.Term >= v.Term:
		return false
	case h.Status.Role == backend.RolePrimary || h.Status.Term < v.Term:
		return v.Primary == "" // if the primary is known, the owner makes the database follow it
	}
	return h.Status.PrimaryAge >= t.HeartbeatTimeout
}

// Detector detects the failure of a group's primary from the databases of the
// group that the instance owns. It is not safe for concurrent use.
type Detector struct {
	thresholds  Thresholds
	view        View
	termChanged time.Time // when the highest known term last increased
	databases   map[string]*databaseState
}

type databaseState struct {
	lastReached  time.Time // last successful call; before one, the first attempt
	status       backend.Status
	statusSince  time.Time // when status was first received or, if later, a call failed
	leavingSince time.Time // when Status.Leaving became true, zero if it is false
	hasStatus    bool
}

// maxExtrapolation bounds the time added to a replica's PrimaryAge. The pool
// waits up to 250 ms for the next status of a database that has not changed.
const maxExtrapolation = 250 * time.Millisecond

// extrapolated returns the status with the PrimaryAge that a replica would
// report now if it had received no heartbeat since. Before it acts, a candidate
// verifies the failure with fresh statuses.
func (s *databaseState) extrapolated(now time.Time) backend.Status {
	st := s.status
	if st.Role != backend.RolePrimary {
		st.PrimaryAge += min(now.Sub(s.statusSince), maxExtrapolation)
	}
	return st
}

// NewDetector returns a detector without observations.
func NewDetector(t Thresholds) *Detector {
	return &Detector{thresholds: t, databases: make(map[string]*databaseState)}
}

// Observe processes the directory's view and one round of status calls.
func (d *Detector) Observe(now time.Time, v View, round []Observation) {
	current := make(map[string]bool, len(round))
	for _, o := range round {
		current[o.Database] = true
		s, ok := d.databases[o.Database]
		if !ok {
			s = &databaseState{lastReached: now}
			d.databases[o.Database] = s
		}
		if !o.Reachable {
			s.statusSince = now
			continue
		}
		if !s.hasStatus || o.Status != s.status {
			s.statusSince = now
		}
		switch {
		case !o.Status.Leaving:
			s.leavingSince = time.Time{}
		case s.leavingSince.IsZero():
			s.leavingSince = now
		}
		s.lastReached, s.status, s.hasStatus = now, o.Status, true
		if o.Status.Term > v.Term {
			v.Term, v.Primary = o.Status.Term, ""
		}
		if o.Status.Term == v.Term && o.Status.Role == backend.RolePrimary {
			v.Primary = o.Database
		}
	}
	for name := range d.databases {
		if !current[name] {
			delete(d.databases, name)
		}
	}
	if v.Term > d.view.Term || d.termChanged.IsZero() {
		d.termChanged = now
	}
	// The directory may be behind the databases, but the term must not decrease.
	if v.Term < d.view.Term || (v.Term == d.view.Term && v.Primary == "") {
		v.Term, v.Primary = d.view.Term, d.view.Primary
	}
	d.view = v
}

// View returns the view with the highest term seen.
func (d *Detector) View() View { return d.view }

// Health returns the health of the observed databases, sorted by name. It omits
// databases that have not answered yet and are not yet unreachable.
func (d *Detector) Health(now time.Time) []Health {
	out := make([]Health, 0, len(d.databases))
	for name, s := range d.databases {
		reachable := s.hasStatus && now.Sub(s.lastReached) < d.thresholds.UnreachableAfter
		if !s.hasStatus && now.Sub(s.lastReached) < d.thresholds.UnreachableAfter {
			continue
		}
		out = append(out, Health{Database: name, Reachable: reachable, Status: s.extrapolated(now)})
	}
	slices.SortFunc(out, func(a, b Health) int { return cmp.Compare(a.Database, b.Database) })
	return out
}

// Suspect reports whether any observed database indicates that the primary is
// lost.
func (d *Detector) Suspect(now time.Time) bool {
	if now.Sub(d.termChanged) < d.thresholds.Cooldown {
		return false
	}
	return slices.ContainsFunc(d.Health(now), func(h Health) bool { return d.thresholds.LostPrimary(d.view, h) })
}

// switchoverDelay gives short transactions on a leaving primary time to end. The
// primary takes no new work meanwhile.
const switchoverDelay = 500 * time.Millisecond

// SwitchoverDue reports whether the group's primary is observed by this detector,
// works and has been leaving for switchoverDelay, so that another database
// should take over.
func (d *Detector) SwitchoverDue(now time.Time) bool {
	s, ok := d.databases[d.view.Primary]
	return ok && s.hasStatus && s.status.Role == backend.RolePrimary && s.status.Term == d.view.Term &&
		!s.leavingSince.IsZero() && now.Sub(s.leavingSince) >= switchoverDelay && now.Sub(d.termChanged) >= d.thresholds.Cooldown
}
