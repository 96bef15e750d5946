package primacy

import (
	"slices"

	"geraniumbeam/internal/ownership"
)

const (
	// minOwners is how many instances hold connections of a scarce database at
	// least, so that the loss of one is no loss of contact.
	minOwners = 2
	// maxOwners bounds them; eight owners of eight connections keep more
	// statements waiting than any known database runs at a time.
	maxOwners = 8
	// ownerConnections is the number of connections that each owner should have:
	// a database runs 4 statements at a time, and transactions hold theirs in
	// between.
	ownerConnections = 5
)

// Owners returns the instances that hold the connections of a database with a
// limit that has no room for all instances, in the order in which the instance
// self asks them, and whether it is one. Half of the limit stays free for
// instances that start again while the database keeps their former connections.
// Instances of the database's data centre come first.
func Owners(registered []Registration, self, id, dataCentre string, limit int) ([]ownership.Instance, bool) {
	var local, remote []ownership.Instance
	for _, reg := range registered {
		if reg.Address == "" {
			continue
		}
		i := ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre}
		if reg.DataCentre == dataCentre {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	n := min(max(limit/2/ownerConnections, minOwners), maxOwners)
	owners := ownership.Order(id, local)
	if len(owners) < minOwners {
		owners = append(owners, ownership.Order(id, remote)...)
	}
	owners = owners[:min(n, len(owners))]
	if slices.ContainsFunc(owners, func(i ownership.Instance) bool { return i.Name == self }) {
		return owners, true
	}
	return ownership.Order(self, owners), false
}

// cachedOwners is a question to Owners and its answer.
type cachedOwners struct {
	dataCentre string
	limit      int
	owners     []ownership.Instance
	self       bool
}

// Owners is the function Owners for this instance and the instances it knows.
// The answer is kept until these change; callers must not change it.
func (r *Runner) Owners(id, dataCentre string, limit int) ([]ownership.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.ownersCache[id]
	if !ok || o.dataCentre != dataCentre || o.limit != limit {
		owners, self := Owners(r.knownInstances, r.cfg.Instance, id, dataCentre, limit)
		o = cachedOwners{dataCentre, limit, owners, self}
		r.ownersCache[id] = o
	}
	return o.owners, o.self
}
