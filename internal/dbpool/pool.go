package dbpool

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/balance"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

const (
	// dialTimeout bounds the opening of a connection. It allows for three lost
	// packets between data centres and a database that is five times slower
	// than usual.
	dialTimeout = 1 * time.Second
	// ownerDialTimeout bounds the opening of a connection to another instance. A
	// handshake takes two round trips, of 10 ms between data centres; one lost packet
	// is sent again by the next attempt.
	ownerDialTimeout = 200 * time.Millisecond
	// dialBackoffMin and dialBackoffMax bound the exponential back-off after a
	// failed dial.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 800 * time.Millisecond
	// atLimitBackoff is the mean retry delay after the database refused a
	// connection because of its connection limit.
	atLimitBackoff = 30 * time.Millisecond
	// atLimitPeriod is the mean time for which reads prefer another database
	// after such a refusal.
	atLimitPeriod = 2 * time.Second
	// warmUpJitter spreads the first connections of instances that start
	// together: accepting 64 of them keeps all four slots of a database busy
	// for 200 ms.
	warmUpJitter = 1500 * time.Millisecond
	// laggingPeriod is how long a replica that had not reached a required log
	// position gets no reads that require one. Each read that finds it still
	// lagging costs one attempt.
	laggingPeriod = 150 * time.Millisecond
)

// Pool holds the connections to one database. It is safe for concurrent use.
type Pool struct {
	db      topology.Database
	owner   string // instance through which the database is reached; empty if it is reached directly
	dial    Dial
	now     func() time.Duration // advances while the machine is suspended
	clock   clock.Clock
	queue   *admission.Queue
	metrics *measure.Registry
	// queueAtOwners is Config.QueueAtOwners.
	queueAtOwners bool
	dataCentre    string
	ownerAddress  string
	onRoundTrip   func(time.Duration)

	maintaining atomic.Bool

	mu           sync.Mutex
	idle         []*pooledConn // most recently used last
	open         int           // connections idle, in use and being opened
	sizing       Sizing
	closed       bool
	dialAfter    time.Duration // earliest time of the next dial
	dialBackoff  time.Duration // 0 unless the last dial failed without an answer
	atLimitUntil time.Duration
	warmUpAfter  time.Duration // earliest time to open a connection ahead of need
	health       health
	lastPosition statement.Position // end of the database's log in its latest answer
	laggedAt     time.Duration      // when the database last lacked a required position
	latency      decayingMean       // of exchanges with a statement
	setupLatency decayingMean       // of exchanges that only bring the session into the right state
	statuses     statusQueries
	shared       sharedLoad
	waiting      waiting
	assigned     assignment
	occupation   *occupation   // nil if the database is reached directly
	busyUntil    time.Duration // until when requests of organisations prefer another owner
	pace         *pacer        // nil if the concurrency is fixed
}

// Config configures a Pool.
type Config struct {
	Database topology.Database
	Owner    string // instance that Dial connects to; empty if it connects to the database itself
	// Occupation records the use of connections to an owner by organisations; nil if Owner
	// is empty or the deployment has no organisations.
	Occupation *occupation
	// OwnerAddress is the address of the owner, which changes if it restarts elsewhere.
	OwnerAddress string
	Dial         Dial
	Clock        clock.Clock
	Now          func() time.Duration // a clock that advances while the machine is suspended
	Sizing       Sizing
	Metrics      *measure.Registry // may be nil
	// QueueAtOwners keeps the statements that a database holds within the concurrency of
	// its owners: a statement that was given up counts until the database has probably
	// run it, and a request that passed its own deadline is no failure of the database.
	QueueAtOwners bool
	// DataCentre is the place of the database or, with Owner, of the owner.
	DataCentre string
	// OnRoundTrip gets the time that an exchange with an owner spent on the way. It may be
	// nil.
	OnRoundTrip func(took time.Duration)
	// AdaptivePace limits the concurrency of a direct pool by how the database answers.
	AdaptivePace bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Clock == nil {
		cfg.Clock = clock.Real{}
	}
	pacer := newPacer(cfg)
	return &Pool{
		pace:          pacer,
		db:            cfg.Database,
		owner:         cfg.Owner,
		occupation:    cfg.Occupation,
		dial:          cfg.Dial,
		now:           cfg.Now,
		clock:         cfg.Clock,
		sizing:        cfg.Sizing,
		metrics:       cfg.Metrics,
		queueAtOwners: cfg.QueueAtOwners,
		dataCentre:    cfg.DataCentre,
		ownerAddress:  cfg.OwnerAddress,
		onRoundTrip:   cfg.OnRoundTrip,
		warmUpAfter:   cfg.Now() + rand.N(warmUpJitter),
		queue:         admission.New(admission.Config{Clock: cfg.Clock, MaxConcurrency: pacer.limit(cfg.Sizing.concurrency()), FixedConcurrency: true}),
	}
}

// Owner returns the name of the instance through which the database is reached,
// or an empty string if it is reached directly.
func (p *Pool) Owner() string { return p.owner }

