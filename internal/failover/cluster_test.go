package failover

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/standin/database"
	"geraniumbeam/internal/wire"
)

const (
	groupName   = "hut-1"
	testTimeout = 60 * time.Second
)

// fakePlatform holds one object. before and after run before and after a Put takes
// effect; an error that they return replaces the Put's result.
type fakePlatform struct {
	platform.API
	mu          sync.Mutex
	object      platform.Object
	before      func(platform.Group) error
	after       func(platform.Group) error
	unavailable atomic.Bool
	onChange    func(platform.Object)
}

func (f *fakePlatform) Get(context.Context, string, string) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable.Load() {
		return platform.Object{}, errNoAnswer
	}
	return f.object, nil
}

func (f *fakePlatform) Put(_ context.Context, kind, name string, version uint64, data []byte) (platform.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var g platform.Group
	if err := json.Unmarshal(data, &g); err != nil {
		return platform.Object{}, err
	}
	if f.unavailable.Load() {
		return platform.Object{}, errNoAnswer
	}
	if f.before != nil {
		if err := f.before(g); err != nil {
			return platform.Object{}, err
		}
	}
	if version != f.object.Version {
		return f.object, result.Errorf(result.Conflict, "version is %d", f.object.Version)
	}
	f.object = platform.Object{Kind: kind, Name: name, Version: version + 1, Data: data}
	f.onChange(f.object)
	if f.after != nil {
		if err := f.after(g); err != nil {
			return platform.Object{}, err
		}
	}
	return f.object, nil
}

func (f *fakePlatform) group(t *testing.T) platform.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, err := decodeGroup(f.object)
	if err != nil {
		t.Error(err)
	}
	return g
}

// instance is a Manager that owns the database of its data centre.
type instance struct {
	*Manager
	name      string
	directory *directory.Directory
	events    *events.Ring
	stop      context.CancelFunc
	isolated  atomic.Bool
	mu        sync.Mutex
	statuses  map[string]*wire.DatabaseStatus
}

type cluster struct {
	t               *testing.T
	databases       map[string]*database.Server
	directAddresses map[string]string // database addresses that bypass the proxies
	proxies         map[string]*toxiproxy.Proxy
	platform        *fakePlatform
	instances       map[string]*instance
	group           platform.Group
}

// voteClient calls another instance's Vote in process.
type voteClient struct {
	wire.Pool
	from, to *instance
}

func (v voteClient) Vote(ctx context.Context, req *wire.VoteRequest) (*wire.VoteResponse, error) {
	if v.to == nil || v.from.isolated.Load() || v.to.isolated.Load() {
		<-ctx.Done()
		return nil, errors.New("no route")
	}
	return v.to.Manager.Vote(ctx, req)
}

type voteClients struct {
	c    *cluster
	from *instance
}

func (p voteClients) Pool(address string) wire.Pool {
	return voteClient{from: p.from, to: p.c.instances[strings.TrimPrefix(address, "instance-")]}
}

// startCluster starts databases a, b and c, each behind a proxy and in its own
// data centre with one instance. edit changes the configuration of each instance.
func startCluster(t *testing.T, edit func(*Config)) *cluster {
	t.Helper()
	c := &cluster{
		t: t, databases: make(map[string]*database.Server), directAddresses: make(map[string]string),
		proxies: make(map[string]*toxiproxy.Proxy), instances: make(map[string]*instance),
	}
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	listeners := make(map[string]net.Listener)
	peers := make(map[string]string)
	for _, name := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name], c.directAddresses[name] = l, l.Addr().String()
		p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", c.directAddresses[name])
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
		c.proxies[name], peers[name] = p, p.Listen
		c.group.Databases = append(c.group.Databases, platform.Database{Name: name, DataCentre: name, Address: p.Listen})
	}
	c.group.Term, c.group.Primary = 1, "a"
	log := zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	for _, name := range members {
		c.databases[name] = database.New(database.Config{Name: name, Peers: peers, Primary: "a", ConnectDelay: database.DefaultConnectDelay, Log: log})
		t.Cleanup(c.databases[name].Close)
		c.serve(name, listeners[name])
	}
	c.startInstances(log, edit)
	return c
}

