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
	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/sockets"
	"geraniumbeam/internal/statement"
)

// refusalGrace is how long after the deadline of statements the connection waits for
// the owner's refusal, which is due answerMargin before it. Without the refusal nobody
// can tell whether the statements were run.
const refusalGrace = 100 * time.Millisecond

// ownerConn is a connection to an owner, which runs the commands on one of its
// connections to the database. It implements dbpool.Conn and dbpool.Prioritizer.
type ownerConn struct {
	conn     net.Conn
	raw      syscall.RawConn
	r        *bufio.Reader
	w        *bufio.Writer
	enc      *gob.Encoder
	dec      *gob.Decoder
	priority admission.Request // of the next requests
	load     *balance.Report   // in the latest reply; nil once it has been taken
	progress func()            // called for each report of progress; may be nil
	inOrder  bool              // the owner sends no command before the answers of those that it relies on
	// reportUnsent is DialOptions.ReportUnsent.
	reportUnsent bool
	// organisations is set if the messages are organisationRequests.
	organisations bool
	// withdrawAfter is the context after which requests that the owner has not started
	// are withdrawn; nil if they are not.
	withdrawAfter context.Context
	withdrawn     bool // nothing more can be sent
}

// DialOptions are the properties of a connection to an owner.
type DialOptions struct {
	// Organisations allows requests to have an organisation. An owner that does not know
	// organisations is refused.
	Organisations bool
	// ReportUnsent makes the connection fail with a dbpool.NotSentError if a request can't
	// be sent completely: the owner runs nothing of an incomplete message.
	ReportUnsent bool
}

// Dial connects to the owner at address for requests to the database with the id. It
// fails if that instance does not own the database or refuses the options; the pool then
// reports result.DatabaseDown.
func Dial(ctx context.Context, address, id string, o DialOptions) (dbpool.Conn, error) {
	var d net.Dialer
	netConn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to owner at %s: %w", address, err)
	}
	c := &ownerConn{conn: netConn, r: bufio.NewReader(netConn), w: bufio.NewWriter(netConn), organisations: o.Organisations, reportUnsent: o.ReportUnsent}
	if err := c.handshake(ctx, address, id); err != nil {
		_ = netConn.Close() // no request was sent on it
		return nil, err
	}
	return c, nil
}

func (c *ownerConn) handshake(ctx context.Context, address, id string) error {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return fmt.Errorf("get socket of connection to owner at %s: %w", address, err)
	}
	c.raw = raw
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(deadline) // if this fails, so does the write below
	}
	req := &http.Request{
		Method: http.MethodGet, Host: address, URL: &url.URL{Path: Path, RawQuery: url.Values{"id": {id}, progressParam: {"1"}}.Encode()},
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {upgrade}},
	}
	if c.organisations {
		req.Header.Set(organisationsHeader, "1")
	}
	if err := req.Write(c.w); err != nil {
		return fmt.Errorf("send handshake to owner at %s: %w", address, err)
	}
	if err := c.w.Flush(); err != nil {
		return fmt.Errorf("send handshake to owner at %s: %w", address, err)
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return fmt.Errorf("read handshake response of owner at %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("owner at %s refused the handshake: status %d", address, resp.StatusCode)
	}
	if c.organisations && resp.Header.Get(organisationsHeader) == "" {
		return fmt.Errorf("owner at %s does not know organisations", address)
	}
	c.inOrder = resp.Header.Get(inOrderHeader) != ""
	c.enc, c.dec = gob.NewEncoder(c.w), gob.NewDecoder(c.r)
	return nil
}

// Prioritize implements dbpool.Prioritizer.
func (c *ownerConn) Prioritize(r admission.Request) { c.priority = r }

// Do implements dbpool.Conn.
func (c *ownerConn) Do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	rep, err := c.exchange(deadline, deadline.Add(refusalGrace), commands)
	if err != nil {
		return localAnswers(commands, rep.Answers), err
	}
	if rep.Lost != "" && rep.Answering {
		return rep.Answers, &dbpool.ExpiredError{Cause: errors.New(rep.Lost)}
	}
	if rep.Lost != "" {
		return rep.Answers, errors.New(rep.Lost)
	}
	if len(rep.Answers) != len(commands) {
		return rep.Answers, fmt.Errorf("owner returned %d answers to %d commands", len(rep.Answers), len(commands))
	}
	return rep.Answers, nil
}

// localAnswers returns the answers to the leading commands that the owner has carried
// out itself, although it has sent none to the database.
func localAnswers(commands []statement.Command, answers []statement.Answer) []statement.Answer {
	n := 0
	for n < min(len(commands), len(answers)) && changesSession(commands[n].Op) {
		n++
	}
	return answers[:n]
}

// Sequential implements dbpool.Sequencer.
func (c *ownerConn) Sequential() bool { return c.inOrder }

// Status implements dbpool.Conn.
func (c *ownerConn) Status(deadline time.Time, cmd statement.Command) (statement.Status, error) {
	rep, err := c.exchange(deadline, deadline, []statement.Command{cmd})
	if err != nil {
		return statement.Status{}, err
	}
	if rep.Status == nil {
		return statement.Status{}, fmt.Errorf("owner returned no database status: %s", rep.Lost)
	}
	return *rep.Status, nil
}

