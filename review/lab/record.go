package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since its start. It
// is safe for concurrent use.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// add appends a line. who names the caller, database or process that it is about.
func (r *record) add(who, format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %-10s %s", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// addAt appends a line about something that happened at the given time.
func (r *record) addAt(at time.Time, who, format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %-10s %s", at.Sub(r.start).Seconds(), who, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[len(r.lines)-1]
}

func (r *record) writeTo(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
