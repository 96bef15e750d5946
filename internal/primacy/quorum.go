package primacy

import (
	"slices"
	"time"

	"geraniumbeam/internal/statement"
)

// suspectAfter is how long a primary may be without an answer before an instance
// probes it. Replacing a reset or refused connection takes less than 100 ms when
// the database works.
const suspectAfter = 150 * time.Millisecond

// unknownPrimaryTimeout is how long a record may name a database that this
// instance does not know before that counts as a failure. A changed record
// arrives at once, but a new database only with a list: lists start 1 s apart and
// take up to 1.5 s.
const unknownPrimaryTimeout = 3 * time.Second

// HasQuorum reports whether more than half of the registered instances suspect
// the primary under the token, so that it may be replaced. One instance that lost
// its own network path never suffices while others are registered.
func HasQuorum(registered []Registration, excluded []string, service string, token uint64) bool {
	suspects, all := countSuspicions(registered, excluded, service, token)
	return 2*suspects > all
}

// countSuspicions returns how many of the registered instances suspect the primary under
// the token, and how many there are. Those that are excluded or unreadable don't count.
func countSuspicions(registered []Registration, excluded []string, service string, token uint64) (suspects, all int) {
	for _, r := range registered {
		if r.Unreadable || slices.Contains(excluded, r.Incarnation) {
			continue
		}
		all++
		if t, ok := r.Suspects[service]; ok && t == token {
			suspects++
		}
	}
	return suspects, all
}

// Unacknowledged returns the registrations that do not yet state that the
// instance stopped using the primary that the token replaces. Excluded
// incarnations are left out.
func Unacknowledged(registered []Registration, excluded []string, service string, token uint64) []Registration {
	return slices.DeleteFunc(slices.Clone(registered), func(r Registration) bool {
		return r.Stopped[service] >= token || slices.Contains(excluded, r.Incarnation)
	})
}

// longestValidity returns the longest validity that any of the instances uses.
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

// Two quorums of the databases other than the primary must intersect: those that
// confirm an instance's cached record, and those that a promoter fences while it
// can't reach that instance.

// extendQuorumSize returns how many of the others must answer an instance: half
// while its record is valid. Once that has lapsed, a promotion may have cleared the
// fences, and a database that it did not promote may not show it yet. Only the promoted
// one shows it for certain, so all must answer.
func extendQuorumSize(others int, valid bool) int {
	if !valid {
		return others
	}
	return (others + 1) / 2
}

// fenceQuorumSize returns how many of the others a promoter must fence.
func fenceQuorumSize(others int) int { return others - extendQuorumSize(others, true) + 1 }

// fencesSuffice reports whether the databases that a promoter has fenced, of the members
// without the primary, include one of any quorum that confirms an instance's valid record.
// An instance may not know the new members, so a fence of one of these proves nothing, and
// one that is not fenced may be among those that it asks.
func fencesSuffice(others []Member, fenced []MemberStatus) bool {
	count, effective := len(others), 0
	for _, o := range fenced {
		if o.New {
			count--
		} else {
			effective++
		}
	}
	if count == 0 {
		return len(others) > 0 // all are new, and no instance finds one that is not fenced
	}
	return effective >= fenceQuorumSize(count)
}

// ConfirmsPrimary reports whether the status of databases shows that no
// replacement of the record's primary has begun: the primary still leads the
// record's term, enough of the others answered, and no answer shows a newer term
// or another primary. A promoter fences the databases first and then waits for
// the validity, so the primary may be used for that time. valid tells whether the
// record was valid when the databases were asked.
func ConfirmsPrimary(rec Record, answered []MemberStatus, others int, valid bool) bool {
	unfenced := 0
	for _, o := range answered {
		if o.ID != rec.Primary {
			unfenced++
		}
	}
	return others > 0 && unfenced >= extendQuorumSize(others, valid) && leads(rec, answered) && !Superseded(rec, answered)
}

// leads reports whether the primary of rec says that it leads the record's term.
func leads(rec Record, answered []MemberStatus) bool {
	return slices.ContainsFunc(answered, func(o MemberStatus) bool {
		return o.ID == rec.Primary && o.Status.Primary && o.Status.Term == rec.Term
	})
}

// Superseded reports whether any database is fenced at, or follows, a newer term
// than the record's, or whether a database other than the recorded primary leads its
// term. One that leads an earlier term was replaced and has not noticed it.
func Superseded(rec Record, answered []MemberStatus) bool {
	return slices.ContainsFunc(answered, func(o MemberStatus) bool {
		return o.Status.HeldTerm > rec.Term || o.Status.Term > rec.Term ||
			(o.Status.Primary && o.ID != rec.Primary && o.Status.Term == rec.Term)
	})
}

// MemberStatus is a database and its status.
type MemberStatus struct {
	Member
	Status statement.Status
}

// OrderCandidates sorts the databases that may be promoted: those that stay
// before those that leave, then by the end of their log, furthest first, then by
// id. With avoidNew set, new databases come after others that stay or leave
// alike. An instance that can't reach the store learns of a new primary only from
// the databases that it knows.
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
