package catalog

import (
	"fmt"
	"slices"

	"geraniumbeam/internal/result"
)

// Manifest is an operators' file: services and classes.
type Manifest struct {
	Services []Service `yaml:"services,omitempty" json:"services,omitempty" validate:"dive"`
	Classes  []Class   `yaml:"classes,omitempty" json:"classes,omitempty" validate:"dive"`
}

// ParseManifest reads an operators' file strictly and checks each object and
// the references between them. known holds the services that exist already.
func ParseManifest(data []byte, known *Snapshot) (Manifest, error) {
	m, err := decodeManifest(data)
	if err != nil {
		return m, err
	}
	for i, c := range m.Classes {
		if m.defines(c.Service) {
			continue
		}
		if known != nil {
			if _, ok := known.Service(c.Service); ok {
				continue
			}
		}
		field := fmt.Sprintf("classes[%d].service", i)
		return m, result.Errorf(result.Invalid, "%sfield %s of class %q has value %q: want a service that exists; known: %s",
			linePrefix(field, data), field, c.Name, c.Service, knownServices(m, known))
	}
	return m, nil
}

// CheckManifest checks a file by itself. It returns the services that classes
// name and the file does not define; only the platform knows whether they exist.
func CheckManifest(data []byte) (m Manifest, elsewhere []string, err error) {
	m, err = decodeManifest(data)
	if err != nil {
		return m, nil, err
	}
	for _, c := range m.Classes {
		if !m.defines(c.Service) {
			elsewhere = append(elsewhere, c.Service)
		}
	}
	slices.Sort(elsewhere)
	return m, slices.Compact(elsewhere), nil
}

// decodeManifest reads a file strictly and refuses objects that are defined
// twice.
func decodeManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := DecodeAndValidate(data, &m); err != nil {
		return m, err
	}
	if len(m.Services)+len(m.Classes) == 0 {
		return m, result.Errorf(result.Invalid, "the file has no services and no classes")
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

func knownServices(m Manifest, known *Snapshot) string {
	var names []string
	for _, s := range m.Services {
		names = append(names, s.Name)
	}
	if known != nil {
		for _, s := range known.Services() {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return quoteList(slices.Compact(names))
}
