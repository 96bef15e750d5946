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

// Sharing says how an instance holds connections to a database whose limit it
// shares with other instances.
type Sharing struct {
	Share int           // connections that the instance may hold
	Idle  time.Duration // how long an unused one stays open; with Warm, the first stays in any case
	Warm  bool          // one is opened ahead of need and stays open
	// Pooled says that the connections are those of an owner, so that opening
	// one costs the database nothing.
	Pooled bool
}

// Share divides a connection limit among instances. All of them together stay
// within the limit unless connections are lent. If possible they use half of
// it: the other half is for instances that start again while the database still
// keeps their former connections. Replicas need not be lent: reads stay with a
// replica to which a connection is open, so that each instance holds
// connections to one replica of a service.
//
// With instances 0 their number is not known yet: an instance that starts alone
// in its view must not take the connections of all others, which start too.
func Share(limit, instances int, primary bool) Sharing {
	if instances == 0 {
		return Sharing{Share: 1, Idle: idleExtra}
	}
	if lending(limit, instances) {
		if primary {
			return Sharing{Share: lentShare, Idle: idleLent}
		}
		return Sharing{Share: 1, Idle: idleReplica}
	}
	if half := limit / 2 / instances; half >= lentShare {
		return Sharing{Share: min(half, maxShare), Idle: idleLongest, Warm: true}
	}
	return Sharing{Share: min(max(1, limit/instances), maxShare), Idle: idleExtra, Warm: true}
}

// lending reports that a limit has no room for the connections of all instances.
func lending(limit, instances int) bool {
	return float64(limit) < lendingRoom*float64(instances)
}

// scarce reports that connections are lent.
func (s Sharing) scarce() bool { return !s.Warm && !s.Pooled }
