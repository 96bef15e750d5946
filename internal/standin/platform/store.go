package platform

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumbeam/internal/platform"
)

// maxRevisions is the number of versions kept per object for stale reads.
const maxRevisions = 16

type objectKey struct{ kind, name string }

// revision is a version of an object and the time of its change.
type revision struct {
	platform.Object
	at time.Time
}

// store holds objects under one version counter. It is safe for concurrent
// use.
type store struct {
	now func() time.Time

	mu      sync.Mutex
	era     uint64 // the number of restores
	version uint64
	objects map[objectKey][]revision // newest last
	changed chan struct{}            // closed at the next change
}

func newStore(now func() time.Time) *store {
	return &store{now: now, objects: make(map[objectKey][]revision), changed: make(chan struct{})}
}

// put stores data if version matches the current one; otherwise it returns the
// current object and false.
func (s *store) put(kind, name string, version uint64, data []byte, deleted bool) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := objectKey{kind, name}
	current := newest(s.objects[k])
	if version != platform.AnyVersion && version != currentVersion(current) {
		return current, false
	}
	if deleted && (current.Version == 0 || current.Deleted) {
		return current, version == platform.AnyVersion
	}
	s.version++
	o := platform.Object{Kind: kind, Name: name, Version: s.version, Data: data, Deleted: deleted}
	revisions := append(s.objects[k], revision{o, s.now()})
	if len(revisions) > maxRevisions {
		revisions = slices.Clone(revisions[len(revisions)-maxRevisions:])
	}
	s.objects[k] = revisions
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

// currentVersion returns the version that a conditional update must name. A
// deleted object counts as missing.
func currentVersion(o platform.Object) uint64 {
	if o.Deleted {
		return platform.NoVersion
	}
	return o.Version
}

func newest(revisions []revision) platform.Object {
	if len(revisions) == 0 {
		return platform.Object{}
	}
	return revisions[len(revisions)-1].Object
}

// get returns the object as it was age ago.
func (s *store) get(kind, name string, age time.Duration) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := revisionAt(s.objects[objectKey{kind, name}], s.now().Add(-age), age)
	return o, o.Version != 0 && !o.Deleted
}

// list returns the objects of a kind as they were age ago, sorted by name, without
// deleted ones, and the highest version in the store at that time.
func (s *store) list(kind string, age time.Duration) ([]platform.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.now().Add(-age)
	var out []platform.Object
	var highest uint64
	for k, revisions := range s.objects {
		o := revisionAt(revisions, at, age)
		highest = max(highest, o.Version)
		if k.kind == kind && o.Version != 0 && !o.Deleted {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return out, highest
}

// revisionAt returns the object as it was at a time, age ago.
func revisionAt(revisions []revision, at time.Time, age time.Duration) platform.Object {
	if age <= 0 {
		return newest(revisions)
	}
	for _, r := range slices.Backward(revisions) {
		if !r.at.After(at) {
			return r.Object
		}
	}
	return platform.Object{}
}

// changedSince returns the objects of a kind with a version above after, in order
// of version and including deleted ones, the store's version, and a channel that
// is closed at the next change.
func (s *store) changedSince(kind string, after uint64) ([]platform.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for k, revisions := range s.objects {
		if o := newest(revisions); k.kind == kind && o.Version > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out, s.version, s.changed
}
