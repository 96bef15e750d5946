package entry

import (
	"strings"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
)

// params are the geraniumbeam parameters of a session.
type params struct {
	class     string
	partition string
	key       string // for the next request only
}

// maxParameter is the longest class, partition or request key in bytes.
const maxParameter = 255

// Names of the geraniumbeam parameters.
const (
	paramClass     = route.ParameterPrefix + "class"
	paramPartition = route.ParameterPrefix + "partition"
	paramKey       = route.ParameterPrefix + "request_key"
	paramSession   = route.ParameterPrefix + "session"
)

func isLocalParameter(name string) bool { return strings.HasPrefix(name, route.ParameterPrefix) }

func unknownParameter(name string) error {
	return result.Errorf(result.BadParameter, "parameter %q is not known: want one of %s, %s, %s, %s",
		name, paramClass, paramPartition, paramKey, paramSession)
}

// setLocal changes a geraniumbeam parameter; an error changes nothing.
func (c *caller) setLocal(name, value string) error {
	if name == paramSession {
		return c.setSession(value)
	}
	field := c.params.field(name)
	if field == nil {
		return unknownParameter(name)
	}
	if len(value) > maxParameter || strings.ContainsRune(value, 0) {
		return result.Errorf(result.BadParameter, "parameter %s has %d bytes: want at most %d without zero bytes",
			name, len(value), maxParameter)
	}
	if name == paramClass && value != "" {
		if _, err := c.lookupClass(value); err != nil {
			return err
		}
	}
	*field = value
	return nil
}

func (p *params) field(name string) *string {
	switch name {
	case paramClass:
		return &p.class
	case paramPartition:
		return &p.partition
	case paramKey:
		return &p.key
	}
	return nil
}

func (c *caller) setSession(token string) error {
	if token == "" {
		c.floors.Reset()
		return nil
	}
	f, err := c.s.keys.Decode(token)
	if err != nil {
		return err
	}
	c.floors.Resume(f)
	return nil
}

// showLocal returns the value of a geraniumbeam parameter.
func (c *caller) showLocal(name string) (string, error) {
	if name == paramSession {
		return c.s.keys.Encode(c.floors), nil
	}
	field := c.params.field(name)
	if field == nil {
		return "", unknownParameter(name)
	}
	if name == paramClass && *field == "" {
		if class, err := c.lookupClass(""); err == nil {
			return class.Name, nil
		}
	}
	return *field, nil
}

// resetLocal restores the value given at startup.
func (c *caller) resetLocal(name string) error {
	if name == paramSession {
		c.floors.Reset()
		return nil
	}
	field := c.params.field(name)
	if field == nil {
		return unknownParameter(name)
	}
	*field = *c.startParams.field(name)
	return nil
}

// parameter is a session parameter of PostgreSQL that the entry reports.
type parameter struct {
	name    string
	value   string
	allowed []string // other spellings of the same setting, in lower case
	free    bool     // any value is harmless
}

// serverVersion is what drivers compare to decide on features. It has the
// major version whose protocol and defaults the entry presents.
const serverVersion = "16.0"

// reportedParameters are sent at startup, as drivers expect them.
var reportedParameters = []parameter{
	{name: "server_version", value: serverVersion},
	{name: "server_encoding", value: "UTF8", allowed: []string{"utf8", "utf-8"}},
	{name: "client_encoding", value: "UTF8", allowed: []string{"utf8", "utf-8", "unicode"}},
	{name: "application_name", free: true},
	{name: "is_superuser", value: "off"},
	{name: "in_hot_standby", value: "off"},
	{name: "default_transaction_read_only", value: "off", allowed: []string{"off", "false", "0", "no"}},
	{name: "DateStyle", value: "ISO, MDY", allowed: []string{"iso", "iso, mdy", "iso,mdy"}},
	{name: "IntervalStyle", value: "postgres", allowed: []string{"postgres"}},
	{name: "TimeZone", value: "UTC", allowed: []string{"utc", "etc/utc", "gmt"}},
	{name: "integer_datetimes", value: "on"},
	{name: "standard_conforming_strings", value: "on", allowed: []string{"on", "true", "1", "yes"}},
}

// quietParameters are not reported, but drivers set them to these values.
var quietParameters = []parameter{
	{name: "extra_float_digits", allowed: []string{"1", "2", "3"}},
	{name: "bytea_output", allowed: []string{"hex"}},
	{name: "statement_timeout", allowed: []string{"0"}},
	{name: "lock_timeout", allowed: []string{"0"}},
	{name: "idle_in_transaction_session_timeout", allowed: []string{"0"}},
	{name: "row_security", allowed: []string{"on"}},
	{name: "search_path", allowed: []string{"public", `"$user", public`, "default"}},
	{name: "names", allowed: []string{"utf8", "utf-8"}},
	{name: "client_min_messages", allowed: []string{"notice", "warning"}},
	{name: "synchronous_commit", allowed: []string{"on"}},
}

func findParameter(name string) (parameter, bool) {
	for _, list := range [][]parameter{reportedParameters, quietParameters} {
		for _, p := range list {
			if strings.EqualFold(p.name, name) {
				return p, true
			}
		}
	}
	return parameter{}, false
}

// harmlessSet accepts a value that changes nothing or only a label. Any other
// value would have to be kept on a backend connection and is refused with
// result.NotSupported.
func (c *caller) harmlessSet(name, value string) error {
	p, ok := findParameter(name)
	if !ok {
		return result.Errorf(result.NotSupported, "parameter %q cannot be set: the proxy keeps no session settings", name)
	}
	if p.free {
		if c.reported == nil {
			c.reported = make(map[string]string, 1)
		}
		c.reported[p.name] = value
		return nil
	}
	for _, v := range p.allowed {
		if strings.EqualFold(v, strings.TrimSpace(value)) {
			return nil
		}
	}
	return result.Errorf(result.NotSupported, "parameter %s cannot be set to %q: allowed are %s",
		p.name, value, strings.Join(p.allowed, ", "))
}

func (c *caller) reportedValue(p parameter) string {
	if v, ok := c.reported[p.name]; ok {
		return v
	}
	return p.value
}

func isFalse(v string) bool {
	switch strings.ToLower(v) {
	case "false", "off", "no", "0", "":
		return true
	}
	return false
}
