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

// farCost is what a replica in another data centre costs in addition to its
// wait: one round trip.
const farCost = 10 * time.Millisecond

// equalWait is the difference of two costs below which replicas are equally
// good. Reported waits are up to a second old, so sending everything to the one
// that seems best would only move the queue.
const equalWait = 20 * time.Millisecond

// OrderTargets returns the databases to try, best first: for a read, replicas by wait
// and nearness, and the primary last; otherwise only the primary. Replicas that are leaving are left out. A leaving primary stays,
// because only the pool knows whether it still takes work. An unknown primary
// leaves the list without one.
func OrderTargets(n Criteria, primary string, databases []platform.Database) []Target {
	var out []Target
	if n.AllowReplica {
		out = replicas(n, primary, databases)
	}
	for _, d := range databases {
		if d.Name == primary && primary != "" {
			out = append(out, Target{Database: d, Primary: true})
		}
	}
	return out
}

func replicas(n Criteria, primary string, databases []platform.Database) []Target {
	var near, far []Target
	for _, d := range databases {
		switch {
		case d.Leaving || d.Name == primary:
		case d.DataCentre == n.DataCentre:
			near = append(near, Target{Database: d})
		default:
			far = append(far, Target{Database: d})
		}
	}
	ordered := slices.Concat(rotate(near, n.Rotation), rotate(far, n.Rotation))
	if n.EstimatedWait == nil || len(ordered) < 2 {
		return ordered
	}
	return byCost(n, ordered)
}

// byCost sorts replicas by cost in steps of equalWait; within a step the order
// stays.
func byCost(n Criteria, ts []Target) []Target {
	step := func(t Target) time.Duration {
		cost := n.EstimatedWait(t.Database.Name)
		if t.Database.DataCentre != n.DataCentre {
			cost += farCost
		}
		return cost / equalWait
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
