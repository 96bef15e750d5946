// Package backend talks to the databases of a group over the PostgreSQL
// protocol. It is the only package that knows how a database reports its term
// and position and how it accepts group operations.
//
// Invariants: a Conn that returned an error other than a database error is
// closed and never reused. An answer is whole: it ends with ReadyForQuery.
package backend

import (
	"cmp"
	"context"
	"time"
)

// Position orders the log entries of a group, first by term, then by offset.
type Position struct {
	Term   uint64
	Offset uint64
}

// Compare returns -1, 0 or 1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Role is what a database says it is.
type Role string

// Roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced" // raised to a term and not yet following a primary
)

// Status is what a database reports about itself.
type Status struct {
	Term       uint64 // highest term it was raised to
	Role       Role
	Last       Position      // its last durable log entry
	PrimaryAge time.Duration // time since it last heard from its primary
	Leaving    bool
}

// Batch is one unit of work: frontend messages up to and including Sync, or a
// simple Query, in wire format.
type Batch struct {
	Messages       []byte
	InjectedParses []uint32 // indexes among the Parse messages whose ParseComplete is dropped
}

// Answer is a whole answer: backend messages up to and including ReadyForQuery.
type Answer struct {
	Messages          []byte
	TransactionStatus byte   // 'I', 'T' or 'E'
	CommandTag        string // last CommandComplete tag
	SQLState          string // of the first ErrorResponse, empty: none
	StatusBefore      Status
	StatusAfter       Status // zero unless Run was told to query it
}

// Conn is one connection to a database. It is used by one goroutine at a time.
type Conn interface {
	// Run sends a status query, the batch and, if after is set, another
	// status query in one pipeline, and reads the whole answer. sent is
	// called before the first byte is written. An answer above maxAnswer
	// bytes is drained and reported as result.AnswerTooLarge. Any other
	// error closes the connection.
	Run(ctx context.Context, b Batch, after bool, maxAnswer int, sent func()) (Answer, error)
	// Cancel asks the server to cancel what the connection is running.
	Cancel(ctx context.Context) error
	// Close closes the connection.
	Close()
	// Broken reports whether the connection was closed after an error.
	Broken() bool
}

// Database is one database of a group.
type Database interface {
	// Connect opens a connection for work.
	Connect(ctx context.Context) (Conn, error)
	// ConnectControl opens a connection for status and group operations.
	ConnectControl(ctx context.Context) (ControlConn, error)
}

// ControlConn is a control connection. It uses no slot of the database. An error
// closes it.
type ControlConn interface {
	// Status returns the current status.
	Status(ctx context.Context) (Status, error)
	// Wait returns when the last entry reaches p or after d.
	Wait(ctx context.Context, p Position, d time.Duration) (Status, error)
	// Raise fences the database for all terms below term. It is idempotent
	// and fails if the database is at a higher term.
	Raise(ctx context.Context, term uint64) (Status, error)
	// Promote makes a database that was raised to term its primary.
	Promote(ctx context.Context, term uint64) (Status, error)
	// Follow makes the database replicate from the primary at address.
	Follow(ctx context.Context, term uint64, address string) (Status, error)
	// Close closes the connection.
	Close()
}
