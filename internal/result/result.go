// Package result defines the numbered result codes that callers, operators and
// other instances receive, and the error type that carries them.
//
// Each code states whether the request was run. "No" is a guarantee: a request
// that failed with such a code had no effect on any database.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether a failed request was run.
type Ran int

// Values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns the value as documents and messages show it.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Code is a numbered result code.
type Code uint32

// String returns the code as messages show it, such as GB1001.
func (c Code) String() string { return fmt.Sprintf("GB%04d", uint32(c)) }

// Codes 10xx concern the caller's input, 20xx routing and ownership, 30xx
// admission, 40xx outcomes, 50xx consistency, 60xx configuration and the
// platform, 90xx internal errors.
const (
	BadStartup         Code = 1001
	UnknownService     Code = 1002
	UnknownClass       Code = 1003
	BadParameter       Code = 1004
	BadToken           Code = 1005
	NotSupported       Code = 1006
	MessageTooLarge    Code = 1007
	AnswerTooLarge     Code = 1008
	ProtocolViolation  Code = 1009
	UnknownStatement   Code = 1010
	UnknownKey         Code = 1011
	NotOwner           Code = 2001
	NotPrimary         Code = 2002
	InstanceDown       Code = 2003
	DatabaseDown       Code = 2004
	NoPrimary          Code = 2005
	ShuttingDown       Code = 2006
	DatabaseLeaving    Code = 2007
	WrongDatabase      Code = 2008
	Overloaded         Code = 3001
	DeadlineBeforeRun  Code = 3002
	RetryBudgetSpent   Code = 3003
	ConnectionsBusy    Code = 3004
	OrganisationLimit  Code = 3005
	OutcomeUnknown     Code = 4001
	RolledBack         Code = 4002
	UnknownTransaction Code = 4003
	Cancelled          Code = 4004
	KeyInUse           Code = 4005
	KeyReused          Code = 4006
	StatementFailed    Code = 4007
	StatementTimeout   Code = 4008
	BehindFloor        Code = 5001
	TooOld             Code = 5002
	StaleAnswer        Code = 5003
	Unverified         Code = 5004
	Conflict           Code = 6001
	Invalid            Code = 6002
	PlatformDown       Code = 6003
	NotFound           Code = 6004
	RateLimited        Code = 6005
	NotConfigured      Code = 6006
	Internal           Code = 9001
)

// Info describes a code.
type Info struct {
	Code      Code
	Name      string
	SQLState  string // five characters, as PostgreSQL defines them
	Ran       Ran
	Retryable bool // another attempt elsewhere or later may succeed
	Meaning   string
}

