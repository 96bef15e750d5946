// Package statement defines the values that the protocol codecs of callers and
// databases exchange with the routing, admission and retry code. It does no I/O
// and does not depend on a wire protocol.
//
// Invariants: the text of a statement is preserved byte for byte. A Position of
// a higher term covers every commit of lower terms that still exists.
package statement

import (
	"strconv"

	"geraniumbeam/internal/result"
)

// Kind classifies a statement.
type Kind uint8

// Kinds of statements. The values are part of the protocol between instances.
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

// Statement is a parsed statement from a caller.
type Statement struct {
	Kind     Kind
	ID       string // request id, assigned by the caller
	Text     string // exactly as received
	ReadOnly bool   // Begin: the transaction is read-only
	Writes   bool   // set for Write, and for Prepare of a statement that writes
	Name     string // Set: variable name; Prepare, Execute, Deallocate: prepared statement name
	Value    string // Set: value; Prepare: statement text; Execute: arguments
}

// Position is a position in the replication log of a service. The zero value
// means that the position is unknown.
type Position struct {
	Term   uint64
	Number uint64
}

// IsZero reports whether the position is unknown.
func (p Position) IsZero() bool { return p == Position{} }

// Before reports whether p is earlier in the log than q.
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

// String returns the position as "term.number".
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Number, 10)
}

// TxState is the transaction state of a session.
type TxState uint8

// Transaction states.
const (
	TxIdle   TxState = iota
	TxOpen           // in a transaction
	TxFailed         // inside a transaction that can only be rolled back
)

// Answer is the complete response of a database to one command.
type Answer struct {
	Rows      []string // rows as encoded by the database
	Signature string   // the database's signature of a successful response
	Err       *result.Error
	State     TxState
	Position  Position // end of the database's log
}

// Status is the state that a database reports about itself.
type Status struct {
	Primary     bool
	Term        uint64   // term of the log that it writes as primary or follows as replica
	Received    Position // end of the log that it has received
	HeldTerm    uint64   // highest term that OpPause raised it to
	LagMillis   uint64
	Busy        uint64 // number of running statements
	Connections uint64
}

// Op is the operation of a Command.
type Op uint8

// Operations. The values are part of the protocol between instances.
const (
	OpStatement  Op = iota // run Statement; only the names of prepared statements are replaced
	OpSet                  // set the variable Name
	OpPrepare              // prepare the statement text Value under Name
	OpDeallocate           // deallocate the prepared statement Name
	OpReset                // clear all variables and prepared statements
	OpRollback
	OpStatus
	OpPause  // pause replication on a replica and raise its term to Term
	OpResume // resume replication on a replica
	OpDemote // make a primary whose term is below Term a replica
)

var opNames = [...]string{"statement", "set", "prepare", "deallocate", "reset", "rollback", "status", "pause", "resume", "demote"}

// String returns the operation's name for logs.
func (o Op) String() string { return opNames[o] }

// Command is one command to a database.
type Command struct {
	Op        Op
	Statement Statement
	WaitFor   Position // reads and Begin: fail with result.BehindFloor if the log does not reach it
	Name      string
	Value     string
	Writes    bool // OpPrepare: the statement writes
	Term      uint64
}