// Database returns the database that the pool connects to.
func (p *Pool) Database() topology.Database { return p.db }

// SetSizing changes the size of the pool.
func (p *Pool) SetSizing(s Sizing) {
	p.mu.Lock()
	before := p.concurrency()
	p.sizing = s
	concurrency := p.concurrency()
	p.mu.Unlock()
	if concurrency != before {
		p.queue.SetConcurrency(concurrency)
	}
}

// Load is the load of a database as seen by this instance.
type Load struct {
	InUse          int
	Idle           int // open connections that are not in use
	Queued         int
	MaxOpen        int  // connections that may be in use at a time
	AtLimit        bool // no connection is idle, and the database recently refused one for its limit
	Oversubscribed bool // opening a connection may fail because of the limit
	Down           bool // no connection can be opened, or exchanges are not answered
	// Position is the end of the database's log in its latest answer.
	Position statement.Position
	// Lagging is set if the database recently lacked a log position that a
	// read required.
	Lagging bool
	// MeanLatency is the smoothed round-trip time of an exchange.
	MeanLatency time.Duration
	// Report is what the owner reported with its latest reply, which is ReportAge old. On
	// a direct connection it is the load of this instance's own pool.
	Report    balance.Report
	ReportAge time.Duration
	// RefusedFor is how long the database should get no reads, because it refused some for
	// a full queue. It is 0 if it has not lately.
	RefusedFor time.Duration
}

// MarkLagging records that the database lacked a log position that a read
// required.
func (p *Pool) MarkLagging() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggedAt = p.now()
}

// Load returns the current load.
func (p *Pool) Load() Load {
	queued := p.queue.Queued()
	now := p.now() // a system call, made before the lock is taken
	p.mu.Lock()
	defer p.mu.Unlock()
	report, age := p.reportAt(now, queued)
	return Load{
		Report:         report,
		ReportAge:      age,
		RefusedFor:     p.shared.refusals.Remaining(now),
		InUse:          p.open - len(p.idle),
		Queued:         queued,
		MaxOpen:        p.sizing.concurrency(),
		AtLimit:        len(p.idle) == 0 && now < p.atLimitUntil,
		Oversubscribed: p.sizing.oversubscribed(),
		Position:       p.lastPosition,
		Lagging:        p.laggedAt != 0 && now-p.laggedAt < laggingPeriod,
		MeanLatency:    p.latency.at(now),
		Down:           p.closed || (p.open == 0 && p.dialBackoff > 0 && now < p.dialAfter) || p.health.stalled(now),
	}
}

// Acquire waits for a connection of the request's organisation for a session with the
// given variables. If it fails, nothing was sent to the database.
func (p *Pool) Acquire(ctx context.Context, r admission.Request, variables map[string]string) (*Lease, error) {
	began := p.now()
	ticket, err := p.awaitTurn(ctx, r)
	p.observePhase(phaseQueue, p.now()-began)
	if err != nil {
		return nil, err
	}
	organisation := p.organisationOf(r.Organisation)
	p.recordUse(organisation)
	conn, err := p.takeConn(ctx, organisation, variables)
	if err != nil {
		p.observeRefusal(organisation, err)
		ticket.Release(0)
		return nil, err
	}
	if c, ok := conn.Conn.(Prioritizer); ok {
		c.Prioritize(r)
	}
	l := &Lease{pool: p, conn: conn, ticket: ticket, class: r.Class}
	if p.occupation != nil && r.Organisation != "" {
		l.organisation, l.began = r.Organisation, p.now()
	}
	return l, nil
}

// TryAcquire returns an idle connection of the request's organisation for a session with
// the given variables, if there is one and no request waits.
func (p *Pool) TryAcquire(r admission.Request, variables map[string]string) (*Lease, bool) {
	ticket, ok := p.queue.TryAcquire(r)
	if !ok {
		return nil, false
	}
	organisation := p.organisationOf(r.Organisation)
	conn := p.takeIdle(organisation, variables)
	if conn != nil && !conn.Alive() {
		p.discard(conn)
		conn = nil
	}
	if conn == nil {
		ticket.Release(0)
		return nil, false
	}
	p.recordUse(organisation)
	return &Lease{pool: p, conn: conn, ticket: ticket, class: r.Class}, true
}

// takeConn returns an idle connection of the organisation, waits for one or opens one.
func (p *Pool) takeConn(ctx context.Context, organisation string, variables map[string]string) (*pooledConn, error) {
	for {
		conn := p.takeIdle(organisation, variables)
		if conn == nil {
			break
		}
		if conn.Alive() {
			return conn, nil
		}
		p.discard(conn)
	}
	if organisation != "" {
		if conn := p.awaitRelease(ctx, organisation); conn != nil {
			return conn, nil
		}
	}
	return p.connect(ctx, organisation)
}

