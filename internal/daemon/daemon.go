// Package daemon assembles one instance from its settings: the entry role, the
// pool role, failover, membership and configuration, which share one directory.
//
// Invariants: callers are accepted only after a configuration was applied. A
// graceful shutdown first notifies the peers, then completes the work in flight
// and only then closes connections.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"geraniumbeam/internal/admin"
	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/confsync"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/entry"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/failover"
	"geraniumbeam/internal/membership"
	"geraniumbeam/internal/metrics"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/pool"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/telemetry"
	"geraniumbeam/internal/version"
	"geraniumbeam/internal/wire"
)

// Daemon is one instance.
type Daemon struct {
	cfg settings.Settings
	log zerolog.Logger

	dir     *directory.Directory
	clients *wire.Clients
	control *wire.Clients // for membership and configuration
	events  *events.Ring
	metrics *metrics.Registry

	platform *platform.Client
	members  *membership.Membership
	conf     *confsync.Syncer
	pool     *pool.Pool
	failover *failover.Manager
	entry    *entry.Server
	inner    *wire.Server
	health   *telemetry.Server

	readyMu        sync.Mutex // held while draining and the state of /readyz change
	draining       atomic.Bool
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// New creates an instance. It does not serve until Run is called.
func New(cfg settings.Settings, log zerolog.Logger, seed uint64) *Daemon {
	self := ownership.Instance{Name: cfg.Instance, Address: cfg.AdvertiseInner, DataCentre: cfg.DataCentre}
	d := &Daemon{
		cfg:            cfg,
		log:            log,
		dir:            directory.New(self),
		clients:        wire.NewClients(cfg.DialAddress),
		control:        wire.NewControlClients(cfg.DialAddress),
		metrics:        metrics.NewRegistry(cfg.Instance, cfg.DataCentre),
		platform:       platform.NewClient(cfg.Platform, platform.Options{}),
		drainRequested: make(chan struct{}),
	}
	d.events = events.NewRing(cfg.Instance, events.DefaultSize, time.Now, eventLogger(log))
	d.initMembership(seed)
	d.initPool(seed)
	d.initEntry()
	d.publishVars()
	return d
}

// initMembership creates membership and the distribution of configuration.
func (d *Daemon) initMembership(seed uint64) {
	d.conf = confsync.New(confsync.Config{
		Directory: d.dir,
		Clients:   d.control,
		Platform:  d.platform,
		Log:       telemetry.PartLogger(d.log, telemetry.PartConfsync),
		Events:    d.events,
		Clock:     clock.Real{},
		Seed:      seed,
	})
	d.members = membership.New(membership.Config{
		Directory:     d.dir,
		Clients:       d.control,
		Platform:      d.platform,
		Log:           telemetry.PartLogger(d.log, telemetry.PartMembership),
		Events:        d.events,
		Clock:         clock.Real{},
		RandomSeed:    seed,
		ObserveDigest: d.conf.ObserveDigest,
		OnLeaving:     d.RequestDrain,
		OnDead:        d.clients.Forget,
	})
}

// initPool creates the pool role and failover.
func (d *Daemon) initPool(seed uint64) {
	d.pool = pool.New(pool.Config{
		Settings:  d.cfg,
		Directory: d.dir,
		Clients:   d.clients,
		Events:    d.events,
		Log:       telemetry.PartLogger(d.log, telemetry.PartPool),
		Clock:     clock.Real{},
		Open:      d.open,
	})
	d.failover = failover.New(failover.Config{
		Self:                   d.dir.Self(),
		Directory:              d.dir,
		Clients:                d.clients,
		Platform:               d.platform,
		Statuses:               d.pool.Statuses,
		ReplicasUnreachableFor: d.pool.ReplicasUnreachableFor,
		Open:                   d.open,
		Events:                 d.events,
		Log:                    telemetry.PartLogger(d.log, telemetry.PartFailover),
		Clock:                  clock.Real{},
		Seed:                   seed,
		NoFencing:              d.cfg.Unsafe.NoFencing,
	})
	d.pool.SetVoter(d.failover)
}

// initEntry creates the entry role and the servers of the instance.
func (d *Daemon) initEntry() {
	d.entry = entry.New(entry.Config{
		Settings:  d.cfg,
		Directory: d.dir,
		Clients:   d.clients,
		Metrics:   d.metrics,
		Events:    d.events,
		Log:       telemetry.PartLogger(d.log, telemetry.PartEntry),
		Clock:     clock.Real{},
	})
	adm := admin.New(admin.Config{
		Version:   version.String(),
		Directory: d.dir,
		Members:   d.members,
		Databases: d.pool,
		Events:    d.events,
		State:     d.state,
		Callers:   d.entry.Callers,
		Drain:     d.RequestDrain,
	})
	d.inner = wire.NewServer(d.pool, peerService{d.members, d.conf}, adm)
	d.clients.ServeLocal(d.cfg.AdvertiseInner, d.inner)
	d.health = telemetry.NewServer(d.metrics.Vars)
}

func (d *Daemon) open(db platform.Database) backend.Database {
	return backend.NewPostgres(backend.Config{
		Address:      d.cfg.DialAddress(db.Address),
		User:         d.cfg.Database.User,
		Password:     d.cfg.Database.Password,
		DatabaseName: d.cfg.Database.Name,
	})
}

func (d *Daemon) state() string {
	if d.draining.Load() {
		return "draining"
	}
	return "running"
}

// RequestDrain starts a graceful shutdown; Run returns when it is complete.
func (d *Daemon) RequestDrain() {
	d.drainOnce.Do(func() { close(d.drainRequested) })
}

// Listeners are the sockets of an instance.
type Listeners struct {
	Callers net.Listener
	Inner   net.Listener
	Metrics net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(cfg settings.Settings) (Listeners, error) {
	var l Listeners
	for _, s := range []struct {
		name    string
		address string
		out     *net.Listener
	}{
		{"listen_callers", cfg.ListenCallers, &l.Callers},
		{"listen_inner", cfg.ListenInner, &l.Inner},
		{"listen_metrics", cfg.ListenMetrics, &l.Metrics},
	} {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			l.Close()
			return Listeners{}, fmt.Errorf("open the socket of %s: %w", s.name, err)
		}
		*s.out = ln
	}
	return l, nil
}

// Close closes the sockets.
func (l Listeners) Close() {
	for _, ln := range []net.Listener{l.Callers, l.Inner, l.Metrics} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Run serves until a graceful shutdown is complete, or until ctx ends, which stops
// the instance at once.
func (d *Daemon) Run(ctx context.Context, l Listeners) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.Close()
	defer d.clients.Close()
	defer d.control.Close()

	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.inner.Serve(l.Inner) })
	g.Go(func() error { d.health.Serve(l.Metrics); return nil })
	for _, part := range []interface{ Run(context.Context) error }{d.members, d.conf, d.pool, d.failover} {
		g.Go(func() error { return part.Run(gctx) })
	}
	g.Go(func() error { return d.serveCallers(gctx, l.Callers) })
	g.Go(func() error { return d.waitStop(gctx, cancel) })

	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serveCallers waits until a configuration is in force and then accepts callers.
func (d *Daemon) serveCallers(ctx context.Context, l net.Listener) error {
	d.health.SetNotReady("no configuration is in force")
	for {
		changed := d.dir.Changed()
		if len(d.dir.Catalog().Services()) > 0 && len(d.dir.Groups()) > 0 {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.setReady()
	d.log.Info().Str("part", telemetry.PartDaemon).Str("address", l.Addr().String()).Msg("Accepting callers.")
	return d.entry.Serve(ctx, l)
}
