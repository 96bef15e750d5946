package hop

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
)

// conn is a connection to an owner. It implements dbpool.Conn and
// dbpool.Prioritizer.
type conn struct {
	net     net.Conn
	raw     syscall.RawConn
	r       *bufio.Reader
	w       *bufio.Writer
	enc     *gob.Encoder
	dec     *gob.Decoder
	request admission.Request
}

// Dial connects to the owner at address for work on the database with the id.
// It fails with result.DatabaseDown if that instance does not own the database.
func Dial(ctx context.Context, address, id string) (dbpool.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("hop to %s: %w", address, err)
	}
	h := &conn{net: c, r: bufio.NewReader(c), w: bufio.NewWriter(c)}
	if err := h.handshake(ctx, address, id); err != nil {
		_ = c.Close() // nothing was asked
		return nil, err
	}
	return h, nil
}

func (h *conn) handshake(ctx context.Context, address, id string) error {
	raw, err := h.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return fmt.Errorf("hop to %s: %w", address, err)
	}
	h.raw = raw
	if deadline, ok := ctx.Deadline(); ok {
		_ = h.net.SetDeadline(deadline) // a closed connection fails below
	}
	req := &http.Request{
		Method: http.MethodGet, Host: address, URL: &url.URL{Path: Path, RawQuery: url.Values{"id": {id}}.Encode()},
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {upgrade}},
	}
	if err := req.Write(h.w); err != nil {
		return fmt.Errorf("hop to %s: %w", address, err)
	}
	if err := h.w.Flush(); err != nil {
		return fmt.Errorf("hop to %s: %w", address, err)
	}
	resp, err := http.ReadResponse(h.r, req)
	if err != nil {
		return fmt.Errorf("hop to %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("hop to %s: status %d", address, resp.StatusCode)
	}
	h.enc, h.dec = gob.NewEncoder(h.w), gob.NewDecoder(h.r)
	return nil
}

// Prioritize implements dbpool.Prioritizer.
func (h *conn) Prioritize(r admission.Request) { h.request = r }

// Do implements dbpool.Conn.
func (h *conn) Do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	rep, err := h.exchange(deadline, commands)
	if err != nil {
		return nil, err
	}
	if rep.Lost != "" {
		return rep.Answers, errors.New(rep.Lost)
	}
	if len(rep.Answers) != len(commands) {
		return rep.Answers, fmt.Errorf("an owner gave %d answers to %d commands", len(rep.Answers), len(commands))
	}
	return rep.Answers, nil
}

// Status implements dbpool.Conn.
func (h *conn) Status(deadline time.Time, c statement.Command) (statement.Status, error) {
	rep, err := h.exchange(deadline, []statement.Command{c})
	if err != nil {
		return statement.Status{}, err
	}
	if rep.Status == nil {
		return statement.Status{}, fmt.Errorf("the database did not tell its status: %s", rep.Lost)
	}
	return *rep.Status, nil
}

func (h *conn) exchange(deadline time.Time, commands []statement.Command) (reply, error) {
	var rep reply
	if err := h.net.SetDeadline(deadline); err != nil {
		return rep, fmt.Errorf("hop: %w", err)
	}
	err := h.enc.Encode(request{
		ID: h.request.ID, Class: h.request.Class, Caller: h.request.Caller, Rank: h.request.Rank,
		Remaining: time.Until(deadline), Commands: commands,
	})
	if err == nil {
		err = h.w.Flush()
	}
	if err == nil {
		err = h.dec.Decode(&rep)
	}
	if err != nil {
		return rep, fmt.Errorf("hop: %w", err)
	}
	if rep.NotSent != nil {
		return rep, &dbpool.NotSentError{Cause: rep.NotSent}
	}
	return rep, nil
}

// Alive implements dbpool.Conn.
func (h *conn) Alive() bool { return h.r.Buffered() == 0 && sockets.Silent(h.raw) }

// Close implements dbpool.Conn.
func (h *conn) Close() error { return h.net.Close() }

// Abort implements dbpool.Conn.
func (h *conn) Abort() error { return sockets.Reset(h.net) }

var _ dbpool.Prioritizer = (*conn)(nil)
