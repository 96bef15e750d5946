// Package platformd joins the parts of an instance: topology, primacy, connections
// and sessions. Instances share the store, and answers of it through relays.
//
// Invariants: callers are accepted as ready only after a configuration and the
// databases are known. A shutdown first stops new callers, then ends sessions
// and withdraws the registration last.
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
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/hop"
	"geraniumbeam/internal/measure"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/peer"
	"geraniumbeam/internal/primacy"
	"geraniumbeam/internal/proxy"
	"geraniumbeam/internal/topology"
)

// Config holds what an instance needs. All fields are required.
type Config struct {
	Instance      string
	DataCentre    string
	Address       string // where peers reach the instance
	Source        topology.Source
	Store         primacy.Store
	Promotions    primacy.Promotions
	Dial          dbpool.Dial
	NewCallerConn func(net.Conn) proxy.CallerConn
	Log           zerolog.Logger
	// MaxSessions bounds the callers' connections.
	MaxSessions int
	// GracePeriod is the time from the start of a shutdown to its end.
	GracePeriod time.Duration
	// DrainTime is how long a leaving database may get work.
	DrainTime time.Duration
}

// Instance is one instance.
type Instance struct {
	cfg      Config
	topology *topology.Topology
	records  *primacy.RecordCache
	primacy  *primacy.Runner
	pools    *dbpool.Set
	proxy    *proxy.Server
	metrics  *measure.Registry
	follower *topology.Syncer
	hop      *hop.Server
	stopping atomic.Bool
}

// New builds an instance. Nothing runs until Run.
func New(cfg Config) *Instance {
	incarnation := cfg.Instance + "#" + strconv.FormatUint(rand.Uint64(), 36)
	i := &Instance{
		cfg: cfg, topology: topology.New(), metrics: measure.NewRegistry(),
		records: primacy.NewRecordCache(incarnation, primacy.InitialValidity, clock.SinceBoot),
	}
	i.follower = topology.NewSyncer(i.topology, cfg.Source, clock.SinceBoot, cfg.Log.With().Str("part", "topology").Logger())
	i.pools = dbpool.NewSet(dbpool.SetConfig{
		Dial: cfg.Dial, Topology: i.topology, Clock: clock.Real{}, Now: clock.SinceBoot,
		Instances: func() int { return i.primacy.Instances() }, Metrics: i.metrics, DialOwner: hop.Dial,
		Owners: func(d topology.Database, limit int) ([]ownership.Instance, bool) {
			return i.primacy.Owners(d.ID, d.DataCentre, limit)
		},
	})
	i.hop = &hop.Server{Pools: i.pools, Log: cfg.Log.With().Str("part", "hop").Logger()}
	i.primacy = primacy.NewRunner(primacy.Config{
		Instance: cfg.Instance, DataCentre: cfg.DataCentre, Address: cfg.Address, Peers: peer.NewClient(), Incarnation: incarnation, Store: cfg.Store, Databases: i.pools,
		Promotions: cfg.Promotions, Cache: i.records, Services: i.services, Now: clock.SinceBoot,
		Log:                cfg.Log.With().Str("part", "primacy").Logger(),
		OnStoreUnavailable: func() { i.topology.StoreUnavailable(clock.SinceBoot()) },
		OnRevision:         i.follower.ObserveRevision,
	})
	i.proxy = proxy.New(proxy.Config{
		DataCentre: cfg.DataCentre, MaxSessions: cfg.MaxSessions, Topology: i.topology, Records: i.records,
		Pools: i.pools, Now: clock.SinceBoot, Log: cfg.Log.With().Str("part", "proxy").Logger(),
		NewCallerConn: cfg.NewCallerConn, Metrics: i.metrics, LeavingPrimaryTimeout: cfg.DrainTime * leavingUseShare / 100,
	})
	return i
}

// leavingUseShare is the part of the drain time, in percent, in which a leaving
// primary still gets work. The rest covers the way of the news from the store.
const leavingUseShare = 70

func (i *Instance) services() []string {
	return slices.Collect(maps.Keys(i.topology.Snapshot().Services))
}

