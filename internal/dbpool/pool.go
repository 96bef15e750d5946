package dbpool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	// dialTimeout bounds the opening of a connection. It covers three lost
	// packets between data centres and a database that is five times slower.
	dialTimeout = 1 * time.Second
	// dialBackoffMin and redialMax bound the pause after a failed opening.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 800 * time.Millisecond
	// atLimitBackoff is the mean pause after the database refused a connection
	// because of its limit.
	atLimitBackoff = 30 * time.Millisecond
	// atLimitPeriod is the mean time for which reads prefer another database after
	// that.
	atLimitPeriod = 2 * time.Second
	// warmUpJitter spreads the first connections of instances that start together:
	// 64 of them take 200 ms of all four slots of a database.
	warmUpJitter = 1500 * time.Millisecond
	// laggingPeriod is how long a replica that lacked a position gets no reads
	// that need one. A read that finds it behind again costs one attempt.
	laggingPeriod = 150 * time.Millisecond
)

// Pool holds the connections to one database. It is safe for concurrent use.
type Pool struct {
	db      topology.Database
	owner   string // name of the owner whose connections are used; empty: the database's own
	dial    Dial
	now     func() time.Duration // counts suspension
	queue   *admission.Queue
	metrics *measure.Registry

	maintaining atomic.Bool

	mu           sync.Mutex
	idle         []*pooledConn // most recently used last
	open         int           // idle, in use and being opened
	sizing       Sizing
	closed       bool
	dialAfter    time.Duration
	dialBackoff  time.Duration
	atLimitUntil time.Duration // the database refused a connection for its limit
	warmUpAfter  time.Duration // no connection is opened ahead of need before
	health       health
	lastPosition statement.Position // of the database's log, in its latest answer
	laggedAt     time.Duration      // when the database last lacked a position
	latency      decayingMean
}

// Config configures a Pool.
type Config struct {
	Database topology.Database
	Owner    string // name of the owner that Dial connects to; empty: none
	Dial     Dial
	Clock    clock.Clock
	Now      func() time.Duration // a clock that counts suspension
	Sizing   Sizing
	Metrics  *measure.Registry // may be nil
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	return &Pool{
		db:          cfg.Database,
		owner:       cfg.Owner,
		dial:        cfg.Dial,
		now:         cfg.Now,
		sizing:      cfg.Sizing,
		metrics:     cfg.Metrics,
		warmUpAfter: cfg.Now() + rand.N(warmUpJitter),
		queue:       admission.New(admission.Config{Clock: cfg.Clock, MaxConcurrency: cfg.Sizing.MaxOpen, FixedConcurrency: true}),
	}
}

// Owner returns the name of the owner whose connections are used, or nothing.
func (p *Pool) Owner() string { return p.owner }

// Database returns the database that the pool connects to.
func (p *Pool) Database() topology.Database { return p.db }

// SetSizing changes how the instance holds connections.
func (p *Pool) SetSizing(s Sizing) {
	p.mu.Lock()
	changed := s.MaxOpen != p.sizing.MaxOpen
	p.sizing = s
	p.mu.Unlock()
	if changed {
		p.queue.SetConcurrency(s.MaxOpen)
	}
}

// Load describes how busy a database is as far as this instance sees.
type Load struct {
	InUse          int
	Idle           int // open connections that wait for work
	Queued         int
	MaxOpen        int
	AtLimit        bool // none is open and the database has just refused one for its limit
	Oversubscribed bool // connections are lent, so that opening one may fail
	Down           bool // no connection can be opened, or nothing is answered
	// Position is the end of the database's log in its latest answer.
	Position statement.Position
	// Lagging says that the database has just lacked a position that a read
	// needed.
	Lagging bool
	// MeanLatency is the usual time of an exchange, the way there and back included.
	MeanLatency time.Duration
}

// MarkLagging records that the database lacked a position that a read needed.
func (p *Pool) MarkLagging() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggedAt = p.now()
}

