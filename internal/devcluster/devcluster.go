// Package devcluster runs a small deployment in one process: a stand-in for the
// platform, stand-ins for the databases of one group, and two instances.
package devcluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/daemon"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/standin/database"
	"geraniumbeam/internal/standin/platform"
)

const (
	serviceName   = "demo"
	groupName     = "demo-1"
	dataCentre    = "local"
	instanceCount = 2
	databaseCount = 3
	sessionKey    = "development-only-session-key"

	connectionLimit = 16
	readyTimeout    = 30 * time.Second
	readyRetryDelay = 50 * time.Millisecond
	drainTimeout    = time.Second // after which Stop cancels the instances
)

// Config configures a Cluster.
type Config struct {
	ListenCallers string // caller address of the first instance, host:port
	Log           zerolog.Logger
}

// Cluster is a running deployment.
type Cluster struct {
	platform          *platform.Server
	platformURL       string
	databases         []*database.Server
	databaseAddresses []string
	daemons           []*daemon.Daemon
	callerAddresses   []string
	cancel            context.CancelFunc
	wg                sync.WaitGroup

	mu  sync.Mutex
	err error // errors of all components, joined
}

// Start starts the platform, the databases and the instances. It does not wait
// until they are ready.
func Start(cfg Config) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cancel: cancel}
	databaseListeners, err := listen(databaseCount)
	if err != nil {
		return nil, err
	}
	c.startDatabases(databaseListeners, cfg.Log)
	configs, listeners, err := instanceSettings(cfg)
	if err != nil {
		_ = c.Stop()
		return nil, err
	}
	if err := c.startPlatform(seed(databaseListeners, configs)); err != nil {
		_ = c.Stop()
		return nil, err
	}
	for i, s := range configs {
		s.Platform = c.platformURL
		c.startInstance(ctx, s, listeners[i], cfg.Log)
	}
	return c, nil
}

func listen(n int) ([]net.Listener, error) {
	var out []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		out = append(out, l)
	}
	return out, nil
}

func databaseName(i int) string { return fmt.Sprintf("%s-%c", groupName, 'a'+i) }

func (c *Cluster) startDatabases(listeners []net.Listener, log zerolog.Logger) {
	peers := make(map[string]string)
	for i, l := range listeners {
		peers[databaseName(i)] = l.Addr().String()
	}
	for i, l := range listeners {
		s := database.New(database.Config{
			Name:            databaseName(i),
			Peers:           peers,
			Primary:         databaseName(0),
			ConnectionLimit: connectionLimit,
			Log:             log,
		})
		c.databases = append(c.databases, s)
		c.databaseAddresses = append(c.databaseAddresses, l.Addr().String())
		c.runComponent(func() error { return s.Serve(l) })
	}
}

func instanceSettings(cfg Config) ([]settings.Settings, []daemon.Listeners, error) {
	var configs []settings.Settings
	var listeners []daemon.Listeners
	for i := range instanceCount {
		s := settings.Settings{
			Instance:       fmt.Sprintf("dev-%d", i+1),
			DataCentre:     dataCentre,
			ListenCallers:  "127.0.0.1:0",
			ListenInner:    "127.0.0.1:0",
			ListenMetrics:  "127.0.0.1:0",
			SessionKey:     sessionKey,
			DrainTimeout:   catalog.Duration(5 * time.Second),
			Database:       settings.Database{User: "geraniumbeam", Name: serviceName, ConnectionLimit: connectionLimit},
			LogLevel:       settings.DefaultLogLevel,
			AdvertiseInner: "",
		}
		if i == 0 {
			s.ListenCallers = cfg.ListenCallers
		}
		l, err := daemon.Listen(s)
		if err != nil {
			return nil, nil, err
		}
		s.AdvertiseInner = l.Inner.Addr().String()
		configs = append(configs, s.WithDefaults())
		listeners = append(listeners, l)
	}
	return configs, listeners, nil
}

