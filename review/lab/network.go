package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// partition holds back all traffic of the links that belong to it while it is on. It is
// safe for concurrent use.
type partition struct {
	mu     sync.Mutex
	on     bool
	healed chan struct{}
}

func (p *partition) set(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && !p.on:
		p.healed = make(chan struct{})
	case !on && p.on:
		close(p.healed)
	}
	p.on = on
}

// wait returns when the partition is off.
func (p *partition) wait() {
	p.mu.Lock()
	on, healed := p.on, p.healed
	p.mu.Unlock()
	if on {
		<-healed
	}
}

// link passes on connections to an address, except while its partition is on.
type link struct {
	partition *partition
	target    func() string
}

// listen accepts connections on a new loopback address until the program ends, and
// returns the address.
func (l *link) listen() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) serve(from net.Conn) {
	l.partition.wait()
	to, err := net.DialTimeout("tcp4", l.target(), time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	go l.copy(from, to)
	l.copy(to, from)
}

func (l *link) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 1<<16)
	for {
		n, err := from.Read(buffer)
		l.partition.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// storeLink is the way of one instance to the store. It can be cut, and the store's
// answer to a DELETE can be lost on it, in which case the call is executed late.
type storeLink struct {
	rec       *record
	instance  string
	partition *partition
	store     string // address
	// route replaces addresses of other instances in responses by those of the
	// links to them, as the network between the machines would.
	route func(body []byte) []byte

	mu        sync.Mutex
	lateBy    time.Duration // 0: the store answers
	transport http.Transport
}

// loseDelete makes the store execute the next DELETE calls late, without an answer.
func (s *storeLink) loseDelete(lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateBy = lateBy
}

// listen serves the link on a new loopback address until the program ends, and returns
// the address.
func (s *storeLink) listen() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: s}
	go func() { _ = srv.Serve(l) }() // until the program ends
	return l.Addr().String(), nil
}

// ServeHTTP passes on one call.
func (s *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.partition.wait()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequest(r.Method, "http://"+s.store+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header = r.Header.Clone()
	s.mu.Lock()
	lateBy := s.lateBy
	s.mu.Unlock()
	if r.Method == http.MethodDelete && lateBy > 0 {
		s.rec.add("store", "gets %s %s from %s; the answer is lost", r.Method, r.URL.Path, s.instance)
		go func() {
			time.Sleep(lateBy)
			if resp, err := s.transport.RoundTrip(out); err == nil {
				_ = resp.Body.Close()
			}
			s.rec.add("store", "executes %s %s", r.Method, r.URL.Path)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	resp, err := s.transport.RoundTrip(out.WithContext(r.Context()))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	s.partition.wait()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet {
		data = s.route(data)
	}
	for name, values := range resp.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data) // the instance may have disconnected
}
