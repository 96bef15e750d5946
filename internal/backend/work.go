package backend

import (
	"bytes"
	"context"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
)

const statusSQL = "SELECT * FROM group_status()"

var statusQuery = appendQuery(nil, statusSQL)

// largeBatch is the size in bytes from which a batch is written while the
// answer is read. A server that is blocked on sending its answer does not read,
// so writing first and reading later could block both sides.
const largeBatch = 32 << 10

// maxMetadata bounds a message that is not a row, in bytes beyond maxAnswer, so
// that a damaged length does not allocate without bound.
const maxMetadata = 1 << 20

// keepScratch bounds the buffer in bytes that an idle connection keeps.
const keepScratch = 64 << 10

type workConn struct {
	*link
	out     []byte // request, reused
	scratch []byte // answer, reused up to keepScratch
}

// Run implements Conn.
func (c *workConn) Run(ctx context.Context, b Batch, after bool, maxAnswer int, sent func()) (Answer, error) {
	if err := CheckBatch(b.Messages); err != nil {
		return Answer{}, err
	}
	if err := ctx.Err(); err != nil {
		return Answer{}, result.Errorf(result.DeadlineBeforeRun, "not sent: %w", err)
	}
	stop := c.guard(ctx)
	sent()
	wrote, err := c.send(b.Messages, after)
	var a Answer
	var tooLarge error
	if err == nil {
		a, tooLarge, err = c.receive(b, after, maxAnswer)
	}
	if wrote != nil {
		if err != nil {
			c.close() // ends the writer as well
		}
		if werr := <-wrote; err == nil && werr != nil {
			err = werr
		}
	}
	usable := stop()
	if err != nil || !usable {
		c.close()
	}
	if err != nil {
		return a, fmt.Errorf("run on %s: %w", c.address, err)
	}
	return a, tooLarge
}

// send writes the pipeline. For a large batch it returns at once with a
// channel that yields the result of writing.
func (c *workConn) send(batch []byte, after bool) (<-chan error, error) {
	c.out = append(append(c.out[:0], statusQuery...), batch...)
	if after {
		c.out = append(c.out, statusQuery...)
	}
	out := c.out
	if len(out) > keepScratch {
		c.out = nil
	}
	if len(out) < largeBatch {
		_, err := c.conn.Write(out)
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.conn.Write(out)
		done <- err
	}()
	return done, nil
}

func (c *workConn) receive(b Batch, after bool, maxAnswer int) (a Answer, tooLarge, err error) {
	if a.StatusBefore, err = c.frames.readStatus(); err != nil {
		return a, nil, fmt.Errorf("status before the batch: %w", err)
	}
	if tooLarge, err = c.readAnswer(&a, b.InjectedParses, maxAnswer); err != nil {
		return a, nil, err
	}
	if after {
		if a.StatusAfter, err = c.frames.readStatus(); err != nil {
			return a, nil, fmt.Errorf("status after the batch: %w", err)
		}
	}
	return a, tooLarge, nil
}

// readAnswer reads up to ReadyForQuery and drops the ParseComplete messages of
// injected Parse messages.
func (c *workConn) readAnswer(a *Answer, injected []uint32, maxAnswer int) (tooLarge, err error) {
	out := c.scratch[:0]
	var parses uint32
	for {
		kind, size, err := c.frames.peek()
		if err != nil {
			return nil, err
		}
		if kind == 'D' && (tooLarge != nil || len(out)+size > maxAnswer) {
			tooLarge = answerTooLarge(maxAnswer)
			out = out[:0]
			if err := c.frames.skip(); err != nil {
				return nil, err
			}
			continue
		}
		if kind != 'D' && size > maxAnswer+maxMetadata {
			return nil, fmt.Errorf("backend message %q has %d bytes", kind, size)
		}
		frame, err := c.frames.next()
		if err != nil {
			return nil, err
		}
		keep := kind != 'A' // notifications belong to no batch
		if kind == '1' {
			keep = !slices.Contains(injected, parses)
			parses++
		}
		if err := a.note(kind, frame[headerSize:]); err != nil {
			return nil, err
		}
		if keep && tooLarge == nil {
			out = append(out, frame...)
			if len(out) > maxAnswer {
				tooLarge = answerTooLarge(maxAnswer)
			}
		}
		if kind == 'Z' {
			if tooLarge == nil {
				a.Messages = c.handOver(out)
			}
			return tooLarge, nil
		}
	}
}

// note keeps what a message says about the batch as a whole.
func (a *Answer) note(kind byte, body []byte) error {
	switch kind {
	case 'C':
		a.CommandTag = string(bytes.TrimRight(body, "\x00"))
	case 'E':
		if a.SQLState == "" {
			a.SQLState = sqlState(body)
		}
	case 'G', 'H', 'W':
		return copyRefused(kind, a)
	case 'Z':
		if len(body) != 1 {
			return fmt.Errorf("ready-for-query message has %d bytes", headerSize+len(body))
		}
		a.TransactionStatus = body[0]
	}
	return nil
}

// handOver returns out for the caller to keep. A small answer is copied so
// that the buffer can be reused.
func (c *workConn) handOver(out []byte) []byte {
	if cap(out) > keepScratch {
		c.scratch = nil
		return out
	}
	c.scratch = out
	return bytes.Clone(out)
}

func answerTooLarge(maxAnswer int) error {
	return result.Errorf(result.AnswerTooLarge, "the answer is larger than %d bytes", maxAnswer)
}

// copyRefused reports a COPY. A COPY FROM STDIN that is the first command has
// not received data yet, and closing the connection aborts it.
func copyRefused(kind byte, a *Answer) error {
	err := result.Errorf(result.NotSupported, "COPY is not supported")
	if kind == 'G' && a.CommandTag == "" {
		return err
	}
	return err.WithRan(result.RanUnknown)
}

func sqlState(body []byte) string {
	var e pgproto3.ErrorResponse
	if e.Decode(body) != nil {
		return "XX000"
	}
	return pgconn.ErrorResponseToPgError(&e).Code
}

// Cancel implements Conn.
func (c *workConn) Cancel(ctx context.Context) error { return c.cancel(ctx) }

// Close implements Conn.
func (c *workConn) Close() { c.close() }

// Broken implements Conn. It also detects that the server closed the
// connection while it was idle.
func (c *workConn) Broken() bool { return c.closed.Load() || !c.idle() }
