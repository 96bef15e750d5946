package backend

import (
	"context"
	"fmt"
	"strings"
	"time"
)

type control struct {
	*link
	buf []byte
}

// Status implements Control.
func (c *control) Status(ctx context.Context) (Status, error) {
	return c.query(ctx, statusSQL)
}

// Wait implements Control.
func (c *control) Wait(ctx context.Context, p Position, d time.Duration) (Status, error) {
	return c.query(ctx, fmt.Sprintf("SELECT * FROM group_wait(%d, %d, %d)", p.Term, p.Offset, d.Milliseconds()))
}

// Raise implements Control.
func (c *control) Raise(ctx context.Context, term uint64) (Status, error) {
	return c.change(ctx, fmt.Sprintf("SELECT group_raise(%d)", term))
}

// Promote implements Control.
func (c *control) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.change(ctx, fmt.Sprintf("SELECT group_promote(%d)", term))
}

// Follow implements Control.
func (c *control) Follow(ctx context.Context, term uint64, address string) (Status, error) {
	quoted := strings.ReplaceAll(address, "'", "''")
	return c.change(ctx, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, quoted))
}

// Close implements Control.
func (c *control) Close() { c.close() }

func (c *control) query(ctx context.Context, sql string) (Status, error) {
	stop := c.guard(ctx)
	c.buf = appendQuery(c.buf[:0], sql)
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
