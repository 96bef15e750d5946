package topology

import "time"

// LeavingAge bounds how long a database has been leaving.
type LeavingAge struct {
	ID          string
	StartMillis int64
	AtMost      time.Duration // since its report to the store
}

// minAgeImprovement is by how much the bound of another instance must be lower than the
// own one to be adopted. Bounds that are exchanged differ by the delays of the network.
const minAgeImprovement = 100 * time.Millisecond

// LeavingAges returns the bounds for the databases that are leaving. Databases of which
// nothing is known are left out.
func (t *Topology) LeavingAges(now time.Duration) []LeavingAge {
	var ages []LeavingAge
	for _, databases := range t.Snapshot().Databases {
		for _, d := range databases {
			if d.Leaving && d.leavingSince != leavingSinceUnknown {
				ages = append(ages, LeavingAge{d.ID, d.StartMillis, d.LeavingFor(now)})
			}
		}
	}
	return ages
}

// AdoptLeavingAges takes over the bounds of another instance that are lower than those of
// this one, and returns their databases. at is the earliest time at which the bounds were
// determined.
func (t *Topology) AdoptLeavingAges(ages []LeavingAge, at time.Duration) []Database {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Database
	for _, a := range ages {
		e, known := t.entries[a.ID]
		since := at - a.AtMost
		if !known || !e.Leaving || e.StartMillis != a.StartMillis || since-e.leavingSince < minAgeImprovement {
			continue
		}
		e.leavingSince = since
		t.entries[a.ID] = e
		changed = append(changed, e.Database)
	}
	if changed != nil {
		t.publishDatabases()
	}
	return changed
}

// restoreSettleTime is how long the registrations of a store may lack a report that the
// store accepted before it was restored. The databases write it again within 2 s.
const restoreSettleTime = RemovalDelay

// stability tracks until when the listing in use is known to have been the state of the
// registrations. A database that is found to be leaving may have reported it at any time
// after that.
type stability struct {
	started  bool
	era      uint64        // of the store
	eraSince time.Duration // when the first listing of the era was current
	known    bool
	until    time.Duration // if known
}

// observe notes that the listing in use was current at the given time, in an era of the
// store. A process that has just started does not know whether the store was restored a
// moment ago.
func (s *stability) observe(era uint64, at time.Duration) {
	if !s.started || era != s.era {
		s.started, s.era, s.eraSince = true, era, at
	}
	if at-s.eraSince >= restoreSettleTime {
		s.known, s.until = true, max(s.until, at)
	}
}

// changedAfter returns a time before which the next listing's changes were not made.
func (s *stability) changedAfter() time.Duration {
	if !s.known {
		return leavingSinceUnknown
	}
	return s.until
}
