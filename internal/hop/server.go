package hop

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
)

const (
	// handshakeTimeout bounds sending the handshake response.
	handshakeTimeout = 1 * time.Second
	// answerMargin is how long before a request's deadline the wait for a
	// connection ends, so that the refusal reaches the client in time. Otherwise
	// the client can't tell that nothing was run. The one-way latency between
	// data centres is 5 ms.
	answerMargin = 20 * time.Millisecond
)

// progressInterval is the interval between replies that report that a request is in
// progress. A client takes an owner for stalled after 250 ms without one.
const progressInterval = 80 * time.Millisecond

// errNotOwner refuses requests for a database that this instance does not own, or
// no longer owns, and new requests while it drains.
var errNotOwner = result.Errorf(result.DatabaseDown, "the instance does not own the database or is draining")

// errOtherOrganisation refuses a request on the connection of a transaction that another
// organisation has opened.
var errOtherOrganisation = result.Errorf(result.DatabaseDown, "the open transaction belongs to another organisation")

// Pools holds the connection pools of the databases that this instance owns.
type Pools interface {
	// Owned returns the pool of the database with the id. It reports false if
	// this instance does not own the database.
	Owned(id string) (*dbpool.Pool, bool)
}

// Server runs requests from instances that have no connections of their own to a
// database. It is safe for concurrent use.
type Server struct {
	Pools Pools
	Log   zerolog.Logger
	// QueueAtOwners is dbpool.SetConfig.QueueAtOwners.
	QueueAtOwners bool

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Drain makes the server refuse new requests. Open transactions may continue.
func (s *Server) Drain() { s.stopping.Store(true) }

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // nothing depends on how the connection ends
	}
}

// ServeHTTP upgrades a connection to the protocol of this package and serves it. It
// responds with 404 if the instance does not own the database or is draining.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.URL.Query().Get("id")
	if _, ok := s.Pools.Owned(id); !ok || s.stopping.Load() || req.Header.Get("Upgrade") != upgrade {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Log.Warn().Err(err).Msg("Failed to take over a connection from a peer.")
		return
	}
	s.track(c, true)
	defer s.track(c, false)
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout)) // if this fails, so does the write below
	headers := "Connection: Upgrade\r\nUpgrade: " + upgrade + "\r\n" + inOrderHeader + ": 1\r\n"
	organisations := req.Header.Get(organisationsHeader) != ""
	if organisations {
		headers += organisationsHeader + ": 1\r\n"
	}
	_, err = buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\n" + headers + "\r\n")
	if err == nil {
		err = buffered.Flush()
	}
	if err == nil {
		err = c.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = c.Close() // the peer has disconnected
		return
	}
	p := &peerConn{
		server: s, id: id, w: buffered.Writer, enc: gob.NewEncoder(buffered.Writer), dec: gob.NewDecoder(buffered.Reader),
		variables: make(map[string]string), prepared: make(map[string]dbpool.PreparedStatement),
		reportsProgress: req.URL.Query().Has(progressParam), organisations: organisations,
	}
	if p.serve() {
		_ = c.Close() // the last reply still reaches a peer that has closed its sending side
		return
	}
	_ = sockets.Reset(c) // data in transit is no longer needed
}

// track adds a connection to the open connections or removes it.
func (s *Server) track(c net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}
	if open {
		s.conns[c] = struct{}{}
	} else {
		delete(s.conns, c)
	}
}

// peerConn is a connection from a peer, with the state of the session that uses it.
// Except for sending, only one goroutine uses it.
type peerConn struct {
	server          *Server
	id              string
	reportsProgress bool
	organisations   bool // the messages are organisationRequests
	dec             *gob.Decoder

	sendMu sync.Mutex
	w      *bufio.Writer
	enc    *gob.Encoder
	busy   bool // a request is in progress
	timer  *time.Timer

	variables map[string]string
	prepared  map[string]dbpool.PreparedStatement
	lease     *dbpool.Lease // set during a transaction
	// organisation is the one of the transaction.
	organisation string
}

