// Package directory is an instance's view of the system: configuration,
// database groups, live instances and ownership. Other packages read it; package
// confsync and package membership feed it.
//
// Invariants: an object is replaced only by a higher version, a group's term
// never falls, and everything here except configuration is a hint.
package directory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
)

// Group is a database group as this instance knows it.
type Group struct {
	Name      string
	Term      uint64
	Primary   string // database name, empty when unknown
	Databases []platform.Database
}

// Database returns a member by name.
func (g Group) Database(name string) (platform.Database, bool) {
	for _, d := range g.Databases {
		if d.Name == name {
			return d, true
		}
	}
	return platform.Database{}, false
}

// Directory is safe for concurrent use.
type Directory struct {
	self ownership.Instance

	mu       sync.RWMutex
	objects  map[objectKey]platform.Object
	version  uint64 // highest object version applied
	snapshot *catalog.Snapshot
	groups   map[string]Group
	live     []ownership.Instance
	changed  chan struct{}
}

type objectKey struct{ kind, name string }

// New returns an empty directory for the instance self.
func New(self ownership.Instance) *Directory {
	return &Directory{
		self:     self,
		objects:  make(map[objectKey]platform.Object),
		snapshot: catalog.NewSnapshot(nil, nil),
		groups:   make(map[string]Group),
		live:     []ownership.Instance{self},
		changed:  make(chan struct{}),
	}
}

// Self returns this instance.
func (d *Directory) Self() ownership.Instance { return d.self }

// Changed returns a channel that is closed at the next change.
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

// LearnPrimary records a hint about a group's primary. A hint with a lower
// term is ignored; an empty primary at a higher term clears the old one.
func (d *Directory) LearnPrimary(group string, term uint64, primary string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.groups[group]
	if !ok || term < g.Term || (term == g.Term && (primary == "" || primary == g.Primary)) {
		return
	}
	g.Term, g.Primary = term, primary
	d.groups[group] = g
	d.notify()
}

// SetLive replaces the list of live instances. Self is always part of it
// unless leaving is set.
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
	d.notify()
}

// Live returns the live instances. The caller must not modify the slice.
func (d *Directory) Live() []ownership.Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.live
}

// Owners returns the owners of a database, active first.
func (d *Directory) Owners(db platform.Database) []ownership.Instance {
	owners, _ := ownership.For(db.Name, db.DataCentre, d.Live())
	return owners
}

// OwnerIndex returns 0 if this instance is the database's active owner, 1 if
// it is the standby, and -1 otherwise.
func (d *Directory) OwnerIndex(db platform.Database) int {
	return slices.IndexFunc(d.Owners(db), func(in ownership.Instance) bool { return in.Name == d.self.Name })
}

// Apply takes objects that are newer than those held and returns the objects
// that were applied. An object that is not valid is reported and not applied;
// the older one stays in force.
func (d *Directory) Apply(objects []platform.Object) (applied []platform.Object, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range objects {
		k := objectKey{o.Kind, o.Name}
		if old, ok := d.objects[k]; ok && o.Version <= old.Version {
			continue
		}
		if e := d.check(o); e != nil {
			err = fmt.Errorf("object %s/%s version %d: %w", o.Kind, o.Name, o.Version, e)
			continue
		}
		d.objects[k] = o
		d.version = max(d.version, o.Version)
		applied = append(applied, o)
	}
	if len(applied) == 0 {
		return nil, err
	}
	d.rebuild()
	d.notify()
	return applied, err
}

func (d *Directory) check(o platform.Object) error {
	if o.Deleted {
		return nil
	}
	switch o.Kind {
	case platform.KindService:
		_, err := catalog.DecodeService(o.Data)
		return err
	case platform.KindClass:
		_, err := catalog.DecodeClass(o.Data)
		return err
	case platform.KindGroup:
		var g platform.Group
		return json.Unmarshal(o.Data, &g)
	default:
		return fmt.Errorf("kind %q is not known", o.Kind)
	}
}

// rebuild derives snapshot and groups from the objects. Objects were checked.
func (d *Directory) rebuild() {
	var services []catalog.Service
	var classes []catalog.Class
	for k, o := range d.objects {
		if o.Deleted {
			if k.kind == platform.KindGroup {
				delete(d.groups, k.name)
			}
			continue
		}
		switch k.kind {
		case platform.KindService:
			v, _ := catalog.DecodeService(o.Data)
			services = append(services, v)
		case platform.KindClass:
			v, _ := catalog.DecodeClass(o.Data)
			classes = append(classes, v)
		case platform.KindGroup:
			d.mergeGroup(k.name, o.Data)
		}
	}
	d.snapshot = catalog.NewSnapshot(services, classes)
}

// mergeGroup takes the members from the platform and keeps a newer hint about
// the primary.
func (d *Directory) mergeGroup(name string, data []byte) {
	var v platform.Group
	if json.Unmarshal(data, &v) != nil {
		return
	}
	g := Group{Name: name, Term: v.Term, Primary: v.Primary, Databases: v.Databases}
	if old, ok := d.groups[name]; ok && (old.Term > g.Term || (old.Term == g.Term && g.Primary == "")) {
		g.Term, g.Primary = old.Term, old.Primary
	}
	d.groups[name] = g
}

// Object returns one object as it was applied, also if it is deleted.
func (d *Directory) Object(kind, name string) (platform.Object, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	o, ok := d.objects[objectKey{kind, name}]
	return o, ok
}

// Objects returns all objects held, deleted ones included, sorted by kind and
// name.
func (d *Directory) Objects() []platform.Object {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]platform.Object, 0, len(d.objects))
	for _, o := range d.objects {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b platform.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Version returns the highest object version applied.
func (d *Directory) Version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}
