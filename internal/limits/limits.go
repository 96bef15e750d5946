// Package limits enforces the limits of organisations over all instances. It runs the
// decisions of package quota: it exchanges shares with the coordinator, and is the
// coordinator while the record primacy.LimitsRecord names this process.
//
// Invariants: an instance sends requests only while it is registered in the present era
// of the store, so that a new coordinator finds all instances that hold shares. Before
// its share learns of a token, its allocator has stopped granting under earlier ones.
// Without organisations in the configuration the package does nothing.
package limits

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/peer"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/quota"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/topology"
)

const (
	// replyWait bounds the time for which an operation waits for a permit.
	replyWait = 150 * time.Millisecond
	// exchangeTimeout bounds a request to the coordinator. The slowest instances answer
	// within 100 ms.
	exchangeTimeout = 500 * time.Millisecond
	// tickInterval is the interval between two looks at the record and the share.
	tickInterval = 50 * time.Millisecond
)

// Store is the part of primacy.Store that a coordinator uses.
type Store interface {
	Records(ctx context.Context) ([]primacy.Record, revision.Revision, error)
	CreateRecord(ctx context.Context, era uint64, r primacy.Record) (primacy.Record, error)
	UpdateRecord(ctx context.Context, era uint64, r primacy.Record) (primacy.Record, error)
	Registrations(ctx context.Context) ([]primacy.Registration, error)
}

// Records is the cache of the records that an instance has seen.
type Records interface {
	Record(name string) (primacy.Record, time.Duration, bool)
	Update(r primacy.Record) bool
}

// Registry knows the registrations of the instances.
type Registry interface {
	RegisteredEra() (uint64, bool)
	EraAge() time.Duration
	Instances() int
	KnownInstances() []primacy.Registration
}

// Peers sends requests to other instances.
type Peers interface {
	ExchangeLimits(ctx context.Context, address string, r peer.LimitsRequest) (quota.Reply, error)
}

// Topology provides the configuration.
type Topology interface {
	Snapshot() *topology.Snapshot
	Changed() <-chan struct{}
}

// Config holds the dependencies of a Limiter. All fields are required.
type Config struct {
	Instance, Incarnation, Address string
	Window                         quota.Window
	Store                          Store
	Records                        Records
	Registry                       Registry
	Peers                          Peers
	Topology                       Topology
	Now                            func() time.Duration // includes time spent suspended
	Log                            zerolog.Logger
}

// Limiter implements proxy.Limiter. It is safe for concurrent use.
type Limiter struct {
	cfg   Config
	log   zerolog.Logger
	share *quota.Share
	table atomic.Pointer[table]
	wake  chan struct{}
	stats stats

	mu         sync.Mutex
	replied    chan struct{} // closed after the next reply or failed request
	alloc      *quota.Allocator
	succession succession
}

// table holds the limits of a version of the configuration.
type table struct {
	version uint64
	limits  map[string]quota.Limit
}

// New returns a limiter. Call Run to start it.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, log: cfg.Log, share: quota.NewShare(cfg.Instance, cfg.Incarnation), wake: make(chan struct{}, 1), replied: make(chan struct{}),
	}
	l.table.Store(&table{})
	return l
}

// limits returns the limits in the present configuration.
func (l *Limiter) limits() map[string]quota.Limit {
	t, snap := l.table.Load(), l.cfg.Topology.Snapshot()
	if t.version == snap.Version {
		return t.limits
	}
	next := &table{version: snap.Version, limits: make(map[string]quota.Limit)}
	for _, o := range snap.Organisations {
		if _, known := next.limits[o.Name]; o.Limited && !known {
			next.limits[o.Name] = l.cfg.Window.Limit(o.Rate, o.Burst)
		}
	}
	l.table.Store(next)
	return next.limits
}

func (l *Limiter) limitOf(organisation string) (quota.Limit, bool) {
	limit, ok := l.limits()[organisation]
	return limit, ok
}

// Admit implements proxy.Limiter.
func (l *Limiter) Admit(ctx context.Context, organisation string) error {
	limit, limited := l.limitOf(organisation)
	if !limited {
		return nil
	}
	d := l.share.Take(organisation, limit, l.cfg.Now())
	l.stats.asked.Add(1)
	if d.Outcome == quota.Waiting {
		l.stats.waited.Add(1)
		d = l.await(ctx, organisation, limit)
	}
	if d.Outcome == quota.Admitted {
		l.stats.admitted.Add(1)
		return nil
	}
	l.stats.refused.Add(1)
	if d.First {
		l.logRefusal(organisation, limit, d)
	}
	return result.Errorf(result.OrganisationLimit, "organisation %s has reached its limit", organisation).WithRetryAfter(d.RetryAfter)
}

// await waits for a permit for at most replyWait.
func (l *Limiter) await(ctx context.Context, organisation string, limit quota.Limit) quota.Decision {
	l.signal()
	t := time.NewTimer(replyWait)
	defer t.Stop()
	for {
		l.mu.Lock()
		replied := l.replied
		l.mu.Unlock()
		if d := l.share.Retake(organisation, limit, l.cfg.Now()); d.Outcome != quota.Waiting {
			return d
		}
		select {
		case <-replied:
			continue
		case <-t.C:
		case <-ctx.Done():
		}
		return l.share.Cancel(organisation, l.cfg.Now())
	}
}

