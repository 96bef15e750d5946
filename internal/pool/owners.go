package pool

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// ownerCache caches this instance's index among the owners of each database.
// Ranking all instances for all databases at each change of the directory would
// take hundreds of milliseconds with 7,500 databases. An index changes only with
// the live instances of the database's data centre, or with all live instances if
// there is none in the data centre.
type ownerCache map[string]cachedIndex

type cachedIndex struct {
	signature uint64
	index     int
}

// signatures holds a hash of the live instances of each data centre. The empty name
// stands for all instances.
type signatures map[string]uint64

func signaturesOf(live []ownership.Instance) signatures {
	digests := map[string]*xxhash.Digest{"": xxhash.New()}
	for _, in := range live {
		d := digests[in.DataCentre]
		if d == nil {
			d = xxhash.New()
			digests[in.DataCentre] = d
		}
		for _, d := range []*xxhash.Digest{d, digests[""]} {
			_, _ = d.WriteString(in.DataCentre + "\x00" + in.Name + "\x00")
		}
	}
	out := make(signatures, len(digests))
	for name, d := range digests {
		out[name] = d.Sum64()
	}
	return out
}

// index returns 0 if self is the active owner of db, 1 if it is the standby owner,
// and -1 otherwise. sigs must be the signatures of live.
func (c ownerCache) index(self string, live []ownership.Instance, sigs signatures, db platform.Database) int {
	sig, ok := sigs[db.DataCentre]
	if !ok {
		sig = sigs[""]
	}
	if o, ok := c[db.Name]; ok && o.signature == sig {
		return o.index
	}
	owners, _ := ownership.OwnersOf(db.Name, db.DataCentre, live)
	index := slices.IndexFunc(owners, func(in ownership.Instance) bool { return in.Name == self })
	c[db.Name] = cachedIndex{signature: sig, index: index}
	return index
}
