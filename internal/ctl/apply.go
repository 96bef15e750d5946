package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

// change is one object of a manifest and the object that the platform holds.
type change struct {
	kind    string
	name    string
	data    []byte
	current platform.Object
}

func (c change) label() string { return c.kind + " " + c.name }

// unchanged reports whether the platform already holds the wanted value. Both are
// compared in canonical encoding, because another client may encode an object
// differently.
func (c change) unchanged() bool {
	if len(c.current.Data) == 0 {
		return false
	}
	current, err := canonical(c.kind, c.current.Data)
	return err == nil && string(current) == string(c.data)
}

// canonical decodes an object and encodes it as Apply does.
func canonical(kind string, data []byte) ([]byte, error) {
	var v any
	var err error
	switch kind {
	case platform.KindService:
		v, err = catalog.DecodeService(data)
	default:
		v, err = catalog.DecodeClass(data)
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(v)
}

// Check validates a manifest without a running system.
func (e *Env) Check(data []byte) error {
	m, external, err := catalog.CheckManifest(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	e.printf("%d services and %d classes are valid.\n", len(m.Services), len(m.Classes))
	if len(external) > 0 {
		e.printf("Not in the file, so apply checks that they exist: services %s.\n", strings.Join(external, ", "))
	}
	return nil
}

// Diff prints what Apply would change.
func (e *Env) Diff(ctx context.Context, data []byte) error {
	changes, err := e.changes(ctx, data)
	if err != nil {
		return err
	}
	differ := false
	for _, c := range changes {
		if !c.unchanged() {
			differ = true
			e.printDiff(c.label(), c.current.Data, c.data)
		}
	}
	if !differ {
		e.printf("Nothing would change.\n")
	}
	return nil
}

// ApplyOptions controls Apply.
type ApplyOptions struct {
	// Expect, if not zero, is the highest version that the changed objects
	// may have. A newer one is a conflict.
	Expect uint64
	// Wait makes Apply return only when the change is in force on every
	// instance, at the latest after Timeout.
	Wait    bool
	Timeout time.Duration
}

// Apply stores the manifest's objects. An object that was changed concurrently is a
// conflict, and its diff is printed.
func (e *Env) Apply(ctx context.Context, data []byte, opts ApplyOptions) error {
	changes, err := e.changes(ctx, data)
	if err != nil {
		return err
	}
	if err := e.checkExpected(changes, opts.Expect); err != nil {
		return err
	}
	var stored []platform.Object
	for i, c := range changes {
		if c.unchanged() {
			e.printf("%s is unchanged at version %d.\n", c.label(), c.current.Version)
			stored = append(stored, c.current)
			continue
		}
		o, err := e.put(ctx, c)
		if err != nil {
			e.printUnstored(changes[i:])
			return err
		}
		stored = append(stored, o)
		e.printf("%s is stored as version %d.\n", c.label(), o.Version)
	}
	if !opts.Wait {
		return nil
	}
	return e.waitInForce(ctx, stored, opts.Timeout)
}

// checkExpected rejects the whole manifest, before anything is stored, if an object
// that it changes is newer than expected.
func (e *Env) checkExpected(changes []change, expected uint64) error {
	if expected == 0 {
		return nil
	}
	var newer []string
	for _, c := range changes {
		if !c.unchanged() && c.current.Version > expected {
			e.printDiff(c.label(), c.current.Data, c.data)
			newer = append(newer, fmt.Sprintf("%s has version %d", c.label(), c.current.Version))
		}
	}
	if len(newer) == 0 {
		return nil
	}
	return result.Errorf(result.Conflict, "%s, expected at most %d; nothing was stored", strings.Join(newer, ", "), expected)
}

// printUnstored prints the changes that were not stored because of a failure. The
// platform stores one object at a time; applying the manifest again stores the
// rest.
func (e *Env) printUnstored(changes []change) {
	for _, c := range changes {
		if !c.unchanged() {
			e.printf("%s is not stored.\n", c.label())
		}
	}
}

// put stores one object. If the call fails, put reads the object to find out
// whether the change took effect nevertheless, as after a lost response.
func (e *Env) put(ctx context.Context, c change) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := e.Platform.Put(ctx, c.kind, c.name, c.current.Version, c.data)
	if err == nil {
		return stored, nil
	}
	if result.Is(err, result.Conflict) {
		e.printDiff(c.label(), stored.Data, c.data)
		return stored, fmt.Errorf("apply %s: %w", c.label(), err)
	}
	if current, getErr := e.Platform.Get(ctx, c.kind, c.name); getErr == nil {
		if (change{kind: c.kind, data: c.data, current: current}).unchanged() {
			return current, nil
		}
	}
	return stored, fmt.Errorf("apply %s: %w", c.label(), err)
}

// changes returns the objects of a manifest with the platform's current objects.
func (e *Env) changes(ctx context.Context, data []byte) ([]change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := e.storedObjects(ctx)
	if err != nil {
		return nil, err
	}
	m, err := catalog.ParseManifest(data, stored.snapshot())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	var out []change
	add := func(kind, name string, v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", kind, name, err)
		}
		out = append(out, change{kind: kind, name: name, data: b, current: stored.find(kind, name)})
		return nil
	}
	for _, s := range m.Services {
		if err := add(platform.KindService, s.Name, s); err != nil {
			return nil, err
		}
	}
	for _, c := range m.Classes {
		if err := add(platform.KindClass, c.ObjectName(), c); err != nil {
			return nil, err
		}
	}
	return out, nil
}
