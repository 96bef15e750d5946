package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against goroutines that block when the reader of standard output stops
// reading, and against lines that are lost without being counted.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * queueLines
	for range lines {
		if n, err := w.Write([]byte("x\n")); n != 2 || err != nil {
			t.Fatalf("Write = %d, %v", n, err)
		}
	}
	if w.Dropped() < lines-queueLines-1 {
		t.Errorf("%d lines dropped, want about %d", w.Dropped(), lines-queueLines)
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.written.String(), `"message":"Lines were dropped."`) {
		t.Error("the number of dropped lines is not logged")
	}
}
