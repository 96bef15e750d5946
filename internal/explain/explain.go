// Package explain reads the log lines of several instances and says in sentences
// what became of a request, or what instances believed over time.
//
// It needs nothing but the lines: a line that is no JSON object is passed over
// and counted.
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

// maxLine bounds a line in bytes; longer ones are cut by the reader's error.
const maxLine = 1 << 20

// Line is one log line. Fields that a line does not have are zero.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Part     string    `json:"part"`
	Message  string    `json:"message"`
	Level    string    `json:"level"`

	ID       string  `json:"id"`
	Session  uint64  `json:"session"`
	Kind     string  `json:"kind"`
	Route    string  `json:"route"`
	Service  string  `json:"service"`
	Database string  `json:"database"`
	Owner    string  `json:"owner"`
	Code     string  `json:"code"`
	Reason   string  `json:"reason"`
	Error    string  `json:"error"`
	Ran      string  `json:"ran"`
	TookMS   float64 `json:"took_ms"`
	Attempts int     `json:"attempts"`
	Timeouts int     `json:"timeouts"`
	Version  uint64  `json:"version"`
	WaitFor  string  `json:"wait_for"`
	Floor    string  `json:"floor"`
	InUse    int     `json:"in_use"`
	Queued   int     `json:"queued"`
	UsualMS  float64 `json:"usual_ms"`

	BelievedPrimary string  `json:"believed_primary"`
	BeliefAgeMS     float64 `json:"belief_age_ms"`
	Term            uint64  `json:"term"`
	Token           uint64  `json:"token"`
	Phase           string  `json:"phase"`
	Primary         any     `json:"primary"` // a database's id, or whether the database was used as primary
	Candidate       string  `json:"candidate"`
	Command         string  `json:"command"`
	Dropped         int     `json:"dropped"`
}

// Read returns the lines of a log in order of time, and how many were no log
// lines. A prefix before the JSON object, such as a time and a host, is ignored.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
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
		return lines, skipped, fmt.Errorf("read the log: %w", err)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, skipped, nil
}

// around is how long before and after a request the beliefs of a service matter
// to it.
const around = 5 * time.Second

// Request writes what became of the request with the id. It reports false if no
// line names it.
func Request(w io.Writer, lines []Line, id string) bool {
	var of []Line
	for _, l := range lines {
		if l.ID == id {
			of = append(of, l)
		}
	}
	if len(of) == 0 {
		fmt.Fprintf(w, "No line names request %s. Ordinary successes have a line in one case of 100.\n", id)
		return false
	}
	for _, l := range of {
		fmt.Fprintf(w, "%s %s: %s\n", stamp(l), l.Instance, describe(l))
		for _, cause := range causes(l) {
			fmt.Fprintf(w, "  %s\n", cause)
		}
	}
	context(w, lines, of[len(of)-1])
	return true
}

func stamp(l Line) string { return l.Time.UTC().Format("15:04:05.000") }

// describe says what happened to a request in one sentence.
func describe(l Line) string {
	switch l.Message {
	case "A request ended.":
		verb := "was served"
		if l.Code != "ok" {
			verb = fmt.Sprintf("ended with %s (run: %s)", l.Code, l.Ran)
		}
		return fmt.Sprintf("the %s on route %s %s after %.0f ms, %d attempts, %d of them unanswered.", l.Kind, l.Route, verb, l.TookMS, l.Attempts, l.Timeouts)
	case "A statement was refused.":
		return fmt.Sprintf("the %s was refused with %s: %s.", l.Kind, l.Code, l.Reason)
	}
	return strings.TrimSuffix(l.Message, ".") + "."
}

// causes names the inputs that decided, with their ages.
func causes(l Line) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if l.Reason != "" && l.Message == "A request ended." {
		add("Cause: %s.", l.Reason)
	}
	if l.Error != "" {
		add("Error: %s.", l.Error)
	}
	if l.Database != "" {
		add("Last database: %s, %d connections in use, %d requests queued, an exchange usually takes %.0f ms.", l.Database, l.InUse, l.Queued, l.UsualMS)
	}
	if l.Owner != "" {
		add("It went through instance %s, which holds the connections to the database.", l.Owner)
	}
	if l.WaitFor != "" {
		add("The database had to hold position %s.", l.WaitFor)
	}
	if l.Floor != "" {
		add("The session had committed up to position %s.", l.Floor)
	}
	if l.BelievedPrimary != "" {
		add("Believed primary of %s: %s, term %d, token %d, phase %s, confirmed %.0f ms before.", l.Service, l.BelievedPrimary, l.Term, l.Token, l.Phase, l.BeliefAgeMS)
	}
	if l.Version != 0 {
		add("Configuration in force: version %d.", l.Version)
	}
	return out
}

// context writes what changed for the request's service around its end.
func context(w io.Writer, lines []Line, end Line) {
	if end.Service == "" {
		return
	}
	fmt.Fprintf(w, "Around it, on service %s:\n", end.Service)
	n := 0
	last := ""
	for _, l := range lines {
		gap := l.Time.Sub(end.Time)
		if gap < -around || gap > around {
			continue
		}
		s, ok := event(l)
		if !ok || (l.Service != end.Service && l.Instance != end.Instance) || s == last {
			continue
		}
		last = s
		n++
		fmt.Fprintf(w, "  %s %+.1f s %s: %s\n", stamp(l), gap.Seconds(), l.Instance, s)
	}
	if n == 0 {
		fmt.Fprintln(w, "  nothing changed.")
	}
}

// Timeline writes what instances believed and did over time, but for requests.
// An empty service means all.
func Timeline(w io.Writer, lines []Line, service string) {
	for _, l := range lines {
		if s, ok := event(l); ok && (service == "" || l.Service == service || l.Service == "") {
			fmt.Fprintf(w, "%s %s: %s\n", stamp(l), l.Instance, s)
		}
	}
}

// event describes a line that changed what an instance believes or can reach.
func event(l Line) (string, bool) {
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