// evictLoop closes idle sessions while the instance is isolated, so that their
// callers come back at another one. It begins when the balancer has taken the
// instance out of rotation.
func (i *Instance) evictLoop(ctx context.Context) error {
	var isolated time.Duration
	t := time.NewTicker(evictPeriod)
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
		case now-isolated > outOfRotation:
			i.proxy.SetCloseIdle(true)
		}
	}
}

// evictPeriod is the pause between two looks whether the instance is isolated.
const evictPeriod = 200 * time.Millisecond

// Ready reports whether new callers should be sent here.
func (i *Instance) Ready() bool {
	snap := i.topology.Snapshot()
	return !i.stopping.Load() && !i.primacy.Isolated() && snap.Version != 0 && len(snap.Databases) > 0
}

// PeerHandler answers peers.
func (i *Instance) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix, peer.Handler(i.primacy))
	mux.Handle(hop.Path, i.hop)
	return mux
}

// Listeners are the sockets of an instance.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Inner   net.Listener // peers and metrics
}

const (
	// outOfRotation is how long the balancer may go on sending callers to an
	// instance that is no longer ready: two probes a second apart, and a margin.
	outOfRotation = 2300 * time.Millisecond
	// lastReserve is the part of the grace period that is left for the end of
	// the process.
	lastReserve = 700 * time.Millisecond
	// rollbackReserve is how long before the sessions end open transactions are
	// rolled back, so that their callers are told.
	rollbackReserve = 500 * time.Millisecond
	// withdrawTimeout bounds the removal of the registration.
	withdrawTimeout = 300 * time.Millisecond
)

// Run serves until stop ends and the shutdown that follows is complete.
func (i *Instance) Run(stop context.Context, l Listeners, ready, inner http.Handler) error {
	log := i.cfg.Log.With().Str("part", "instance").Logger()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, part := range []func(context.Context) error{i.follower.Run, i.pools.Run, i.primacy.Run, i.evictLoop} {
		wg.Go(func() {
			if err := part(ctx); err != nil && !errors.Is(err, context.Canceled) {
				log.Error().Err(err).Msg("A part ended.")
			}
		})
	}
	i.serveHTTP(l.Ready, ready, log)
	i.serveHTTP(l.Inner, inner, log)
	wg.Go(func() {
		if err := i.proxy.Serve(l.Callers); err != nil {
			log.Error().Err(err).Msg("Callers are no longer accepted.")
		}
	})
	log.Info().Str("address", l.Callers.Addr().String()).Msg("The instance has started.")
	<-stop.Done()
	i.shutdown(log, l.Callers)
	cancel()
	i.hop.Close()
	wg.Wait()
	log.Info().Msg("The instance has stopped.")
	return nil
}

func (i *Instance) serveHTTP(l net.Listener, h http.Handler, log zerolog.Logger) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: probeTimeout, IdleTimeout: probeIdle}
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			log.Error().Err(err).Str("address", l.Addr().String()).Msg("A server ended.")
		}
	}()
}

const (
	// probeTimeout bounds a probe's request.
	probeTimeout = 2 * time.Second
	// probeIdle closes a probe's connection that is not used any more.
	probeIdle = 15 * time.Second
)

func (i *Instance) shutdown(log zerolog.Logger, callers net.Listener) {
	i.stopping.Store(true)
	i.hop.Drain()
	log.Info().Msg("A shutdown has begun; the instance is not ready.")
	ctx, cancel := context.WithTimeout(context.Background(), i.cfg.GracePeriod-lastReserve)
	defer cancel()
	closeIdle := min(outOfRotation, i.cfg.GracePeriod/2)
	end := i.cfg.GracePeriod - lastReserve
	go func() {
		time.Sleep(closeIdle)
		_ = callers.Close() // Serve ends whatever this returns
	}()
	i.proxy.Shutdown(ctx, proxy.ShutdownSchedule{
		CloseIdle: closeIdle, RollBackOpen: end - rollbackReserve, CloseAll: end,
	})
	_ = callers.Close() // the shutdown may be over before closeIdle
	wctx, wcancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer wcancel()
	i.primacy.Unregister(wctx)
}
