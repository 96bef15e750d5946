package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/platform"
)

// historyLength bounds the older versions kept per object for older reads.
const historyLength = 16

type key struct{ kind, name string }

type revision struct {
	platform.Object
	at time.Time
}

// store holds objects under one version counter. It is safe for concurrent
// use.
type store struct {
	now func() time.Time

	mu      sync.Mutex
	version uint64
	objects map[key][]revision // newest last
	changed chan struct{}      // closed at the next change
}

func newStore(now func() time.Time) *store {
	return &store{now: now, objects: make(map[key][]revision), changed: make(chan struct{})}
}

// put stores data if the version matches, else it returns the current object
// and false.
func (s *store) put(kind, name string, version uint64, data []byte, deleted bool) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	current := newest(s.objects[k])
	if version != platform.AnyVersion && version != currentVersion(current) {
		return current, false
	}
	if deleted && (current.Version == 0 || current.Deleted) {
		return current, version == platform.AnyVersion
	}
	s.version++
	o := platform.Object{Kind: kind, Name: name, Version: s.version, Data: data, Deleted: deleted}
	revs := append(s.objects[k], revision{o, s.now()})
	if len(revs) > historyLength {
		revs = slices.Clone(revs[len(revs)-historyLength:])
	}
	s.objects[k] = revs
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

// currentVersion is the version that a conditional update must name: a deleted
// object counts as absent.
func currentVersion(o platform.Object) uint64 {
	if o.Deleted {
		return platform.NoVersion
	}
	return o.Version
}

func newest(revs []revision) platform.Object {
	if len(revs) == 0 {
		return platform.Object{}
	}
	return revs[len(revs)-1].Object
}

// get returns the object as it was age ago.
func (s *store) get(kind, name string, age time.Duration) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := asOf(s.objects[key{kind, name}], s.now().Add(-age), age)
	return o, o.Version != 0 && !o.Deleted
}

// list returns the objects of a kind as they were age ago, by name, without
// deleted ones.
func (s *store) list(kind string, age time.Duration) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.now().Add(-age)
	var out []platform.Object
	var highest uint64
	for k, revs := range s.objects {
		o := asOf(revs, at, age)
		highest = max(highest, o.Version)
		if k.kind == kind && o.Version != 0 && !o.Deleted {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out, highest
}

func asOf(revs []revision, at time.Time, age time.Duration) platform.Object {
	if age <= 0 {
		return newest(revs)
	}
	for _, r := range slices.Backward(revs) {
		if !r.at.After(at) {
			return r.Object
		}
	}
	return platform.Object{}
}

// since returns the objects of a kind above version after in order of version,
// deleted ones included, and a channel that is closed at the next change.
func (s *store) since(kind string, after uint64) ([]platform.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for k, revs := range s.objects {
		if o := newest(revs); k.kind == kind && o.Version > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out, s.version, s.changed
}
