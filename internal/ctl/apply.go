package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// change is one object of a manifest beside what the platform holds.
type change struct {
	kind    string
	name    string
	data    []byte
	current platform.Object
}

func (c change) label() string { return c.kind + " " + c.name }

func (c change) same() bool { return string(c.current.Data) == string(c.data) }

// Check reads a manifest and reports errors without a running system.
func (e *Env) Check(data []byte) error {
	m, err := catalog.ParseManifest(data, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	e.printf("%d services and %d classes are valid.\n", len(m.Services), len(m.Classes))
	return nil
}

// Diff prints what Apply would change.
func (e *Env) Diff(ctx context.Context, data []byte) error {
	changes, err := e.changes(ctx, data)
	if err != nil {
		return err
	}
	for _, c := range changes {
		if !c.same() {
			e.printDiff(c.label(), c.current.Data, c.data)
		}
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
	var highest uint64
	for _, c := range changes {
		if c.same() {
			e.printf("%s is unchanged at version %d.\n", c.label(), c.current.Version)
			continue
		}
		if opts.Expect != 0 && c.current.Version > opts.Expect {
			e.printDiff(c.label(), c.current.Data, c.data)
			return result.Errorf(result.Conflict, "%s has version %d, expected at most %d", c.label(), c.current.Version, opts.Expect)
		}
		stored, err := e.put(ctx, c)
		if err != nil {
			return err
		}
		highest = max(highest, stored.Version)
		e.printf("%s is stored as version %d.\n", c.label(), stored.Version)
	}
	if !opts.Wait || highest == 0 {
		return nil
	}
	return e.waitInForce(ctx, highest, opts.Timeout)
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
	if back, berr := e.Platform.Get(ctx, c.kind, c.name); berr == nil && string(back.Data) == string(c.data) {
		return back, nil
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

// objects are what the platform holds.
type objects []platform.Object

func (e *Env) held(ctx context.Context) (objects, error) {
	var out objects
	for _, kind := range []string{platform.KindService, platform.KindClass} {
		list, _, err := e.Platform.List(ctx, kind)
		if err != nil {
			return nil, fmt.Errorf("list %s objects: %w", kind, err)
		}
		out = append(out, list...)
	}
	return out, nil
}

func (o objects) find(kind, name string) platform.Object {
	for _, v := range o {
		if v.Kind == kind && v.Name == name && !v.Deleted {
			return v
		}
	}
	return platform.Object{}
}

func (o objects) snapshot() *catalog.Snapshot {
	var services []catalog.Service
	var classes []catalog.Class
	for _, v := range o {
		switch {
		case v.Deleted:
		case v.Kind == platform.KindService:
			if s, err := catalog.DecodeService(v.Data); err == nil {
				services = append(services, s)
			}
		case v.Kind == platform.KindClass:
			if c, err := catalog.DecodeClass(v.Data); err == nil {
				classes = append(classes, c)
			}
		}
	}
	return catalog.NewSnapshot(services, classes)
}

// Get prints the configuration as a manifest, which Apply accepts.
func (e *Env) Get(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := e.held(ctx)
	if err != nil {
		return err
	}
	s := held.snapshot()
	b, err := yaml.Marshal(catalog.Manifest{Services: s.Services(), Classes: s.Classes("")})
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	e.printf("%s", b)
	return nil
}

// ExplainClass prints in sentences what the system does for a class.
func (e *Env) ExplainClass(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held, err := e.held(ctx)
	if err != nil {
		return err
	}
	found := false
	for _, c := range held.snapshot().Classes("") {
		if c.Name == name || c.ObjectName() == name {
			e.printf("%s", catalog.Describe(c))
			found = true
		}
	}
	if !found {
		return result.Errorf(result.NotFound, "class %q does not exist; known: %s", name, held.snapshot().ClassNames(""))
	}
	return nil
}

// pollInterval is the time between two questions to the instances in
// waitInForce.
const pollInterval = 100 * time.Millisecond

// waitInForce returns when every instance has applied version, or names those
// that have not after timeout.
func (e *Env) waitInForce(ctx context.Context, version uint64, timeout time.Duration) error {
	ts, err := e.targets(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		late := e.behind(ctx, ts, version)
		if len(late) == 0 {
			e.printf("Version %d is in force on %d instances after %v.\n", version, len(ts), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) >= timeout {
			return fmt.Errorf("%w: version %d is not in force on %s", ErrUnreachable, version, strings.Join(late, ", "))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (e *Env) behind(ctx context.Context, ts []target, version uint64) []string {
	var late []string
	for _, a := range askAll(ctx, e, ts, func(ctx context.Context, c wire.Admin) (*wire.StatusResponse, error) {
		return c.Status(ctx, &wire.StatusRequest{})
	}) {
		switch {
		case a.err != nil:
			late = append(late, a.target.name+" (no answer)")
		case a.value.GetCatalogVersion() < version:
			late = append(late, fmt.Sprintf("%s (version %d)", a.target.name, a.value.GetCatalogVersion()))
		}
	}
	slices.Sort(late)
	return late
}

// printDiff prints the fields that differ between two JSON objects.
func (e *Env) printDiff(label string, current, wanted []byte) {
	var a, b map[string]any
	if err := errors.Join(decode(current, &a), decode(wanted, &b)); err != nil {
		e.printf("%s: %v\n", label, err)
		return
	}
	e.printf("%s:\n", label)
	for _, k := range fieldNames(a, b) {
		was, will := fmt.Sprint(a[k]), fmt.Sprint(b[k])
		if was == will {
			continue
		}
		if _, ok := a[k]; ok {
			e.printf("  - %s: %s\n", k, was)
		}
		if _, ok := b[k]; ok {
			e.printf("  + %s: %s\n", k, will)
		}
	}
}

func decode(data []byte, out *map[string]any) error {
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, out)
}

func fieldNames(ms ...map[string]any) []string {
	var names []string
	for _, m := range ms {
		for k := range m {
			if !slices.Contains(names, k) {
				names = append(names, k)
			}
		}
	}
	slices.Sort(names)
	return names
}
