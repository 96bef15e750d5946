package membership

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	standin "geraniumbeam/internal/standin/platform"
	"geraniumbeam/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// network counts the bytes of all connections in both directions. Connections
// that are used while it is partitioned lose all data, then and afterwards, like
// TCP connections that wait for a late retransmission.
type network struct {
	bytes, conns atomic.Int64
	partitioned  atomic.Bool
}

type countingListener struct {
	net.Listener
	network *network
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.network.conns.Add(1)
	return &countingConn{Conn: c, network: l.network}, nil
}

type countingConn struct {
	net.Conn
	network *network
	broken  atomic.Bool
}

func (c *countingConn) dropsData() bool {
	if c.network.partitioned.Load() {
		c.broken.Store(true)
	}
	return c.broken.Load()
}

func (c *countingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropsData() {
			c.network.bytes.Add(int64(n))
			return n, err
		}
	}
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.dropsData() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

// node is an instance that runs membership only.
type node struct {
	*Membership
	self      ownership.Instance
	directory *directory.Directory
	client    *platform.Client
	observed  atomic.Uint64 // last configuration version received from a peer
	leaving   atomic.Bool
	stop      func()
}

func (n *node) PushObjects(context.Context, *wire.PushObjectsRequest) (*wire.PushObjectsResponse, error) {
	return &wire.PushObjectsResponse{}, nil
}

func (n *node) FetchObjects(context.Context, *wire.FetchObjectsRequest) (*wire.FetchObjectsResponse, error) {
	return &wire.FetchObjectsResponse{}, nil
}

// cluster runs nodes on the loopback interface with a simulated platform.
type cluster struct {
	network
	t       testing.TB
	standin *standin.Server
	url     string
	nodes   []*node
}

func newCluster(t testing.TB, n int, dataCentre func(int) string) *cluster {
	s, err := standin.New(standin.Config{ListLag: -1})
	if err != nil {
		t.Fatal(err)
	}
	l := listen(t)
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(l) })
	c := &cluster{t: t, standin: s, url: "http://" + l.Addr().String()}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
		s.Close()
		served.Wait()
	})
	for i := range n {
		c.add(fmt.Sprintf("i%03d", i), dataCentre(i))
	}
	for _, n := range c.nodes {
		c.standin.SetInstance(platform.Instance{Name: n.self.Name, Address: n.self.Address, DataCentre: n.self.DataCentre})
	}
	return c
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// add starts a node. Its stop function ends it like a killed process, without
// Leave.
func (c *cluster) add(name, dataCentre string) *node {
	l := listen(c.t)
	n := &node{self: ownership.Instance{Name: name, Address: l.Addr().String(), DataCentre: dataCentre}}
	n.directory = directory.New(n.self)
	n.client = platform.NewClient(c.url, platform.Options{})
	clients := wire.NewControlClients(nil)
	n.Membership = New(Config{
		Directory: n.directory, Clients: clients, Platform: n.client, Log: zerolog.Nop(), RandomSeed: uint64(len(c.nodes)),
		ObserveDigest: func(_ ownership.Instance, _, version uint64) { n.observed.Store(version) },
		OnLeaving:     func() { n.leaving.Store(true) },
	})
	srv := wire.NewServer(nil, n, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(countingListener{l, &c.network}) })
	wg.Go(func() { _ = n.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = srv.Close()
		wg.Wait()
		clients.Close()
		n.client.Close()
	})
	c.nodes = append(c.nodes, n)
	return n
}

func (c *cluster) eventually(what string, cond func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within 60 s: %s", what)
		}
	}
}

// agree reports whether all given nodes see exactly each other.
func agree(nodes []*node) bool {
	for _, n := range nodes {
		live := n.directory.Live()
		if len(live) != len(nodes) {
			return false
		}
		for _, other := range nodes {
			if !slices.Contains(live, other.self) {
				return false
			}
		}
	}
	return true
}

// heardOf reports whether the node received a claim that the member made about
// itself; members from the platform's instance list have incarnation 0.
func (n *node) heardOf(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.state.Member(name)
	return ok && m.Incarnation > 0
}

