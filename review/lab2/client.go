package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var discardLog = log.New(io.Discard, "", 0)

type bodyKey struct{}

func withBody(ctx context.Context, body []byte) context.Context {
	return context.WithValue(ctx, bodyKey{}, body)
}

var lastID atomic.Uint64

// nextID returns a new id for a request.
func nextID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// clientTimeout bounds the wait of a client for an answer. It is above the deadline of the
// requests of the site.
const clientTimeout = 4 * time.Second

// session is the session of a client.
type session struct {
	conn net.Conn
	r    *bufio.Reader
}

type answer struct {
	rows  []string
	code  string // "" if the statement succeeded
	state string
}

func openSession(address, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn, bufio.NewReader(conn)}
	if err := s.send("START " + database + " client"); err != nil {
		s.close()
		return nil, err
	}
	line, err := s.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		s.close()
		return nil, fmt.Errorf("START was answered with %q: %w", line, err)
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

func (s *session) send(line string) error {
	if err := s.conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write([]byte(line + "\r\n"))
	return err
}

func (s *session) query(id, text string) (answer, error) {
	var a answer
	if err := s.send("QUERY " + id + " " + text); err != nil {
		return a, err
	}
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "COMPLETE":
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			a.rows = append(a.rows, rest)
		}
	}
}

// result is the result of one statement of a client.
type result struct {
	id, text    string
	instance    string
	sent, ended time.Time
	answer      answer
	err         error
}

// load is the load of clients that each send one statement after the other.
type load struct {
	c       *cluster
	wg      sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	results []result
}

func startLoad(c *cluster) *load { return &load{c: c, stop: make(chan struct{})} }

// add starts a client of an instance that sends statements on a route, with a pause after
// each.
func (l *load) add(i *instance, route string, pause time.Duration, text func(n int) string) {
	l.wg.Go(func() {
		var s *session
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-time.After(pause):
			}
			if s == nil {
				var err error
				if s, err = openSession(i.callers, route); err != nil {
					continue
				}
			}
			r := result{id: nextID(), text: text(n), instance: i.name, sent: time.Now()}
			r.answer, r.err = s.query(r.id, r.text)
			r.ended = time.Now()
			l.record(r)
			if r.err != nil {
				s.close()
				s = nil
			}
		}
	})
}

func (l *load) record(r result) {
	l.mu.Lock()
	l.results = append(l.results, r)
	l.mu.Unlock()
	outcome := "success"
	switch {
	case r.err != nil:
		outcome = "no answer: " + r.err.Error()
	case r.answer.code != "":
		outcome = r.answer.code
	}
	l.c.rec.printf("client of %s sent %s %s at %.3f: %s %v", r.instance, r.id, r.text, r.sent.Sub(l.c.rec.start).Seconds(), outcome, r.answer.rows)
}

func (l *load) end() []result {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// share returns how many of the requests sent after a time were served, and their number.
func share(results []result, after time.Time) (served, sent int) {
	return shareBetween(results, after, time.Now())
}

// shareBetween is share for the requests sent between two times.
func shareBetween(results []result, after, before time.Time) (served, sent int) {
	for _, r := range results {
		if r.sent.Before(after) || !r.sent.Before(before) {
			continue
		}
		sent++
		if r.err == nil && r.answer.code == "" {
			served++
		}
	}
	return served, sent
}
