package database

import (
	"errors"
	"fmt"
	"strings"

	sqlite3 "modernc.org/sqlite/lib"
)

// SQLSTATE codes that the stand-in reports.
const (
	stateSyntax             = "42601"
	stateUndefinedTable     = "42P01"
	stateUndefinedColumn    = "42703"
	stateUndefinedFunction  = "42883"
	stateDuplicateTable     = "42P07"
	stateUnique             = "23505"
	stateForeignKey         = "23503"
	stateNotNull            = "23502"
	stateCheck              = "23514"
	stateReadOnly           = "25006"
	stateFailedTransaction  = "25P02"
	stateSerialization      = "40001"
	stateRolledBack         = "40000"
	stateLockTimeout        = "55P03"
	stateObjectState        = "55000"
	stateCancelled          = "57014"
	stateShutdown           = "57P01"
	stateTooManyConnections = "53300"
	stateInvalidValue       = "22023"
	stateInvalidText        = "22P02"
	stateInvalidStatement   = "26000"
	stateInvalidCursor      = "34000"
	stateProtocol           = "08P01"
	stateInternal           = "XX000"
)

// sqlError is an error with a SQLSTATE.
type sqlError struct {
	state   string
	message string
}

func (e *sqlError) Error() string { return e.message }

func errorf(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

// engineError is an error returned by SQLite.
type engineError struct {
	code    int // extended result code
	message string
}

func (e *engineError) Error() string { return e.message }

// stateByCode maps SQLite's extended result codes to SQLSTATEs.
var stateByCode = map[int]string{
	sqlite3.SQLITE_CONSTRAINT_UNIQUE:     stateUnique,
	sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY: stateUnique,
	sqlite3.SQLITE_CONSTRAINT_ROWID:      stateUnique,
	sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY: stateForeignKey,
	sqlite3.SQLITE_CONSTRAINT_NOTNULL:    stateNotNull,
	sqlite3.SQLITE_CONSTRAINT_CHECK:      stateCheck,
	sqlite3.SQLITE_INTERRUPT:             stateCancelled,
	sqlite3.SQLITE_BUSY:                  stateSerialization,
	sqlite3.SQLITE_LOCKED:                stateSerialization,
	sqlite3.SQLITE_MISMATCH:              stateInvalidText,
}

// stateByText maps parts of SQLite's messages to SQLSTATEs, for errors with its
// generic result code.
var stateByText = []struct{ text, state string }{
	{"no such table", stateUndefinedTable},
	{"no such column", stateUndefinedColumn},
	{"has no column named", stateUndefinedColumn},
	{"no such function", stateUndefinedFunction},
	{"already exists", stateDuplicateTable},
	{"syntax error", stateSyntax},
	{"incomplete input", stateSyntax},
	{"unrecognized token", stateSyntax},
}

// toSQLError converts err to an error with a SQLSTATE; stateInternal if there is no
// better one.
func toSQLError(err error) *sqlError {
	var se *sqlError
	if errors.As(err, &se) {
		return se
	}
	var ee *engineError
	if !errors.As(err, &ee) {
		return &sqlError{state: stateInternal, message: err.Error()}
	}
	if state, ok := stateByCode[ee.code]; ok {
		return &sqlError{state: state, message: ee.message}
	}
	for _, t := range stateByText {
		if strings.Contains(ee.message, t.text) {
			return &sqlError{state: t.state, message: ee.message}
		}
	}
	return &sqlError{state: stateInternal, message: ee.message}
}
