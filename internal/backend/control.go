package backend

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// waitStatement is the name of the prepared wait on a control connection. A
// prepared statement saves the row description in each answer, which is most of
// its bytes; waits are most of the control traffic.
const waitStatement = "geraniumbeam_wait"

const waitSQL = "SELECT * FROM group_wait($1, $2, $3)"

// int8OID is PostgreSQL's type of the parameters of group_wait.
const int8OID = 20

type control struct {
	*link
	buf      []byte
	prepared bool // waitStatement exists on the connection
}

// Status implements ControlConn.
func (c *control) Status(ctx context.Context) (Status, error) {
	return c.query(ctx, statusSQL)
}

// Wait implements ControlConn.
func (c *control) Wait(ctx context.Context, p Position, d time.Duration) (Status, error) {
	buf := c.buf[:0]
	if !c.prepared {
		buf = appendMessage(buf, &pgproto3.Parse{
			Name: waitStatement, Query: waitSQL, ParameterOIDs: []uint32{int8OID, int8OID, int8OID},
		})
	}
	buf = appendMessage(buf, &pgproto3.Bind{
		PreparedStatement: waitStatement,
		Parameters:        [][]byte{number(p.Term), number(p.Offset), number(uint64(d.Milliseconds()))},
	})
	buf = appendMessage(buf, &pgproto3.Execute{})
	c.buf = appendMessage(buf, &pgproto3.Sync{})
	s, err := c.send(ctx, waitSQL)
	c.prepared = c.prepared || err == nil
	return s, err
}

func number(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }

// appendMessage panics if m cannot be encoded, which happens only for messages
// above 1 GB.
func appendMessage(buf []byte, m pgproto3.FrontendMessage) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", m, err))
	}
	return out
}

// Raise implements ControlConn.
func (c *control) Raise(ctx context.Context, term uint64) (Status, error) {
	return c.change(ctx, fmt.Sprintf("SELECT group_raise(%d)", term))
}

// Promote implements ControlConn.
func (c *control) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.change(ctx, fmt.Sprintf("SELECT group_promote(%d)", term))
}

// Follow implements ControlConn.
func (c *control) Follow(ctx context.Context, term uint64, address string) (Status, error) {
	quoted := strings.ReplaceAll(address, "'", "''")
	return c.change(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, quoted))
}

// Close implements ControlConn.
func (c *control) Close() { c.close() }

func (c *control) query(ctx context.Context, sql string) (Status, error) {
	c.buf = appendQuery(c.buf[:0], sql)
	return c.send(ctx, sql)
}

// send writes the buffer and reads a status; sql names the operation in errors.
func (c *control) send(ctx context.Context, sql string) (Status, error) {
	stop := c.guard(ctx)
	_, err := c.conn.Write(c.buf)
	var s Status
	if err == nil {
		s, err = c.frames.readStatus()
	}
	return s, c.finish(sql, stop(), err)
}

// change runs a group operation and reads the status that it left.
func (c *control) change(ctx context.Context, sql string) (Status, error) {
	stop := c.guard(ctx)
	c.buf = appendQuery(c.buf[:0], sql)
	_, err := c.conn.Write(c.buf)
	if err == nil {
		err = c.frames.readAck()
	}
	if err := c.finish(sql, stop(), err); err != nil {
		return Status{}, err
	}
	return c.Status(ctx)
}

func (c *control) finish(sql string, usable bool, err error) error {
	if err != nil || !usable {
		c.close()
	}
	if err != nil {
		return fmt.Errorf("%s on %s: %w", sql, c.address, err)
	}
	return nil
}
