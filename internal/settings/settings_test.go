package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
)

const valid = `instance: a1
data_centre: taipei-a
listen_callers: 127.0.0.1:7000
listen_inner: 127.0.0.1:7001
listen_metrics: 127.0.0.1:7002
platform: http://127.0.0.1:7400
session_key: 0123456789abcdef
database:
  user: app
  name: huts
  connection_limit: 16
`

// Guards against optional settings that keep the zero value instead of their
// default.
func TestParseSetsDefaults(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.AdvertiseInner != s.ListenInner || s.Callers.MaxMessage != DefaultMaxMessage {
		t.Errorf("defaults are missing: %+v", s)
	}
}

// Guards against invalid settings that are accepted, or rejected without naming the
// field and the allowed values.
func TestParseNamesInvalidField(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"unknown field", "database:", "databse_typo: 1\ndatabase:", "databse_typo"},
		{"wrong address", "127.0.0.1:7001", "nowhere", "field listen_inner has value \"nowhere\": want HOST:PORT"},
		{"limit too low", "connection_limit: 16", "connection_limit: 1", "connection_limit"},
		{"short key", "0123456789abcdef", "short", "session_key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, c.from, c.to, 1)))
			if !result.Is(err, result.Invalid) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

// Guards against a field that docs/configuration.md does not describe.
func TestEveryFieldIsDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{Settings{}, catalog.Service{}, catalog.Class{}} {
		for _, f := range fieldPaths(reflect.TypeOf(v), "") {
			if !strings.Contains(string(doc), "`"+f+"`") {
				t.Errorf("field %s is not documented", f)
			}
		}
	}
}

func fieldPaths(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, fieldPaths(f.Type, prefix+name+".")...)
			continue
		}
		out = append(out, prefix+name)
	}
	return out
}

// Guards against a panic of the parser on malformed input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("instance: [1"))
	f.Add([]byte(""))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse(data)
	})
}