// Guards against a Membership that does not publish the changes of its State:
// joins, deaths, departures and restarts must reach the directories.
func TestStateChangesReachDirectories(t *testing.T) {
	c := newCluster(t, 7, fourDataCentres)
	c.eventually("all see each other", func() bool { return agree(c.nodes) })
	c.eventually("all have heard each other", func() bool {
		for _, n := range c.nodes {
			for _, other := range c.nodes {
				if !n.heardOf(other.self.Name) {
					return false
				}
			}
		}
		return true
	})
	c.nodes[0].stop()
	start := time.Now()
	c.eventually("the death is known", func() bool { return agree(c.nodes[1:]) })
	t.Logf("death known everywhere after %v", time.Since(start).Round(time.Millisecond))

	start = time.Now()
	c.nodes[1].Leave(context.Background())
	c.eventually("the departure is known", func() bool { return agree(c.nodes[2:]) })
	t.Logf("departure known everywhere after %v", time.Since(start).Round(time.Millisecond))
	if live := c.nodes[1].directory.Live(); slices.Contains(live, c.nodes[1].self) {
		t.Error("a leaving instance sees itself as live")
	}

	// The instance restarts with another address, which the platform's list does
	// not have.
	c.add("i000", "a")
	c.nodes[1].stop()
	rest := append([]*node{}, c.nodes[2:]...)
	c.eventually("the restart is known", func() bool { return agree(rest) })
}

// Guards against an instance that finds no peers after it started during an
// outage of the platform, and against too many calls to the platform during the
// outage.
func TestInstanceFindsPeersAfterPlatformOutage(t *testing.T) {
	c := newCluster(t, 3, oneDataCentre)
	c.eventually("all see each other", func() bool { return agree(c.nodes) })
	c.standin.SetFaults(standin.Faults{Outage: true})
	newcomer := c.add("late", "a")
	time.Sleep(time.Second)
	// Retry delays are at least half of 200 ms, 300 ms, 450 ms: at most 5 calls
	// in 1 s.
	if calls := newcomer.client.Calls(); calls > 6 {
		t.Errorf("%d calls in the first second of an outage", calls)
	}
	c.standin.SetFaults(standin.Faults{})
	c.eventually("the late instance is known", func() bool { return agree(c.nodes) })
}

// Guards against hints and configuration digests that gossip does not carry.
func TestGossipCarriesHintsAndDigests(t *testing.T) {
	c := newCluster(t, 7, fourDataCentres)
	group := platform.Object{Kind: platform.KindGroup, Name: "g", Version: 5, Data: []byte(`{"term":1,"primary":"g-a"}`)}
	for _, n := range c.nodes {
		if _, err := n.directory.Apply([]platform.Object{group}); err != nil {
			t.Fatal(err)
		}
	}
	c.eventually("all see each other", func() bool { return agree(c.nodes) })
	c.nodes[6].directory.LearnPrimary("g", 3, "g-b")
	c.nodes[0].directory.LearnPrimary("g", 2, "g-c")
	c.eventually("the hint with the higher term is everywhere", func() bool {
		for _, n := range c.nodes {
			if g, _ := n.directory.Group("g"); g.Term != 3 || g.Primary != "g-b" {
				return false
			}
		}
		return true
	})
	c.eventually("digests are observed", func() bool {
		for _, n := range c.nodes {
			if n.observed.Load() != 5 {
				return false
			}
		}
		return true
	})
	c.standin.SetInstance(platform.Instance{
		Name: c.nodes[3].self.Name, Address: c.nodes[3].self.Address, DataCentre: c.nodes[3].self.DataCentre, Leaving: true,
	})
	rest := slices.Delete(slices.Clone(c.nodes), 3, 4)
	c.eventually("an instance marked as leaving is not live", func() bool { return agree(rest) })
}

// Guards against peers that stay unreachable after a partition because calls wait
// on a connection that lost its packets.
func TestConnectionsRecoverAfterPartition(t *testing.T) {
	c := newCluster(t, 3, oneDataCentre)
	c.eventually("all see each other", func() bool { return agree(c.nodes) })
	c.partitioned.Store(true)
	c.eventually("all find the others dead", func() bool {
		for _, n := range c.nodes {
			if !agree([]*node{n}) {
				return false
			}
		}
		return true
	})
	c.partitioned.Store(false)
	start := time.Now()
	c.eventually("all see each other again", func() bool { return agree(c.nodes) })
	t.Logf("healed after %v", time.Since(start).Round(time.Millisecond))
}
