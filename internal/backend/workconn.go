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

// asyncWriteSize is the size in bytes from which a batch is written while the answer
// is read. A server that blocks on sending its answer does not read, so writing the
// whole batch first could deadlock both sides.
const asyncWriteSize = 32 << 10

// maxNonRowSize limits the size of a message that is not a row, in bytes above
// maxAnswer, so that a corrupt length does not cause an unbounded allocation.
const maxNonRowSize = 1 << 20

// maxKeptBuffer limits the size in bytes of each buffer that an idle connection
// keeps.
const maxKeptBuffer = 64 << 10

type workConn struct {
	*serverConn
	requestBuf []byte // reused up to maxKeptBuffer
	answerBuf  []byte // reused up to maxKeptBuffer
}

// Run implements Conn.
func (c *workConn) Run(ctx context.Context, b Batch, statusAfter bool, maxAnswer int, sent func()) (Answer, error) {
	if err := CheckBatch(b.Messages); err != nil {
		return Answer{}, err
	}
	if err := ctx.Err(); err != nil {
		return Answer{}, result.Errorf(result.DeadlineBeforeRun, "not sent: %w", err)
	}
	stop := c.watchContext(ctx)
	sent()
	writeDone, err := c.send(b.Messages, statusAfter)
	var a Answer
	var tooLarge error
	if err == nil {
		a, tooLarge, err = c.receive(b, statusAfter, maxAnswer)
	}
	if writeDone != nil {
		if err != nil {
			c.close() // also ends the pending write
		}
		if werr := <-writeDone; err == nil && werr != nil {
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

// send writes the pipeline. A large batch is written in the background, and the
// returned channel delivers the result.
func (c *workConn) send(batch []byte, statusAfter bool) (<-chan error, error) {
	c.requestBuf = append(append(c.requestBuf[:0], statusQuery...), batch...)
	if statusAfter {
		c.requestBuf = append(c.requestBuf, statusQuery...)
	}
	out := c.requestBuf
	if len(out) > maxKeptBuffer {
		c.requestBuf = nil
	}
	if len(out) < asyncWriteSize {
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

func (c *workConn) receive(b Batch, statusAfter bool, maxAnswer int) (a Answer, tooLarge, err error) {
	if a.StatusBefore, err = c.frames.readStatus(); err != nil {
		return a, nil, fmt.Errorf("read status before the batch: %w", err)
	}
	if tooLarge, err = c.readAnswer(&a, b.InjectedParses, maxAnswer); err != nil {
		return a, nil, err
	}
	if statusAfter {
		if a.StatusAfter, err = c.frames.readStatus(); err != nil {
			return a, nil, fmt.Errorf("read status after the batch: %w", err)
		}
	}
	return a, tooLarge, nil
}

// readAnswer reads up to ReadyForQuery and removes the ParseComplete messages of
// injected Parse messages.
func (c *workConn) readAnswer(a *Answer, injected []uint32, maxAnswer int) (tooLarge, err error) {
	out := c.answerBuf[:0]
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
		if kind != 'D' && size > maxAnswer+maxNonRowSize {
			return nil, fmt.Errorf("backend message %q has %d bytes, want at most %d", kind, size, maxAnswer+maxNonRowSize)
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
		if err := a.recordMessage(kind, frame[headerSize:]); err != nil {
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
				a.Messages = c.detachAnswer(out)
			}
			return tooLarge, nil
		}
	}
}

// recordMessage records the properties of the whole batch that a message reports.
func (a *Answer) recordMessage(kind byte, body []byte) error {
	switch kind {
	case 'C':
		a.CommandTag = string(bytes.TrimRight(body, "\x00"))
	case 'E':
		if a.SQLState == "" {
			a.SQLState = sqlState(body)
		}
	case 'G', 'H', 'W':
		return copyNotSupported(kind, a)
	case 'Z':
		if len(body) != 1 {
			return fmt.Errorf("ReadyForQuery message has %d bytes, want %d", headerSize+len(body), headerSize+1)
		}
		a.TransactionStatus = body[0]
	}
	return nil
}

// detachAnswer returns out in a form that the caller may keep. A small answer is
// copied so that the buffer can be reused.
func (c *workConn) detachAnswer(out []byte) []byte {
	if cap(out) > maxKeptBuffer {
		c.answerBuf = nil
		return out
	}
	c.answerBuf = out
	return bytes.Clone(out)
}

func answerTooLarge(maxAnswer int) error {
	return result.Errorf(result.AnswerTooLarge, "the answer is larger than %d bytes", maxAnswer)
}

// copyNotSupported returns the error for a COPY. A COPY FROM STDIN as the first
// command has no effect: it has not received data yet, and closing the connection
// aborts it. In other cases it is unknown whether the batch had an effect.
func copyNotSupported(kind byte, a *Answer) error {
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
