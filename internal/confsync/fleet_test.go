package confsync

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/platform"
	"geraniumbeam/internal/result"
	standin "geraniumbeam/internal/standin/platform"
	"geraniumbeam/internal/wire"
)

// blockablePlatform is a platform.API whose watches can be made to fail.
type blockablePlatform struct {
	platform.API
	blocked atomic.Bool
}

func (g *blockablePlatform) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Object, uint64, error) {
	if g.blocked.Load() {
		return nil, 0, result.Errorf(result.PlatformDown, "blocked by the test")
	}
	objects, version, err := g.API.Watch(ctx, kind, after, wait)
	if g.blocked.Load() {
		return nil, 0, result.Errorf(result.PlatformDown, "blocked by the test")
	}
	return objects, version, err
}

// peer serves a Syncer. With rejectPushes it fails all pushes.
type peer struct {
	*Syncer
	rejectPushes atomic.Bool
}

func (p *peer) PushObjects(ctx context.Context, r *wire.PushObjectsRequest) (*wire.PushObjectsResponse, error) {
	if p.rejectPushes.Load() {
		return nil, result.Errorf(result.Internal, "refused")
	}
	return p.Syncer.PushObjects(ctx, r)
}

func (p *peer) Gossip(context.Context, *wire.GossipRequest) (*wire.GossipResponse, error) {
	return &wire.GossipResponse{}, nil
}

type fleet struct {
	t         *testing.T
	ctx       context.Context
	standin   *standin.Server
	platform  platform.API
	peers     []*peer
	platforms []*blockablePlatform
	live      []ownership.Instance
}

// newFleet starts n instances that are distributed over the data centres and all
// see each other as live.
func newFleet(t *testing.T, n int, dataCentres ...string) *fleet {
	f := &fleet{t: t}
	s, err := standin.New(standin.Config{})
	if err != nil {
		t.Fatal(err)
	}
	f.standin = s
	l := listen(t)
	go func() { _ = s.Serve(l) }()
	client := platform.NewClient("http://"+l.Addr().String(), platform.Options{Rate: 1e6, Burst: 1e6})
	f.platform = client
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	clients := wire.NewClients(nil)
	listeners := make([]net.Listener, n)
	for i := range n {
		listeners[i] = listen(t)
		f.live = append(f.live, ownership.Instance{
			Name: fmt.Sprintf("i%02d", i), Address: listeners[i].Addr().String(),
			DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	var wg sync.WaitGroup
	var servers []*wire.Server
	for i := range n {
		g := &blockablePlatform{API: client}
		d := directory.New(f.live[i])
		d.SetLive(f.live, false)
		p := &peer{Syncer: New(Config{Directory: d, Clients: clients, Platform: g, Log: zerolog.Nop(), Seed: uint64(i)})}
		f.peers, f.platforms = append(f.peers, p), append(f.platforms, g)
		srv := wire.NewServer(nil, p, nil)
		servers = append(servers, srv)
		wg.Go(func() { _ = srv.Serve(listeners[i]) })
	}
	t.Cleanup(func() {
		cancel()
		clients.Close()
		for _, srv := range servers {
			_ = srv.Close()
		}
		wg.Wait()
		client.Close()
		s.Close()
	})
	for _, p := range f.peers {
		wg.Go(func() { _ = p.Run(ctx) })
	}
	return f
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// exchangeDigests passes digests beforeCheck each instance and the next one, in both
// directions.
func (f *fleet) exchangeDigests() {
	for i, p := range f.peers {
		j := (i + 1) % len(f.peers)
		d, v := f.peers[j].cfg.Directory.Digest()
		p.ObserveDigest(f.live[j], d, v)
		d, v = p.cfg.Directory.Digest()
		f.peers[j].ObserveDigest(f.live[i], d, v)
	}
}

func (f *fleet) eventually(what string, cond func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// awaitVersion waits until all instances hold the version. It calls beforeCheck before
// each check.
func (f *fleet) awaitVersion(version uint64, beforeCheck func()) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("version %d everywhere", version), func() bool {
		beforeCheck()
		for _, p := range f.peers {
			if p.cfg.Directory.Version() < version {
				return false
			}
		}
		return true
	})
}

func (f *fleet) relays() []int {
	var out []int
	for i, p := range f.peers {
		if RelayRank(p.self, f.live) >= 0 {
			out = append(out, i)
		}
	}
	return out
}

// awaitWatches waits until all instances have loaded the configuration and the
// relays' watches have reached the platform.
func (f *fleet) awaitWatches() {
	want := int64(len(Kinds) * (len(f.peers) + len(f.relays())))
	f.eventually("relays watch", func() bool { return f.standin.Counts().Watches >= want })
}
