package catalog

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against invalid manifests that are accepted, and against errors that don't
// name the field, the value and the constraint.
func TestManifest(t *testing.T) {
	datadriven.RunTest(t, "testdata/manifest", func(t *testing.T, d *datadriven.TestData) string {
		m, err := ParseManifest([]byte(d.Input), nil)
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		for _, c := range m.Classes {
			b.WriteString(Describe(c))
		}
		return b.String()
	})
}
