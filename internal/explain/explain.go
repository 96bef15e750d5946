// Package explain reads the log lines of one or more instances and prints the
// outcome of a request, or the events of the instances over time.
//
// Input lines that are not log lines are skipped and counted.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a line. Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line is one log line. Fields that are missing in the line are zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Part     string    `json:"part"`
	Message  string    `json:"message"`
	Level    string    `json:"level"`

	ID               string  `json:"id"`
	Session          uint64  `json:"session"`
	Kind             string  `json:"kind"`
	Route            string  `json:"route"`
	Service          string  `json:"service"`
	Database         string  `json:"database"`
	Owner            string  `json:"owner"`
	Organisation     string  `json:"organisation"`
	Code             string  `json:"code"`
	Reason           string  `json:"reason"`
	Error            string  `json:"error"`
	Ran              string  `json:"ran"`
	TookMS           float64 `json:"took_ms"`
	Attempts         int     `json:"attempts"`
	Timeouts         int     `json:"timeouts"`
	Version          uint64  `json:"version"`
	WaitFor          string  `json:"wait_for"`
	Floor            string  `json:"floor"`
	ConnectionsInUse int     `json:"in_use"`
	Queued           int     `json:"queued"`
	MeanLatencyMS    float64 `json:"usual_ms"`

	RecordedPrimary string  `json:"believed_primary"`
	RecordAgeMS     float64 `json:"belief_age_ms"`
	Term            uint64  `json:"term"`
	Token           uint64  `json:"token"`
	Phase           string  `json:"phase"`
	Primary         any     `json:"primary"` // id of a database, or a bool: whether the database was used as the primary
	Candidate       string  `json:"candidate"`
	Command         string  `json:"command"`
	Dropped         int     `json:"dropped"`
}

// Read returns the log lines of r in order of time and the number of lines that
// are not log lines. A prefix before the JSON object, such as a time and a host,
// is ignored.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		var l Line
		if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil || l.Message == "" {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return lines, skipped, fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, nil
}

// eventWindow is the time before and after the end of a request in which events
// are printed with it.
const eventWindow = 5 * time.Second

// Request writes the outcome of the request with the given id, the details that
// led to it and the events of its service around that time. It returns false if
// no line has the id.
func Request(w io.Writer, lines []Line, id string) bool {
	var matching []Line
	for _, l := range lines {
		if l.ID == id {
			matching = append(matching, l)
		}
	}
	if len(matching) == 0 {
		fmt.Fprintf(w, "No log line has the request id %s. Only one in 100 requests that succeed within their latency target is logged.\n", id)
		return false
	}
	for _, l := range matching {
		fmt.Fprintf(w, "%s %s: %s\n", formatTime(l), l.Instance, describeEnd(l))
		for _, detail := range details(l) {
			fmt.Fprintf(w, "  %s\n", detail)
		}
	}
	writeServiceEvents(w, lines, matching[len(matching)-1])
	return true
}

func formatTime(l Line) string { return l.Time.UTC().Format("15:04:05.000") }

// describeEnd returns a sentence with the outcome of a request.
func describeEnd(l Line) string {
	switch l.Message {
	case "A request ended.":
		outcome := "was served"
		if l.Code != "ok" {
			outcome = fmt.Sprintf("ended with %s (run: %s)", l.Code, l.Ran)
		}
		return fmt.Sprintf("the %s on route %s %s after %.0f ms, %d attempts, %d of them unanswered.", l.Kind, l.Route, outcome, l.TookMS, l.Attempts, l.Timeouts)
	case "A statement was refused.":
		return fmt.Sprintf("the %s was refused with %s: %s.", l.Kind, l.Code, l.Reason)
	}
	return strings.TrimSuffix(l.Message, ".") + "."
}

// details returns sentences with the inputs that the outcome depended on.
func details(l Line) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if l.Reason != "" && l.Message == "A request ended." {
		add("Cause: %s.", l.Reason)
	}
	if l.Error != "" {
		add("Error: %s.", l.Error)
	}
	if l.Organisation != "" {
		add("Organisation: %s.", l.Organisation)
	}
	if l.Database != "" {
		add("Last database: %s, %d connections in use, %d requests queued, mean latency %.0f ms.", l.Database, l.ConnectionsInUse, l.Queued, l.MeanLatencyMS)
	}
	if l.Owner != "" {
		add("The request went through instance %s, which owns the connections to the database.", l.Owner)
	}
	if l.WaitFor != "" {
		add("The log of the database had to contain position %s.", l.WaitFor)
	}
	if l.Floor != "" {
		add("The session had committed up to position %s.", l.Floor)
	}
	if l.RecordedPrimary != "" {
		add("Recorded primary of %s: %s, term %d, token %d, phase %s, confirmed %.0f ms before.", l.Service, l.RecordedPrimary, l.Term, l.Token, l.Phase, l.RecordAgeMS)
	}
	if l.Version != 0 {
		add("Configuration version: %d.", l.Version)
	}
	return out
}

// writeServiceEvents writes the events of the request's service and of its
// instance within eventWindow of the line that ends the request.
func writeServiceEvents(w io.Writer, lines []Line, end Line) {
	if end.Service == "" {
		return
	}
	fmt.Fprintf(w, "Events of service %s around that time:\n", end.Service)
	n := 0
	last := ""
	for _, l := range lines {
		gap := l.Time.Sub(end.Time)
		if gap < -eventWindow || gap > eventWindow {
			continue
		}
		s, ok := describeEvent(l)
		if !ok || (l.Service != end.Service && l.Instance != end.Instance) || s == last {
			continue
		}
		last = s
		n++
		fmt.Fprintf(w, "  %s %+.1f s %s: %s\n", formatTime(l), gap.Seconds(), l.Instance, s)
	}
	if n == 0 {
		fmt.Fprintln(w, "  none.")
	}
}

// Timeline writes the events of all instances in order of time, without requests.
// If service is not empty, events of other services are omitted.
func Timeline(w io.Writer, lines []Line, service string) {
	for _, l := range lines {
		if s, ok := describeEvent(l); ok && (service == "" || l.Service == service || l.Service == "") {
			fmt.Fprintf(w, "%s %s: %s\n", formatTime(l), l.Instance, s)
		}
	}
}

// describeEvent returns a sentence for an event. It returns false for lines of
// requests, sessions and status queries, which are not events.
func describeEvent(l Line) (string, bool) {
	switch l.Message {
	case "The record of a service changed.":
		s := fmt.Sprintf("service %s is %s, primary %v, term %d, token %d", l.Service, l.Phase, l.Primary, l.Term, l.Token)
		if l.Candidate != "" {
			s += ", candidate " + l.Candidate
		}
		return s + ".", true
	case "A database answered a control command.":
		if l.Command == "status" {
			return "", false
		}
		return fmt.Sprintf("database %s answered %s.", l.Database, l.Command), true
	case "A request ended.", "A statement was refused.", "A session was refused.", "A session ended early.":
		return "", false
	}
	s := strings.TrimSuffix(l.Message, ".")
	for _, f := range []struct{ name, value string }{{"service", l.Service}, {"database", l.Database}, {"error", l.Error}} {
		if f.value != "" {
			s += fmt.Sprintf(", %s %s", f.name, f.value)
		}
	}
	return s + ".", true
}
