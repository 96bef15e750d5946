// Package hop lets an instance use a connection to a database that another
// instance, an owner, holds. It is for databases whose connection limit has no
// room for a connection from each instance.
//
// Invariants: the owner runs the commands of one request on one connection, and
// a transaction stays on its connection. A request that the owner could not
// start is answered with NotSent; nothing of it was run. If either side goes
// away in a transaction, the database rolls it back. The owner decides nothing
// about who leads a service: the instance that asks checks that before it sends
// and again when the answer arrives.
package hop

import (
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Path is where an owner answers.
const Path = "/peer/database"

// upgrade is the protocol's name in the handshake.
const upgrade = "geraniumbeam-hop"

// request is one frame to the owner.
type request struct {
	ID        string // of the caller's request
	Class     string
	Caller    string
	Rank      catalog.Rank
	Remaining time.Duration // until the deadline; clocks of instances differ
	Commands  []statement.Command
}

// reply is the answer to one request.
type reply struct {
	Answers []statement.Answer
	Status  *statement.Status // of a single OpStatus
	// NotSent says why no command was sent to the database.
	NotSent *result.Error
	// Lost says that the database did not answer; the connection to it is closed.
	Lost string
}

// plain removes the wrapped cause of an error, which has no encoded form.
func plain(e *result.Error) *result.Error {
	c := *e
	c.Err = nil
	return &c
}
