package directory

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

type objectKey struct{ kind, name string }

// Apply applies the objects that are newer than the current ones and returns them.
// An invalid object is reported in the error and not applied; the older version of
// it stays in force.
func (d *Directory) Apply(objects []platform.Object) (applied []platform.Object, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	catalogChanged := false
	for _, o := range objects {
		k := objectKey{o.Kind, o.Name}
		old, exists := d.objects[k]
		if exists && o.Version <= old.Version {
			continue
		}
		if e := d.applyObject(o); e != nil {
			err = errors.Join(err, fmt.Errorf("object %s/%s version %d: %w", o.Kind, o.Name, o.Version, e))
			continue
		}
		if exists {
			d.digest ^= objectHash(old)
		}
		d.digest ^= objectHash(o)
		d.objects[k] = o
		d.version = max(d.version, o.Version)
		applied = append(applied, o)
		catalogChanged = catalogChanged || o.Kind != platform.KindGroup
	}
	if len(applied) == 0 {
		return nil, err
	}
	if catalogChanged {
		d.snapshot = catalog.NewSnapshot(
			slices.Collect(maps.Values(d.services)), slices.Collect(maps.Values(d.classes)))
	}
	d.notify()
	return applied, err
}

// applyObject decodes and validates o and stores the decoded value. Nothing changes
// if it fails.
func (d *Directory) applyObject(o platform.Object) error {
	switch o.Kind {
	case platform.KindService:
		return applyDecoded(d.services, o, catalog.DecodeService)
	case platform.KindClass:
		return applyDecoded(d.classes, o, catalog.DecodeClass)
	case platform.KindGroup:
		if o.Deleted {
			delete(d.groups, o.Name)
			return nil
		}
		var v platform.Group
		if err := json.Unmarshal(o.Data, &v); err != nil {
			return fmt.Errorf("decode group object: %w", err)
		}
		d.mergeGroup(o.Name, v)
		return nil
	default:
		return fmt.Errorf("unknown object kind %q", o.Kind)
	}
}

func applyDecoded[V any](values map[string]V, o platform.Object, decode func([]byte) (V, error)) error {
	if o.Deleted {
		delete(values, o.Name)
		return nil
	}
	v, err := decode(o.Data)
	if err != nil {
		return err
	}
	values[o.Name] = v
	return nil
}

// mergeGroup replaces the databases of a group with those of the platform's object
// and keeps a newer hint about the primary.
func (d *Directory) mergeGroup(name string, v platform.Group) {
	g := Group{Name: name, Term: v.Term, Primary: v.Primary, Databases: v.Databases}
	if old, ok := d.groups[name]; ok && (old.Term > g.Term || (old.Term == g.Term && g.Primary == "")) {
		g.Term, g.Primary, g.FromHint = old.Term, old.Primary, old.FromHint
	}
	d.groups[name] = g
}

// Object returns an object in the version that was applied, including a deleted
// one.
func (d *Directory) Object(kind, name string) (platform.Object, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	o, ok := d.objects[objectKey{kind, name}]
	return o, ok
}

// Objects returns all objects, including deleted ones, sorted by kind and name.
func (d *Directory) Objects() []platform.Object { return d.ObjectsNewerThan(0) }

// ObjectsNewerThan returns the objects with a version above the given one,
// including deleted ones, sorted by kind and name.
func (d *Directory) ObjectsNewerThan(version uint64) []platform.Object {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if version >= d.version {
		return nil
	}
	var out []platform.Object
	for _, o := range d.objects {
		if o.Version > version {
			out = append(out, o)
		}
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

// Digest returns a hash over kind, name and version of all objects, and the highest
// version. The hash does not depend on the order in which objects were applied.
func (d *Directory) Digest() (digest, version uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.digest, d.version
}

func objectHash(o platform.Object) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, o.Kind...)
	b = append(b, 0)
	b = append(b, o.Name...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, o.Version)
	return xxhash.Sum64(b)
}
