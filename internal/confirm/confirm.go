// Package confirm decides which commits of a primary may be acknowledged. It
// does no I/O: its inputs are log positions of the primary and status reports of
// the replicas.
//
// A commit at (term t, offset p) is confirmed when a majority of the group
// holds it: the primary and enough replicas that reported term t with a last
// log entry of term t at or above p. A promotion to a higher term first raises
// the term on a majority, and a raised database sends no reports for lower
// terms. Any two majorities share a database, so a confirmed commit is in every
// later primary's log, however late the confirmation arrives.
//
// Invariants: a confirmed offset never becomes unconfirmed. A report whose last
// log entry has another term confirms nothing, because the replica's log may
// differ from the primary's.
package confirm

import (
	"slices"

	"geraniumbeam/internal/backend"
)

// State is the confirmation state of a requirement.
type State int

const (
	// Pending means that more reports are needed.
	Pending State = iota
	// Confirmed means that every later primary has the position.
	Confirmed
	// Superseded means that too many replicas are at a higher term for the position
	// to be confirmed by this primary.
	Superseded
)

// Requirement is the condition under which a commit or read is acknowledged.
type Requirement struct {
	// Offset is the primary's log offset at the tracker's term that must be
	// confirmed. Offset 0 is the empty log, which every database holds.
	Offset uint64
	// VerifyAfter is the sequence number of the start of a read that must be
	// verified: only reports from calls that began after it count. With zero
	// no verification is required.
	VerifyAfter uint64
}

type report struct {
	offset     uint64 // highest offset reported with a last entry of the term
	lastCall   uint64 // latest call that found the replica at the term
	superseded bool   // reported at a higher term
}

// Tracker follows one primary at one term. It is not safe for concurrent use.
type Tracker struct {
	term            uint64
	replicaCount    int // replicas in the group
	quorum          int // replicas that have to hold a position
	replicas        map[string]report
	offsets         []uint64 // reused by quorumOffset
	confirmedOffset uint64   // highest confirmed offset
}

// New returns a tracker for a primary at the term in a group with the given number
// of databases.
func New(term uint64, databases int) *Tracker {
	replicas := max(databases-1, 0)
	return &Tracker{
		term: term, replicaCount: replicas, quorum: (replicas + 1) / 2,
		replicas: make(map[string]report, replicas),
	}
}

// Term returns the term of the tracked primary.
func (t *Tracker) Term() uint64 { return t.term }

// Report processes the status of a replica. call is the sequence number that was
// drawn before the status was requested, or 0 if it is unknown. Reads and calls
// draw their numbers from one increasing counter per primary.
func (t *Tracker) Report(replica string, call uint64, s backend.Status) {
	r := t.replicas[replica]
	switch {
	case s.Term > t.term:
		r.superseded = true
	case s.Term == t.term:
		r.lastCall = max(r.lastCall, call)
		if s.Last.Term == t.term {
			r.offset = max(r.offset, s.Last.Offset)
		}
	}
	t.replicas[replica] = r
	t.confirmedOffset = max(t.confirmedOffset, t.quorumOffset())
}

// quorumOffset returns the highest offset that a quorum of replicas has reported.
func (t *Tracker) quorumOffset() uint64 {
	if t.quorum == 0 || len(t.replicas) < t.quorum {
		return 0
	}
	t.offsets = t.offsets[:0]
	for _, r := range t.replicas {
		t.offsets = append(t.offsets, r.offset)
	}
	slices.Sort(t.offsets)
	return t.offsets[len(t.offsets)-t.quorum]
}

// ConfirmedOffset returns the highest confirmed offset.
func (t *Tracker) ConfirmedOffset() uint64 { return t.confirmedOffset }

// Check returns the state of a requirement.
func (t *Tracker) Check(r Requirement) State {
	if t.quorum == 0 {
		return Confirmed
	}
	held := r.Offset <= t.confirmedOffset
	if held && (r.VerifyAfter == 0 || t.verifiedSince(r.VerifyAfter)) {
		return Confirmed
	}
	if t.superseded() {
		return Superseded
	}
	return Pending
}

// verifiedSince reports whether a quorum of replicas was found at the term by calls
// that began after the read.
func (t *Tracker) verifiedSince(read uint64) bool {
	n := 0
	for _, r := range t.replicas {
		if r.lastCall > read {
			n++
		}
	}
	return n >= t.quorum
}

// superseded reports whether too few replicas for a majority remain that have not
// been reported at a higher term. A single replica at a higher term may have been
// raised by a candidate that never reached a majority.
func (t *Tracker) superseded() bool {
	remaining := t.replicaCount
	for _, r := range t.replicas {
		if r.superseded {
			remaining--
		}
	}
	return remaining < t.quorum
}

// RequiredReports describes the calls to a replica that pending requirements need.
type RequiredReports struct {
	Offset uint64 // highest pending offset, 0 if none
	Verify bool   // a report from a call that begins now is needed
}

// AddRequired returns n extended by the reports that a pending requirement needs.
func (t *Tracker) AddRequired(n RequiredReports, r Requirement) RequiredReports {
	if r.Offset > t.confirmedOffset {
		n.Offset = max(n.Offset, r.Offset)
	}
	if r.VerifyAfter != 0 && !t.verifiedSince(r.VerifyAfter) {
		n.Verify = true
	}
	return n
}