// Return implements proxy.Limiter.
func (l *Limiter) Return(organisation string) {
	if limit, limited := l.limitOf(organisation); limited {
		l.share.Return(organisation, limit, l.cfg.Now())
	}
}

// signal wakes the exchange.
func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.cfg.Topology.Changed()
		if len(l.limits()) > 0 {
			l.tick(ctx)
			l.sleep(ctx)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// sleep waits until the next look is due or an operation waits.
func (l *Limiter) sleep(ctx context.Context) {
	d := tickInterval
	if at, ok := l.share.Next(l.cfg.Registry.Instances()); ok {
		if left := at - l.cfg.Now(); left > 0 {
			d = min(d, left)
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// tick looks at the record, takes it over if it is this instance's turn, and sends a
// request if one is due.
func (l *Limiter) tick(ctx context.Context) {
	now := l.cfg.Now()
	era, registered := l.cfg.Registry.RegisteredEra()
	rec, confirmed, known := l.cfg.Records.Record(primacy.LimitsRecord)
	if known {
		l.observe(rec, confirmed)
	}
	if !registered {
		return
	}
	l.coordinate(ctx, now, era, rec, known)
	if rec, _, known = l.cfg.Records.Record(primacy.LimitsRecord); known && rec.Revision.Era == era {
		l.exchangeIfDue(ctx, rec)
	}
}

// observe notes the token of a record and, if it names this process, that it does.
func (l *Limiter) observe(rec primacy.Record, confirmed time.Duration) {
	l.mu.Lock()
	alloc := l.alloc
	l.mu.Unlock()
	if alloc != nil && alloc.ObserveToken(rec.Token) {
		l.stepDown(alloc, rec)
	}
	l.share.ObserveToken(rec.Token)
	if alloc != nil && rec.Token == alloc.Token() && rec.Promoter == l.cfg.Incarnation {
		alloc.Confirm(confirmed)
	}
}

// stepDown forgets an allocator that was replaced.
func (l *Limiter) stepDown(alloc *quota.Allocator, rec primacy.Record) {
	l.mu.Lock()
	replaced := l.alloc == alloc
	if replaced {
		l.alloc = nil
	}
	l.mu.Unlock()
	if replaced {
		l.log.Info().Uint64("token", alloc.Token()).Uint64("successor_token", rec.Token).Str("successor", rec.Primary).
			Msg("This instance no longer coordinates the limits of organisations.")
	}
}

// Exchange answers a request of an instance to this one as the coordinator.
func (l *Limiter) Exchange(r peer.LimitsRequest) quota.Reply {
	l.mu.Lock()
	alloc := l.alloc
	l.mu.Unlock()
	if r.Coordinator != l.cfg.Incarnation {
		return quota.Reply{Token: r.Token, Seq: r.Seq, Stopping: true} // that process has ended
	}
	if alloc == nil {
		return quota.Reply{Token: r.Token, Seq: r.Seq}
	}
	return alloc.Exchange(r.Request, l.cfg.Now(), l.limitOf)
}

// exchangeIfDue sends a request to the coordinator if one is due, and applies the reply.
func (l *Limiter) exchangeIfDue(ctx context.Context, rec primacy.Record) {
	now := l.cfg.Now()
	if at, ok := l.share.Next(l.cfg.Registry.Instances()); !ok || now < at {
		return
	}
	r, ok := l.share.Request(now, l.limitOf)
	if !ok {
		return
	}
	l.stats.exchanges.Add(1)
	l.noteRequest(now)
	m := peer.LimitsRequest{Coordinator: rec.Promoter, Request: r}
	if rec.Promoter == l.cfg.Incarnation {
		l.apply(r.Seq, l.Exchange(m), nil)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		reply, err := l.cfg.Peers.ExchangeLimits(ctx, rec.Candidate, m)
		l.apply(r.Seq, reply, err)
		l.signal()
	}()
}

// apply takes over a reply, or notes that there is none, and wakes the operations that
// wait.
func (l *Limiter) apply(seq uint64, reply quota.Reply, err error) {
	switch {
	case err != nil:
		l.stats.failedExchanges.Add(1)
		l.share.Fail(seq)
		l.log.Debug().Err(err).Msg("The coordinator of the limits did not answer.")
	case l.share.Apply(reply, l.cfg.Now(), l.limitOf):
		l.noteReply(reply)
	default:
		l.share.Fail(seq) // of another token
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.replied)
	l.replied = make(chan struct{})
}

// Stop hands the coordination over: this instance grants nothing any more.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.succession.stopping = true
	if l.alloc != nil {
		l.alloc.Stop()
	}
}

// isOwn reports whether an incarnation in a registration is that of a process. A process
// may register again under an incarnation that begins with its first one.
func isOwn(registered, incarnation string) bool {
	return registered == incarnation || strings.HasPrefix(registered, incarnation+"+")
}
