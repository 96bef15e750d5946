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

// invalid describes the objects that instances refuse to apply. Our commands
// store none, another client of the platform can.
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
	if bad := held.invalid(); len(bad) > 0 {
		return fmt.Errorf("left out, because the platform's value is not valid: %s", strings.Join(bad, "; "))
	}
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
