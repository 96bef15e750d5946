// Package directory holds an instance's view of the system: configuration,
// database groups, live instances and ownership. Packages confsync and membership
// update it.
//
// Invariants: an object is replaced only by a higher version, a group's term never
// decreases, and everything except the configuration is a hint.
package directory

import (
	"cmp"
	"slices"
	"sync"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// Group is a database group in this instance's view.
type Group struct {
	Name      string
	Term      uint64
	Primary   string // database name, empty when unknown
	FromHint  bool   // term and primary are newer than the configuration
	Databases []platform.Database
}

// Database returns a database of the group by name.
func (g Group) Database(name string) (platform.Database, bool) {
	for _, d := range g.Databases {
		if d.Name == name {
			return d, true
		}
	}
	return platform.Database{}, false
}

// Directory holds the view. It is safe for concurrent use.
type Directory struct {
	self ownership.Instance

	mu       sync.RWMutex
	objects  map[objectKey]platform.Object
	services map[string]catalog.Service // decoded from objects
	classes  map[string]catalog.Class   // decoded from objects, by object name
	version  uint64                     // highest object version applied
	digest   uint64                     // see Digest
	snapshot *catalog.Snapshot
	groups   map[string]Group
	live     []ownership.Instance
	owners   map[ownersKey][]ownership.Instance // cache, valid for live
	changed  chan struct{}
}

// New returns an empty directory for the instance self.
func New(self ownership.Instance) *Directory {
	return &Directory{
		self:     self,
		objects:  make(map[objectKey]platform.Object),
		services: make(map[string]catalog.Service),
		classes:  make(map[string]catalog.Class),
		owners:   make(map[ownersKey][]ownership.Instance),
		snapshot: catalog.NewSnapshot(nil, nil),
		groups:   make(map[string]Group),
		live:     []ownership.Instance{self},
		changed:  make(chan struct{}),
	}
}

func (d *Directory) Self() ownership.Instance { return d.self }

// Changed returns a channel that is closed on the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// Catalog returns the configuration in force.
func (d *Directory) Catalog() *catalog.Snapshot {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.snapshot
}

// Group returns a group by name.
func (d *Directory) Group(name string) (Group, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.groups[name]
	return g, ok
}

// Groups returns all groups, sorted by name.
func (d *Directory) Groups() []Group {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]Group, 0, len(d.groups))
	for _, g := range d.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// LearnPrimary applies a hint about a group's primary. A hint with a lower term is
// ignored; an empty primary at a higher term clears the current one.
func (d *Directory) LearnPrimary(group string, term uint64, primary string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.groups[group]
	if !ok || term < g.Term || (term == g.Term && (primary == "" || primary == g.Primary)) {
		return
	}
	g.Term, g.Primary, g.FromHint = term, primary, true
	d.groups[group] = g
	d.notify()
}

// SetLive replaces the list of live instances. It includes this instance unless
// leaving is set.
func (d *Directory) SetLive(live []ownership.Instance, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make([]ownership.Instance, 0, len(live)+1)
	for _, in := range live {
		if in.Name != d.self.Name {
			next = append(next, in)
		}
	}
	if !leaving {
		next = append(next, d.self)
	}
	slices.SortFunc(next, func(a, b ownership.Instance) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(next, d.live) {
		return
	}
	d.live = next
	clear(d.owners)
	d.notify()
}

// Live returns the live instances. The caller must not modify the slice.
func (d *Directory) Live() []ownership.Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.live
}

// OwnerIndex returns 0 if this instance is the database's active owner, 1 if it is
// the standby owner, and -1 otherwise.
func (d *Directory) OwnerIndex(db platform.Database) int {
	return slices.IndexFunc(d.Owners(db), func(in ownership.Instance) bool { return in.Name == d.self.Name })
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
