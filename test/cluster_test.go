package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/jackc/pgx/v5"

	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/settings"
	standin "geraniumbeam/internal/standin/platform"
	"geraniumbeam/internal/wire"
)

// Names of link endpoints that are not processes of the deployment.
const (
	callerEndpoint   = "caller"
	platformEndpoint = "platform"
)

// options configures a cluster.
type options struct {
	deployment    string          // directory below examples/; alliance if empty
	unsafe        settings.Unsafe // safety mechanisms that are disabled on all instances
	editSettings  func(*settings.Settings)
	delay         time.Duration       // one-way delay between data centres
	databaseFlags []string            // extra flags of each database stand-in
	editSeed      func(*standin.Seed) // modifies the platform's initial objects
}

// cluster is a deployment of real processes, connected through links that tests
// can cut and delay.
type cluster struct {
	links         *links
	dir           string
	platform      *process
	databases     map[string]*process
	instances     map[string]*process
	instanceNames []string // in the order of the platform's seed
	seed          standin.Seed
	opts          options

	platformURL     string            // bypasses the links
	callerAddress   map[string]string // by instance, through a link
	innerAddress    map[string]string // by instance, bypasses the links
	metricsAddress  map[string]string // by instance, bypasses the links
	databaseAddress map[string]string // by database, bypasses the links
	clients         *wire.Clients
}

