package backend

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// waitStatement is the name of the prepared statement for waits. Answers to a
// prepared statement have no row description, which is most of an answer's bytes,
// and waits are most of the control traffic.
const waitStatement = "geraniumbeam_wait"

const waitSQL = "SELECT * FROM group_wait($1, $2, $3)"

// int8OID is the OID of PostgreSQL's int8, the type of group_wait's parameters.
const int8OID = 20

type controlConn struct {
	*serverConn
	buf      []byte
	prepared bool // waitStatement exists on the connection
}

// Status implements ControlConn.
func (c *controlConn) Status(ctx context.Context) (Status, error) {
	return c.query(ctx, statusSQL)
}

// Wait implements ControlConn.
func (c *controlConn) Wait(ctx context.Context, p Position, d time.Duration) (Status, error) {
	buf := c.buf[:0]
	if !c.prepared {
		buf = appendMessage(buf, &pgproto3.Parse{
			Name: waitStatement, Query: waitSQL, ParameterOIDs: []uint32{int8OID, int8OID, int8OID},
		})
	}
	buf = appendMessage(buf, &pgproto3.Bind{
		PreparedStatement: waitStatement,
		Parameters:        [][]byte{formatDecimal(p.Term), formatDecimal(p.Offset), formatDecimal(uint64(d.Milliseconds()))},
	})
	buf = appendMessage(buf, &pgproto3.Execute{})
	c.buf = appendMessage(buf, &pgproto3.Sync{})
	s, err := c.send(ctx, waitSQL)
	c.prepared = c.prepared || err == nil
	return s, err
}

func formatDecimal(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }

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
func (c *controlConn) Raise(ctx context.Context, term uint64) (Status, error) {
	return c.runOperation(ctx, fmt.Sprintf("SELECT group_raise(%d)", term))
}

// Promote implements ControlConn.
func (c *controlConn) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.runOperation(ctx, fmt.Sprintf("SELECT group_promote(%d)", term))
}

// Follow implements ControlConn.
func (c *controlConn) Follow(ctx context.Context, term uint64, address string) (Status, error) {
	quoted := strings.ReplaceAll(address, "'", "''")
	return c.runOperation(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, quoted))
}

// Close implements ControlConn.
func (c *controlConn) Close() { c.close() }

func (c *controlConn) query(ctx context.Context, sql string) (Status, error) {
	c.buf = appendQuery(c.buf[:0], sql)
	return c.send(ctx, sql)
}

// send writes the buffer and reads a status; errors name the operation by sql.
func (c *controlConn) send(ctx context.Context, sql string) (Status, error) {
	stop := c.watchContext(ctx)
	_, err := c.conn.Write(c.buf)
	var s Status
	if err == nil {
		s, err = c.frames.readStatus()
	}
	return s, c.finish(sql, stop(), err)
}

// runOperation runs a group operation and then queries the status.
func (c *controlConn) runOperation(ctx context.Context, sql string) (Status, error) {
	stop := c.watchContext(ctx)
	c.buf = appendQuery(c.buf[:0], sql)
	_, err := c.conn.Write(c.buf)
	if err == nil {
		err = c.frames.discardAnswer()
	}
	if err := c.finish(sql, stop(), err); err != nil {
		return Status{}, err
	}
	return c.Status(ctx)
}

func (c *controlConn) finish(sql string, usable bool, err error) error {
	if err != nil || !usable {
		c.close()
	}
	if err != nil {
		return fmt.Errorf("%s on %s: %w", sql, c.address, err)
	}
	return nil
}
