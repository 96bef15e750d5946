package integration

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"geraniumbeam/internal/cli"
)

// Guards against a process that SIGHUP ends because the signal arrives before the
// process handles it, as when an instance is started and reloaded at nearly the same
// time. The settings are a FIFO, so the signal arrives while they are being read.
func TestHangupDuringStart(t *testing.T) {
	for _, c := range []struct {
		name, binary string
		args         []string
	}{
		{"platformd", "geraniumbeam-platformd", []string{"run", "--settings"}},
		{"geraniumbeamd", "geraniumbeamd", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			fifo := filepath.Join(t.TempDir(), "settings.yaml")
			if err := syscall.Mkfifo(fifo, 0o600); err != nil {
				t.Fatal(err)
			}
			p := newProcess(c.name, c.binary, append(c.args, fifo)...)
			p.start(t)
			t.Cleanup(p.cleanup)
			w, err := os.OpenFile(fifo, os.O_WRONLY, 0) // waits until the process opens its settings
			if err != nil {
				t.Fatal(err)
			}
			p.signal(t, syscall.SIGHUP)
			if _, err := w.WriteString("unknown_setting: 1\n"); err != nil {
				t.Fatalf("the process does not read its settings after SIGHUP: %v", err)
			}
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			select {
			case <-p.exited:
			case <-time.After(30 * time.Second):
				t.Fatal("the process did not exit after invalid settings")
			}
			if code := p.exitCode(); code != cli.ExitUsage {
				t.Errorf("exit code %d, want %d for invalid settings", code, cli.ExitUsage)
			}
		})
	}
}
