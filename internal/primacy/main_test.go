package primacy

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the model enough runs to find a validity that is twice too
// long, which took up to 1,210 runs, and a fixed seed so that each run of the
// tests has the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "4000", "rapid.steps": "60", "rapid.seed": "20261204"} {
		f := flag.Lookup(name)
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
		f.DefValue = value
	}
	os.Exit(m.Run())
}
