package primacy

import (
	"slices"

	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/ownership"
)

const (
	// minOwners is the minimum number of instances that hold connections to a
	// database with a low connection limit, so that the loss of one instance does
	// not make the database unreachable.
	minOwners = 2
	// maxOwners is the maximum. Eight owners with eight connections each queue
	// more statements than any known database runs at a time.
	maxOwners = 8
	// ownerConnections is the number of connections that each owner should have.
	// A database runs 4 statements at a time, and open transactions hold their
	// connections between statements.
	ownerConnections = 5
)

// Owners returns the instances that hold the connections to a database whose
// connection limit is too low for all instances, in the order in which the
// instance self should try them, and whether self is an owner. Half of the limit
// stays free for instances that restart while the database still counts their
// former connections. Instances of the database's data centre are preferred.
func Owners(registered []Registration, self, id, dataCentre string, limit int) ([]ownership.Instance, bool) {
	return ownersIn(nil, registered, self, id, dataCentre, limit)
}

// ownersIn is Owners for data centres in regions. If the database's data centre has too
// few instances, those of its region are preferred to all others. regions may be nil.
func ownersIn(regions distance.Regions, registered []Registration, self, id, dataCentre string, limit int) ([]ownership.Instance, bool) {
	var local, near, remote []ownership.Instance
	for _, reg := range registered {
		if reg.Address == "" {
			continue
		}
		i := ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre}
		switch {
		case reg.DataCentre == dataCentre:
			local = append(local, i)
		case regions.Tier(reg.DataCentre, dataCentre) == distance.SameRegion:
			near = append(near, i)
		default:
			remote = append(remote, i)
		}
	}
	n := min(max(limit/2/ownerConnections, minOwners), maxOwners)
	owners := ownership.Order(id, local)
	if len(owners) < minOwners {
		owners = append(owners, ownership.Order(id, near)...)
	}
	if len(owners) < minOwners {
		owners = append(owners, ownership.Order(id, remote)...)
	}
	owners = owners[:min(n, len(owners))]
	if slices.ContainsFunc(owners, func(i ownership.Instance) bool { return i.Name == self }) {
		return owners, true
	}
	return ownership.Order(self, owners), false
}

// maxDetours bounds the instances through which one tries to reach a database.
const maxDetours = 4

// Detours returns instances through which self may reach a database that it does not
// reach itself: those of its own data centre, which answer soonest whether they do,
// then those of the database's.
func Detours(registered []Registration, self, id, ownDataCentre, dataCentre string) []ownership.Instance {
	return detoursIn(nil, registered, self, id, ownDataCentre, dataCentre)
}

// detoursIn is Detours for data centres in regions. After those of the database's data
// centre come those of its region. regions may be nil.
func detoursIn(regions distance.Regions, registered []Registration, self, id, ownDataCentre, dataCentre string) []ownership.Instance {
	var own, near, region, other []ownership.Instance
	for _, reg := range registered {
		i := ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre}
		switch {
		case reg.Address == "" || reg.Instance == self:
		case reg.DataCentre == ownDataCentre:
			own = append(own, i)
		case reg.DataCentre == dataCentre:
			near = append(near, i)
		case regions.Tier(reg.DataCentre, dataCentre) == distance.SameRegion:
			region = append(region, i)
		default:
			other = append(other, i)
		}
	}
	key := "detour " + id + " " + self // spreads the load over those that reach the database
	detours := ownership.Order(key, own)
	detours = detours[:min(len(detours), maxDetours/2)]
	detours = append(detours, ownership.Order(key, near)...)
	detours = append(detours, ownership.Order(key, region)...)
	detours = append(detours, ownership.Order(key, other)...)
	return detours[:min(len(detours), maxDetours)]
}

// Detours calls the function Detours for this instance and the instances that it
// knows.
func (r *Runner) Detours(id, dataCentre string) []ownership.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return detoursIn(r.cfg.Regions, r.knownInstances, r.cfg.Instance, id, r.cfg.DataCentre, dataCentre)
}

// directShare is the part of a connection limit that is open to instances which reach
// no owner of the database: a quarter. Half is for the owners.
const directShare = 4

// MayConnect reports whether an instance may connect itself to a database whose
// owners it does not reach. All instances derive the same few from the
// registrations, so that together they stay within the limit.
func MayConnect(registered []Registration, self, id string, limit int) bool {
	listed := slices.ContainsFunc(registered, func(reg Registration) bool { return reg.Instance == self })
	return listed && rankOf(self, "direct "+id, namesOf(registered)) < max(1, limit/directShare)
}

// maxSubstitutes bounds the instances through which one tries to reach a database whose
// owners it does not reach. With half of the instances lost, six of them are all lost in
// one of 64 cases.
const maxSubstitutes = 6

// Substitutes returns instances for which MayConnect is true, in the order in which the
// instance self should ask them to run statements while it reaches no owner.
func Substitutes(registered []Registration, self, id string, limit int) []ownership.Instance {
	var others []ownership.Instance
	for _, reg := range registered {
		if reg.Address != "" {
			others = append(others, ownership.Instance{Name: reg.Instance, Address: reg.Address, DataCentre: reg.DataCentre})
		}
	}
	allowed := ownership.Order("direct "+id, others)
	allowed = allowed[:min(len(allowed), max(1, limit/directShare))]
	allowed = slices.DeleteFunc(allowed, func(i ownership.Instance) bool { return i.Name == self })
	order := ownership.Order(self+" "+id, allowed)
	return order[:min(len(order), maxSubstitutes)]
}

// Substitutes calls the function Substitutes for this instance and the instances that it
// knows.
func (r *Runner) Substitutes(id string, limit int) []ownership.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Substitutes(r.knownInstances, r.cfg.Instance, id, limit)
}

// cachedOwners holds the arguments and the result of a call of Owners.
type cachedOwners struct {
	dataCentre string
	limit      int
	owners     []ownership.Instance
	self       bool
	mayConnect bool
	rank       int
}

// Owners calls the function Owners for this instance and the instances that it
// knows. The result is cached until these change; callers must not modify it.
func (r *Runner) Owners(id, dataCentre string, limit int) ([]ownership.Instance, bool) {
	o := r.ownersOf(id, dataCentre, limit)
	return o.owners, o.self
}

// MayConnect calls the function MayConnect for this instance and the instances that
// it knows.
func (r *Runner) MayConnect(id, dataCentre string, limit int) bool {
	return r.ownersOf(id, dataCentre, limit).mayConnect
}

// Rank returns the position of this instance in an order of the instances that it
// knows, which is different for each database.
func (r *Runner) Rank(id, dataCentre string, limit int) int {
	return r.ownersOf(id, dataCentre, limit).rank
}

// rankAt computes Rank. An instance that is not listed comes last. r.mu is held.
func (r *Runner) rankAt(id string) int {
	order := ownership.Order("share "+id, namesOf(r.knownInstances))
	rank := slices.IndexFunc(order, func(i ownership.Instance) bool { return i.Name == r.cfg.Instance })
	if rank < 0 {
		return len(order)
	}
	return rank
}

func (r *Runner) ownersOf(id, dataCentre string, limit int) cachedOwners {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.ownersCache[id]
	if !ok || o.dataCentre != dataCentre || o.limit != limit {
		owners, self := ownersIn(r.cfg.Regions, r.knownInstances, r.cfg.Instance, id, dataCentre, limit)
		o = cachedOwners{dataCentre, limit, owners, self, MayConnect(r.knownInstances, r.cfg.Instance, id, limit), r.rankAt(id)}
		r.ownersCache[id] = o
	}
	return o
}
