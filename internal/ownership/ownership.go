// Package ownership assigns databases to instances by rendezvous hashing. The
// owners of a database are the instances that hold connections to it: the first
// two in the rendezvous order of the live instances in its data centre, or of all
// other live instances if its data centre has none.
//
// Ownership is a hint. Instances that disagree about it still stay within the
// connection limit, because the active owner and the standby use at most half of
// it each.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerDatabase is how many instances may hold connections to one database:
// the active owner and the standby.
const OwnersPerDatabase = 2

// Instance is a candidate owner.
type Instance struct {
	Name       string
	Address    string // host:port of the internal protocol
	DataCentre string
}

// Order returns instances by descending rendezvous weight for key.
func Order(key string, instances []Instance) []Instance {
	type weighted struct {
		Instance
		weight uint64
	}
	ws := make([]weighted, len(instances))
	for i, in := range instances {
		ws[i] = weighted{in, weight(key, in.Name)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Instance, len(ws))
	for i, w := range ws {
		out[i] = w.Instance
	}
	return out
}

// OwnersOf returns the owners of a database, the active one first. Only instances
// of the database's data centre are used while any of them is live. Otherwise
// remote is true and the owners are in other data centres.
func OwnersOf(database, dataCentre string, live []Instance) (owners []Instance, remote bool) {
	var local []Instance
	for _, in := range live {
		if in.DataCentre == dataCentre {
			local = append(local, in)
		}
	}
	if len(local) == 0 {
		local, remote = live, len(live) > 0
	}
	order := Order(database, local)
	return order[:min(OwnersPerDatabase, len(order))], remote
}

// Pick returns the index of the element of names with the highest rendezvous
// weight for key, or -1 if names is empty.
func Pick(key string, names []string) int {
	best, bestWeight := -1, uint64(0)
	for i, n := range names {
		if w := weight(key, n); best < 0 || w > bestWeight || (w == bestWeight && n < names[best]) {
			best, bestWeight = i, w
		}
	}
	return best
}

func weight(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
