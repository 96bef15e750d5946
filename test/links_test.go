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

// link is the path of the connections that from opens to to.
type link struct{ from, to string }

// links holds one toxiproxy for each link, so that each link can fail on its own.
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

// add starts a proxy in front of upstream and returns the proxy's address. delay
// applies to each direction.
func (ls *links) add(t testing.TB, l link, upstream string, delay time.Duration) string {
	t.Helper()
	p := toxiproxy.NewProxy(ls.api, l.from+">"+l.to, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatalf("start the proxy of link %v: %v", l, err)
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
		t.Fatalf("add toxic %s to %s: %v", kind, p.Name, err)
	}
}

// addToxic adds a toxic to a link.
func (ls *links) addToxic(t testing.TB, l link, name, kind, stream, attributes string) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.addProxyToxic(t, ls.proxies[l], name, kind, stream, attributes)
}

// removeToxic removes a toxic from a link.
func (ls *links) removeToxic(t testing.TB, l link, name string) {
	t.Helper()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if err := ls.proxies[l].Toxics.RemoveToxic(t.Context(), name); err != nil {
		t.Logf("remove toxic %s from %v: %v", name, l, err)
	}
}

// cutLinks drops all data on the matching links, in both directions, and keeps
// the connections open, as a network that drops packets does.
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

// reset closes all connections of the matching links. New ones are accepted.
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
			t.Fatalf("restart the proxy of link %v: %v", l, err)
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

// linksBetween matches the links in either direction between as and bs. A nil set
// stands for everything that is not in the other one.
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

// The ports of processes are below the kernel's range of ephemeral ports, so that
// no outgoing connection can take a port between its selection and its use.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(firstPort + os.Getpid()*37%(lastPort-firstPort))) }

// freeAddress returns a loopback address that has no listener.
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
	t.Fatal("no free port from 10000 to 31999")
	return ""
}
