package directory

import (
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

type ownersKey struct{ database, dataCentre string }

// Owners returns the owners of a database, the active one first. The caller must
// not modify the slice.
func (d *Directory) Owners(db platform.Database) []ownership.Instance {
	k := ownersKey{db.Name, db.DataCentre}
	d.mu.RLock()
	owners, ok := d.owners[k]
	d.mu.RUnlock()
	if ok {
		return owners
	}
	// Each request looks up owners. Computing them takes tens of microseconds, so
	// the result is cached until the live instances change.
	d.mu.Lock()
	defer d.mu.Unlock()
	owners, _ = ownership.OwnersOf(db.Name, db.DataCentre, d.live)
	d.owners[k] = owners
	return owners
}
