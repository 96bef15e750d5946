// Package session implements read-your-writes consistency of a caller's session. It
// tracks the session's floor in each database group, which is the log position of
// its last write there, and encodes the floors in a signed token that carries them
// between instances.
//
// Invariants: a known floor never decreases, and a group without an entry has an
// unknown floor, never the floor zero.
package session

import (
	"maps"
	"slices"

	"geraniumbeam/internal/backend"
)

// Floors maps groups to the lowest log position at which a read of the session may
// run. In the zero value all floors are unknown. It is not safe for concurrent use.
type Floors struct {
	positions map[string]backend.Position
}

// Get returns the floor of a group. ok is false if the floor is unknown.
func (f *Floors) Get(group string) (p backend.Position, ok bool) {
	p, ok = f.positions[group]
	return p, ok
}

// Raise raises the floor of a group to p unless it is higher, and reports whether
// the floor changed. An unknown floor becomes p, because a position that the
// primary confirmed includes every earlier confirmed write of the session.
func (f *Floors) Raise(group string, p backend.Position) bool {
	if old, ok := f.positions[group]; ok && old.Compare(p) >= 0 {
		return false
	}
	if f.positions == nil {
		f.positions = make(map[string]backend.Position, 1)
	}
	f.positions[group] = p
	return true
}

// Forget makes the floor of a group unknown and reports whether it was known.
func (f *Floors) Forget(group string) bool {
	_, ok := f.positions[group]
	delete(f.positions, group)
	return ok
}

// Resume continues the session of a token, given its decoded floors, in this one. A
// floor stays known only if the token has it, because the token's session may have
// forgotten it after an unknown outcome. The higher of the two positions is used.
func (f *Floors) Resume(decoded Floors) {
	next := make(map[string]backend.Position, len(decoded.positions))
	for g, p := range decoded.positions {
		if old, ok := f.positions[g]; ok && old.Compare(p) > 0 {
			p = old
		}
		next[g] = p
	}
	f.positions = next
}

// Reset makes all floors unknown.
func (f *Floors) Reset() { f.positions = nil }

// Groups returns the groups with a known floor, sorted.
func (f *Floors) Groups() []string { return slices.Sorted(maps.Keys(f.positions)) }
