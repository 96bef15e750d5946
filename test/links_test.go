package integration

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// link is a directed connection path: from dials to.
type link struct{ from, to string }

// links holds one toxiproxy per link, so that each can fail by itself.
type links struct {
	api *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[link]*toxiproxy.Proxy
	cut     map[link]bool
}

func newLinks() *links {
	return &links{
		api:     toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: make(map[link]*toxiproxy.Proxy),
		cut:     make(map[link]bool),
	}
}

// add opens a proxy for l towards upstream and returns its address. delay is
// added in each direction.
func (ls *links) add(t testing.TB, l link, upstream string, delay time.Duration) string {
	t.Helper()
	p := toxiproxy.NewProxy(ls.api, l.from+">"+l.to, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatalf("proxy %v: %v", l, err)
	}
	ls.mu.Lock()
	ls.proxies[l] = p
	ls.mu.Unlock()
	if delay > 0 {
		ls.addProxyToxic(t, p, "delay-up", "latency", "upstream", fmt.Sprintf(`{"latency":%d,"jitter":1}`, delay.Milliseconds()))
		ls.addProxyToxic(t, p, "delay-down", "latency", "downstream", fmt.Sprintf(`{"latency":%d,"jitter":1}`, delay.Milliseconds()))
	}
	return p.Listen
}

func (ls *links) addProxyToxic(t testing.TB, p *toxiproxy.Proxy, name, kind, stream, attributes string) {
	t.Helper()
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, stream, attributes)
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
		t.Fatalf("toxic %s on %s: %v", kind, p.Name, err)
	}
}

// addToxic puts a toxic on one link.
func (ls *links) addToxic(t testing.TB, l link, name, kind, stream, attributes string) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.addProxyToxic(t, ls.proxies[l], name, kind, stream, attributes)
}

// removeToxic takes a toxic off one link.
func (ls *links) removeToxic(t testing.TB, l link, name string) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if err := ls.proxies[l].Toxics.RemoveToxic(t.Context(), name); err != nil {
		t.Logf("remove %s of %v: %v", name, l, err)
	}
}

// cutLinks stalls all matching links in both directions: what is sent is lost
// and nobody is told, as when packets are dropped.
func (ls *links) cutLinks(t testing.TB, match func(link) bool) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for l, p := range ls.proxies {
		if !match(l) || ls.cut[l] {
			continue
		}
		ls.addProxyToxic(t, p, "cut-up", "timeout", "upstream", `{"timeout":0}`)
		ls.addProxyToxic(t, p, "cut-down", "timeout", "downstream", `{"timeout":0}`)
		ls.cut[l] = true
	}
}

// healAll restores all links that were cut.
func (ls *links) healAll(t testing.TB) {
	t.Helper()
	ls.healLinks(t, func(link) bool { return true })
}

// healLinks restores the matching links that were cut.
func (ls *links) healLinks(t testing.TB, match func(link) bool) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for l := range ls.cut {
		if !match(l) {
			continue
		}
		for _, name := range []string{"cut-up", "cut-down"} {
			if err := ls.proxies[l].Toxics.RemoveToxic(t.Context(), name); err != nil {
				t.Logf("heal %v: %v", l, err)
			}
		}
		delete(ls.cut, l)
	}
}

// reset closes all connections of the matching links; new ones are accepted.
func (ls *links) reset(t testing.TB, match func(link) bool) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for l, p := range ls.proxies {
		if !match(l) {
			continue
		}
		p.Stop()
		if err := p.Start(); err != nil {
			t.Fatalf("restart proxy %v: %v", l, err)
		}
	}
}

func (ls *links) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, p := range ls.proxies {
		p.Stop()
	}
}

// linksBetween matches links in either direction linksBetween a member of as and a
// member of bs; a nil set stands for everybody else.
func linksBetween(as, bs map[string]bool) func(link) bool {
	in := func(set map[string]bool, other map[string]bool, name string) bool {
		if set == nil {
			return !other[name]
		}
		return set[name]
	}
	return func(l link) bool {
		return (in(as, bs, l.from) && in(bs, as, l.to)) || (in(as, bs, l.to) && in(bs, as, l.from))
	}
}

func setOf(ns ...string) map[string]bool {
	out := make(map[string]bool)
	for _, n := range ns {
		out[n] = true
	}
	return out
}

// Ports of processes are taken below the range that the kernel uses for
// outgoing connections, so that no connection can take a port between its choice
// and its use.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(firstPort + os.Getpid()*37%(lastPort-firstPort))) }

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
