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

// outcome is how a request ended for its caller.
type outcome int

const (
	served  outcome = iota
	refused         // the error says that the request was not run
	unknown         // it is not known whether the request was run
	failed          // the database answered with an error of its own
	notSent         // the caller could not send it in time
)

var codePattern = regexp.MustCompile(`\bGB(\d{4})\b`)

// classifyError classifies an error of a request and names it for the table of errors.
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
	// The detail states what happened to this request and takes precedence
	// over the code's usual value.
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
