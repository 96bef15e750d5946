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

// change is one object of a manifest beside what the platform holds.
type change struct {
	kind    string
	name    string
	data    []byte
	current platform.Object
}

func (c change) label() string { return c.kind + " " + c.name }

// same reports whether the platform holds the wanted value. Both are compared
// in the same encoding, because another client may write an object differently.
func (c change) same() bool {
	if len(c.current.Data) == 0 {
		return false
	}
	current, err := canonical(c.kind, c.current.Data)
	return err == nil && string(current) == string(c.data)
}

// canonical decodes an object and encodes it the way Apply does.
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

// Check reads a manifest and reports errors without a running system.
func (e *Env) Check(data []byte) error {
	m, elsewhere, err := catalog.CheckManifest(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	e.printf("%d services and %d classes are valid.\n", len(m.Services), len(m.Classes))
	if len(elsewhere) > 0 {
		e.printf("Not in the file, so apply checks that they exist: services %s.\n", strings.Join(elsewhere, ", "))
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
		if !c.same() {
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
	// may have; a newer one is a conflict.
	Expect uint64
	// Wait returns only when the change is in force on every instance.
	Wait    bool
	Timeout time.Duration
}

// Apply stores the manifest's objects. An object that somebody else changed
// meanwhile is a conflict and is printed as a diff.
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
		if c.same() {
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

// checkExpected refuses the whole file, before anything is stored, if an object
// that it changes is newer than expected.
func (e *Env) checkExpected(changes []change, expected uint64) error {
	if expected == 0 {
		return nil
	}
	var newer []string
	for _, c := range changes {
		if !c.same() && c.current.Version > expected {
			e.printDiff(c.label(), c.current.Data, c.data)
			newer = append(newer, fmt.Sprintf("%s has version %d", c.label(), c.current.Version))
		}
	}
	if len(newer) == 0 {
		return nil
	}
	return result.Errorf(result.Conflict, "%s, expected at most %d; nothing was stored", strings.Join(newer, ", "), expected)
}

// printUnstored names the changes that a failure left out. The platform stores
// one object at a time, so the file can be applied again to complete it.
func (e *Env) printUnstored(changes []change) {
	for _, c := range changes {
		if !c.same() {
			e.printf("%s is not stored.\n", c.label())
		}
	}
}

// put stores one object. When the platform's answer is lost it reads the
// object back to learn whether the change took effect.
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
	if back, berr := e.Platform.Get(ctx, c.kind, c.name); berr == nil {
		if (change{kind: c.kind, data: c.data, current: back}).same() {
			return back, nil
		}
	}
	return stored, fmt.Errorf("apply %s: %w", c.label(), err)
}

func (e *Env) changes(ctx context.Context, data []byte) ([]change, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := e.held(ctx)
	if err != nil {
		return nil, err
	}
	m, err := catalog.ParseManifest(data, held.snapshot())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	var out []change
	add := func(kind, name string, v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", kind, name, err)
		}
		out = append(out, change{kind: kind, name: name, data: b, current: held.find(kind, name)})
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
