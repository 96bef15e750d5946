package dbpool

import "time"

// A database is oversubscribed if its connection limit is too small for every
// instance to keep connections open. Instances then open connections on demand
// and close them shortly after use, so that others can open theirs.
const (
	// maxOpenPerInstance bounds an instance's connections to one database. The
	// databases of known deployments run 2 to 4 statements at a time, and a
	// transaction holds its connection between statements.
	maxOpenPerInstance = 8
	// maxOpenOversubscribed is the bound at the primary of an oversubscribed
	// database.
	maxOpenOversubscribed = 2
	// minConnsPerInstance is the number of connections for each instance below
	// which a limit is oversubscribed.
	minConnsPerInstance = 1.5

	// idleTimeoutDefault applies where half of the limit suffices for all
	// instances.
	idleTimeoutDefault = 20 * time.Second
	// idleTimeoutTight applies to connections beyond the first where the limit
	// has no room for a second set: after a power failure a database keeps the
	// former connections for 3 s.
	idleTimeoutTight = 200 * time.Millisecond
	// idleTimeoutOversubscribedPrimary applies to a primary that all instances
	// need. With 64 instances, a limit of 46 and about one request a second
	// from each, 15 connections are idle and half of the requests find one
	// open.
	idleTimeoutOversubscribedPrimary = 250 * time.Millisecond
	// idleTimeoutOversubscribedReplica applies to a replica. Reads stay with
	// one replica, so each replica serves half of the instances.
	idleTimeoutOversubscribedReplica = 1 * time.Second
)

// Sizing is the size of an instance's pool of connections to a database whose
// connection limit it shares with other instances.
type Sizing struct {
	MaxOpen     int           // bound of open connections
	Concurrency int           // bound of requests that use connections at a time; 0: MaxOpen
	IdleTimeout time.Duration // of idle connections; with KeepWarm, one stays open regardless
	KeepWarm    bool          // open one connection ahead of need and keep it open
	// ViaOwner is set if the connections lead to an owner, so that opening one
	// does not count against the database's limit.
	ViaOwner bool
}

// SizingFor divides a connection limit among instances. The sum of MaxOpen over
// all instances stays within the limit unless the database is oversubscribed.
// Where possible it stays within half of the limit: the other half is for
// instances that restart while the database still keeps their former
// connections. A limit with room for one connection each, and more, is used up by a
// second one for the instances of lowest rank: a transaction holds its connection
// between statements, and with a single one all others of the instance wait for its
// caller. Idle connections to a replica may stay open longer than those to the
// primary: reads stay with a replica to which a connection is open, so each instance
// holds connections to only one replica of a service.
//
// With instances 0 their number is not known yet: an instance that sees no others
// when it starts must not take the connections of all others, which may be
// starting too.
func SizingFor(limit, instances, rank int, primary bool) Sizing {
	if instances == 0 {
		return Sizing{MaxOpen: 1, IdleTimeout: idleTimeoutTight}
	}
	if oversubscribed(limit, instances) {
		if primary {
			return Sizing{MaxOpen: maxOpenOversubscribed, IdleTimeout: idleTimeoutOversubscribedPrimary}
		}
		return Sizing{MaxOpen: 1, IdleTimeout: idleTimeoutOversubscribedReplica}
	}
	if half := limit / 2 / instances; half >= maxOpenOversubscribed {
		return Sizing{MaxOpen: min(half, maxOpenPerInstance), IdleTimeout: idleTimeoutDefault, KeepWarm: true}
	}
	share := max(1, limit/instances)
	if share == 1 && rank < limit-instances {
		share++
	}
	return Sizing{MaxOpen: min(share, maxOpenPerInstance), IdleTimeout: idleTimeoutTight, KeepWarm: true}
}

// ownerShareNumerator and ownerShareDenominator are the part of a limit that the owners of
// a database use in a deployment with organisations: four fifths. Connections of many
// organisations are idle, and a closed one costs more than it does without them.
const ownerShareNumerator, ownerShareDenominator = 4, 5

// perOrganisation returns the sizing of an owner whose connections serve one
// organisation each. More of them may be open than statements run.
func (s Sizing) perOrganisation(limit, owners int) Sizing {
	s.Concurrency = s.MaxOpen
	s.MaxOpen = max(s.MaxOpen, limit*ownerShareNumerator/ownerShareDenominator/owners)
	s.IdleTimeout = idleTimeoutDefault
	return s
}

// concurrency returns the bound of requests that use connections at a time.
func (s Sizing) concurrency() int {
	if s.Concurrency == 0 {
		return s.MaxOpen
	}
	return s.Concurrency
}

// formerConnectionsTime is how long a database keeps the connections of an instance
// that lost power.
const formerConnectionsTime = 3 * time.Second

// afterStart returns the sizing for an instance that started the given time ago. If
// all instances started again, the limit is still used up by their former
// connections, so each opens only one until these are gone.
func (s Sizing) afterStart(ago time.Duration) Sizing {
	if s.IdleTimeout == idleTimeoutTight && ago < formerConnectionsTime {
		s.MaxOpen = 1
	}
	return s
}

// oversubscribed reports whether a limit is too small for the connections of all
// instances.
func oversubscribed(limit, instances int) bool {
	return float64(limit) < minConnsPerInstance*float64(instances)
}

// oversubscribed reports whether opening a connection may fail because other
// instances use up the limit.
func (s Sizing) oversubscribed() bool { return !s.KeepWarm && !s.ViaOwner }
