package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/settings"
	"geraniumbeam/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits waits for an event that must occur.
const waitTimeout = 30 * time.Second

type clients map[string]wire.Pool

func (c clients) Pool(address string) wire.Pool { return c[address] }

// partitionableClient is a client of a pool whose Confirm calls fail while down is
// set.
type partitionableClient struct {
	wire.Pool
	down *atomic.Bool
}

func (c partitionableClient) Confirm(ctx context.Context, r *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	if c.down.Load() {
		return nil, errConnReset
	}
	return c.Pool.Confirm(ctx, r)
}

// cluster is a group of three databases: a in data centre "one", owned by pool
// p; b and c in data centre "two", owned by pool q.
type cluster struct {
	t           testing.TB
	a, b, c     *fakeDB
	p, q        *Pool
	dir         *directory.Directory // of p
	group       platform.Group
	version     uint64
	stop        context.CancelFunc
	id          int
	partitioned atomic.Bool // Confirm calls between the pools fail

	addresses map[string]string // of the stand-in databases by name
}

type clusterOptions struct {
	unsafe settings.Unsafe
	clock  clock.Clock
	limit  int
	open   func(platform.Database) backend.Database // replaces the fakes
}

func newCluster(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	if o.clock == nil {
		o.clock = clock.Real{}
	}
	if o.limit == 0 {
		o.limit = 16
	}
	at := backend.Position{Term: 3, Offset: 10}
	cl := &cluster{
		t: t,
		a: newFakeDB("a", backend.Status{Term: 3, Role: backend.RolePrimary, Last: at}),
		b: newFakeDB("b", backend.Status{Term: 3, Role: backend.RoleReplica, Last: at}),
		c: newFakeDB("c", backend.Status{Term: 3, Role: backend.RoleReplica, Last: at}),
		group: platform.Group{Term: 3, Primary: "a", Databases: []platform.Database{
			{Name: "a", DataCentre: "one"}, {Name: "b", DataCentre: "two"}, {Name: "c", DataCentre: "two"},
		}},
	}
	cl.a.replicas = []*fakeDB{cl.b, cl.c}
	if o.open == nil {
		dbs := map[string]*fakeDB{"a": cl.a, "b": cl.b, "c": cl.c}
		o.open = func(d platform.Database) backend.Database { return dbs[d.Name] }
	}
	live := []ownership.Instance{{Name: "p", Address: "p", DataCentre: "one"}, {Name: "q", Address: "q", DataCentre: "two"}}
	peers := clients{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for i, self := range live {
		dir := directory.New(self)
		dir.SetLive(live, false)
		p := New(Config{
			Settings: settings.Settings{
				Instance: self.Name, DataCentre: self.DataCentre, Unsafe: o.unsafe,
				Database: settings.Database{ConnectionLimit: o.limit}, DrainTimeout: catalog.Duration(time.Minute),
			},
			Directory: dir, Clients: peers, Log: zerolog.Nop(), Clock: o.clock, Open: o.open,
			Events: events.NewRing(self.Name, 1024, time.Now, nil),
		})
		peers[self.Address] = partitionableClient{p, &cl.partitioned}
		cl.apply(dir)
		if i == 0 {
			cl.p, cl.dir = p, dir
		} else {
			cl.q = p
		}
		go func() {
			_ = p.Run(ctx)
			done <- struct{}{}
		}()
	}
	cl.stop = func() {
		cancel()
		<-done
		<-done
		cl.stop = func() {}
	}
	t.Cleanup(func() { cl.stop() })
	cl.eventually("all databases are reachable", func() bool {
		return len(cl.reachable(cl.p)) == 1 && len(cl.reachable(cl.q)) == 2
	})
	return cl
}

func (cl *cluster) reachable(p *Pool) (out []string) {
	for _, s := range p.Statuses("") {
		if s.GetReachable() {
			out = append(out, s.GetDatabase())
		}
	}
	return out
}

// apply writes the group and its classes to a directory as a new version.
func (cl *cluster) apply(dir *directory.Directory) {
	cl.t.Helper()
	cl.version += 10
	encode := func(v any) []byte {
		b, err := json.Marshal(v)
		if err != nil {
			cl.t.Fatal(err)
		}
		return b
	}
	_, err := dir.Apply([]platform.Object{
		{Kind: platform.KindGroup, Name: "g", Version: cl.version, Data: encode(cl.group)},
		{Kind: platform.KindService, Name: "huts", Version: cl.version, Data: encode(catalog.Service{Name: "huts", Groups: []string{"g"}})},
		{Kind: platform.KindClass, Name: "huts.fee", Version: cl.version, Data: encode(catalog.Class{
			Name: "fee", Service: "huts", Rank: catalog.RankUrgent, LatencyTarget: catalog.Duration(time.Second), KeyLifetime: catalog.Duration(time.Hour),
		})},
	})
	if err != nil {
		cl.t.Fatal(err)
	}
}

func (cl *cluster) eventually(what string, f func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	cl.t.Fatalf("timed out waiting until %s", what)
}

// request returns a request for the primary, modified by f.
func (cl *cluster) request(sql string, f func(*wire.ExecuteRequest)) *wire.ExecuteRequest {
	cl.id++
	r := &wire.ExecuteRequest{
		RequestId: fmt.Sprint("r", cl.id), Group: "g", Database: "a", Service: "huts", Class: "fee", WantPrimary: true,
		BudgetMs: waitTimeout.Milliseconds(), Sequence: 1, EntryInstance: "e", Batch: simpleQuery(sql), Repeatable: false,
	}
	if f != nil {
		f(r)
	}
	return r
}

// run executes a statement on the pool that owns its database.
func (cl *cluster) run(sql string, f func(*wire.ExecuteRequest)) *wire.ExecuteResponse {
	cl.t.Helper()
	return cl.send(cl.request(sql, f))
}

func (cl *cluster) send(r *wire.ExecuteRequest) *wire.ExecuteResponse {
	cl.t.Helper()
	p := cl.q
	if r.GetDatabase() == "a" {
		p = cl.p
	}
	resp, err := p.Execute(context.Background(), r)
	if err != nil || !wire.Matches(r, resp) {
		cl.t.Errorf("response %v to %v, err %v", resp, r, err)
	}
	return resp
}

// wantResult checks the failure of a response; code 0 stands for success.
func (cl *cluster) wantResult(what string, resp *wire.ExecuteResponse, code result.Code, ran result.Ran) {
	cl.t.Helper()
	f := resp.GetFailure()
	if result.Code(f.GetCode()) != code || result.Ran(f.GetRan()) != ran || (code == 0) != (len(resp.GetAnswer()) > 0) {
		cl.t.Errorf("%s: code %d (%s), ran %v, %d bytes; want code %d, ran %v", what, f.GetCode(), f.GetMessage(), f.GetRan(), len(resp.GetAnswer()), code, ran)
	}
}

func withShortBudget(r *wire.ExecuteRequest) { r.BudgetMs = 60 }
