package catalog

import (
	"fmt"
	"slices"

	"geraniumbeam/internal/result"
)

// Manifest is the content of a file in which operators define services and classes.
type Manifest struct {
	Services []Service `yaml:"services,omitempty" json:"services,omitempty" validate:"dive"`
	Classes  []Class   `yaml:"classes,omitempty" json:"classes,omitempty" validate:"dive"`
}

// ParseManifest decodes a manifest strictly and validates each object and the
// references between them. existing holds the services that exist already and may
// be nil.
func ParseManifest(data []byte, existing *Snapshot) (Manifest, error) {
	m, err := decodeManifest(data)
	if err != nil {
		return m, err
	}
	for i, c := range m.Classes {
		if m.defines(c.Service) {
			continue
		}
		if existing != nil {
			if _, ok := existing.Service(c.Service); ok {
				continue
			}
		}
		field := fmt.Sprintf("classes[%d].service", i)
		return m, result.Errorf(result.Invalid, "%sfield %s of class %q has value %q: want a service that exists; known: %s",
			linePrefix(field, data), field, c.Name, c.Service, knownServices(m, existing))
	}
	return m, nil
}

// CheckManifest validates a manifest on its own. It also returns the services that
// classes refer to and the manifest does not define; only the platform knows
// whether they exist.
func CheckManifest(data []byte) (m Manifest, undefined []string, err error) {
	m, err = decodeManifest(data)
	if err != nil {
		return m, nil, err
	}
	for _, c := range m.Classes {
		if !m.defines(c.Service) {
			undefined = append(undefined, c.Service)
		}
	}
	slices.Sort(undefined)
	return m, slices.Compact(undefined), nil
}

// decodeManifest decodes a manifest strictly and rejects duplicate objects.
func decodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := DecodeAndValidate(data, &m); err != nil {
		return m, err
	}
	if len(m.Services)+len(m.Classes) == 0 {
		return m, result.Errorf(result.Invalid, "the manifest has no services and no classes")
	}
	services := make(map[string]bool)
	for _, s := range m.Services {
		if services[s.Name] {
			return m, result.Errorf(result.Invalid, "service %q is defined twice", s.Name)
		}
		services[s.Name] = true
	}
	classes := make(map[string]bool)
	for _, c := range m.Classes {
		if classes[c.ObjectName()] {
			return m, result.Errorf(result.Invalid, "class %q of service %q is defined twice", c.Name, c.Service)
		}
		classes[c.ObjectName()] = true
	}
	return m, nil
}

func (m Manifest) defines(service string) bool {
	return slices.ContainsFunc(m.Services, func(s Service) bool { return s.Name == service })
}

func knownServices(m Manifest, existing *Snapshot) string {
	var names []string
	for _, s := range m.Services {
		names = append(names, s.Name)
	}
	if existing != nil {
		for _, s := range existing.Services() {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return joinOrNone(slices.Compact(names))
}
