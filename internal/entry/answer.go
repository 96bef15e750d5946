package entry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
)

// encode appends m. It panics if m cannot be encoded, which does not happen with
// the messages that this package builds.
func encode(out []byte, m pgproto3.Message) []byte {
	next, err := m.Encode(out)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", m, err))
	}
	return next
}

func secretBytes(secret uint32) []byte { return binary.BigEndian.AppendUint32(nil, secret) }

var ranDetail = map[result.Ran]string{
	result.RanNo:      "The request was not run.",
	result.RanYes:     "The request was run.",
	result.RanUnknown: "It is not known whether the request was run.",
}

// appendError appends an ErrorResponse. Besides the SQLSTATE and the message with
// the result code it says whether the request was run, when to retry, and the id of
// the request, if there is one, under which the instances recorded events.
func appendError(out []byte, severity string, e *result.Error, id string) []byte {
	m := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                result.Lookup(e.Code).SQLState,
		Message:             e.Error(),
		Detail:              ranDetail[e.Ran],
	}
	if id != "" {
		m.Where = "request " + id
	}
	switch {
	case e.RetryAfter > 0:
		m.Hint = fmt.Sprintf("Retry after %d ms.", max(1, e.RetryAfter.Milliseconds()))
	case result.Lookup(e.Code).Retryable && e.Ran == result.RanNo:
		m.Hint = "A later attempt may succeed."
	}
	return encode(out, m)
}

func appendNotice(out []byte, code result.Code, text string) []byte {
	return encode(out, &pgproto3.NoticeResponse{
		Severity:            "NOTICE",
		SeverityUnlocalized: "NOTICE",
		Code:                result.Lookup(code).SQLState,
		Message:             code.String() + " " + text,
	})
}

// readyForQueryLength is the length of a ReadyForQuery message in bytes.
const readyForQueryLength = 6

// splitReady separates an answer from the ReadyForQuery at its end. It returns an
// error if the answer is incomplete.
func splitReady(answer []byte) (head, ready []byte, err error) {
	rest := answer
	for len(rest) >= 5 {
		n := int64(binary.BigEndian.Uint32(rest[1:5])) + 1
		if n < 5 || n > int64(len(rest)) {
			break
		}
		if n == int64(len(rest)) && rest[0] == 'Z' && n == readyForQueryLength {
			end := len(answer) - readyForQueryLength
			return answer[:end], answer[end:], nil
		}
		rest = rest[n:]
	}
	return nil, nil, result.Errorf(result.Internal, "the pool returned an incomplete answer")
}

// forEachConfirmation calls f for each ParseComplete and CloseComplete of an
// answer.
func forEachConfirmation(answer []byte, f func(kind byte)) {
	for len(answer) >= 5 {
		if answer[0] == '1' || answer[0] == '3' {
			f(answer[0])
		}
		answer = answer[min(int64(len(answer)), int64(binary.BigEndian.Uint32(answer[1:5]))+1):]
	}
}

// firstError returns the SQLSTATE of the first ErrorResponse of an answer, or "".
func firstError(answer []byte) string {
	for len(answer) >= 5 {
		n := min(int64(len(answer)), int64(binary.BigEndian.Uint32(answer[1:5]))+1)
		if answer[0] == 'E' {
			var m pgproto3.ErrorResponse
			if m.Decode(answer[5:n]) == nil {
				return m.Code
			}
		}
		answer = answer[n:]
	}
	return ""
}

// applyStatementUpdates applies the statement updates of the batch that the answer
// confirms.
func (c *callerConn) applyStatementUpdates(b *batch, answer []byte) {
	if len(b.updates) == 0 {
		return
	}
	next := 0
	forEachConfirmation(answer, func(kind byte) {
		if next < len(b.updates) && b.updates[next].confirmedBy == kind {
			if u := b.updates[next]; !u.ignore {
				c.setStatement(u.name, u.stmt)
			}
			next++
		}
	})
}

// transactionStatus returns the transaction status for ReadyForQuery.
func (c *callerConn) transactionStatus() byte {
	switch {
	case c.txFailed:
		return 'E'
	case c.tx != nil:
		return c.tx.status
	}
	return 'I'
}

