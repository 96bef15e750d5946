package hop

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
)

const (
	// handshakeTimeout bounds the answer to a handshake.
	handshakeTimeout = 1 * time.Second
	// answerMargin is how long before a request's deadline the wait for a
	// connection ends, so that the refusal arrives in time: without it the other
	// instance can't tell that nothing was run. A way between data centres takes
	// 5 ms.
	answerMargin = 20 * time.Millisecond
)

// errNotOwner refuses work on a database that this instance does not own, or does
// not own any more.
var errNotOwner = result.Errorf(result.DatabaseDown, "the instance does not own the database")

// Pools gives the pool of a database that this instance owns.
type Pools interface {
	Owned(id string) (*dbpool.Pool, bool)
}

// Server answers instances that have no connection of their own. It is safe for
// concurrent use.
type Server struct {
	Pools Pools
	Log   zerolog.Logger

	stopping atomic.Bool
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// Drain refuses new work; transactions may go on.
func (s *Server) Drain() { s.stopping.Store(true) }

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close() // the other side notices
	}
}

// ServeHTTP takes a connection over. It answers 404 if the instance does not own
// the database.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.URL.Query().Get("id")
	if _, ok := s.Pools.Owned(id); !ok || s.stopping.Load() || req.Header.Get("Upgrade") != upgrade {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Log.Warn().Err(err).Msg("A connection of a peer was not taken over.")
		return
	}
	s.note(c, true)
	defer s.note(c, false)
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout)) // a closed connection fails below
	_, err = buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgrade + "\r\n\r\n")
	if err == nil {
		err = buffered.Flush()
	}
	if err == nil {
		err = c.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = c.Close() // the peer has gone
		return
	}
	p := &peerConn{
		s: s, id: id, w: buffered.Writer, enc: gob.NewEncoder(buffered.Writer), dec: gob.NewDecoder(buffered.Reader),
		variables: make(map[string]string), shapes: make(map[string]dbpool.PreparedStatement),
	}
	p.serve()
	_ = sockets.Reset(c) // whatever was on its way is void
}

func (s *Server) note(c net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[net.Conn]struct{})
	}
	if open {
		s.open[c] = struct{}{}
	} else {
		delete(s.open, c)
	}
}

// peerConn is the connection of one peer, with the state of the session that it
// stands for. One goroutine uses it.
type peerConn struct {
	s         *Server
	id        string
	w         *bufio.Writer
	enc       *gob.Encoder
	dec       *gob.Decoder
	variables map[string]string
	shapes    map[string]dbpool.PreparedStatement
	lease     *dbpool.Lease // in a transaction
}

// serve answers requests until the peer goes away, which also ends the wait for
// a connection to the database.
func (p *peerConn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan request)
	go func() {
		defer close(requests)
		defer cancel()
		for {
			var r request
			if p.dec.Decode(&r) != nil {
				return // the peer has gone
			}
			select {
			case requests <- r:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer cancel()
	defer func() {
		if p.lease != nil {
			p.lease.Discard()
		}
	}()
	for r := range requests {
		rep := p.answer(ctx, r)
		if p.enc.Encode(rep) != nil || p.w.Flush() != nil || rep.Lost != "" {
			return // the peer opens another connection
		}
	}
}

func (p *peerConn) answer(ctx context.Context, r request) reply {
	deadline := time.Now().Add(r.Remaining)
	pool, owned := p.s.Pools.Owned(p.id)
	if p.lease == nil && (!owned || p.s.stopping.Load()) {
		return reply{NotSent: errNotOwner}
	}
	if len(r.Commands) == 1 && r.Commands[0].Op == statement.OpStatus {
		return status(ctx, pool, r)
	}
	answers := make([]statement.Answer, len(r.Commands))
	var (
		ask []statement.Command
		at  []int // places of the answers
	)
	for i, c := range r.Commands {
		answers[i].State = p.state()
		if !p.keep(c) {
			ask, at = append(ask, c), append(at, i)
		}
	}
	if len(ask) == 0 {
		return reply{Answers: answers}
	}
	if p.lease == nil {
		latest := deadline.Add(-answerMargin)
		ctx, cancel := context.WithDeadline(ctx, latest)
		defer cancel()
		lease, err := pool.Acquire(ctx, admission.Request{ID: r.ID, Class: r.Class, Caller: r.Caller, Rank: r.Rank, Deadline: latest})
		if err != nil {
			return reply{NotSent: plain(result.From(err))}
		}
		p.lease = lease
	}
	got, err := p.lease.RunCommands(deadline, p.variables, p.shapes, ask)
	for i, a := range got {
		if a.Err != nil {
			a.Err = plain(a.Err)
		}
		answers[at[i]] = a
	}
	if err != nil {
		p.lease.Discard()
		p.lease = nil
		return reply{Lost: err.Error()}
	}
	if got[len(got)-1].State == statement.TxIdle {
		p.lease.Release()
		p.lease = nil
	}
	return reply{Answers: answers}
}

func (p *peerConn) state() statement.TxState {
	if p.lease != nil {
		return statement.TxOpen
	}
	return statement.TxIdle
}

// keep carries out a command that only changes the session's state, which the
// connection to the database is given with the next statement. It reports false
// for others.
func (p *peerConn) keep(c statement.Command) bool {
	switch c.Op {
	case statement.OpSet:
		p.variables[c.Name] = c.Value
	case statement.OpPrepare:
		p.shapes[c.Name] = dbpool.PreparedStatement{Text: c.Value, Writes: c.Writes}
	case statement.OpDeallocate:
		delete(p.shapes, c.Name)
	case statement.OpReset:
		clear(p.variables)
		clear(p.shapes)
	case statement.OpRollback:
		return p.lease == nil // there is nothing to roll back
	default:
		return false
	}
	return true
}

func status(ctx context.Context, pool *dbpool.Pool, r request) reply {
	s, err := pool.Control(ctx, r.Commands[0], r.Remaining)
	if err != nil {
		return reply{Lost: err.Error()}
	}
	return reply{Status: &s}
}
