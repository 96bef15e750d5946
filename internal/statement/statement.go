// Package statement holds the typed values that pass between the codecs of
// callers and databases and the code that routes, admits and retries. It does
// no I/O and knows no protocol.
//
// Invariants: the text of a statement is kept byte for byte. A Position of a
// higher term contains every commit of lower terms that still exists.
package statement

import (
	"strconv"

	"geraniumbeam/internal/result"
)

// Kind is what a statement does.
type Kind uint8

// Kinds of statements.
const (
	Invalid Kind = iota
	Begin
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
)

var kindNames = [...]string{"invalid", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String returns the kind's name for logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a caller.
type Statement struct {
	Kind     Kind
	ID       string // the caller's id of the request
	Text     string // exactly as received
	ReadOnly bool   // Begin: the transaction only reads
	Writes   bool   // Write, and Prepare of a writing shape
	Name     string // Set: variable; Prepare, Execute, Deallocate: prepared statement
	Value    string // Set: value; Prepare: shape; Execute: arguments
}

// Position is a place in the log of a service. The zero value is unknown.
type Position struct {
	Term   uint64
	Number uint64
}

// IsZero reports whether the position is unknown.
func (p Position) IsZero() bool { return p == Position{} }

// Before reports whether p is an earlier place than q.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Number < q.Number
}

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String returns term and number joined by a dot.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

// TxState is the transaction state of a session.
type TxState uint8

// Transaction states.
const (
	TxIdle   TxState = iota
	TxOpen           // inside a transaction
	TxFailed         // inside a transaction that can only be rolled back
)

// Answer is the whole answer of a database to one command.
type Answer struct {
	Rows      []string // undecoded row contents
	Signature string   // the database's signature of a success
	Err       *result.Error
	State     TxState
	Position  Position // of the database's log
}

// Status is what a database says of itself.
type Status struct {
	Primary     bool
	Term        uint64   // term of the log that it follows or leads
	Received    Position // end of the log that it holds
	HeldTerm    uint64   // the highest term that it was raised to
	LagMillis   uint64
	Busy        uint64 // running statements
	Connections uint64
}

// Op is what a Command asks of a database.
type Op uint8

// Operations.
const (
	OpStatement  Op = iota // Statement, unchanged but for prepared names
	OpSet                  // assign the variable Name
	OpPrepare              // prepare the statement Name for the shape Value
	OpDeallocate           // forget the statement Name
	OpReset                // clear variables and prepared statements
	OpRollback
	OpStatus
	OpPause  // stop a replica from receiving and raise it to Term
	OpResume // let a replica receive again
	OpDemote // make a primary of a term below Term a replica
)

var opNames = [...]string{"statement", "set", "prepare", "deallocate", "reset", "rollback", "status", "pause", "resume", "demote"}

// String returns the operation's name for logs.
func (o Op) String() string { return opNames[o] }

// Command is one command to a database.
type Command struct {
	Op        Op
	Statement Statement
	WaitFor   Position // reads and Begin: fail with result.BehindFloor if the log lacks it
	Name      string
	Value     string
	Writes    bool // OpPrepare: the shape writes
	Term      uint64
}
