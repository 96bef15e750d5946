// Package asynclog writes structured log lines without ever blocking the
// work that they describe.
//
// Invariants: Write never waits. The bytes that wait to be written are bounded.
// Lines that were dropped are counted, and the count is written as soon as
// there is room.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// waitingLines bounds the lines that wait; a line has about 400 bytes.
	waitingLines = 2048
	// sampled is the share of ordinary successes that get a line: one in
	// sampled. With 100 requests a second an instance writes one a second.
	sampled = 100
)

// Writer passes lines on to a slow writer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

// NewWriter returns a writer to out. Close must be called to write what waits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, waitingLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	log := zerolog.New(w.out).With().Timestamp().Str("part", "log").Logger()
	var reported int64
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
			continue
		}
		if n := w.dropped.Load(); n != reported {
			log.Warn().Int64("dropped", n-reported).Int64("dropped_total", n).Msg("Lines were dropped.")
			reported = n
		}
	}
}

// Close writes what waits and stops the writer. Lines that arrive later are
// dropped.
func (w *Writer) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}

// Sampled reports whether an ordinary success with the request id gets a line.
// All instances decide alike.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampled == 0 }
