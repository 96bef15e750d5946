// Package load generates open-loop load over the PostgreSQL protocol and
// measures latency and outcomes as callers see them.
//
// Invariants: latency is measured from the intended send time, which avoids
// coordinated omission. A run is bounded in time, in connections and in queued
// requests. No request is sent twice.
package load

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
)

// Scenario describes one run. It is read from a strict YAML file.
type Scenario struct {
	Name        string `yaml:"name" validate:"required,max=63"`
	Description string `yaml:"description,omitempty"`
	// Service is sent as the database name in the startup message.
	Service string `yaml:"service" validate:"required"`
	// Seed seeds the arrival times and the choice of statements and rows.
	Seed uint64 `yaml:"seed,omitempty"`
	// Duration is the length of the run, warm-up included.
	Duration catalog.Duration `yaml:"duration" validate:"gt=0"`
	// WarmUp is the time at the start of the run that the default segment leaves
	// out.
	WarmUp catalog.Duration `yaml:"warm_up,omitempty" validate:"gte=0"`
	// Capacity is the service's capacity in requests per second, of which a
	// class's Load is a multiple.
	Capacity float64 `yaml:"capacity,omitempty" validate:"gte=0"`
	// MaxConnections bounds the connections of all callers together; 0 means
	// DefaultMaxConnections.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"gte=0,lte=20000"`
	// Protocol is the query protocol: simple or extended; empty means simple.
	Protocol string `yaml:"protocol,omitempty" validate:"omitempty,oneof=simple extended"`
	// Partitions is the number of partition keys p0, p1, ...; 0 means requests
	// without a partition key.
	Partitions int `yaml:"partitions,omitempty" validate:"gte=0,lte=1000"`
	// Rows is the number of rows that statements access.
	Rows int `yaml:"rows" validate:"gt=0,lte=100000"`
	// Setup runs before the load, on every partition.
	Setup Setup `yaml:"setup,omitempty"`
	// Classes are the request classes that send load.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	// Segments are measured separately. The default is one segment from the end
	// of the warm-up to the end of the run.
	Segments []Segment `yaml:"segments,omitempty" validate:"dive"`
}

// Setup creates tables and rows before the load starts.
type Setup struct {
	// Class is the class of the set-up statements; empty means the service's
	// default class.
	Class string `yaml:"class,omitempty"`
	// Statements run once per partition. They must be idempotent, because they
	// may be retried.
	Statements []string `yaml:"statements,omitempty"`
	// Fill runs once per row and must be idempotent.
	Fill string `yaml:"fill,omitempty"`
}

// Class describes the load of one request class.
type Class struct {
	Class string `yaml:"class" validate:"required"`
	// Rate is the total of all callers in requests per second. Load, if set,
	// replaces it by a multiple of the scenario's capacity.
	Rate float64 `yaml:"rate,omitempty" validate:"gte=0"`
	Load float64 `yaml:"load,omitempty" validate:"gte=0"`
	// Callers is the number of callers, among which the rate is divided equally.
	Callers int `yaml:"callers" validate:"gt=0,lte=10000"`
	// Connections is the number of connections of each caller; 0 means
	// DefaultConnections.
	Connections int `yaml:"connections,omitempty" validate:"gte=0,lte=1000"`
	// Target is the latency target.
	Target catalog.Duration `yaml:"target" validate:"gt=0"`
	// Timeout runs from the intended send time; 0 means four times the target,
	// and at least one second.
	Timeout catalog.Duration `yaml:"give_up,omitempty" validate:"gte=0"`
	// ReadShare is the fraction of requests that use Reads; the others use Writes.
	ReadShare float64  `yaml:"read_share,omitempty" validate:"gte=0,lte=1"`
	Reads     []string `yaml:"reads,omitempty"`
	Writes    []string `yaml:"writes,omitempty"`
	// RequestKeys sends each write with a unique request key.
	RequestKeys bool `yaml:"request_keys,omitempty"`
	// Flood raises the rate of one caller above that of the others.
	Flood Flood `yaml:"flood,omitempty"`
	// Phases change the rate of all callers for a time. The multipliers of
	// overlapping phases are multiplied.
	Phases []Phase `yaml:"phases,omitempty" validate:"dive"`
}

// Flood multiplies the rate of one caller between Start and Start + Duration.
type Flood struct {
	Caller   int              `yaml:"caller,omitempty" validate:"gte=0"`
	Factor   float64          `yaml:"factor,omitempty" validate:"gte=0"` // 0 means 1
	Start    catalog.Duration `yaml:"start,omitempty" validate:"gte=0"`
	Duration catalog.Duration `yaml:"duration,omitempty" validate:"gte=0"` // 0 means until the end of the run
}

