package route

import (
	"cmp"
	"slices"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// GroupOf returns the group of a partition among the groups of a service. The
// empty partition is valid. It returns the empty string if there are no groups.
func GroupOf(partition string, groups []string) string {
	i := ownership.Pick(partition, groups)
	if i < 0 {
		return ""
	}
	return groups[i]
}

// Target is a database to which a request can be sent.
type Target struct {
	Database platform.Database
	Primary  bool // run as on a primary
}

// Criteria are the inputs for the choice of a database.
type Criteria struct {
	AllowReplica bool   // a replica may run the request
	DataCentre   string // of the entry instance
	Rotation     uint64 // rotates the order of equivalent databases
	// EstimatedWait returns the estimated queueing time at a database. If it is
	// nil, the time is 0 for all databases.
	EstimatedWait func(database string) time.Duration
}

// remoteCost is added to the estimated wait of a replica in another data centre:
// one round trip.
const remoteCost = 10 * time.Millisecond

// costStep is the resolution in which costs are compared. Reported waits are up to
// a second old; with a finer resolution all requests would go to the same replica
// and only move the queue there.
const costStep = 20 * time.Millisecond

// OrderTargets returns the databases to try, in order of preference: if replicas
// are allowed, the replicas by estimated wait and data centre and then the
// primary; otherwise only the primary. Leaving replicas are omitted. A leaving
// primary is included, because only the pool knows whether it still accepts
// requests. If primary is empty, no target is a primary.
func OrderTargets(c Criteria, primary string, databases []platform.Database) []Target {
	var out []Target
	if c.AllowReplica {
		out = replicas(c, primary, databases)
	}
	for _, d := range databases {
		if d.Name == primary && primary != "" {
			out = append(out, Target{Database: d, Primary: true})
		}
	}
	return out
}

func replicas(c Criteria, primary string, databases []platform.Database) []Target {
	var local, remote []Target
	for _, d := range databases {
		switch {
		case d.Leaving || d.Name == primary:
		case d.DataCentre == c.DataCentre:
			local = append(local, Target{Database: d})
		default:
			remote = append(remote, Target{Database: d})
		}
	}
	ordered := slices.Concat(rotate(local, c.Rotation), rotate(remote, c.Rotation))
	if c.EstimatedWait == nil || len(ordered) < 2 {
		return ordered
	}
	return byCost(c, ordered)
}

// byCost sorts replicas by cost in steps of costStep and keeps the order within a
// step.
func byCost(c Criteria, ts []Target) []Target {
	step := func(t Target) time.Duration {
		cost := c.EstimatedWait(t.Database.Name)
		if t.Database.DataCentre != c.DataCentre {
			cost += remoteCost
		}
		return cost / costStep
	}
	slices.SortStableFunc(ts, func(a, b Target) int { return cmp.Compare(step(a), step(b)) })
	return ts
}

// rotate moves the first by modulo len(ts) targets to the end.
func rotate(ts []Target, by uint64) []Target {
	if len(ts) < 2 {
		return ts
	}
	k := int(by % uint64(len(ts)))
	return slices.Concat(ts[k:], ts[:k])
}
