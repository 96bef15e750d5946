// Package platformd assembles an instance from its components: topology, primacy,
// connection pools and sessions. Instances share a store and read it directly or
// through relays, which are other instances.
//
// Invariants: an instance is ready for callers only after a configuration and the
// databases are known. A shutdown first stops new callers, then ends sessions, and
// removes the instance's registration last.
package platformd

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/hop"
	"geraniumbeam/internal/limits"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/peer"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/proxy"
	"geraniumbeam/internal/quota"
	"geraniumbeam/internal/topology"
)

// Config holds what an instance needs. All fields but OrganisationLimits, AdaptivePace and
// Regions are required.
type Config struct {
	Instance      string
	DataCentre    string
	Address       string // at which peers reach the instance
	Source        topology.Source
	Store         primacy.Store
	Promotions    primacy.Promotions
	Dial          dbpool.Dial
	NewCallerConn func(net.Conn) proxy.CallerConn
	Log           zerolog.Logger
	// MaxSessions bounds the number of connections from callers.
	MaxSessions int
	// GracePeriod is the time that a shutdown may take.
	GracePeriod time.Duration
	// DrainTime is how long a database that is leaving may still get work.
	DrainTime time.Duration
	// OrganisationLimits is nil if organisations have no limits.
	OrganisationLimits *quota.Window
	// AdaptivePace limits the concurrency of databases by how they answer.
	AdaptivePace bool
	// Regions maps each data centre to its region. It is nil in a deployment of one
	// region, in which demand is not balanced.
	Regions distance.Regions
}

// Instance is a proxy instance.
type Instance struct {
	cfg       Config
	topology  *topology.Topology
	records   *primacy.RecordCache
	primacy   *primacy.Runner
	pools     *dbpool.Set
	proxy     *proxy.Server
	metrics   *measure.Registry
	syncer    *topology.Syncer
	hop       *hop.Server
	limits    *limits.Limiter // nil if organisations have no limits
	distances *distance.Times // nil in a deployment of one region
	stopping  atomic.Bool
}

// New returns an instance. Run starts it.
func New(cfg Config) *Instance {
	incarnation := cfg.Instance + "#" + strconv.FormatUint(rand.Uint64(), 36)
	i := &Instance{
		cfg: cfg, topology: topology.New(), metrics: measure.NewRegistry(),
		records: primacy.NewRecordCache(incarnation, primacy.InitialValidity, clock.SinceBoot),
	}
	i.syncer = topology.NewSyncer(i.topology, cfg.Source, clock.SinceBoot, cfg.Log.With().Str("part", "topology").Logger())
	dialOwner := func(ctx context.Context, address, id string, organisations bool) (dbpool.Conn, error) {
		return hop.Dial(ctx, address, id, hop.DialOptions{Organisations: organisations, ReportUnsent: cfg.Regions != nil})
	}
	if cfg.Regions != nil {
		i.distances = distance.NewTimes(cfg.Regions, cfg.DataCentre)
	}
	i.pools = dbpool.NewSet(dbpool.SetConfig{
		Instance: cfg.Instance, Dial: cfg.Dial, Topology: i.topology, Clock: clock.Real{}, Now: clock.SinceBoot,
		Instances: func() int { return i.primacy.Instances() }, Metrics: i.metrics, DialOwner: dialOwner,
		QueueAtOwners: cfg.Regions != nil, AdaptivePace: cfg.AdaptivePace, OnRoundTrip: i.observeRoundTrip,
		Substitutes: func(d topology.Database, limit int) []ownership.Instance { return i.primacy.Substitutes(d.ID, limit) },
		Owners: func(d topology.Database, limit int) ([]ownership.Instance, bool) {
			return i.primacy.Owners(d.ID, d.DataCentre, limit)
		},
		Detours: func(d topology.Database) []ownership.Instance { return i.primacy.Detours(d.ID, d.DataCentre) },
		Rank:    func(d topology.Database, limit int) int { return i.primacy.Rank(d.ID, d.DataCentre, limit) },
		MayConnect: func(d topology.Database, limit int) bool {
			return i.primacy.MayConnect(d.ID, d.DataCentre, limit)
		},
	})
	i.hop = &hop.Server{Pools: i.pools, QueueAtOwners: cfg.Regions != nil, Log: cfg.Log.With().Str("part", "hop").Logger()}
	i.primacy = primacy.NewRunner(primacy.Config{
		Instance: cfg.Instance, DataCentre: cfg.DataCentre, Address: cfg.Address, Peers: peer.NewClient(), Incarnation: incarnation, Store: cfg.Store, Databases: i.pools,
		Promotions: cfg.Promotions, Cache: i.records, Services: i.services, Now: clock.SinceBoot,
		Log:                cfg.Log.With().Str("part", "primacy").Logger(),
		OnStoreUnavailable: func() { i.topology.StoreUnavailable(clock.SinceBoot()) },
		Listings:           i.syncer,
		Regions:            cfg.Regions,
	})
	i.syncer.OnListing = i.primacy.NotifyListing
	var limiter proxy.Limiter
	if cfg.OrganisationLimits != nil {
		i.limits = i.newLimiter(incarnation)
		limiter = i.limits
	}
	i.proxy = proxy.New(proxy.Config{
		DataCentre: cfg.DataCentre, MaxSessions: cfg.MaxSessions, Topology: i.topology, Records: i.records,
		Pools: i.pools, Now: clock.SinceBoot, Log: cfg.Log.With().Str("part", "proxy").Logger(),
		NewCallerConn: cfg.NewCallerConn, Metrics: i.metrics, LeavingPrimaryTimeout: cfg.DrainTime * leavingPrimaryPercent / 100,
		Limiter:   limiter,
		Distances: i.distances,
	})
	return i
}