// takeIdle takes an idle connection of the organisation that has exactly the given
// variables or, if there is none, the most recently used one, preferably with variables:
// those without suit all sessions that set none. Setting variables costs a round trip.
func (p *Pool) takeIdle(organisation string, variables map[string]string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest, withVariables := -1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.organisation != organisation {
			continue
		}
		if latest < 0 {
			latest = i
		}
		if withVariables < 0 && len(c.variables) > 0 {
			withVariables = i
		}
	}
	at := p.indexIdle(organisation, variables)
	if at < 0 {
		at = withVariables
	}
	if at < 0 {
		at = latest
	}
	if at < 0 {
		return nil
	}
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	p.taken(c)
	return c
}

// indexIdle returns the index of the most recently used idle connection of the
// organisation that has exactly the given variables, or -1. p.mu is held.
func (p *Pool) indexIdle(organisation string, variables map[string]string) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].organisation == organisation && maps.Equal(p.idle[i].variables, variables) {
			return i
		}
	}
	return -1
}

// SetupTime returns the expected time that preparing a connection for a session of the
// organisation adds to its next statement, if a connection is idle.
func (p *Pool) SetupTime(organisation string, variables map[string]string) time.Duration {
	if p.owner != "" {
		return 0 // the owner is close to the database
	}
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.indexIdle(organisation, variables) >= 0 {
		return 0
	}
	if organisation != "" && len(p.idle) > 0 && !slices.ContainsFunc(p.idle, func(c *pooledConn) bool { return c.organisation == organisation }) {
		return initialOpenTime
	}
	return p.setupLatency.at(now)
}

// connect opens a connection of the organisation.
func (p *Pool) connect(ctx context.Context, organisation string) (*pooledConn, error) {
	if isCancelled(ctx) { // otherwise another organisation could lose a connection for it
		return nil, errCancelled(p.db.ID)
	}
	p.mu.Lock()
	now := p.now()
	if !p.closed && now < p.dialAfter && p.dialBackoff == 0 {
		p.mu.Unlock()
		return nil, result.Errorf(result.ConnectionsBusy, "database %s is at its connection limit", p.db.ID)
	}
	if p.closed || now < p.dialAfter {
		p.mu.Unlock()
		return nil, result.Errorf(result.DatabaseDown, "database %s is unreachable", p.db.ID)
	}
	delay, ok := p.reserve(now, organisation)
	if ok && delay == 0 {
		p.health.begin(now)
	}
	p.mu.Unlock()
	if !ok {
		return nil, result.Errorf(result.ConnectionsBusy, "all connections to database %s are in use or being opened", p.db.ID)
	}
	if delay > 0 {
		if err := p.awaitSettled(ctx, delay); err != nil {
			return nil, err
		}
		now = p.now()
		p.mu.Lock()
		p.health.begin(now)
		p.mu.Unlock()
	}
	return p.dialReserved(ctx, now, organisation, delay > 0)
}

// dialReserved opens a connection for which room is reserved, if replaces is set in the
// place of one that was closed. It begins now.
func (p *Pool) dialReserved(ctx context.Context, now time.Duration, organisation string, replaces bool) (*pooledConn, error) {
	timeout := dialTimeout
	if p.owner != "" {
		timeout = ownerDialTimeout
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.dial(dialCtx, p.db.Address, p.db.Service, p.db.ID, organisation)

	if err != nil && isCancelled(ctx) && !isAnswer(err) {
		p.dialCancelled()
		return nil, errCancelled(p.db.ID)
	}
	p.countConnect(err)
	ended := p.now()
	p.observePhase(phaseConnect, ended-now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.dialFailed(now, organisation, replaces, err)
		return nil, dialError(p.db.ID, err)
	}
	p.health.end(now, ended, true)
	p.dialBackoff, p.dialAfter = 0, 0
	if r, ok := conn.(ProgressReporter); ok {
		r.OnProgress(p.observeProgress)
	}
	c := newPooledConn(conn, organisation)
	if organisation != "" {
		p.assigned.openTime = smoothed(p.assigned.openTime, ended-now)
		p.taken(c)
		p.countOrganisation("opened")
	}
	return c, nil
}

// dialFailed records a failed dial for an organisation that began at the given time, in the
// place of a closed connection if replaces is set. p.mu is held.
func (p *Pool) dialFailed(began time.Duration, organisation string, replaces bool, err error) {
	now := p.now()
	var refused *result.Error
	answered := errors.As(err, &refused) && refused.Code != result.WrongDatabase
	p.health.end(began, now, answered)
	if answered {
		p.dialAfter = now + atLimitBackoff/2 + rand.N(atLimitBackoff) // jitter, so that instances do not retry together
		p.atLimitUntil = now + atLimitPeriod/2 + rand.N(atLimitPeriod)
		if organisation != "" && refused.Code == result.ConnectionsBusy {
			p.lowerBound(now, replaces)
		}
		return
	}
	if p.dialBackoff == 0 {
		p.restartPace()
	}
	p.dialBackoff = min(max(2*p.dialBackoff, dialBackoffMin), p.maxBackoff())
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
	_ = c.Abort() // the connection is not used again
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.returned(c)
	p.settle()
}

// Close closes the idle connections. Those in use are closed when they are
// returned.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // no request depends on an idle connection
	}
}
