package hop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/organisation"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/statement"
	"geraniumbeam/internal/topology"
)

// fleet is a number of instances with the pools of one database, whose limit is too low
// for all of them: the first two are its owners.
type fleet struct {
	db        *fakeDatabase
	sets      []*dbpool.Set
	servers   []*Server
	addresses []ownership.Instance
}

// fleetLimit is the connection limit of the database: four fifths of it are ten for two
// owners with five each.
const fleetLimit = 13

func startFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	f := &fleet{db: &fakeDatabase{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range instances {
		top := topology.New()
		top.Apply(topology.Configuration{
			Version: 1, Organisations: []organisation.Organisation{{Name: "any"}}, Services: map[string]topology.Service{"ledger": {MaxConnections: fleetLimit}},
		})
		top.Replace([]topology.Database{{ID: "db-1", Service: "ledger", Address: "db:1", Primary: true}}, clock.SinceBoot(), clock.SinceBoot())
		name := fmt.Sprint("instance-", i)
		set := dbpool.NewSet(dbpool.SetConfig{
			Instance: name, Dial: f.db.dial, Topology: top, Clock: clock.Real{}, Now: clock.SinceBoot,
			Instances: func() int { return instances },
			DialOwner: func(ctx context.Context, address, id string, organisations bool) (dbpool.Conn, error) {
				return Dial(ctx, address, id, DialOptions{Organisations: organisations})
			},
			Owners:     func(topology.Database, int) ([]ownership.Instance, bool) { return f.addresses[:2], i < 2 },
			MayConnect: func(topology.Database, int) bool { return false },
		})
		server := &Server{Pools: set, Log: zerolog.Nop()}
		mux := http.NewServeMux()
		mux.Handle(Path, server)
		srv := httptest.NewServer(mux)
		t.Cleanup(func() { server.Close(); srv.Close() })
		f.sets, f.servers = append(f.sets, set), append(f.servers, server)
		f.addresses = append(f.addresses, ownership.Instance{Name: name, Address: strings.TrimPrefix(srv.URL, "http://")})
	}
	for _, set := range f.sets {
		wg.Go(func() { _ = set.Run(ctx) }) // ends with the context's error
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if !slices.ContainsFunc(f.sets, func(s *dbpool.Set) bool { _, ok := s.Pool("db-1", ""); return !ok }) {
			return f
		}
		if time.Now().After(end) {
			t.Fatal("an instance has no pool of the database")
		}
	}
}

// request runs a statement or a transaction of an organisation at an instance. A failure
// without effect is repeated, as a caller does.
func (f *fleet) request(t *testing.T, instance int, organisation string, transaction bool) {
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if err = f.attempt(instance, organisation, transaction); err == nil {
			return
		}
	}
	t.Errorf("%s at instance %d: %v", organisation, instance, err)
}

func (f *fleet) attempt(instance int, organisation string, transaction bool) error {
	p, _ := f.sets[instance].Pool("db-1", organisation)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	l, err := p.Acquire(ctx, admission.Request{Class: "c", Caller: organisation, Organisation: organisation}, nil)
	if err != nil {
		return err
	}
	x := dbpool.Exchange{Statement: readStatement("for " + organisation), Deadline: testDeadline()}
	if transaction {
		x.Begin = &statement.Statement{Kind: statement.Begin, Text: "for " + organisation}
	}
	if _, err = l.Run(x); err == nil && transaction {
		time.Sleep(time.Millisecond)
		_, err = l.Run(dbpool.Exchange{Statement: statement.Statement{Kind: statement.Commit, Text: "for " + organisation}, Deadline: testDeadline()})
	}
	if err != nil {
		l.Discard()
		return err
	}
	l.Release()
	return nil
}

// Guards against statements on connections of other organisations, against more
// connections than the owners' share of the limit, and against requests that are not
// served, on the whole way from any instance through the owners, while an owner drains.
func TestFleetKeepsOrganisationsApart(t *testing.T) {
	f := startFleet(t, 10)
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			for range 60 {
				f.request(t, n, fmt.Sprint("organisation-", min(rng.IntN(15), rng.IntN(15))), rng.IntN(4) == 0)
			}
		})
	}
	time.AfterFunc(100*time.Millisecond, f.servers[0].Drain)
	wg.Wait()
	f.db.mu.Lock()
	defer f.db.mu.Unlock()
	statements := 0
	for i, c := range f.db.conns {
		for _, cmd := range c.received {
			statements++
			if cmd.Statement.Text != "for "+f.db.names[i] {
				t.Errorf("%q ran on a connection of %q", cmd.Statement.Text, f.db.names[i])
			}
		}
	}
	t.Logf("%d statements, %d connections opened, at most %d at once", statements, len(f.db.conns), f.db.peak)
	if statements < 600 || f.db.peak > fleetLimit*4/5 {
		t.Errorf("%d statements ran, want 600 or more; %d connections were open at once, want at most %d", statements, f.db.peak, fleetLimit*4/5)
	}
}
