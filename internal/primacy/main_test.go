package primacy

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the model test enough checks to detect a validity that is twice
// too long, which has taken up to 10,742 checks, and a fixed seed, so that every
// run of the tests gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "20000", "rapid.steps": "60", "rapid.seed": "20261204"} {
		f := flag.Lookup(name)
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
		f.DefValue = value
	}
	os.Exit(m.Run())
}