// Load returns the current load.
func (p *Pool) Load() Load {
	queued := p.queue.Queued()
	now := p.now() // a system call
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{
		InUse:          p.open - len(p.idle),
		Queued:         queued,
		MaxOpen:        p.sizing.MaxOpen,
		AtLimit:        len(p.idle) == 0 && now < p.atLimitUntil,
		Oversubscribed: p.sizing.oversubscribed(),
		Position:       p.lastPosition,
		Lagging:        p.laggedAt != 0 && now-p.laggedAt < laggingPeriod,
		MeanLatency:    p.latency.at(now),
		Down:           p.closed || (p.open == 0 && p.dialBackoff > 0 && now < p.dialAfter) || p.health.stalled(now),
	}
}

// Lease is the right to use one connection. It must be ended once, by Release
// or by Discard.
type Lease struct {
	pool        *Pool
	conn        *pooledConn
	ticket      *admission.Ticket
	serviceTime time.Duration // that the database took
}

// Acquire waits for a connection. On an error nothing was sent.
func (p *Pool) Acquire(ctx context.Context, r admission.Request) (*Lease, error) {
	began := p.now()
	ticket, err := p.queue.Acquire(ctx, r)
	p.observePhase(phaseQueue, p.now()-began)
	if err != nil {
		return nil, err
	}
	conn, err := p.takeConn(ctx)
	if err != nil {
		ticket.Release(0)
		return nil, err
	}
	if c, ok := conn.Conn.(Prioritizer); ok {
		c.Prioritize(r)
	}
	return &Lease{pool: p, conn: conn, ticket: ticket}, nil
}

func (p *Pool) takeConn(ctx context.Context) (*pooledConn, error) {
	for {
		conn := p.takeIdle()
		if conn == nil {
			return p.connect(ctx)
		}
		if conn.Alive() {
			return conn, nil
		}
		p.discard(conn)
	}
}

func (p *Pool) takeIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// connect opens a connection.
func (p *Pool) connect(ctx context.Context) (*pooledConn, error) {
	p.mu.Lock()
	now := p.now()
	if !p.closed && now < p.dialAfter && p.dialBackoff == 0 {
		p.mu.Unlock()
		return nil, result.Errorf(result.ConnectionsBusy, "database %s is at its connection limit", p.db.ID)
	}
	if p.closed || now < p.dialAfter {
		p.mu.Unlock()
		return nil, result.Errorf(result.DatabaseDown, "database %s can't be reached at present", p.db.ID)
	}
	if p.open >= p.sizing.MaxOpen {
		p.mu.Unlock()
		return nil, result.Errorf(result.ConnectionsBusy, "all connections to database %s are being opened", p.db.ID)
	}
	p.open++
	p.health.begin(now)
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, p.db.Address, p.db.Service, p.db.ID)

	p.countConnect(err)
	ended := p.now()
	p.observePhase(phaseConnect, ended-now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.dialFailed(now, err)
		return nil, dialError(p.db.ID, err)
	}
	p.health.end(now, ended, true)
	p.dialBackoff, p.dialAfter = 0, 0
	return newPooledConn(conn), nil
}

// dialFailed notes a failed opening that began at the time began. p.mu is held.
func (p *Pool) dialFailed(began time.Duration, err error) {
	now := p.now()
	var refused *result.Error
	answered := errors.As(err, &refused) && refused.Code != result.WrongDatabase
	p.health.end(began, now, answered)
	if answered {
		p.dialAfter = now + atLimitBackoff/2 + rand.N(atLimitBackoff) // spreads the instances
		p.atLimitUntil = now + atLimitPeriod/2 + rand.N(atLimitPeriod)
		return
	}
	p.dialBackoff = min(max(2*p.dialBackoff, dialBackoffMin), dialBackoffMax)
	p.dialAfter = now + p.dialBackoff
}

func dialError(id string, err error) error {
	var refused *result.Error
	if errors.As(err, &refused) {
		return refused
	}
	return result.Errorf(result.DatabaseDown, "connect to database %s: %w", id, err)
}

