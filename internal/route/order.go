package route

import (
	"slices"

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

// Need says what a request needs of the database.
type Need struct {
	Read       bool   // a replica may answer
	DataCentre string // of the entry
	Spread     uint64 // rotates databases that are equally near
}

// Order returns the databases to try, best first: for a read, replicas in the
// entry's data centre, other replicas, and the primary last; otherwise only the
// primary. Replicas that are leaving are left out. A leaving primary stays,
// because only the pool knows whether it still takes work. An unknown primary
// leaves the list without one.
func Order(n Need, primary string, databases []platform.Database) []Target {
	var out []Target
	if n.Read {
		out = replicas(n, primary, databases)
	}
	for _, d := range databases {
		if d.Name == primary && primary != "" {
			out = append(out, Target{Database: d, Primary: true})
		}
	}
	return out
}

func replicas(n Need, primary string, databases []platform.Database) []Target {
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
	return slices.Concat(rotate(near, n.Spread), rotate(far, n.Spread))
}

func rotate(ts []Target, by uint64) []Target {
	if len(ts) < 2 {
		return ts
	}
	k := int(by % uint64(len(ts)))
	return slices.Concat(ts[k:], ts[:k])
}
