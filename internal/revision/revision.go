// Package revision orders the states of a store that may be restored from an older
// copy.
//
// Invariant: the store's counter grows with each change, but goes back when the
// store is restored, and then gives out the same numbers again. The era rises with
// each restore, so a revision of a later era is newer, whatever its number.
package revision

import (
	"cmp"
	"fmt"
	"strconv"
)

// Revision identifies a state of the store or the version of an object.
type Revision struct {
	Era    uint64 // the number of times that the store was restored, as it counts
	Number uint64 // grows with each change within an era
}

// Compare returns -1, 0 or +1 if r is older than, the same as or newer than o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r is older than o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// IsZero reports whether r stands for no revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the revision as ERA/NUMBER.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// ParseEra returns the era in a header of a response. A store that sends none, or none
// that is a number, has no eras, which counts as era 0.
func ParseEra(header string) uint64 {
	era, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// Min returns the older one.
func Min(a, b Revision) Revision {
	if a.Before(b) {
		return a
	}
	return b
}

// Max returns the newer one.
func Max(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
