package dbpool

import "time"

const (
	// maxShare bounds an instance's connections to one database. A database
	// of the known deployments runs 2 to 4 statements at a time, and a
	// transaction holds its connection between statements.
	maxShare = 8
	// lentShare is the bound where the limit has no room for two connections
	// from each instance, so that they are lent.
	lentShare = 2
	// idleLongest is how long an unused connection stays open where there is
	// room for all instances.
	idleLongest = 20 * time.Second
	// idleExtra is how long an unused connection beyond the first stays open
	// where the limit has no room for a second set. After a loss of power a
	// database keeps the former connections for 3 s.
	idleExtra = 200 * time.Millisecond
	// idleLent is how long it stays open at a primary that all instances need
	// and whose limit has no room for all of them. With 64 instances, a limit
	// of 46 and about one request a second from each, 15 connections wait
	// unused and half of the requests find one open.
	idleLent = 250 * time.Millisecond
	// idleReplica is how long it stays open at a replica of such a service.
	// Reads stay with one replica, so half of the instances use each.
	idleReplica = 1 * time.Second
	// lendingRoom is how many connections for each instance a limit must have
	// so that connections need not be lent.
	lendingRoom = 1.5
)

// Sizing says how an instance holds connections to a database whose limit it
// shares with other instances.
type Sizing struct {
	MaxOpen     int           // connections that the instance may hold
	IdleTimeout time.Duration // how long an unused one stays open; with KeepWarm, the first stays in any case
	KeepWarm    bool          // one is opened ahead of need and stays open
	// ViaOwner says that the connections are those of an owner, so that opening
	// one costs the database nothing.
	ViaOwner bool
}

// SizingFor divides a connection limit among instances. All of them together stay
// within the limit unless connections are lent. If possible they use half of
// it: the other half is for instances that start again while the database still
// keeps their former connections. Replicas need not be lent: reads stay with a
// replica to which a connection is open, so that each instance holds
// connections to one replica of a service.
//
// With instances 0 their number is not known yet: an instance that starts alone
// in its view must not take the connections of all others, which start too.
func SizingFor(limit, instances int, primary bool) Sizing {
	if instances == 0 {
		return Sizing{MaxOpen: 1, IdleTimeout: idleExtra}
	}
	if lending(limit, instances) {
		if primary {
			return Sizing{MaxOpen: lentShare, IdleTimeout: idleLent}
		}
		return Sizing{MaxOpen: 1, IdleTimeout: idleReplica}
	}
	if half := limit / 2 / instances; half >= lentShare {
		return Sizing{MaxOpen: min(half, maxShare), IdleTimeout: idleLongest, KeepWarm: true}
	}
	return Sizing{MaxOpen: min(max(1, limit/instances), maxShare), IdleTimeout: idleExtra, KeepWarm: true}
}

// lending reports that a limit has no room for the connections of all instances.
func lending(limit, instances int) bool {
	return float64(limit) < lendingRoom*float64(instances)
}

// scarce reports that connections are lent.
func (s Sizing) scarce() bool { return !s.KeepWarm && !s.ViaOwner }