// exchange sends commands, which the owner must run by the deadline, and returns its
// reply, for which it waits until replyBy. It returns a dbpool.NotSentError if the owner
// did not start the request.
func (c *ownerConn) exchange(deadline, replyBy time.Time, commands []statement.Command) (reply, error) {
	var rep reply
	if err := c.conn.SetDeadline(replyBy); err != nil {
		return rep, fmt.Errorf("exchange with owner: %w", err)
	}
	if c.priority.Organisation != "" && !c.organisations {
		return rep, &dbpool.NotSentError{Cause: errNoOrganisations}
	}
	if c.withdrawn {
		return rep, &dbpool.NotSentError{Cause: errWithdrawn}
	}
	err := c.send(request{
		ID: c.priority.ID, Class: c.priority.Class, Caller: c.priority.Caller, Rank: c.priority.Rank,
		Remaining: time.Until(deadline), RemainingTarget: remainingTarget(c.priority), Commands: commands,
	})
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil && c.reportUnsent {
		return rep, &dbpool.NotSentError{Cause: result.Errorf(result.DatabaseDown, "send a request to the owner: %w", err)}
	}
	if err == nil {
		stop := c.startWithdrawal()
		rep, err = c.receive()
		stop()
	}
	if err != nil {
		return rep, fmt.Errorf("exchange with owner: %w", err)
	}
	if rep.NotSent != nil && c.withdrawn {
		return rep, &dbpool.NotSentError{Cause: errWithdrawn}
	}
	if rep.NotSent != nil {
		return rep, &dbpool.NotSentError{Cause: rep.NotSent}
	}
	return rep, nil
}

// errWithdrawn is the outcome of a request that the owner had not started when its caller
// stopped waiting.
var errWithdrawn = result.Errorf(result.Cancelled, "the request was withdrawn before the owner started it")

// startWithdrawal withdraws the request that was sent when withdrawAfter ends, until stop is
// called. It closes the sending side of the connection, after which owners of all releases
// end the wait for a connection to the database. The owner's reply still arrives: it says
// that nothing was run, or has the answers if the request had been started.
func (c *ownerConn) startWithdrawal() (stop func()) {
	if c.withdrawAfter == nil || c.withdrawAfter.Done() == nil {
		return func() {}
	}
	done := make(chan struct{})
	cancel := context.AfterFunc(c.withdrawAfter, func() {
		defer close(done)
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			c.withdrawn = true
			_ = tcp.CloseWrite() // if it fails, so does the exchange
		}
	})
	return func() {
		if !cancel() {
			<-done // otherwise a later request could be withdrawn
		}
	}
}

// WithdrawAfter implements dbpool.Withdrawer.
func (c *ownerConn) WithdrawAfter(ctx context.Context) { c.withdrawAfter = ctx }

// errNoOrganisations refuses requests of organisations on a connection that was opened
// before the deployment had any.
var errNoOrganisations = result.Errorf(result.DatabaseDown, "the connection to the owner carries no organisations")

// send writes a request to the buffer.
func (c *ownerConn) send(r request) error {
	if !c.organisations {
		return c.enc.Encode(r)
	}
	return c.enc.Encode(organisationRequest{Organisation: c.priority.Organisation, Request: r})
}

func remainingTarget(r admission.Request) time.Duration {
	if r.Target.IsZero() {
		return 0
	}
	return time.Until(r.Target)
}

// receive returns the final reply to a request.
func (c *ownerConn) receive() (reply, error) {
	for {
		var rep reply // gob leaves fields unchanged that were not sent
		if err := c.dec.Decode(&rep); err != nil || !rep.Waiting {
			c.load = rep.Load
			return rep, err
		}
		if c.progress != nil {
			c.progress()
		}
	}
}

// TakeReport implements dbpool.LoadReporter.
func (c *ownerConn) TakeReport() (balance.Report, bool) {
	if c.load == nil {
		return balance.Report{}, false
	}
	r := *c.load
	c.load = nil
	return r, true
}

// OnProgress implements dbpool.ProgressReporter.
func (c *ownerConn) OnProgress(f func()) { c.progress = f }

// Alive implements dbpool.Conn.
func (c *ownerConn) Alive() bool {
	return !c.withdrawn && c.r.Buffered() == 0 && sockets.Reusable(c.raw)
}

// Close implements dbpool.Conn.
func (c *ownerConn) Close() error { return c.conn.Close() }

// Abort implements dbpool.Conn.
func (c *ownerConn) Abort() error { return sockets.Reset(c.conn) }

var (
	_ dbpool.Prioritizer      = (*ownerConn)(nil)
	_ dbpool.ProgressReporter = (*ownerConn)(nil)
	_ dbpool.Sequencer        = (*ownerConn)(nil)
	_ dbpool.LoadReporter     = (*ownerConn)(nil)
	_ dbpool.Withdrawer       = (*ownerConn)(nil)
)
