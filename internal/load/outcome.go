package load

import (
	"context"
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"geraniumbeam/internal/result"
)

// outcome is the result of a request as its caller sees it.
type outcome int

const (
	served  outcome = iota
	refused         // the error states that the request was not run
	unknown         // the request may or may not have run
	failed          // any other error answer, such as an SQL error of the database
	notSent         // no connection was available before the timeout, or the queue was full
)

// codePattern matches a result code in the message of an error answer.
var codePattern = regexp.MustCompile(`\bGB(\d{4})\b`)

// classifyError returns the outcome of a request that ended with err, and the
// error's name in the report.
func classifyError(err error) (outcome, string) {
	if err == nil {
		return served, ""
	}
	var e *pgconn.PgError
	switch {
	case errors.As(err, &e):
		return classifyServerError(e)
	case pgconn.SafeToRetry(err):
		return notSent, "connection"
	case errors.Is(err, context.DeadlineExceeded):
		return unknown, "timeout"
	default:
		return unknown, "connection lost"
	}
}

func classifyServerError(e *pgconn.PgError) (outcome, string) {
	m := codePattern.FindStringSubmatch(e.Message)
	if m == nil {
		return failed, "SQLSTATE " + e.Code
	}
	n, _ := strconv.Atoi(m[1])
	code := result.Code(n)
	ran := result.Lookup(code).Ran
	// The detail describes this request and takes precedence over the default of
	// its code.
	switch {
	case strings.Contains(e.Detail, "was not run"):
		ran = result.RanNo
	case strings.Contains(e.Detail, "not known"):
		ran = result.RanUnknown
	}
	switch ran {
	case result.RanNo:
		return refused, code.String()
	case result.RanUnknown:
		return unknown, code.String()
	default:
		return failed, code.String()
	}
}