// refuse answers a batch with the messages in out and an error. It rolls back an
// open transaction, because in PostgreSQL any error ends a transaction.
func (c *callerConn) refuse(b *batch, out []byte, err error) error {
	e := result.From(err)
	if c.tx != nil {
		c.failTransaction()
	}
	if b.id == "" {
		b.id = c.server.recordRefusal(e)
	}
	if !b.errSent {
		out = appendError(out, "ERROR", e, b.id)
	}
	return c.sendAnswer(b, appendReady(out, c.transactionStatus()))
}

// answer runs a batch and sends its answer. The returned error ends the connection.
func (c *callerConn) answer(b *batch) error {
	if b.err == nil && b.isMixed() {
		b.setError(result.Errorf(result.NotSupported,
			"statements for the proxy and statements for a database must be sent in separate batches"))
	}
	switch {
	case b.err != nil:
		return c.refuse(b, nil, b.err)
	case !b.needsDatabase:
		return c.runLocal(b)
	case c.txFailed:
		return c.answerInFailedTransaction(b)
	default:
		return c.runRemote(b)
	}
}

// runRemote runs a batch on a database and sends its answer.
func (c *callerConn) runRemote(b *batch) error {
	start := c.server.now()
	r, err := c.newRequest(b, start)
	if err != nil {
		return c.refuse(b, nil, err)
	}
	b.id = r.id
	done := c.server.run(c, r)
	out, failure := c.applyOutcome(r, done)
	if failure != nil {
		err = c.refuse(b, out, failure)
	} else {
		err = c.sendAnswer(b, out)
	}
	r.recordMetrics(done, failure, c.server.now().Sub(start))
	return err
}

// applyOutcome updates the session with an outcome and builds the answer.
func (c *callerConn) applyOutcome(r *request, done outcome) ([]byte, *result.Error) {
	if done.err != nil {
		var out []byte
		if done.err.Ran != result.RanNo && r.mayHaveWritten() && c.floors.Forget(r.group) {
			out = c.appendSessionToken(out)
		}
		return out, done.err
	}
	head, ready, err := splitReady(done.resp.GetAnswer())
	if err != nil {
		c.floors.Forget(r.group)
		return nil, result.From(err)
	}
	c.applyStatementUpdates(r.batch, head)
	c.updateTransaction(r, done)
	out := make([]byte, 0, len(head)+len(ready)+256)
	if done.resp.GetStale() {
		out = appendNotice(out, result.StaleAnswer, "the answer may be older than "+r.class.Reads.MaxAge.Std().String())
	}
	out = append(out, head...)
	if c.raiseFloor(r, done) {
		out = c.appendSessionToken(out)
	}
	return append(out, ready...), nil
}

func (c *callerConn) appendSessionToken(out []byte) []byte {
	return encode(out, &pgproto3.ParameterStatus{Name: paramSession, Value: c.server.keys.Encode(c.floors)})
}

// retryAfter returns d, but at least 1 ms, because 0 means that no retry is advised.
func retryAfter(d time.Duration) time.Duration { return max(d, time.Millisecond) }

func appendReady(out []byte, status byte) []byte {
	return encode(out, &pgproto3.ReadyForQuery{TxStatus: status})
}

// rollbackAnswer builds the answer to a batch that ends a failed transaction,
// without ReadyForQuery. As in PostgreSQL, COMMIT is answered with ROLLBACK too.
func rollbackAnswer(b *batch) []byte {
	tag := &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}
	if b.simple {
		return encode(nil, tag)
	}
	var out []byte
	var parses uint32
	for rest := b.messages; len(rest) >= 5; {
		n := int(binary.BigEndian.Uint32(rest[1:5])) + 1
		switch rest[0] {
		case 'P':
			if !slices.Contains(b.injected, parses) {
				out = encode(out, &pgproto3.ParseComplete{})
			}
			parses++
		case 'B':
			out = encode(out, &pgproto3.BindComplete{})
		case 'D':
			if rest[5] == 'S' {
				out = encode(out, &pgproto3.ParameterDescription{})
			}
			out = encode(out, &pgproto3.NoData{})
		case 'E':
			out = encode(out, tag)
		case 'C':
			out = encode(out, &pgproto3.CloseComplete{})
		}
		rest = rest[n:]
	}
	return out
}