// Phase multiplies the rate of a class between Start and Start + Duration.
type Phase struct {
	Start      catalog.Duration `yaml:"start,omitempty" validate:"gte=0"`
	Duration   catalog.Duration `yaml:"duration" validate:"gt=0"`
	Multiplier float64          `yaml:"multiplier" validate:"gte=0"`
}

// Segment is a part of the run that is measured separately. A request counts in
// the segment that contains its intended send time.
type Segment struct {
	Name     string           `yaml:"name" validate:"required"`
	Start    catalog.Duration `yaml:"start,omitempty" validate:"gte=0"`
	Duration catalog.Duration `yaml:"duration" validate:"gt=0"`
}

// Defaults and limits of a Scenario.
const (
	DefaultMaxConnections = 512
	DefaultConnections    = 4
	MaxDuration           = time.Hour
	minTimeout            = time.Second
)

// ReadScenario reads the scenario file at path.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	s, err := ParseScenario(data)
	if err != nil {
		return s, fmt.Errorf("parse scenario %s: %w", path, err)
	}
	return s, nil
}

// ParseScenario decodes a scenario, applies defaults and validates it. Errors
// carry result.Invalid.
func ParseScenario(data []byte) (Scenario, error) {
	var s Scenario
	if err := catalog.DecodeStrict(data, &s); err != nil {
		return s, err
	}
	if err := catalog.Validate(s); err != nil {
		return s, err
	}
	s = s.withDefaults()
	return s, s.check()
}

func (s Scenario) withDefaults() Scenario {
	s.MaxConnections = cmp.Or(s.MaxConnections, DefaultMaxConnections)
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Connections = cmp.Or(c.Connections, DefaultConnections)
		if c.Timeout == 0 {
			c.Timeout = max(4*c.Target, catalog.Duration(minTimeout))
		}
		if c.Load > 0 {
			c.Rate = c.Load * s.Capacity
		}
		c.Flood.Factor = cmp.Or(c.Flood.Factor, 1)
		c.Flood.Duration = cmp.Or(c.Flood.Duration, s.Duration)
	}
	if len(s.Segments) == 0 {
		s.Segments = []Segment{{Name: "all", Start: s.WarmUp, Duration: s.Duration - s.WarmUp}}
	}
	return s
}

func (s Scenario) check() error {
	invalid := func(format string, args ...any) error { return result.Errorf(result.Invalid, format, args...) }
	if s.Duration.Std() > MaxDuration {
		return invalid("field duration has value %q: want at most %v", s.Duration.Std(), MaxDuration)
	}
	if s.WarmUp >= s.Duration {
		return invalid("field warm_up has value %q: want less than the duration %v", s.WarmUp.Std(), s.Duration.Std())
	}
	connections := 0
	for i, c := range s.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		connections += c.Callers * c.Connections
		switch {
		case c.Rate <= 0:
			return invalid("field %s has no rate: want a rate, or a load and the scenario's capacity", field)
		case c.ReadShare > 0 && len(c.Reads) == 0:
			return invalid("field %s.reads is empty: read_share %v needs statements", field, c.ReadShare)
		case c.ReadShare < 1 && len(c.Writes) == 0:
			return invalid("field %s.writes is empty: read_share %v needs statements", field, c.ReadShare)
		case c.Flood.Caller >= c.Callers:
			return invalid("field %s.flood.caller has value %d: want less than %d", field, c.Flood.Caller, c.Callers)
		}
	}
	if connections > s.MaxConnections {
		return invalid("the classes need %d connections: want at most max_connections %d", connections, s.MaxConnections)
	}
	for i, seg := range s.Segments {
		if seg.Start+seg.Duration > s.Duration {
			return invalid("segment %d (%s) ends at %v: want at most the duration %v", i, seg.Name, (seg.Start + seg.Duration).Std(), s.Duration.Std())
		}
	}
	return nil
}

// WithOverrides returns a copy with another capacity, with all rates multiplied
// by scale and with a shorter duration. A capacity or duration of 0 keeps the
// scenario's value. Segments that begin after the new end of the run are dropped,
// and others are cut off there.
func (s Scenario) WithOverrides(capacity, scale float64, duration time.Duration) (Scenario, error) {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		if capacity > 0 && c.Load > 0 {
			c.Rate = c.Load * capacity
		}
		c.Rate *= scale
	}
	if end := catalog.Duration(duration); end > 0 && end < s.Duration {
		s.Duration = end
		var kept []Segment
		for _, seg := range s.Segments {
			if seg.Start < end {
				seg.Duration = min(seg.Duration, end-seg.Start)
				kept = append(kept, seg)
			}
		}
		s.Segments = kept
	}
	return s, s.check()
}
