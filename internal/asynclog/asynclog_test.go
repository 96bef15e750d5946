package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blocked is a reader of the log that never reads until released.
type blocked struct {
	mu      sync.Mutex
	release chan struct{}
	got     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a reader of standard output that stops reading and so stops
// the work, and against lines that vanish without being counted.
func TestBlockedReaderSlowsNothing(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * waitingLines
	for range lines {
		if n, err := w.Write([]byte("x\n")); n != 2 || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	if w.Dropped() < lines-waitingLines-1 {
		t.Errorf("%d lines dropped, want about %d", w.Dropped(), lines-waitingLines)
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.got.String(), `"message":"Lines were dropped."`) {
		t.Error("the dropped lines are not reported")
	}
}