// serve handles requests until the peer disconnects or closes its sending side, which also
// ends the wait for a connection to the database. It reports false if it ends the
// connection itself.
func (p *peerConn) serve() bool {
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan organisationRequest)
	go func() {
		defer close(requests)
		defer cancel()
		contain.Run(p.server.Log, "connection of a peer", func() { p.readRequests(ctx, requests) })
	}()
	defer cancel()
	defer func() {
		if p.lease != nil {
			p.lease.Discard()
		}
	}()
	for r := range requests {
		p.startProgress()
		began := time.Now()
		rep := p.handle(ctx, r.Organisation, r.Request)
		p.stopProgress()
		rep.Load = p.server.load(p.id, time.Since(began))
		if p.send(rep) != nil || rep.Lost != "" {
			return false // the peer reconnects
		}
	}
	return true
}

// readRequests passes on the peer's requests until it disconnects or ctx ends.
func (p *peerConn) readRequests(ctx context.Context, requests chan<- organisationRequest) {
	for {
		r, err := p.receive()
		if err != nil {
			return // the peer has disconnected
		}
		select {
		case requests <- r:
		case <-ctx.Done():
			return
		}
	}
}

// receive reads a request. Its organisation is empty if the peer's requests have none.
func (p *peerConn) receive() (organisationRequest, error) {
	var (
		r   organisationRequest
		err error
	)
	if p.organisations {
		err = p.dec.Decode(&r)
	} else {
		err = p.dec.Decode(&r.Request)
	}
	return r, err
}

func (p *peerConn) send(rep reply) error {
	p.sendMu.Lock()
	defer p.sendMu.Unlock()
	return p.sendLocked(rep)
}

// sendLocked sends a reply. p.sendMu is held.
func (p *peerConn) sendLocked(rep reply) error {
	if err := p.enc.Encode(rep); err != nil {
		return err
	}
	return p.w.Flush()
}

// startProgress reports the progress of a request until stopProgress is called.
func (p *peerConn) startProgress() {
	if !p.reportsProgress {
		return
	}
	p.sendMu.Lock()
	defer p.sendMu.Unlock()
	p.busy = true
	if p.timer == nil {
		p.timer = time.AfterFunc(progressInterval, p.reportProgress)
		return
	}
	p.timer.Reset(progressInterval)
}

func (p *peerConn) stopProgress() {
	p.sendMu.Lock()
	defer p.sendMu.Unlock()
	p.busy = false
	if p.timer != nil {
		p.timer.Stop()
	}
}

// reportProgress tells the peer that its request is in progress, unless the database
// does not answer this instance.
func (p *peerConn) reportProgress() {
	pool, owned := p.server.Pools.Owned(p.id)
	if !owned {
		return
	}
	_, unresponsive := pool.UnresponsiveSince()
	p.sendMu.Lock()
	defer p.sendMu.Unlock()
	if !p.busy {
		return
	}
	if !unresponsive && p.sendLocked(reply{Waiting: true}) != nil {
		return // the peer has disconnected
	}
	p.timer.Reset(progressInterval)
}

