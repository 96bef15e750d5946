package primacy

import (
	"slices"
	"time"

	"geraniumbeam/internal/statement"
)

// suspectAfter is how long a primary may be without an answer before an
// instance asks it directly. A reset connection and a refused one take less
// than 100 ms to be replaced when the database works.
const suspectAfter = 150 * time.Millisecond

// unknownPrimaryTimeout is how long a record may name a database that this instance does
// not know before that counts as a failure. The news of a record comes at once
// and that of a new database with a list, 1 s apart and 1.5 s long at most.
const unknownPrimaryTimeout = 3 * time.Second

// HasQuorum reports whether so many of the registered instances suspect the
// primary under the token that it may be replaced: more than half. One instance
// that lost its own path never suffices while others are registered.
func HasQuorum(registered []Registration, excluded []string, service string, token uint64) bool {
	suspects, all := 0, 0
	for _, r := range registered {
		if slices.Contains(excluded, r.Incarnation) {
			continue
		}
		all++
		if t, ok := r.Suspects[service]; ok && t == token {
			suspects++
		}
	}
	return 2*suspects > all
}

// Unacknowledged returns the registrations of the instances that have not confirmed
// there that they stopped using the primary that the token replaces.
func Unacknowledged(registered []Registration, excluded []string, service string, token uint64) []Registration {
	return slices.DeleteFunc(slices.Clone(registered), func(r Registration) bool {
		return r.Stopped[service] >= token || slices.Contains(excluded, r.Incarnation)
	})
}

// longestValidity returns for how long any of the instances uses what it knows.
func longestValidity(of []Registration) time.Duration {
	var longest time.Duration
	for _, r := range of {
		longest = max(longest, r.Validity)
	}
	return longest
}

func incarnations(of []Registration) []string {
	var all []string
	for _, r := range of {
		all = append(all, r.Incarnation)
	}
	return all
}

// Two sets of databases, besides the primary, must have one in common: those
// that extend an instance's knowledge, and those that a promoter raises while it
// can't hear from that instance.

// extendQuorumSize returns how many of the others must answer an instance: half.
func extendQuorumSize(others int) int { return (others + 1) / 2 }

// fenceQuorumSize returns how many of the others a promoter must raise.
func fenceQuorumSize(others int) int { return others - extendQuorumSize(others) + 1 }

// ConfirmsPrimary reports whether the answers of databases show that nobody has begun to
// replace the primary of a record: the primary leads its term, and enough of the
// others were not raised. A promoter raises the databases and then waits for the
// validity, so the primary may be used for that long.
func ConfirmsPrimary(rec Record, answered []MemberStatus, others int) bool {
	leads, unraised := false, 0
	for _, o := range answered {
		if o.ID == rec.Primary {
			leads = o.Status.Primary && o.Status.Term == rec.Term
		} else {
			unraised++
		}
	}
	return leads && others > 0 && unraised >= extendQuorumSize(others) && !Superseded(rec, answered)
}

// Superseded reports whether any database was raised above the record's term, or
// another than its primary leads.
func Superseded(rec Record, answered []MemberStatus) bool {
	return slices.ContainsFunc(answered, func(o MemberStatus) bool {
		return o.Status.HeldTerm > rec.Term || o.Status.Term > rec.Term || (o.Status.Primary && o.ID != rec.Primary)
	})
}

// MemberStatus is the status of one database.
type MemberStatus struct {
	Member
	Status statement.Status
}

// OrderCandidates orders the databases that may be promoted: those that stay before
// those that leave, then by the end of their log, then by id. With avoidNew set,
// databases that every instance has had time to hear of come before the others:
// an instance without the store asks the databases that it knows, and one that
// it doesn't know can't tell it of its lead.
func OrderCandidates(observed []MemberStatus, avoidNew bool) []MemberStatus {
	ordered := slices.Clone(observed)
	slices.SortFunc(ordered, func(a, b MemberStatus) int {
		switch {
		case a.Leaving != b.Leaving:
			if a.Leaving {
				return 1
			}
			return -1
		case avoidNew && a.New != b.New:
			if a.New {
				return 1
			}
			return -1
		case a.Status.Received != b.Status.Received:
			if a.Status.Received.Before(b.Status.Received) {
				return 1
			}
			return -1
		case a.ID < b.ID:
			return -1
		}
		return 1
	})
	return ordered
}
