package entry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
)

// encode appends m. Messages that the entry builds always fit the protocol.
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

// appendError appends an ErrorResponse with SQLSTATE, numbered message, what
// happened to the request, when to retry, and the request id (which may be
// empty) under which the instances recorded their decisions.
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

// readyLength is the length of a ReadyForQuery message in bytes.
const readyLength = 6

// splitReady splits a whole answer into its messages and the ReadyForQuery at
// its end. It fails if the answer is not whole.
func splitReady(answer []byte) (head, ready []byte, err error) {
	rest := answer
	for len(rest) >= 5 {
		n := int64(binary.BigEndian.Uint32(rest[1:5])) + 1
		if n < 5 || n > int64(len(rest)) {
			break
		}
		if n == int64(len(rest)) && rest[0] == 'Z' && n == readyLength {
			cut := len(answer) - readyLength
			return answer[:cut], answer[cut:], nil
		}
		rest = rest[n:]
	}
	return nil, nil, result.Errorf(result.Internal, "the pool returned an answer that is not whole")
}

// confirmed walks an answer and calls f for each ParseComplete and
// CloseComplete.
func confirmed(answer []byte, f func(kind byte)) {
	for len(answer) >= 5 {
		if answer[0] == '1' || answer[0] == '3' {
			f(answer[0])
		}
		answer = answer[min(int64(len(answer)), int64(binary.BigEndian.Uint32(answer[1:5]))+1):]
	}
}

// firstError returns the SQLSTATE of the first ErrorResponse of an answer.
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

// applyEffects changes the session's statements as the answer confirms.
func (c *caller) applyEffects(b *batch, answer []byte) {
	if len(b.effects) == 0 {
		return
	}
	next := 0
	confirmed(answer, func(kind byte) {
		if next < len(b.effects) && b.effects[next].kind == kind {
			if e := b.effects[next]; !e.skip {
				c.setStatement(e.name, e.stmt)
			}
			next++
		}
	})
}

// status is the transaction status that ReadyForQuery reports.
func (c *caller) status() byte {
	switch {
	case c.txFailed:
		return 'E'
	case c.tx != nil:
		return c.tx.status
	}
	return 'I'
}

// refuse answers a batch with an error after what is in out. An open
// transaction is rolled back, as any error in PostgreSQL ends it.
func (c *caller) refuse(b *batch, out []byte, err error) error {
	e := result.From(err)
	if c.tx != nil {
		c.failTransaction()
	}
	if b.id == "" {
		b.id = c.s.recordRefusal(e)
	}
	if !b.reported {
		out = appendError(out, "ERROR", e, b.id)
	}
	return c.reply(b, appendReady(out, c.status()))
}

// answer runs a batch and answers it. An error ends the connection.
func (c *caller) answer(b *batch) error {
	if b.err == nil && b.mixed() {
		b.refuse(result.Errorf(result.NotSupported,
			"statements for the proxy and for a database must be sent in separate batches"))
	}
	switch {
	case b.err != nil:
		return c.refuse(b, nil, b.err)
	case !b.remote:
		return c.runLocal(b)
	case c.txFailed:
		return c.answerFailed(b)
	default:
		return c.runRemote(b)
	}
}

// runRemote runs a batch on a database and answers it.
func (c *caller) runRemote(b *batch) error {
	start := c.s.now()
	r, err := c.newRequest(b, start)
	if err != nil {
		return c.refuse(b, nil, err)
	}
	b.id = r.id
	done := c.s.run(c, r)
	out, failure := c.complete(r, done)
	if failure != nil {
		err = c.refuse(b, out, failure)
	} else {
		err = c.reply(b, out)
	}
	r.count(done, failure, c.s.now().Sub(start))
	return err
}

// complete applies an outcome to the session and builds the answer.
func (c *caller) complete(r *request, done outcome) ([]byte, *result.Error) {
	if done.err != nil {
		var out []byte
		if done.err.Ran != result.RanNo && r.mayWrite() && c.floors.Forget(r.group) {
			out = c.appendToken(out)
		}
		return out, done.err
	}
	head, ready, err := splitReady(done.resp.GetAnswer())
	if err != nil {
		c.floors.Forget(r.group)
		return nil, result.From(err)
	}
	c.applyEffects(r.batch, head)
	c.updateTransaction(r, done)
	out := make([]byte, 0, len(head)+len(ready)+256)
	if done.resp.GetStale() {
		out = appendNotice(out, result.StaleAnswer, "the answer may be older than "+r.class.Reads.MaxAge.Std().String())
	}
	out = append(out, head...)
	if c.raiseFloor(r, done) {
		out = c.appendToken(out)
	}
	return append(out, ready...), nil
}

func (c *caller) appendToken(out []byte) []byte {
	return encode(out, &pgproto3.ParameterStatus{Name: paramSession, Value: c.s.keys.Encode(c.floors)})
}

// retryAfter returns advice that is never zero, which would mean no advice.
func retryAfter(d time.Duration) time.Duration { return max(d, time.Millisecond) }

func appendReady(out []byte, status byte) []byte {
	return encode(out, &pgproto3.ReadyForQuery{TxStatus: status})
}

// rollbackAnswer is the answer of ROLLBACK to the messages of a batch, without
// ReadyForQuery.
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
