package entry

import (
	"strings"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
)

// proxyParams holds the proxy parameters of a session, whose names start with
// route.ParameterPrefix. The session token is not one of the fields.
type proxyParams struct {
	class      string
	partition  string
	requestKey string // for the next request only
}

// maxParameterLength is the largest length in bytes of a class name, partition or
// request key.
const maxParameterLength = 255

// Names of the proxy parameters.
const (
	paramClass      = route.ParameterPrefix + "class"
	paramPartition  = route.ParameterPrefix + "partition"
	paramRequestKey = route.ParameterPrefix + "request_key"
	paramSession    = route.ParameterPrefix + "session"
)

func isProxyParameter(name string) bool { return strings.HasPrefix(name, route.ParameterPrefix) }

func unknownParameter(name string) error {
	return result.Errorf(result.BadParameter, "unknown parameter %q: want one of %s, %s, %s, %s",
		name, paramClass, paramPartition, paramRequestKey, paramSession)
}

// setProxyParameter sets a proxy parameter. On error the parameter is unchanged.
func (c *callerConn) setProxyParameter(name, value string) error {
	if name == paramSession {
		return c.resumeSession(value)
	}
	field := c.params.field(name)
	if field == nil {
		return unknownParameter(name)
	}
	if len(value) > maxParameterLength || strings.ContainsRune(value, 0) {
		return result.Errorf(result.BadParameter, "value of parameter %s has %d bytes: want at most %d and no zero byte",
			name, len(value), maxParameterLength)
	}
	if name == paramClass && value != "" {
		if _, err := c.lookupClass(value); err != nil {
			return err
		}
	}
	*field = value
	return nil
}

func (p *proxyParams) field(name string) *string {
	switch name {
	case paramClass:
		return &p.class
	case paramPartition:
		return &p.partition
	case paramRequestKey:
		return &p.requestKey
	}
	return nil
}

func (c *callerConn) resumeSession(token string) error {
	if token == "" {
		c.floors.Reset()
		return nil
	}
	f, err := c.server.keys.Decode(token)
	if err != nil {
		return err
	}
	c.floors.Resume(f)
	return nil
}

// showProxyParameter returns the value of a proxy parameter.
func (c *callerConn) showProxyParameter(name string) (string, error) {
	if name == paramSession {
		return c.server.keys.Encode(c.floors), nil
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

// resetProxyParameter restores the value that was set at startup.
func (c *callerConn) resetProxyParameter(name string) error {
	if name == paramSession {
		c.floors.Reset()
		return nil
	}
	field := c.params.field(name)
	if field == nil {
		return unknownParameter(name)
	}
	*field = *c.startupParams.field(name)
	return nil
}

// postgresParameter is a run-time parameter of PostgreSQL. Backend connections are
// shared, so only values that change nothing can be set.
type postgresParameter struct {
	name      string
	value     string
	accepted  []string // spellings of the value in effect, in lower case
	acceptAny bool     // any value may be set, as it changes no behaviour
}

// serverVersion is the version that drivers check to choose features. Its major
// version is the one whose protocol and defaults this server presents.
const serverVersion = "16.0"

// reportedParameters are sent at startup, because drivers expect them.
var reportedParameters = []postgresParameter{
	{name: "server_version", value: serverVersion},
	{name: "server_encoding", value: "UTF8", accepted: []string{"utf8", "utf-8"}},
	{name: "client_encoding", value: "UTF8", accepted: []string{"utf8", "utf-8", "unicode"}},
	{name: "application_name", acceptAny: true},
	{name: "is_superuser", value: "off"},
	{name: "in_hot_standby", value: "off"},
	{name: "default_transaction_read_only", value: "off", accepted: []string{"off", "false", "0", "no"}},
	{name: "DateStyle", value: "ISO, MDY", accepted: []string{"iso", "iso, mdy", "iso,mdy"}},
	{name: "IntervalStyle", value: "postgres", accepted: []string{"postgres"}},
	{name: "TimeZone", value: "UTC", accepted: []string{"utc", "etc/utc", "gmt"}},
	{name: "integer_datetimes", value: "on"},
	{name: "standard_conforming_strings", value: "on", accepted: []string{"on", "true", "1", "yes"}},
}

// unreportedParameters are not reported, but drivers set them to these values at
// connect.
var unreportedParameters = []postgresParameter{
	{name: "extra_float_digits", accepted: []string{"1", "2", "3"}},
	{name: "bytea_output", accepted: []string{"hex"}},
	{name: "statement_timeout", accepted: []string{"0"}},
	{name: "lock_timeout", accepted: []string{"0"}},
	{name: "idle_in_transaction_session_timeout", accepted: []string{"0"}},
	{name: "row_security", accepted: []string{"on"}},
	{name: "search_path", accepted: []string{"public", `"$user", public`, "default"}},
	{name: "names", accepted: []string{"utf8", "utf-8"}},
	{name: "client_min_messages", accepted: []string{"notice", "warning"}},
	{name: "synchronous_commit", accepted: []string{"on"}},
}

func findPostgresParameter(name string) (postgresParameter, bool) {
	for _, list := range [][]postgresParameter{reportedParameters, unreportedParameters} {
		for _, p := range list {
			if strings.EqualFold(p.name, name) {
				return p, true
			}
		}
	}
	return postgresParameter{}, false
}

// setPostgresParameter accepts values that are in effect anyway, and any value of a
// parameter that is only a label. Any other value would have to be kept on a
// backend connection and is refused with result.NotSupported.
func (c *callerConn) setPostgresParameter(name, value string) error {
	p, ok := findPostgresParameter(name)
	if !ok {
		return result.Errorf(result.NotSupported, "parameter %q cannot be set: backend connections keep no session settings", name)
	}
	if p.acceptAny {
		if c.reportedOverrides == nil {
			c.reportedOverrides = make(map[string]string, 1)
		}
		c.reportedOverrides[p.name] = value
		return nil
	}
	for _, v := range p.accepted {
		if strings.EqualFold(v, strings.TrimSpace(value)) {
			return nil
		}
	}
	return result.Errorf(result.NotSupported, "parameter %s cannot be set to %q: allowed values are %s",
		p.name, value, strings.Join(p.accepted, ", "))
}

func (c *callerConn) reportedValue(p postgresParameter) string {
	if v, ok := c.reportedOverrides[p.name]; ok {
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
