// Package backend implements connections to the databases of a group over the
// PostgreSQL protocol. No other package depends on how a database reports its term
// and position or on the SQL of group operations.
//
// Invariants: a Conn that returned an error other than a database error is closed
// and never reused. An answer is complete: it ends with ReadyForQuery.
package backend

import (
	"cmp"
	"context"
	"time"
)

// Position is a position in the log of a group. Positions are ordered by term, then
// by offset.
type Position struct {
	Term   uint64
	Offset uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Role is the role that a database reports.
type Role string

const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced" // its term was raised and it does not follow a primary yet
)

// Status is the status that a database reports.
type Status struct {
	Term       uint64 // highest term that it was raised to
	Role       Role
	Last       Position      // of its last durable log entry
	PrimaryAge time.Duration // time since the last message from its primary
	Leaving    bool          // it is about to be removed from service
}

// Batch is one unit of work: frontend messages up to and including Sync, or a
// simple Query, in wire format.
type Batch struct {
	Messages       []byte
	InjectedParses []uint32 // indexes, among the Parse messages, of those that the proxy added
}

// Answer is a complete answer: backend messages up to and including ReadyForQuery.
type Answer struct {
	Messages          []byte
	TransactionStatus byte   // 'I', 'T' or 'E'
	CommandTag        string // last CommandComplete tag
	SQLState          string // of the first ErrorResponse, empty: none
	StatusBefore      Status
	StatusAfter       Status // zero unless Run was asked for it
}

// Conn is one connection to a database. It is used by one goroutine at a time.
type Conn interface {
	// Run sends a status query, the batch and, if statusAfter is set, another
	// status query in one pipeline, and reads the complete answer. sent is called before
	// the first byte is written. An answer above maxAnswer bytes is read to its end,
	// discarded and reported as result.AnswerTooLarge. Any other error closes the
	// connection.
	Run(ctx context.Context, b Batch, statusAfter bool, maxAnswer int, sent func()) (Answer, error)
	// Cancel asks the server to cancel the batch that the connection is running.
	Cancel(ctx context.Context) error
	// Close closes the connection.
	Close()
	// Broken reports whether the connection is closed.
	Broken() bool
}

// Database is one database of a group.
type Database interface {
	// Connect opens a connection for work.
	Connect(ctx context.Context) (Conn, error)
	// ConnectControl opens a connection for status and group operations.
	ConnectControl(ctx context.Context) (ControlConn, error)
}

// ControlConn is a connection for status and group operations. It does not count
// against the slots of the database. An error closes it.
type ControlConn interface {
	// Status returns the current status.
	Status(ctx context.Context) (Status, error)
	// Wait returns when the last durable log entry has reached p, or after d.
	Wait(ctx context.Context, p Position, d time.Duration) (Status, error)
	// Raise raises the term of the database, which fences it for all lower terms.
	// It is idempotent and fails if the database is at a higher term.
	Raise(ctx context.Context, term uint64) (Status, error)
	// Promote makes a database that was raised to term its primary.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the database replicate from the primary at address.
	Follow(ctx context.Context, term uint64, address string) (Status, error)
	// Close closes the connection.
	Close()
}