var table = []Info{
	{BadStartup, "bad_startup", "08P01", RanNo, false, "the startup packet is malformed or incomplete"},
	{UnknownService, "unknown_service", "3D000", RanNo, false, "no service has the requested database name"},
	{UnknownClass, "unknown_class", "22023", RanNo, false, "the service has no class with this name"},
	{BadParameter, "bad_parameter", "22023", RanNo, false, "a geraniumbeam parameter has a value that is not allowed"},
	{BadToken, "bad_token", "28000", RanNo, false, "the session token is malformed, has an invalid signature or an unknown version"},
	{NotSupported, "not_supported", "0A000", RanNo, false, "the statement needs a feature that the proxy does not support"},
	{MessageTooLarge, "message_too_large", "54000", RanNo, false, "a message exceeds the size limit"},
	{AnswerTooLarge, "answer_too_large", "54000", RanUnknown, false, "the answer exceeds max_answer and was not sent"},
	{ProtocolViolation, "protocol_violation", "08P01", RanNo, false, "a message is not allowed at this point"},
	{UnknownStatement, "unknown_statement", "26000", RanNo, false, "the prepared statement does not exist in this session"},
	{UnknownKey, "unknown_key", "28000", RanNo, false, "no organisation has the caller's key"},
	{NotOwner, "not_owner", "57P03", RanNo, true, "the instance does not own the database's connections"},
	{NotPrimary, "not_primary", "57P03", RanNo, true, "the database is not the primary of its group"},
	{InstanceDown, "instance_down", "57P03", RanNo, true, "the owning instance is unreachable"},
	{DatabaseDown, "database_down", "57P03", RanNo, true, "the database is unreachable"},
	{NoPrimary, "no_primary", "57P03", RanNo, true, "the group has no reachable primary"},
	{ShuttingDown, "shutting_down", "57P01", RanNo, true, "the instance is shutting down; try another instance"},
	{DatabaseLeaving, "database_leaving", "57P03", RanNo, true, "the database is being drained and takes no new work"},
	{WrongDatabase, "wrong_database", "57P03", RanNo, true, "a different database answers at the address"},
	{Overloaded, "overloaded", "53300", RanNo, true, "the request cannot be served within its target; retry later"},
	{DeadlineBeforeRun, "deadline_before_run", "57014", RanNo, true, "the deadline passed before the request was sent to a database"},
	{RetryBudgetSpent, "retry_budget_spent", "53300", RanNo, true, "the retry budget of the class is exhausted"},
	{ConnectionsBusy, "connections_busy", "53300", RanNo, true, "no connection to the database became free in time"},
	{OrganisationLimit, "organisation_limit", "53300", RanNo, true, "the organisation has reached its limit of operations"},
	{OutcomeUnknown, "outcome_unknown", "08007", RanUnknown, false, "the request was sent and its outcome is unknown"},
	{RolledBack, "rolled_back", "40000", RanNo, true, "the transaction was rolled back"},
	{UnknownTransaction, "unknown_transaction", "25P01", RanNo, false, "the transaction is not open on the instance"},
	{Cancelled, "cancelled", "57014", RanNo, false, "the caller cancelled the request"},
	{KeyInUse, "key_in_use", "55P03", RanNo, true, "a request with the same key is running"},
	{KeyReused, "key_reused", "22023", RanNo, false, "the request key was used by another class"},
	{StatementFailed, "statement_failed", "58000", RanYes, false, "the database ran the statement and reported an error"},
	{StatementTimeout, "statement_timeout", "57014", RanUnknown, false, "the statement exceeded its time limit"},
	{BehindFloor, "behind_floor", "57P03", RanNo, true, "the replica has not reached the session's minimum position"},
	{TooOld, "too_old", "57P03", RanNo, true, "the data cannot be shown to be within max_age"},
	{StaleAnswer, "stale_answer", "01000", RanYes, false, "notice: the answer may be older than max_age"},
	{Unverified, "unverified", "57P03", RanNo, true, "the primary could not be verified by a second database"},
	{Conflict, "conflict", "40001", RanNo, false, "the object was changed concurrently"},
	{Invalid, "invalid", "22023", RanNo, false, "the object or setting is not valid"},
	{PlatformDown, "platform_down", "57P03", RanUnknown, true, "the platform did not answer"},
	{NotFound, "not_found", "42704", RanNo, false, "the object does not exist"},
	{RateLimited, "rate_limited", "53300", RanNo, true, "the rate limit for calls to the platform is exceeded"},
	{NotConfigured, "not_configured", "57P03", RanNo, true, "the instance has no configuration yet; try again or another instance"},
	{Internal, "internal", "XX000", RanUnknown, false, "an internal error; see the instance's log"},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		m[i.Code] = i
	}
	return m
}()

// Table returns all codes in numeric order. The result must not be modified.
func Table() []Info { return table }

// Lookup returns the description of c, or that of Internal if c is not in the
// table.
func Lookup(c Code) Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// Error is an error with a result code.
type Error struct {
	Code       Code
	Message    string
	Ran        Ran           // the code's default unless more is known
	RetryAfter time.Duration // zero: unspecified
	Err        error         // wrapped cause, may be nil
}

// Errorf returns an Error with the code's default Ran. The operand of a %w verb
// becomes the wrapped cause.
func Errorf(c Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: c, Message: err.Error(), Ran: Lookup(c).Ran, Err: errors.Unwrap(err)}
}

// Error implements error.
func (e *Error) Error() string { return e.Code.String() + " " + e.Message }

// Unwrap returns the wrapped cause.
func (e *Error) Unwrap() error { return e.Err }

// WithRan returns a copy of e with the given Ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy of e with the time to wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns err as an *Error. An error without a code becomes Internal; nil
// stays nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error(), Ran: RanUnknown, Err: err}
}

// Is reports whether err is or wraps an Error with code c.
func Is(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}
