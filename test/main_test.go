// Package integration tests the system's guarantees with real processes: the
// binaries run behind toxiproxy, which cuts and delays the links between them,
// and are killed and paused by process id.
package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var printProcessLogs = flag.Bool("process-logs", false, "copy the output of all processes to standard error")

// longTests selects more rounds, seeds or time where a test has a long form.
var longTests = os.Getenv("GERANIUMBEAM_LONG") != ""

// binDir holds the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "geraniumbeam-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", binDir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the binaries under test: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
