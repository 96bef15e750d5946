package route

import (
	"cmp"
	"slices"
	"time"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// GroupOf returns the group of a partition key among a service's groups. The
// empty key is valid. It returns the empty string if there are no groups.
func GroupOf(partition string, groups []string) string {
	i := ownership.Pick(partition, groups)
	if i < 0 {
		return ""
	}
	return groups[i]
}

// Target is a database to try.
type Target struct {
	Database platform.Database
	Primary  bool // run as on the primary
}

// Criteria says what a request needs of the database.
type Criteria struct {
	AllowReplica bool   // a replica may answer
	DataCentre   string // of the entry
	Rotation     uint64 // rotates databases that are equally good
	// EstimatedWait estimates how long the request would wait at a database; nil means
	// not at all anywhere.
	EstimatedWait func(database string) time.Duration
}

// remoteCost is what a replica in another data centre costs in addition to its
// wait: one round trip.
const remoteCost = 10 * time.Millisecond

// costStep is the difference of two costs below which replicas are equally
// good. Reported waits are up to a second old, so sending everything to the one
// that seems best would only move the queue.
const costStep = 20 * time.Millisecond

// OrderTargets returns the databases to try, best first: for a read, replicas by wait
// and nearness, and the primary last; otherwise only the primary. Replicas that are leaving are left out. A leaving primary stays,
// because only the pool knows whether it still takes work. An unknown primary
// leaves the list without one.
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

// byCost sorts replicas by cost in steps of equalWait; within a step the order
// stays.
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

func rotate(ts []Target, by uint64) []Target {
	if len(ts) < 2 {
		return ts
	}
	k := int(by % uint64(len(ts)))
	return slices.Concat(ts[k:], ts[:k])
}
