// Package asynclog writes log lines asynchronously, so that a slow reader of the
// log does not block the goroutines that log.
//
// Invariants: Write never blocks. The number of queued lines is bounded. Lines
// that do not fit are dropped and counted, and the count is logged after the next
// line that is written.
package asynclog

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// queueLines is the capacity of the queue. A line has about 400 bytes.
	queueLines = 2048
	// sampleInterval is the number of successful requests for each one that is
	// logged. An instance with 100 requests a second writes one line a second.
	sampleInterval = 100
)

// Writer is an io.Writer that queues lines for another writer. It is safe for
// concurrent use.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64
}

// NewWriter returns a Writer to out. Close must be called to write the queued
// lines.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of one line, or drops the line if
// the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	buf := append([]byte(nil), line...)
	select {
	case w.lines <- buf:
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

// Close writes the queued lines and stops the writer. Lines written later are
// queued or dropped, but do not reach the underlying writer.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { w.lines <- nil })
	<-w.done
}

// Sampled reports whether to log a successful request with the given id. The
// result is the same on all instances.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleInterval == 0 }
