package integration

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// commandResult is the output and exit code of a run of geraniumbeamctl.
type commandResult struct {
	out  string // standard output
	err  string // standard error
	code int
}

// ctl runs geraniumbeamctl against the cluster's platform.
func (c *cluster) ctl(t testing.TB, args ...string) commandResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "geraniumbeamctl"), args...)
	cmd.Env = append(os.Environ(), "GERANIUMBEAM_PLATFORM="+c.platformURL)
	var out, errOut strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("geraniumbeamctl %v: %v", args, err)
	}
	r := commandResult{out: out.String(), err: errOut.String(), code: cmd.ProcessState.ExitCode()}
	t.Logf("geraniumbeamctl %s (exit code %d)\n%s%s", strings.Join(args, " "), r.code, r.out, r.err)
	return r
}

// want fails the test unless the command exited with code and its output contains
// all texts.
func (r commandResult) want(t testing.TB, code int, texts ...string) commandResult {
	t.Helper()
	if r.code != code {
		t.Errorf("exit code %d, want %d", r.code, code)
	}
	for _, s := range texts {
		if !strings.Contains(r.out+r.err, s) {
			t.Errorf("output does not contain %q", s)
		}
	}
	return r
}

// lacks fails the test if the output contains one of the texts.
func (r commandResult) lacks(t testing.TB, texts ...string) commandResult {
	t.Helper()
	for _, s := range texts {
		if strings.Contains(r.out+r.err, s) {
			t.Errorf("output contains %q", s)
		}
	}
	return r
}

// file writes a file for geraniumbeamctl and returns its path.
func (c *cluster) file(t testing.TB, name, content string) string {
	t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
