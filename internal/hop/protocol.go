// Package hop lets an instance send statements to a database through another
// instance, the owner, that holds connections to it. It is used for databases
// whose connection limit does not allow a connection from each instance.
//
// Invariants: the owner runs the commands of one request on one connection, and
// a transaction stays on its connection. A request that the owner could not
// start is answered with NotSent; none of its statements was run. The owner sends no
// command to the database before the answers of those that it relies on. If the client or
// the owner fails during a transaction, the database rolls it back. The owner
// does not check which database is the primary of a service: the client does so
// before it sends a request and again when the reply arrives.
package hop

import (
	"time"

	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Path is the HTTP path at which an owner accepts connections.
const Path = "/peer/database"

// progressParam is the query parameter of clients that understand reply.Waiting.
const progressParam = "progress"

// inOrderHeader is the header with which an owner says in the handshake that it sends
// no command to the database before the answers of those that it relies on. To an owner
// without it the client sends such commands one after the other.
const inOrderHeader = "Geraniumbeam-In-Order"

// organisationsHeader is the header with which a client asks in the handshake for a
// connection whose requests have organisations, and with which the owner agrees. Each
// message of the client is then an organisationRequest. The client uses no owner that does
// not agree: it would run the request under a wrong organisation.
const organisationsHeader = "Geraniumbeam-Organisations"

// upgrade names the protocol in the Upgrade header of the handshake.
const upgrade = "geraniumbeam-hop"

// request is a message to the owner.
type request struct {
	ID        string // id of the caller's request
	Class     string
	Caller    string
	Rank      catalog.Rank
	Remaining time.Duration // time until the deadline; instances have different clocks
	// RemainingTarget is the time until the request should be answered; 0 means that
	// it has no target. It is negative if the target has passed.
	RemainingTarget time.Duration
	Commands        []statement.Command
}

// organisationRequest is a request with the organisation on whose connection it must run.
type organisationRequest struct {
	Organisation string
	Request      request
}

// reply is the owner's message in response to a request.
type reply struct {
	// Waiting is set in replies that precede the final one. They say that the
	// request waits or runs and that the database answers the owner.
	Waiting bool
	// Answers has one answer for each command. Together with NotSent, only the answers
	// to the commands that the owner carries out itself are valid.
	Answers []statement.Answer
	Status  *statement.Status // set if the request is a single OpStatus
	// NotSent is set if nothing was run, and says why.
	NotSent *result.Error
	// Lost is set if the database did not answer, and says why. The owner has
	// closed its connection to the database.
	Lost string
	// Answering is set together with Lost if the database answers the owner: only the
	// deadline of this request has passed.
	Answering bool
	// Load is the owner's view of the database's load. It is nil if the owner does not
	// report it.
	Load *balance.Report
}

// withoutCause returns a copy of an error without its wrapped cause, which gob can't
// encode.
func withoutCause(e *result.Error) *result.Error {
	c := *e
	c.Err = nil
	return &c
}
