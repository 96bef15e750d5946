// Package load generates open-loop load over the PostgreSQL protocol and
// measures what callers get.
//
// Invariants: latency is measured from the intended send time, so a slow
// service does not hide its own delays. A run is bounded in time, in
// connections and in waiting requests. No request is sent twice.
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
	// Service is the service name, given as database name at startup.
	Service string `yaml:"service" validate:"required"`
	// Seed seeds arrivals and rows. Equal seeds give equal arrivals.
	Seed uint64 `yaml:"seed,omitempty"`
	// Duration is the length of the run, warm-up included.
	Duration catalog.Duration `yaml:"duration" validate:"gt=0"`
	// WarmUp is the time at the start that is not measured.
	WarmUp catalog.Duration `yaml:"warm_up,omitempty" validate:"gte=0"`
	// Capacity is what the service can serve in requests per second. Classes
	// that give load instead of rate refer to it.
	Capacity float64 `yaml:"capacity,omitempty" validate:"gte=0"`
	// MaxConnections bounds all connections; 0 means DefaultMaxConnections.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"gte=0,lte=20000"`
	// Protocol is the query protocol: simple or extended; empty means simple.
	Protocol string `yaml:"protocol,omitempty" validate:"omitempty,oneof=simple extended"`
	// Partitions is the number of partition keys p0, p1, ...; 0 means that
	// requests give no partition.
	Partitions int `yaml:"partitions,omitempty" validate:"gte=0,lte=1000"`
	// Rows is the number of rows that statements choose from.
	Rows int `yaml:"rows" validate:"gt=0,lte=100000"`
	// Setup runs before the load, on every partition.
	Setup Setup `yaml:"setup,omitempty"`
	// Classes are the kinds of work.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	// Segments are measured separately; none means one segment after the
	// warm-up.
	Segments []Segment `yaml:"segments,omitempty" validate:"dive"`
}

// Setup prepares tables.
type Setup struct {
	// Class is the class of the set-up statements; empty means the service's
	// default.
	Class string `yaml:"class,omitempty"`
	// Statements run once per partition and must be repeatable.
	Statements []string `yaml:"statements,omitempty"`
	// Fill runs once per row and must be repeatable.
	Fill string `yaml:"fill,omitempty"`
}

// Class is the load of one class of work.
type Class struct {
	Class string `yaml:"class" validate:"required"`
	// Rate is in requests per second of all callers together. Load gives it
	// as a multiple of the scenario's capacity instead.
	Rate float64 `yaml:"rate,omitempty" validate:"gte=0"`
	Load float64 `yaml:"load,omitempty" validate:"gte=0"`
	// Callers share the rate equally.
	Callers int `yaml:"callers" validate:"gt=0,lte=10000"`
	// Connections is the number of connections of each caller; 0 means
	// DefaultConnections.
	Connections int `yaml:"connections,omitempty" validate:"gte=0,lte=1000"`
	// Target is the time to be served within.
	Target catalog.Duration `yaml:"target" validate:"gt=0"`
	// Timeout is the time after which a caller stops waiting; 0 means four
	// times the target, and at least a second.
	Timeout catalog.Duration `yaml:"give_up,omitempty" validate:"gte=0"`
	// ReadShare is the share of requests that use Reads.
	ReadShare float64  `yaml:"read_share,omitempty" validate:"gte=0,lte=1"`
	Reads     []string `yaml:"reads,omitempty"`
	Writes    []string `yaml:"writes,omitempty"`
	// RequestKeys gives each write its own request key.
	RequestKeys bool `yaml:"request_keys,omitempty"`
	// Flood multiplies the rate of one caller.
	Flood Flood `yaml:"flood,omitempty"`
	// Phases change the rate for a while. Where phases overlap, the
	// multipliers multiply.
	Phases []Phase `yaml:"phases,omitempty" validate:"dive"`
}

// Flood multiplies the rate of one caller for a while.
type Flood struct {
	Caller   int              `yaml:"caller,omitempty" validate:"gte=0"`
	Factor   float64          `yaml:"factor,omitempty" validate:"gte=0"` // 0 means none
	Start    catalog.Duration `yaml:"start,omitempty" validate:"gte=0"`
	Duration catalog.Duration `yaml:"duration,omitempty" validate:"gte=0"` // 0 means to the end
}

// Phase multiplies the rate of a class for a while.
type Phase struct {
	Start      catalog.Duration `yaml:"start,omitempty" validate:"gte=0"`
	Duration   catalog.Duration `yaml:"duration" validate:"gt=0"`
	Multiplier float64          `yaml:"multiplier" validate:"gte=0"`
}

// Segment is a part of the run that is measured separately. A request belongs
// to the segment in which it was meant to be sent.
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
		return s, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// ParseScenario reads and checks a scenario. Errors carry result.Invalid.
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
		at := fmt.Sprintf("classes[%d]", i)
		connections += c.Callers * c.Connections
		switch {
		case c.Rate <= 0:
			return invalid("field %s: want a rate, or a load with the scenario's capacity", at)
		case c.ReadShare > 0 && len(c.Reads) == 0:
			return invalid("field %s.reads is empty: read_share %v needs statements", at, c.ReadShare)
		case c.ReadShare < 1 && len(c.Writes) == 0:
			return invalid("field %s.writes is empty: read_share %v needs statements", at, c.ReadShare)
		case c.Flood.Caller >= c.Callers:
			return invalid("field %s.flood.caller has value %d: want less than %d", at, c.Flood.Caller, c.Callers)
		}
	}
	if connections > s.MaxConnections {
		return invalid("the classes need %d connections: want at most max_connections %d", connections, s.MaxConnections)
	}
	for i, g := range s.Segments {
		if g.Start+g.Duration > s.Duration {
			return invalid("segment %d (%s) ends at %v: want at most the duration %v", i, g.Name, (g.Start + g.Duration).Std(), s.Duration.Std())
		}
	}
	return nil
}

// WithOverrides replaces the capacity, multiplies all rates and shortens the run. A
// capacity or duration of 0 leaves the scenario's own. Segments that begin
// after the new end are dropped and others are cut.
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
		for _, g := range s.Segments {
			if g.Start < end {
				g.Duration = min(g.Duration, end-g.Start)
				kept = append(kept, g)
			}
		}
		s.Segments = kept
	}
	return s, s.check()
}