func (c *cluster) startInstances(log zerolog.Logger, edit func(*Config)) {
	data, err := json.Marshal(c.group)
	if err != nil {
		c.t.Fatal(err)
	}
	c.platform = &fakePlatform{object: platform.Object{Kind: platform.KindGroup, Name: groupName, Version: 1, Data: data}}
	c.platform.onChange = func(o platform.Object) {
		for _, in := range c.instances {
			if !in.isolated.Load() {
				_, _ = in.directory.Apply([]platform.Object{o})
			}
		}
	}
	var all []ownership.Instance
	for _, name := range members {
		all = append(all, ownership.Instance{Name: name, Address: "instance-" + name, DataCentre: name})
	}
	for _, self := range all {
		in := &instance{name: self.Name, directory: directory.New(self), events: events.NewRing(self.Name, 1000, time.Now, nil), statuses: make(map[string]*wire.DatabaseStatus)}
		c.instances[self.Name] = in
		in.directory.SetLive(all, false)
		if _, err := in.directory.Apply([]platform.Object{c.platform.object}); err != nil {
			c.t.Fatal(err)
		}
		cfg := Config{
			Self: self, Directory: in.directory, Clients: voteClients{c, in}, Platform: c.platform, Statuses: in.databaseStatuses,
			Open: func(d platform.Database) backend.Database { return c.open(in, d) }, Events: in.events,
			Log: log.With().Str("instance", self.Name).Logger(), Clock: clock.Real{}, Seed: 1,
		}
		if edit != nil {
			edit(&cfg)
		}
		in.Manager = New(cfg)
	}
	for _, in := range c.instances {
		ctx, cancel := context.WithCancel(context.Background())
		in.stop = cancel
		var wg sync.WaitGroup
		wg.Go(func() { c.poll(ctx, in) })
		wg.Go(func() { _ = in.Run(ctx) })
		c.t.Cleanup(func() { cancel(); wg.Wait() })
	}
}

// open returns the database for an instance. An isolated instance reaches only the
// database of its data centre.
func (c *cluster) open(in *instance, d platform.Database) backend.Database {
	address := d.Address
	if in.isolated.Load() {
		address = "127.0.0.1:1"
		if d.Name == in.name {
			address = c.directAddresses[d.Name]
		}
	}
	return backend.NewPostgres(backend.Config{Address: address, User: "test", DatabaseName: "test"})
}

// poll replaces the pool, which keeps the statuses of its databases up to date.
func (c *cluster) poll(ctx context.Context, in *instance) {
	db := c.group.Databases[strings.Index("abc", in.name)]
	var conn *controlConn
	for ctx.Err() == nil {
		if conn == nil {
			conn = &controlConn{db: db, open: func(d platform.Database) backend.Database { return c.open(in, d) }}
		}
		callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		s, err := conn.call(callCtx, func(ctl backend.ControlConn) (backend.Status, error) { return ctl.Status(callCtx) })
		cancel()
		w := wire.NewStatus(db.Name, s)
		w.Reachable = err == nil
		in.mu.Lock()
		in.statuses[db.Name] = w
		in.mu.Unlock()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	conn.close()
}

func (in *instance) databaseStatuses(string) []*wire.DatabaseStatus {
	in.mu.Lock()
	defer in.mu.Unlock()
	var out []*wire.DatabaseStatus
	for _, s := range in.statuses {
		out = append(out, s)
	}
	return out
}

func (c *cluster) serve(name string, l net.Listener) {
	db := c.databases[name]
	go func() {
		if err := db.Serve(l); err != nil {
			c.t.Errorf("serve %s: %v", name, err)
		}
	}()
}

func (c *cluster) restart(name string) {
	l, err := net.Listen("tcp", c.directAddresses[name])
	if err != nil {
		c.t.Fatal(err)
	}
	c.serve(name, l)
}

// status queries a database without its proxy.
func (c *cluster) status(name string) backend.Status {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn := &controlConn{db: platform.Database{Address: c.directAddresses[name]}, open: func(d platform.Database) backend.Database {
		return backend.NewPostgres(backend.Config{Address: d.Address, User: "test", DatabaseName: "test"})
	}}
	defer conn.close()
	s, err := conn.call(ctx, func(ctl backend.ControlConn) (backend.Status, error) { return ctl.Status(ctx) })
	if err != nil {
		c.t.Logf("status of %s: %v", name, err)
	}
	return s
}

func (c *cluster) exec(name, sql string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://test@"+c.directAddresses[name]+"/test")
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, sql); err != nil {
		c.t.Fatalf("%s on %s: %v", sql, name, err)
	}
}

func (c *cluster) eventually(what string, cond func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(testTimeout); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// awaitPrimary waits until the instances agree on a primary with a term above
// after, and returns its name and term.
func (c *cluster) awaitPrimary(after uint64, instances ...string) (string, uint64) {
	c.t.Helper()
	var first directory.Group
	c.eventually("the instances know a new primary", func() bool {
		for i, name := range instances {
			g, _ := c.instances[name].directory.Group(groupName)
			if g.Term <= after || g.Primary == "" || (i > 0 && (g.Term != first.Term || g.Primary != first.Primary)) {
				return false
			}
			first = g
		}
		return true
	})
	return first.Primary, first.Term
}

func (c *cluster) awaitFollowing(name string, term uint64, position backend.Position) {
	c.t.Helper()
	c.eventually(name+" follows", func() bool {
		s := c.status(name)
		return s.Role == backend.RoleReplica && s.Term == term && s.Last.Compare(position) >= 0
	})
}

func (c *cluster) promotionEvents(text string) int {
	n := 0
	for _, in := range c.instances {
		for _, e := range in.events.Find("", groupName, 0) {
			if strings.Contains(e.Text, text) {
				n++
			}
		}
	}
	return n
}
