// Package catalog defines the objects that operators edit, services and classes of
// work: their types, strict parsing, validation and immutable snapshots.
//
// Invariants: a Snapshot never changes and contains only valid objects.
package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Rank is the priority of a class when databases are overloaded.
type Rank string

const (
	RankUrgent     Rank = "urgent"
	RankNormal     Rank = "normal"
	RankBackground Rank = "background"
)

// Ranks lists the ranks, most urgent first.
var Ranks = []Rank{RankUrgent, RankNormal, RankBackground}

// Index returns the position of r in Ranks. An unknown rank counts as the least
// urgent one.
func (r Rank) Index() int {
	if i := slices.Index(Ranks, r); i >= 0 {
		return i
	}
	return len(Ranks) - 1
}

// Duration is a time.Duration that is encoded as text such as 1.5s.
type Duration time.Duration

// String returns the shortest text that UnmarshalText accepts, such as 72h.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("invalid duration %q: want a number with a unit, such as 200ms or 5s", b)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML decodes a duration. Errors name line and field.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	if err := d.UnmarshalText([]byte(node.GetToken().Value)); err != nil {
		return fmt.Errorf("line %d: field %s: %w", node.GetToken().Position.Line, strings.TrimPrefix(node.GetPath(), "$."), err)
	}
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Service is a service and the database groups that hold its data.
type Service struct {
	Name        string   `yaml:"name" json:"name" validate:"required,max=63"`
	Description string   `yaml:"description,omitempty" json:"description,omitempty"`
	Groups      []string `yaml:"groups" json:"groups" validate:"required,min=1,dive,required"`
	// MaxAnswer limits the size of an answer in bytes; 0 means DefaultMaxAnswer.
	MaxAnswer int64 `yaml:"max_answer,omitempty" json:"max_answer,omitempty" validate:"gte=0,lte=1073741824"`
}

// DefaultMaxAnswer is the limit in bytes for services without MaxAnswer.
const DefaultMaxAnswer = 16 << 20

// AnswerLimit returns the limit on the size of an answer in bytes.
func (s Service) AnswerLimit() int64 {
	if s.MaxAnswer > 0 {
		return s.MaxAnswer
	}
	return DefaultMaxAnswer
}

// ReadPolicy is the consistency that a class requires of reads.
type ReadPolicy struct {
	// MaxAge is the maximum staleness of the data that a read sees. Zero means no
	// limit; a read always sees the session's own writes.
	MaxAge Duration `yaml:"max_age,omitempty" json:"max_age,omitempty" validate:"gte=0"`
	// WhenStale selects what happens when MaxAge cannot be guaranteed: the read is
	// refused, or answered and marked as stale.
	WhenStale string `yaml:"when_stale,omitempty" json:"when_stale,omitempty" validate:"omitempty,oneof=refuse mark"`
}

// Values of ReadPolicy.WhenStale; empty means WhenStaleRefuse.
const (
	WhenStaleRefuse = "refuse"
	WhenStaleMark   = "mark"
)

// Class is a class of work and its service-level targets.
type Class struct {
	Name          string     `yaml:"name" json:"name" validate:"required,max=63"`
	Service       string     `yaml:"service" json:"service" validate:"required"`
	Description   string     `yaml:"description,omitempty" json:"description,omitempty"`
	Rank          Rank       `yaml:"rank" json:"rank" validate:"required,oneof=urgent normal background"`
	LatencyTarget Duration   `yaml:"served_within" json:"served_within" validate:"gt=0"`
	Reads         ReadPolicy `yaml:"reads,omitempty" json:"reads,omitzero"`
	// Repeatable allows the proxy to run a request again when its outcome is
	// unknown.
	Repeatable bool `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// KeyLifetime is how long the outcome of a request is kept under its request
	// key; 0 means DefaultKeyLifetime.
	KeyLifetime Duration `yaml:"key_lifetime,omitempty" json:"key_lifetime,omitempty" validate:"gte=0"`
	// Objective is the fraction of requests to be served within LatencyTarget; 0
	// means DefaultObjective.
	Objective float64 `yaml:"objective,omitempty" json:"objective,omitempty" validate:"gte=0,lt=1"`
}

// Defaults for fields of a Class that are 0.
const (
	DefaultKeyLifetime = 24 * time.Hour
	DefaultObjective   = 0.99
)

// EffectiveObjective returns Objective or its default.
func (c Class) EffectiveObjective() float64 {
	if c.Objective > 0 {
		return c.Objective
	}
	return DefaultObjective
}

// DefaultClassName is the class of requests that do not name one, if the service has it.
const DefaultClassName = "default"

// Snapshot is an immutable set of services and classes.
type Snapshot struct {
	services map[string]Service
	classes  map[classKey]Class
}

type classKey struct{ service, name string }

// NewSnapshot returns a snapshot of valid objects.
func NewSnapshot(services []Service, classes []Class) *Snapshot {
	s := &Snapshot{services: make(map[string]Service), classes: make(map[classKey]Class)}
	for _, v := range services {
		s.services[v.Name] = v
	}
	for _, c := range classes {
		s.classes[classKey{c.Service, c.Name}] = c
	}
	return s
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []Service {
	out := make([]Service, 0, len(s.services))
	for _, v := range s.services {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Class returns a class of a service by name.
func (s *Snapshot) Class(service, name string) (Class, bool) {
	c, ok := s.classes[classKey{service, name}]
	return c, ok
}

// Classes returns a service's classes, sorted by name; an empty service means
// all services.
func (s *Snapshot) Classes(service string) []Class {
	var out []Class
	for k, c := range s.classes {
		if service == "" || k.service == service {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// DefaultClass returns the class of requests that do not name one: the one called
// DefaultClassName, or the only one of the service.
func (s *Snapshot) DefaultClass(service string) (Class, bool) {
	if c, ok := s.Class(service, DefaultClassName); ok {
		return c, true
	}
	if cs := s.Classes(service); len(cs) == 1 {
		return cs[0], true
	}
	return Class{}, false
}

// ObjectName returns the platform object name of a class.
func (c Class) ObjectName() string { return c.Service + "." + c.Name }

// DecodeService decodes and validates the JSON value of a service object.
func DecodeService(data []byte) (Service, error) {
	var v Service
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode service object: %w", err)
	}
	return v, Validate(v)
}

// DecodeClass decodes and validates the JSON value of a class object.
func DecodeClass(data []byte) (Class, error) {
	var v Class
	if err := json.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode class object: %w", err)
	}
	return v, Validate(v)
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// ClassNames returns the names of a service's classes as a list for error messages.
func (s *Snapshot) ClassNames(service string) string {
	var names []string
	for _, c := range s.Classes(service) {
		names = append(names, c.Name)
	}
	return joinOrNone(names)
}
