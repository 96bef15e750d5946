// Package confirm decides which commits of a primary may be acknowledged. It
// does no I/O: it takes positions of the primary and reports of replicas.
//
// A commit at (term t, offset p) is confirmed when a majority of the group
// holds it: the primary and enough replicas that reported term t with a last
// log entry of term t at or above p. A promotion to a higher term first raises
// the term on a majority, and a raised database sends no reports for lower
// terms. Both majorities share a database, so a confirmed commit is in every
// later primary's log, however late the confirmation arrives.
//
// Invariants: a confirmed offset never becomes unconfirmed. A report with a
// last entry of another term confirms nothing, because the log may differ from
// the primary's.
package confirm

import (
	"slices"

	"geraniumbeam/internal/backend"
)

// State is what is known of a pending position.
type State int

// Verdicts.
const (
	// Pending means that more reports are needed.
	Pending State = iota
	// Confirmed means that no later primary can lack the position.
	Confirmed
	// Superseded means that too many replicas are at a higher term for the position
	// to be confirmed by this primary.
	Superseded
)

// Requirement is a position that waits for a verdict.
type Requirement struct {
	// Offset is the primary's log offset at the tracker's term. Offset 0 is
	// the empty log, which every database holds.
	Offset uint64
	// VerifyAfter is the sequence number of the read's begin if the primary has
	// to be verified: reports from calls that began earlier do not count.
	// Zero asks for no verification.
	VerifyAfter uint64
}

type report struct {
	offset    uint64 // highest offset reported with a last entry of the term
	verified  uint64 // latest call that saw the replica at the term
	overtaken bool   // seen at a higher term
}

// Tracker follows one primary at one term. It is not safe for concurrent use.
type Tracker struct {
	term     uint64
	others   int // replicas in the group
	quorum   int // replicas that have to hold a position
	replicas map[string]report
	marks    []uint64 // scratch for confirmed
	mark     uint64   // highest confirmed offset
}

// New returns a tracker for a primary at term in a group of databases members.
func New(term uint64, databases int) *Tracker {
	others := max(databases-1, 0)
	return &Tracker{
		term: term, others: others, quorum: (others + 1) / 2,
		replicas: make(map[string]report, others),
	}
}

// Term returns the term that the tracker follows.
func (t *Tracker) Term() uint64 { return t.term }

// Report takes the status of a replica. call is the sequence number taken before
// the status was asked for, or 0 if that is not known. Reads and calls take
// their numbers from one increasing counter of the primary.
func (t *Tracker) Report(replica string, call uint64, s backend.Status) {
	r := t.replicas[replica]
	switch {
	case s.Term > t.term:
		r.overtaken = true
	case s.Term == t.term:
		r.verified = max(r.verified, call)
		if s.Last.Term == t.term {
			r.offset = max(r.offset, s.Last.Offset)
		}
	}
	t.replicas[replica] = r
	t.mark = max(t.mark, t.confirmed())
}

// confirmed returns the highest offset that quorum replicas reported.
func (t *Tracker) confirmed() uint64 {
	if t.quorum == 0 || len(t.replicas) < t.quorum {
		return 0
	}
	t.marks = t.marks[:0]
	for _, r := range t.replicas {
		t.marks = append(t.marks, r.offset)
	}
	slices.Sort(t.marks)
	return t.marks[len(t.marks)-t.quorum]
}

// ConfirmedOffset returns the highest offset that is confirmed.
func (t *Tracker) ConfirmedOffset() uint64 { return t.mark }

// Check returns the verdict on w.
func (t *Tracker) Check(w Requirement) State {
	if t.quorum == 0 {
		return Confirmed
	}
	held := w.Offset <= t.mark
	if held && (w.VerifyAfter == 0 || t.verifiedSince(w.VerifyAfter)) {
		return Confirmed
	}
	if t.lost() {
		return Superseded
	}
	return Pending
}

func (t *Tracker) verifiedSince(read uint64) bool {
	n := 0
	for _, r := range t.replicas {
		if r.verified > read {
			n++
		}
	}
	return n >= t.quorum
}

// lost reports whether the replicas that were not seen at a higher term are too
// few for a majority. One replica alone may have been raised by a candidate
// that never reached a majority.
func (t *Tracker) lost() bool {
	left := t.others
	for _, r := range t.replicas {
		if r.overtaken {
			left--
		}
	}
	return left < t.quorum
}

// RequiredReports says what calls to a replica are needed for the waits.
type RequiredReports struct {
	Offset uint64 // highest pending offset, 0: none
	Verify bool   // a wait needs a report from a call that begins now
}

// AddRequired returns n extended by what a pending wait needs from replicas.
func (t *Tracker) AddRequired(n RequiredReports, w Requirement) RequiredReports {
	if w.Offset > t.mark {
		n.Offset = max(n.Offset, w.Offset)
	}
	if w.VerifyAfter != 0 && !t.verifiedSince(w.VerifyAfter) {
		n.Verify = true
	}
	return n
}
