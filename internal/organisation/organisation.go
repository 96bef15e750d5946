// Package organisation holds the organisations on whose behalf callers send requests,
// and finds the organisation that a key belongs to.
//
// Invariant: a key itself is never kept. Only its digest is stored, compared, logged or
// sent to other instances.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText parses the form that MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("key digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("key digest: %w", err)
	}
	return nil
}

// Organisation is a customer whose callers share keys and limits.
type Organisation struct {
	Name string
	Keys []Digest
	// Rate is the number of operations per second that the organisation may start, over
	// all instances; 0 means none. Limited is false if there is no limit.
	Rate    float64
	Burst   float64 // operations that may be started at once above Rate
	Limited bool
}

// Anonymous is the name under which callers with an unknown key use public routes.
const Anonymous = "-"

// Directory finds organisations. It is immutable and safe for concurrent use.
type Directory struct {
	byKey  map[Digest]*Organisation
	byName map[string]*Organisation
}

// NewDirectory returns a directory of the organisations. If two of them have the same
// key, the first one has it.
func NewDirectory(all []Organisation) *Directory {
	d := &Directory{byKey: make(map[Digest]*Organisation), byName: make(map[string]*Organisation, len(all))}
	for i := range all {
		o := &all[i]
		if _, ok := d.byName[o.Name]; !ok {
			d.byName[o.Name] = o
		}
		for _, k := range o.Keys {
			if _, ok := d.byKey[k]; !ok {
				d.byKey[k] = o
			}
		}
	}
	return d
}

// ByKey returns the organisation that has the key with the digest.
func (d *Directory) ByKey(key Digest) (*Organisation, bool) {
	o, ok := d.byKey[key]
	return o, ok
}

// ByName returns the organisation with the name.
func (d *Directory) ByName(name string) (*Organisation, bool) {
	o, ok := d.byName[name]
	return o, ok
}