func seed(databaseListeners []net.Listener, configs []settings.Settings) platform.Seed {
	group := platform.SeedGroup{Name: groupName, Term: 1, Primary: databaseName(0)}
	for i, l := range databaseListeners {
		group.Databases = append(group.Databases, platform.SeedDatabase{
			Name: databaseName(i), DataCentre: dataCentre, Address: l.Addr().String(),
		})
	}
	out := platform.Seed{
		Groups:   []platform.SeedGroup{group},
		Services: []catalog.Service{{Name: serviceName, Groups: []string{groupName}}},
		Classes: []catalog.Class{
			{Name: catalog.DefaultClassName, Service: serviceName, Rank: catalog.RankNormal, LatencyTarget: catalog.Duration(2 * time.Second)},
			{Name: "urgent", Service: serviceName, Rank: catalog.RankUrgent, LatencyTarget: catalog.Duration(300 * time.Millisecond)},
			{
				Name: "browse", Service: serviceName, Rank: catalog.RankBackground, LatencyTarget: catalog.Duration(2 * time.Second),
				Reads: catalog.ReadPolicy{MaxAge: catalog.Duration(5 * time.Second), WhenStale: catalog.WhenStaleMark}, Repeatable: true,
			},
		},
	}
	for _, s := range configs {
		out.Instances = append(out.Instances, platform.SeedInstance{
			Name: s.Instance, DataCentre: s.DataCentre, Address: s.AdvertiseInner,
		})
	}
	return out
}

func (c *Cluster) startPlatform(seed platform.Seed) error {
	s, err := platform.New(platform.Config{Seed: seed})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	c.platform, c.platformURL = s, "http://"+l.Addr().String()
	c.runComponent(func() error { return s.Serve(l) })
	return nil
}

func (c *Cluster) startInstance(ctx context.Context, s settings.Settings, l daemon.Listeners, log zerolog.Logger) {
	d := daemon.New(s, log.With().Str("instance", s.Instance).Logger(), uint64(len(c.daemons)+1))
	c.daemons = append(c.daemons, d)
	c.callerAddresses = append(c.callerAddresses, l.Callers.Addr().String())
	c.runComponent(func() error { return d.Run(ctx, l) })
}

// runComponent calls serve in a goroutine and keeps its error for Stop.
func (c *Cluster) runComponent(serve func() error) {
	c.wg.Go(func() {
		if err := serve(); err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.err = errors.Join(c.err, err)
		}
	})
}

// CallerAddress returns the address on which instance i accepts callers.
func (c *Cluster) CallerAddress(i int) string { return c.callerAddresses[i] }

// PlatformURL returns the base URL of the stand-in platform.
func (c *Cluster) PlatformURL() string { return c.platformURL }

// URL returns a PostgreSQL connection string for the first instance.
func (c *Cluster) URL() string { return callerURL(c.callerAddresses[0]) }

func callerURL(address string) string {
	return "postgres://demo@" + address + "/" + serviceName + "?sslmode=disable"
}

// DatabaseURL returns a connection string that connects to database i directly.
func (c *Cluster) DatabaseURL(i int) string {
	return "postgres://demo@" + c.databaseAddresses[i] + "/" + serviceName + "?sslmode=disable"
}

// WaitReady waits until a write and a read through the first instance succeed.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := c.WriteAndRead(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready after %v: %w", readyTimeout, err)
		case <-time.After(readyRetryDelay):
		}
	}
}

// WriteAndRead writes a row through the first instance, reads it back and returns
// its body.
func (c *Cluster) WriteAndRead(ctx context.Context) (string, error) {
	conn, err := pgx.Connect(ctx, c.URL())
	if err != nil {
		return "", fmt.Errorf("connect: %w", err)
	}
	defer conn.Close(ctx)
	for _, sql := range []string{
		"CREATE TABLE IF NOT EXISTS greetings (id text PRIMARY KEY, body text)",
		"INSERT INTO greetings (id, body) VALUES ('first', 'hello') ON CONFLICT (id) DO NOTHING",
	} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return "", fmt.Errorf("write row: %w", err)
		}
	}
	var body string
	if err := conn.QueryRow(ctx, "SELECT body FROM greetings WHERE id = $1", "first").Scan(&body); err != nil {
		return "", fmt.Errorf("read row: %w", err)
	}
	return body, nil
}

// Stop drains the instances, stops the stand-ins and returns the errors of all
// components, joined.
func (c *Cluster) Stop() error {
	for _, d := range c.daemons {
		d.RequestDrain()
	}
	stopped := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(drainTimeout):
	}
	c.cancel()
	for _, s := range c.databases {
		s.Close()
	}
	if c.platform != nil {
		c.platform.Close()
	}
	<-stopped
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
