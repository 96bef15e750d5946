package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// greyDatabase stands before a database and makes it grey: while it is on, the
// database refuses a share of its requests as overloaded and does not run them. It
// refuses only requests outside transactions and no control commands, so that nothing
// else about the database changes: a refused request leaves the session in state I.
type greyDatabase struct {
	rec    *record
	id     string
	target string
	share  float64
	// sheds tells whether requests with this verb may be refused.
	sheds func(verb string) bool
	on    atomic.Bool

	mu  sync.Mutex
	rng *rand.Rand
}

// listen accepts connections on a new loopback address until the program ends, and
// returns the address.
func (g *greyDatabase) listen() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

// refuses draws whether to refuse a request.
func (g *greyDatabase) refuses(verb string) bool {
	if !g.on.Load() || !g.sheds(verb) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64() < g.share
}

// serve passes on the messages of one session, one at a time and in order.
func (g *greyDatabase) serve(instance net.Conn) {
	defer func() { _ = instance.Close() }()
	database, err := net.Dial("tcp4", g.target)
	if err != nil {
		return
	}
	defer func() { _ = database.Close() }()
	in, out := bufio.NewReader(instance), bufio.NewReader(database)
	closed := make(chan struct{})
	defer close(closed)
	state, position := "I", "-"
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		id, verb := requestOf(line)
		if state == "I" && g.refuses(verb) {
			g.rec.add(g.id, "refuses %s: %s with %s", id, verb, codeOverloaded)
			if _, err := fmt.Fprintf(instance, "ERROR %s %s\r\nREADY I %s\r\n", codeOverloaded, g.id, position); err != nil {
				return
			}
			continue
		}
		if _, err := io.WriteString(database, line); err != nil {
			return
		}
		if state, position, err = relayAnswer(instance, out); err != nil {
			return
		}
	}
}

// relayAnswer passes on one answer, and returns the state and the position at its end.
func relayAnswer(to io.Writer, from *bufio.Reader) (state, position string, err error) {
	for {
		line, err := from.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		if _, err := io.WriteString(to, line); err != nil {
			return "", "", err
		}
		if f := strings.Fields(line); len(f) == 3 && f[0] == "READY" {
			return f[1], f[2], nil
		}
	}
}

// requestOf returns the id and the verb of a QUERY message, without the position that it waits for.
func requestOf(line string) (id, verb string) {
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "QUERY" {
		return "", ""
	}
	if f[2] == wordWaitFor && len(f) > 4 {
		return f[1], f[4]
	}
	return f[1], f[2]
}