// newLimiter returns the limiter of the organisations' operations.
func (i *Instance) newLimiter(incarnation string) *limits.Limiter {
	return limits.New(limits.Config{
		Instance: i.cfg.Instance, Incarnation: incarnation, Address: i.cfg.Address, Window: *i.cfg.OrganisationLimits,
		Store: i.cfg.Store, Records: i.records, Registry: i.primacy, Peers: peer.NewClient(), Topology: i.topology,
		Now: clock.SinceBoot, Log: i.cfg.Log.With().Str("part", "limits").Logger(),
	})
}

func (i *Instance) observeRoundTrip(dataCentre string, took time.Duration) {
	if i.distances != nil {
		i.distances.Observe(dataCentre, took, clock.SinceBoot())
	}
}

// leavingPrimaryPercent is the share of the drain time, in percent, during which a
// leaving primary still gets work, counted from its report. The rest covers requests that
// wait for a connection or are on their way.
const leavingPrimaryPercent = 70

func (i *Instance) services() []string {
	return slices.Collect(maps.Keys(i.topology.Snapshot().Services))
}

// closeIdleWhileIsolated closes idle sessions while the instance is isolated, so
// that their callers reconnect to another one. It waits until the load balancer
// has taken the instance out of rotation.
func (i *Instance) closeIdleWhileIsolated(ctx context.Context) error {
	var isolated time.Duration
	t := time.NewTicker(isolationCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := clock.SinceBoot()
		switch {
		case !i.primacy.Isolated():
			isolated = 0
			i.proxy.SetCloseIdle(false)
		case isolated == 0:
			isolated = now
		case now-isolated > rotationDelay:
			i.proxy.SetCloseIdle(true)
		}
	}
}

// isolationCheckInterval is the interval between checks whether the instance is
// isolated.
const isolationCheckInterval = 200 * time.Millisecond

// Ready reports whether the load balancer should send new callers to this instance.
func (i *Instance) Ready() bool {
	snap := i.topology.Snapshot()
	return !i.stopping.Load() && !i.primacy.Isolated() && snap.Version != 0 && len(snap.Databases) > 0
}

// PeerHandler returns the handler for requests from other instances.
func (i *Instance) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix, peer.Handler(i.primacy))
	mux.Handle(hop.Path, i.hop)
	if i.limits != nil {
		mux.Handle("POST "+peer.PathLimits, peer.LimitsHandler(i.limits.Exchange))
	}
	return mux
}

