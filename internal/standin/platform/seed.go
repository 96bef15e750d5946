package platform

import (
	"encoding/json"
	"fmt"
	"os"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/platform"
)

// Seed is the initial content of a server.
type Seed struct {
	Instances []SeedInstance    `yaml:"instances,omitempty" validate:"dive"`
	Groups    []SeedGroup       `yaml:"groups,omitempty" validate:"dive"`
	Services  []catalog.Service `yaml:"services,omitempty" validate:"dive"`
	Classes   []catalog.Class   `yaml:"classes,omitempty" validate:"dive"`
}

// SeedInstance is an entry of the instance list.
type SeedInstance struct {
	Name       string `yaml:"name" validate:"required"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	Address    string `yaml:"address" validate:"required,hostname_port"`
	Leaving    bool   `yaml:"leaving,omitempty"`
}

// SeedGroup is a database group.
type SeedGroup struct {
	Name      string         `yaml:"name" validate:"required"`
	Term      uint64         `yaml:"term,omitempty"`
	Primary   string         `yaml:"primary,omitempty"`
	Databases []SeedDatabase `yaml:"databases" validate:"required,min=1,dive"`
}

// SeedDatabase is a member of a group.
type SeedDatabase struct {
	Name       string `yaml:"name" validate:"required"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	Address    string `yaml:"address" validate:"required,hostname_port"`
	Leaving    bool   `yaml:"leaving,omitempty"`
}

// ParseSeed decodes and validates a seed; unknown fields are an error. Errors
// carry result.Invalid.
func ParseSeed(data []byte) (Seed, error) {
	var s Seed
	if err := catalog.DecodeStrict(data, &s); err != nil {
		return s, err
	}
	return s, catalog.Validate(s)
}

// LoadSeed reads the seed file at path.
func LoadSeed(path string) (Seed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Seed{}, fmt.Errorf("read seed file: %w", err)
	}
	s, err := ParseSeed(data)
	if err != nil {
		return s, fmt.Errorf("parse seed file %s: %w", path, err)
	}
	return s, nil
}

func (s *Server) loadSeed(seed Seed) error {
	for _, in := range seed.Instances {
		// In the past, so that the entries are visible at once despite the lag.
		s.instances.set(platform.Instance(in), false, s.cfg.Now().Add(-historyRetention))
	}
	for _, g := range seed.Groups {
		v := platform.Group{Term: g.Term, Primary: g.Primary}
		for _, d := range g.Databases {
			v.Databases = append(v.Databases, platform.Database(d))
		}
		if err := s.seedObject(platform.KindGroup, g.Name, v); err != nil {
			return err
		}
	}
	for _, v := range seed.Services {
		if err := s.seedObject(platform.KindService, v.Name, v); err != nil {
			return err
		}
	}
	for _, v := range seed.Classes {
		if err := s.seedObject(platform.KindClass, v.ObjectName(), v); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) seedObject(kind, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode seed object %s/%s: %w", kind, name, err)
	}
	s.store.put(kind, name, platform.AnyVersion, data, false)
	return nil
}
