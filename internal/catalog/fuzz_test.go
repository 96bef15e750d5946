package catalog

import (
	"reflect"
	"testing"

	"github.com/goccy/go-yaml"
)

// Guards against a manifest that makes the parser panic, and against a valid manifest
// that changes when "geraniumbeamctl get" prints it and "apply" reads it again.
func FuzzManifest(f *testing.F) {
	f.Add([]byte("services:\n  - name: s\n    groups: [g]\nclasses:\n  - name: c\n    service: s\n    rank: urgent\n    served_within: 1s\n"))
	f.Add([]byte("classes:\n  - name: c\n    weight: 1\n"))
	f.Add([]byte("classes: ["))
	f.Add([]byte("classes:\n  - &a {name: c}\n  - *a\n"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest(data, nil)
		if err != nil {
			_ = err.Error()
			return
		}
		printed, err := yaml.Marshal(m)
		if err != nil {
			t.Fatalf("encode a valid manifest: %v", err)
		}
		again, err := ParseManifest(printed, nil)
		if err != nil {
			t.Fatalf("parse the encoded manifest: %v\n%s", err, printed)
		}
		if !reflect.DeepEqual(m, again) {
			t.Fatalf("manifest %+v became %+v after encoding as\n%s", m, again, printed)
		}
	})
}
