package contain

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against a panic of one task that ends the process, or that nobody is told of.
func TestPanicIsContainedLoggedAndCounted(t *testing.T) {
	var out bytes.Buffer
	before := Panics()
	if !Run(zerolog.New(&out), "session", func() { panic("bad frame") }) {
		t.Error("the panic is not reported")
	}
	if Panics() != before+1 {
		t.Errorf("%d panics counted, want 1", Panics()-before)
	}
	for _, want := range []string{`"task":"session"`, `"panic":"bad frame"`, "contain_test.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %s: %s", want, out.String())
		}
	}
	if Run(zerolog.Nop(), "session", func() {}) {
		t.Error("a task without a panic is reported")
	}
}

// Guards against a background task that never runs again after a panic.
func TestLoopRunsAgain(t *testing.T) {
	runs := 0
	Loop(context.Background(), zerolog.Nop(), "task", func(context.Context) {
		if runs++; runs == 1 {
			panic("once")
		}
	})
	if runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}
}
