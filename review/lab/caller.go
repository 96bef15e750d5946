package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout bounds the wait for an answer. It is far above the statement timeout.
const answerTimeout = 5 * time.Second

var lastID atomic.Uint64

// newID returns an id that no other request has.
func newID(prefix string) string { return fmt.Sprintf("%s-%04d", prefix, lastID.Add(1)) }

// answer is a complete answer to one statement.
type answer struct {
	rows      []string
	signature string
	code      string // of the error, or ""
	state     string // I, T or E
}

func (a answer) String() string {
	if a.code != "" {
		return fmt.Sprintf("ERROR %s, READY %s", a.code, a.state)
	}
	return fmt.Sprintf("COMPLETE %s, READY %s", a.signature, a.state)
}

// callerConn is the connection of a caller, which is its session.
type callerConn struct {
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a session.
func dial(address, database string) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &callerConn{conn: conn, r: bufio.NewReader(conn)}
	if err := c.send("START " + database + " caller\r\n"); err != nil {
		c.close()
		return nil, err
	}
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY I") {
		c.close()
		return nil, fmt.Errorf("start a session: got %q, %w", line, err)
	}
	return c, nil
}

func (c *callerConn) close() { _ = c.conn.Close() }

func (c *callerConn) send(bytes string) error {
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write([]byte(bytes))
	return err
}

func (c *callerConn) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query sends a statement and returns its answer.
func (c *callerConn) query(id, text string) (answer, error) {
	sent.add(id, text)
	if err := c.send("QUERY " + id + " " + text + "\r\n"); err != nil {
		return answer{}, err
	}
	return c.receive()
}

// receive reads one complete answer.
func (c *callerConn) receive() (answer, error) {
	var a answer
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case wordRow:
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
