package integration

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a program under test. Signals go to its own process id only.
type process struct {
	name string
	args []string
	log  *logBuffer

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // of Wait, after exited is closed
}

func newProcess(name, binary string, args ...string) *process {
	return &process{name: name, args: append([]string{filepath.Join(binDir, binary)}, args...), log: &logBuffer{name: name}}
}

func (p *process) start(t testing.TB) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	}()
}

func (p *process) signal(t testing.TB, s os.Signal) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		t.Fatalf("signal %v to %s: the process was not started", s, p.name)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Logf("signal %v to %s: %v", s, p.name, err)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

func (p *process) pause(t testing.TB)  { p.signal(t, syscall.SIGSTOP) }
func (p *process) resume(t testing.TB) { p.signal(t, syscall.SIGCONT) }

// terminate sends SIGTERM, which starts a graceful shutdown, and returns the
// exit code.
func (p *process) terminate(t testing.TB, within time.Duration) int {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(within):
		t.Fatalf("%s did not exit within %v of SIGTERM", p.name, within)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// exitCode returns the exit code of a process that exited on its own.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// cleanup kills the process if it was started and waits for its exit.
func (p *process) cleanup() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// logBuffer keeps the last maxLogBytes of a process's output.
type logBuffer struct {
	name string
	mu   sync.Mutex
	buf  bytes.Buffer
}

// maxLogBytes bounds the output that is kept for each process.
const maxLogBytes = 256 << 10

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if *printProcessLogs {
		fmt.Fprintf(os.Stderr, "[%s] %s", l.name, b)
	}
	l.buf.Write(b)
	if over := l.buf.Len() - maxLogBytes; over > 0 {
		_, _ = io.CopyN(io.Discard, &l.buf, int64(over))
	}
	return len(b), nil
}

func (l *logBuffer) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buf.Bytes()
	if len(b) > n {
		b = b[len(b)-n:]
	}
	return string(b)
}