// discard closes a connection that is not in the idle list.
func (p *Pool) discard(c *pooledConn) {
	_ = c.Abort() // nothing depends on how a failed connection ends
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Exchange is one request to a database.
type Exchange struct {
	Variables map[string]string  // of the session
	Prepared  *PreparedStatement // of the prepared statement that Statement executes
	Begin     *statement.Statement
	Statement statement.Statement
	WaitFor   statement.Position
	Deadline  time.Time
}

// Run carries out an exchange and returns the answer to its statement. If the
// transaction did not begin, the answer to Begin is returned instead. A
// NotSentError means that nothing was run, and any other error that the outcome
// is unknown; the lease must be discarded then.
func (l *Lease) Run(x Exchange) (statement.Answer, error) {
	commands := l.conn.syncVariables(x.Variables)
	last := statement.Command{Op: statement.OpStatement, Statement: x.Statement, WaitFor: x.WaitFor}
	if x.Prepared != nil {
		name, prepare := l.conn.prepare(*x.Prepared)
		commands = append(commands, prepare...)
		last.Name = name
	}
	setup := len(commands)
	if x.Begin != nil {
		commands = append(commands, statement.Command{Op: statement.OpStatement, Statement: *x.Begin, WaitFor: x.WaitFor})
		last.WaitFor = statement.Position{}
	}
	// A replica may refuse Begin, and a statement that follows would run
	// outside the transaction. The primary can't refuse it while nobody has
	// begun to replace it.
	split := x.Begin != nil && !x.WaitFor.IsZero()
	if !split {
		commands = append(commands, last)
	}
	answers, err := l.do(x.Deadline, commands)
	if err != nil {
		return statement.Answer{}, err
	}
	if err := l.checkSetup(answers[:setup]); err != nil {
		return statement.Answer{}, err
	}
	if x.Begin != nil && answers[setup].Err != nil {
		return answers[setup], nil
	}
	if split {
		answers, err = l.do(x.Deadline, []statement.Command{last})
		if err != nil {
			return statement.Answer{}, err
		}
	}
	return answers[len(answers)-1], nil
}

// checkSetup returns an error if the database refused a command that gives the
// connection the session's state.
func (l *Lease) checkSetup(answers []statement.Answer) error {
	for _, a := range answers {
		if a.Err != nil {
			return fmt.Errorf("database %s refused the session's state: %w", l.pool.db.ID, a.Err)
		}
	}
	return nil
}

func (l *Lease) do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	p := l.pool
	began := p.now()
	p.mu.Lock()
	p.health.begin(began)
	p.mu.Unlock()
	answers, err := l.conn.Do(deadline, commands)
	ended := p.now()
	p.countExchange(err)
	p.observePhase(phaseExchange, ended-began)
	p.mu.Lock()
	p.health.end(began, ended, err == nil || ownerRefused(err))
	if err == nil {
		p.latency.add(ended-began, ended)
	}
	if n := len(answers); n > 0 && !answers[n-1].Position.IsZero() {
		p.lastPosition = answers[n-1].Position
	}
	p.mu.Unlock()
	l.serviceTime += ended - began
	return answers, err
}

// Rollback ends the transaction on the connection and returns it to the pool.
func (l *Lease) Rollback(deadline time.Time) {
	answers, err := l.do(deadline, []statement.Command{{Op: statement.OpRollback}})
	if err != nil || answers[0].State != statement.TxIdle {
		l.Discard()
		return
	}
	l.Release()
}

// Release returns the connection, which must not be in a transaction.
func (l *Lease) Release() {
	l.pool.putIdle(l.conn)
	l.ticket.Release(l.serviceTime)
}

// Discard closes the connection; the database rolls back what is open on it.
func (l *Lease) Discard() {
	l.pool.discard(l.conn)
	l.ticket.Release(0)
}

// Database returns the database of the lease.
func (l *Lease) Database() topology.Database { return l.pool.db }

// Close closes idle connections and, when they are returned, those in use.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // nothing depends on how an idle connection ends
	}
}