// startCluster starts a deployment and waits until every instance accepts
// callers. All processes are killed when the test ends; the logs of the instances
// are printed if it failed.
func startCluster(t testing.TB, opts options) *cluster {
	t.Helper()
	if opts.deployment == "" {
		opts.deployment = "alliance"
	}
	c := &cluster{
		links:           newLinks(),
		dir:             t.TempDir(),
		databases:       make(map[string]*process),
		instances:       make(map[string]*process),
		opts:            opts,
		callerAddress:   make(map[string]string),
		innerAddress:    make(map[string]string),
		metricsAddress:  make(map[string]string),
		databaseAddress: make(map[string]string),
		clients:         wire.NewClients(nil),
	}
	t.Cleanup(func() { c.close(t) })
	seed, err := standin.LoadSeed(filepath.Join("..", "examples", opts.deployment, "platform.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	if opts.editSeed != nil {
		opts.editSeed(&seed)
	}
	c.seed = seed
	c.assignAddresses(t)
	c.startPlatform(t)
	c.startDatabases(t)
	for _, in := range c.seed.Instances {
		c.addInstance(t, in)
	}
	c.waitReady(t)
	return c
}

// assignAddresses replaces the addresses of the example files by free ones.
func (c *cluster) assignAddresses(t testing.TB) {
	for i := range c.seed.Groups {
		for j := range c.seed.Groups[i].Databases {
			d := &c.seed.Groups[i].Databases[j]
			d.Address = freeAddress(t)
			c.databaseAddress[d.Name] = d.Address
		}
	}
	for i := range c.seed.Instances {
		in := &c.seed.Instances[i]
		in.Address = freeAddress(t)
		c.innerAddress[in.Name] = in.Address
		c.instanceNames = append(c.instanceNames, in.Name)
	}
}

func (c *cluster) startPlatform(t testing.TB) {
	path := c.writeYAML(t, "platform.yaml", c.seed)
	address := freeAddress(t)
	c.platformURL = "http://" + address
	c.platform = newProcess(platformEndpoint, "geraniumbeam-standin", "platform", "--listen", address, "--seed", path, "--list-lag", "5s")
	c.platform.start(t)
	waitFor(t, 20*time.Second, "the platform stand-in answers", func() bool {
		resp, err := http.Get(c.platformURL + standin.PathFaults)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (c *cluster) startDatabases(t testing.TB) {
	for _, g := range c.seed.Groups {
		for _, d := range g.Databases {
			c.databases[d.Name] = newProcess(d.Name, "geraniumbeam-standin", c.databaseArgs(t, g, d)...)
			c.databases[d.Name].start(t)
		}
	}
}

// databaseArgs returns the arguments of a database stand-in. Replication between
// the databases of a group passes links.
func (c *cluster) databaseArgs(t testing.TB, g standin.SeedGroup, self standin.SeedDatabase) []string {
	args := []string{"database", "--name", self.Name, "--listen", self.Address, "--primary", g.Primary, "--data-dir", filepath.Join(c.dir, self.Name)}
	for _, d := range g.Databases {
		args = append(args, "--peers", d.Name+"="+d.Address)
		if d.Name == self.Name {
			continue
		}
		via := c.links.add(t, link{self.Name, d.Name}, d.Address, c.delayBetween(self.DataCentre, d.DataCentre))
		args = append(args, "--overrides", d.Address+"="+via)
	}
	return append(args, c.opts.databaseFlags...)
}

func (c *cluster) delayBetween(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return c.opts.delay
}

// addInstance starts an instance with its own links to the platform, the other
// instances and the databases.
func (c *cluster) addInstance(t testing.TB, in standin.SeedInstance) {
	t.Helper()
	cfg := c.instanceSettings(t, in)
	path := c.writeYAML(t, in.Name+".yaml", cfg)
	p := newProcess(in.Name, "geraniumbeamd", path, "--seed", "1")
	c.instances[in.Name] = p
	p.start(t)
}

func (c *cluster) instanceSettings(t testing.TB, in standin.SeedInstance) settings.Settings {
	cfg, err := settings.Load(filepath.Join("..", "examples", c.opts.deployment, in.Name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	cfg.ListenInner, cfg.AdvertiseInner = in.Address, in.Address
	cfg.ListenCallers, cfg.ListenMetrics = freeAddress(t), freeAddress(t)
	cfg.Unsafe = c.opts.unsafe
	c.metricsAddress[in.Name] = cfg.ListenMetrics
	c.callerAddress[in.Name] = c.links.add(t, link{callerEndpoint, in.Name}, cfg.ListenCallers, 0)
	cfg.Platform = "http://" + c.links.add(t, link{in.Name, platformEndpoint}, strings.TrimPrefix(c.platformURL, "http://"), 0)
	cfg.AddressOverrides = make(map[string]string)
	for _, peer := range c.seed.Instances {
		if peer.Name != in.Name {
			cfg.AddressOverrides[peer.Address] = c.links.add(t, link{in.Name, peer.Name}, peer.Address, c.delayBetween(in.DataCentre, peer.DataCentre))
		}
	}
	for _, g := range c.seed.Groups {
		for _, d := range g.Databases {
			cfg.AddressOverrides[d.Address] = c.links.add(t, link{in.Name, d.Name}, d.Address, c.delayBetween(in.DataCentre, d.DataCentre))
		}
	}
	if c.opts.editSettings != nil {
		c.opts.editSettings(&cfg)
	}
	return cfg
}

func (c *cluster) writeYAML(t testing.TB, name string, v any) string {
	t.Helper()
	b, err := yaml.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// waitReady waits until every running instance accepts callers.
func (c *cluster) waitReady(t testing.TB) {
	t.Helper()
	for _, name := range c.instanceNames {
		if !c.instances[name].running() {
			t.Fatalf("%s is not running:\n%s", name, c.instances[name].log.tail(2000))
		}
		waitFor(t, 60*time.Second, name+" is ready", func() bool { return c.ready(name) })
	}
}

func (c *cluster) ready(name string) bool {
	resp, err := http.Get("http://" + c.metricsAddress[name] + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setFaults sets the faults that the platform stand-in injects.
func (c *cluster) setFaults(t testing.TB, f standin.Faults) {
	t.Helper()
	body, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, c.platformURL+standin.PathFaults, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		t.Fatalf("set faults: %s %s", resp.Status, b)
	}
}

// platformClient returns a client of the platform that bypasses the links.
func (c *cluster) platformClient() *platform.Client {
	return platform.NewClient(c.platformURL, platform.Options{})
}

// status fetches an instance's status, bypassing the links.
func (c *cluster) status(name string) (*wire.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.clients.Admin(c.innerAddress[name]).Status(ctx, &wire.StatusRequest{})
}

// callerURL returns the connection string for callers of an instance. params are
// additional startup parameters, as name=value.
func (c *cluster) callerURL(instance string, params ...string) string {
	u := "postgres://app@" + c.callerAddress[instance] + "/" + c.seed.Services[0].Name + "?sslmode=disable&connect_timeout=5"
	for _, p := range params {
		u += "&" + p
	}
	return u
}

// connect opens a caller's connection to an instance with a standard client.
func (c *cluster) connect(t testing.TB, instance string, params ...string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, c.callerURL(instance, params...))
	if err != nil {
		t.Fatalf("connect to %s: %v", instance, err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return conn
}

// connectDirect opens a connection to a database that bypasses the instances.
func (c *cluster) connectDirect(t testing.TB, database string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://app@"+c.databaseAddress[database]+"/direct?sslmode=disable")
	if err != nil {
		t.Fatalf("connect to %s: %v", database, err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (c *cluster) close(t testing.TB) {
	for _, p := range c.instances {
		p.cleanup()
	}
	for _, p := range c.databases {
		p.cleanup()
	}
	if c.platform != nil {
		c.platform.cleanup()
	}
	c.links.close()
	if t.Failed() {
		for name, p := range c.instances {
			t.Logf("log of %s:\n%s", name, p.log.tail(3000))
		}
	}
}

// waitFor polls a condition and fails the test if it does not hold within the
// limit. what describes the condition.
func waitFor(t testing.TB, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("not true within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
