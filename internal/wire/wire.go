// Package wire is the internal protocol between instances: messages and
// services generated from inner.proto, conversions, limits and transport.
//
// Invariants: a message larger than MaxMessage is rejected before it is decoded.
// An answer to another request, transaction or sequence number is discarded (see
// Matches).
package wire

import (
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

// MaxMessage is the largest internal message in bytes. The pool limits answers
// to this size, even if a service's max_answer is larger.
const MaxMessage = 64 << 20

// PositionOf converts a wire position to a backend.Position; nil is the zero
// position.
func PositionOf(p *LogPosition) backend.Position {
	return backend.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}

// NewPosition converts a backend.Position to a wire position.
func NewPosition(p backend.Position) *LogPosition {
	return &LogPosition{Term: p.Term, Offset: p.Offset}
}

// NewFailure converts an error to a wire failure; nil stays nil.
func NewFailure(err error) *Failure {
	e := result.From(err)
	if e == nil {
		return nil
	}
	return &Failure{
		Code:         uint32(e.Code),
		Message:      e.Message,
		Ran:          Ran(e.Ran),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// Err converts a failure to an error; nil stays nil. A code that this version
// does not know becomes Internal with the original message, and an unknown value
// of Ran becomes RanUnknown.
func (f *Failure) Err() error {
	if f == nil {
		return nil
	}
	ran := result.Ran(f.GetRan())
	if ran != result.RanNo && ran != result.RanYes {
		ran = result.RanUnknown
	}
	return &result.Error{
		Code:       result.Lookup(result.Code(f.GetCode())).Code,
		Message:    f.GetMessage(),
		Ran:        ran,
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}

var roles = map[backend.Role]Role{
	backend.RolePrimary: Role_ROLE_PRIMARY,
	backend.RoleReplica: Role_ROLE_REPLICA,
	backend.RoleFenced:  Role_ROLE_FENCED,
}

// NewStatus converts a database status to a wire status.
func NewStatus(database string, s backend.Status) *DatabaseStatus {
	return &DatabaseStatus{
		Database:     database,
		Term:         s.Term,
		Role:         roles[s.Role],
		Last:         NewPosition(s.Last),
		PrimaryAgeMs: s.PrimaryAge.Milliseconds(),
		Leaving:      s.Leaving,
		Reachable:    true,
	}
}

// StatusOf converts a wire status to a backend.Status.
func StatusOf(s *DatabaseStatus) backend.Status {
	out := backend.Status{
		Term:       s.GetTerm(),
		Last:       PositionOf(s.GetLast()),
		PrimaryAge: time.Duration(s.GetPrimaryAgeMs()) * time.Millisecond,
		Leaving:    s.GetLeaving(),
	}
	for role, w := range roles {
		if w == s.GetRole() {
			out.Role = role
		}
	}
	return out
}

// Matches reports whether resp answers req. A duplicate or late answer to another
// request, transaction or sequence number does not match.
func Matches(req *ExecuteRequest, resp *ExecuteResponse) bool {
	return resp.GetRequestId() == req.GetRequestId() &&
		resp.GetSequence() == req.GetSequence() &&
		(req.GetTransactionId() == "" || resp.GetTransactionId() == req.GetTransactionId())
}