func (p *peerConn) handle(ctx context.Context, organisation string, r request) reply {
	deadline := time.Now().Add(r.Remaining)
	pool, owned := p.server.Pools.Owned(p.id)
	if p.lease == nil && (!owned || p.server.stopping.Load()) {
		return reply{NotSent: errNotOwner}
	}
	if p.lease != nil && organisation != p.organisation {
		return reply{NotSent: errOtherOrganisation}
	}
	if len(r.Commands) == 1 && r.Commands[0].Op == statement.OpStatus {
		return databaseStatus(ctx, pool, r)
	}
	answers := make([]statement.Answer, len(r.Commands))
	var (
		forwarded []statement.Command
		indexes   []int // index of the answer to each forwarded command
	)
	for i, c := range r.Commands {
		answers[i].State = p.txState()
		if !p.applyLocally(c) {
			forwarded, indexes = append(forwarded, c), append(indexes, i)
		}
	}
	if len(forwarded) == 0 {
		return reply{Answers: answers}
	}
	if p.lease == nil {
		acquireDeadline := deadline.Add(-answerMargin)
		acquireCtx, cancel := context.WithDeadline(ctx, acquireDeadline)
		defer cancel()
		lease, err := pool.Acquire(acquireCtx, admission.Request{
			ID: r.ID, Class: r.Class, Caller: r.Caller, Organisation: organisation, Rank: r.Rank, Deadline: acquireDeadline, Target: targetOf(r),
		}, p.variables)
		if err != nil {
			return reply{NotSent: withoutCause(result.From(err)), Answers: answers}
		}
		if ctx.Err() != nil {
			lease.Release()
			return reply{NotSent: errWithdrawn, Answers: answers}
		}
		p.lease, p.organisation = lease, organisation
	}
	results, err := p.lease.RunCommands(deadline, p.variables, p.prepared, forwarded)
	for i, a := range results {
		if a.Err != nil {
			a.Err = withoutCause(a.Err)
		}
		answers[indexes[i]] = a
	}
	if err != nil {
		p.lease.Discard()
		p.lease = nil
		if notSent := (*dbpool.NotSentError)(nil); errors.As(err, &notSent) {
			return reply{NotSent: withoutCause(result.From(notSent.Cause)), Answers: answers}
		}
		return reply{Lost: err.Error(), Answering: p.server.QueueAtOwners && answering(pool, owned)}
	}
	if results[len(results)-1].State == statement.TxIdle {
		p.lease.Release()
		p.lease = nil
	}
	return reply{Answers: answers}
}

// targetOf returns the time by which a request should be answered, or the zero time.
func targetOf(r request) time.Time {
	if r.RemainingTarget == 0 {
		return time.Time{}
	}
	return time.Now().Add(r.RemainingTarget)
}

func (p *peerConn) txState() statement.TxState {
	if p.lease != nil {
		return statement.TxOpen
	}
	return statement.TxIdle
}

// changesSession reports whether an operation only changes the state of the session.
// The owner carries it out itself.
func changesSession(op statement.Op) bool {
	return op == statement.OpSet || op == statement.OpPrepare || op == statement.OpDeallocate || op == statement.OpReset
}

// applyLocally carries out a command that only changes the state of the session. The
// state is applied to a connection to the database together with the next
// statement. It reports false for other commands.
func (p *peerConn) applyLocally(c statement.Command) bool {
	switch c.Op {
	case statement.OpSet:
		p.variables[c.Name] = c.Value
	case statement.OpPrepare:
		p.prepared[c.Name] = dbpool.PreparedStatement{Text: c.Value, Writes: c.Writes}
	case statement.OpDeallocate:
		delete(p.prepared, c.Name)
	case statement.OpReset:
		clear(p.variables)
		clear(p.prepared)
	case statement.OpRollback:
		return p.lease == nil // there is nothing to roll back
	default:
		return false
	}
	return true
}

func databaseStatus(ctx context.Context, pool *dbpool.Pool, r request) reply {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	s, err := pool.SharedStatus(ctx)
	if err != nil {
		return reply{Lost: err.Error()}
	}
	return reply{Status: &s}
}

// answering reports whether the database answers this instance.
func answering(pool *dbpool.Pool, owned bool) bool {
	if !owned {
		return false
	}
	_, unresponsive := pool.UnresponsiveSince()
	return !unresponsive
}

// load returns the load of a database for a reply to a request that took the given time,
// or nil if this instance does not report it.
func (s *Server) load(id string, took time.Duration) *balance.Report {
	if !s.QueueAtOwners {
		return nil
	}
	pool, owned := s.Pools.Owned(id)
	if !owned {
		return nil
	}
	l := pool.Load()
	l.Report.RefusedFor, l.Report.Took = l.RefusedFor, took
	return &l.Report
}