// Listeners are the sockets of an instance.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Inner   net.Listener // peers and metrics
}

const (
	// rotationDelay is how long the load balancer may keep sending callers to an
	// instance that is no longer ready: two probes one second apart, and a margin.
	rotationDelay = 2300 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of
	// the process after the sessions have ended.
	exitReserve = 700 * time.Millisecond
	// rollbackReserve is how long before the end of the sessions open transactions
	// are rolled back, so that their callers can be told.
	rollbackReserve = 500 * time.Millisecond
	// handOverReserve is how long before the end of the grace period, without
	// exitReserve, a replacement of a primary is given up.
	handOverReserve = 700 * time.Millisecond
	// unregisterTimeout bounds the removal of the instance's registration.
	unregisterTimeout = 300 * time.Millisecond
)

// Run serves until stop is cancelled and the shutdown that follows is complete.
func (i *Instance) Run(stop context.Context, l Listeners, ready, inner http.Handler) error {
	log := i.cfg.Log.With().Str("part", "instance").Logger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	tasks := []func(context.Context) error{i.syncer.Run, i.pools.Run, i.primacy.Run, i.proxy.Run, i.closeIdleWhileIsolated}
	if i.limits != nil {
		tasks = append(tasks, i.limits.Run)
	}
	for _, run := range tasks {
		wg.Go(func() {
			contain.Loop(ctx, log, "background task", func(ctx context.Context) {
				if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
					log.Error().Err(err).Msg("A background task has stopped with an error.")
				}
			})
		})
	}
	i.serveHTTP(l.Ready, ready, log)
	i.serveHTTP(l.Inner, inner, log)
	wg.Go(func() {
		if err := i.proxy.Serve(l.Callers); err != nil {
			log.Error().Err(err).Msg("Connections from callers are no longer accepted.")
		}
	})
	log.Info().Str("address", l.Callers.Addr().String()).Msg("The instance has started.")
	<-stop.Done()
	i.shutdown(log, l.Callers)
	cancel()
	i.hop.Close()
	wg.Wait()
	uctx, ucancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer ucancel()
	i.primacy.Unregister(uctx)
	log.Info().Msg("The instance has stopped.")
	return nil
}

func (i *Instance) serveHTTP(l net.Listener, h http.Handler, log zerolog.Logger) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleConnTimeout}
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			log.Error().Err(err).Str("address", l.Addr().String()).Msg("An HTTP server has stopped.")
		}
	}()
}

const (
	// headerTimeout bounds reading the headers of a request from a peer or probe.
	headerTimeout = 2 * time.Second
	// idleConnTimeout closes the connection of a peer or probe that is no longer
	// used.
	idleConnTimeout = 15 * time.Second
)

func (i *Instance) shutdown(log zerolog.Logger, callers net.Listener) {
	i.stopping.Store(true)
	i.hop.Drain()
	if i.limits != nil {
		i.limits.Stop()
	}
	log.Info().Msg("Shutdown started; the instance is no longer ready.")
	ctx, cancel := context.WithTimeout(context.Background(), i.cfg.GracePeriod-exitReserve)
	defer cancel()
	retired := make(chan struct{})
	go func() {
		defer close(retired)
		rctx, rcancel := context.WithTimeout(ctx, i.cfg.GracePeriod-exitReserve-handOverReserve)
		defer rcancel()
		i.primacy.Retire(rctx)
	}()
	closeIdle := min(rotationDelay, i.cfg.GracePeriod/2)
	end := i.cfg.GracePeriod - exitReserve
	go func() {
		time.Sleep(closeIdle)
		_ = callers.Close() // Serve returns even if this fails
	}()
	i.proxy.Shutdown(ctx, proxy.ShutdownSchedule{
		CloseIdle: closeIdle, RollBackOpen: end - rollbackReserve, CloseAll: end,
	})
	_ = callers.Close() // the shutdown may end before closeIdle
	<-retired
}
