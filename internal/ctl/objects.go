package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
)

// objects are the services and classes that the platform holds.
type objects []platform.Object

func (e *Env) storedObjects(ctx context.Context) (objects, error) {
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

// invalid describes the objects that instances reject. Apply stores none of them,
// but another client of the platform can.
func (o objects) invalid() []string {
	var out []string
	for _, v := range o {
		if v.Deleted {
			continue
		}
		if _, err := canonical(v.Kind, v.Data); err != nil {
			out = append(out, fmt.Sprintf("%s %s version %d: %v", v.Kind, v.Name, v.Version, err))
		}
	}
	return out
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

// Get prints the configuration as a manifest that Apply accepts.
func (e *Env) Get(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := e.storedObjects(ctx)
	if err != nil {
		return err
	}
	s := stored.snapshot()
	b, err := yaml.Marshal(catalog.Manifest{Services: s.Services(), Classes: s.Classes("")})
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}
	e.printf("%s", b)
	if invalid := stored.invalid(); len(invalid) > 0 {
		return fmt.Errorf("objects omitted because the platform's value is invalid: %s", strings.Join(invalid, "; "))
	}
	return nil
}

// ExplainClass prints a description of how the system handles a class.
func (e *Env) ExplainClass(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := e.storedObjects(ctx)
	if err != nil {
		return err
	}
	found := false
	for _, c := range stored.snapshot().Classes("") {
		if c.Name == name || c.ObjectName() == name {
			e.printf("%s", catalog.Describe(c))
			found = true
		}
	}
	if !found {
		return result.Errorf(result.NotFound, "class %q does not exist; known classes: %s", name, stored.snapshot().ClassNames(""))
	}
	return nil
}
