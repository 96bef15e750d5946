package wire

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 1 * time.Minute

	// controlIdleTimeout exceeds the time in which membership contacts each of
	// its partners once, so that these connections stay open.
	controlIdleTimeout = 30 * time.Second
)

// Clients holds service clients and up to two connections for each instance. A
// connection is opened on first use. It is safe for concurrent use.
type Clients struct {
	translate func(address string) string // address translation, may be nil
	idle      time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connections and clients of one instance. Calls on a saturated
// connection delay each other, so work that is not urgent has its own connection.
type peer struct {
	transports []*peerTransport // none for the local instance
	pool       Pool             // first connection: urgent work and control
	bulk       Pool             // Execute on the second connection
	peer       Peer
	admin      Admin
}

// bulkPool sends Execute on the bulk connection and all other calls on the first
// one.
type bulkPool struct {
	Pool
	bulk Pool
}

// Execute implements Pool.
func (p bulkPool) Execute(ctx context.Context, req *ExecuteRequest) (*ExecuteResponse, error) {
	return p.bulk.Execute(ctx, req)
}

// NewClients returns a Clients without connections. translate maps an address to
// the address to dial; nil means no translation.
func NewClients(translate func(string) string) *Clients {
	return &Clients{translate: translate, idle: idleTimeout, peers: make(map[string]*peer)}
}

// NewControlClients is NewClients for membership and configuration. These contact
// many peers, so idle connections are closed sooner.
func NewControlClients(translate func(string) string) *Clients {
	c := NewClients(translate)
	c.idle = controlIdleTimeout
	return c
}

// ServeLocal routes calls to address, the address of this instance, directly to
// the handlers of s.
func (c *Clients) ServeLocal(address string, s *Server) {
	client := localClient{s}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[address] = newPeer(address, client, client)
}

// Pool returns the Pool client of the instance at address for urgent work and
// control.
func (c *Clients) Pool(address string) Pool { return c.get(address).pool }

// BulkPool returns the Pool client of the instance at address for work that is
// not urgent. Only its Execute calls use the second connection.
func (c *Clients) BulkPool(address string) Pool { return c.get(address).bulk }

// Peer returns the Peer client of the instance at address.
func (c *Clients) Peer(address string) Peer { return c.get(address).peer }

// Admin returns the Admin client of the instance at address.
func (c *Clients) Admin(address string) Admin { return c.get(address).admin }

// Forget closes the connections to address and removes its clients. Outstanding
// calls fail at once with an unknown outcome instead of at their deadlines.
func (c *Clients) Forget(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	for _, t := range p.transports {
		t.close()
	}
}

// Close closes all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		for _, t := range p.transports {
			t.closeIdle()
		}
	}
}

func (c *Clients) get(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok {
		return p
	}
	target := c.dialAddress(address)
	first, bulk := newPeerTransport(baseURL(target), c.idle), newPeerTransport(baseURL(target), c.idle)
	p := newPeer(target, first, bulk)
	p.transports = []*peerTransport{first, bulk}
	c.peers[address] = p
	return p
}

func (c *Clients) dialAddress(address string) string {
	if c.translate == nil {
		return address
	}
	return c.translate(address)
}

func baseURL(target string) string { return "http://" + target }

func newPeer(target string, first, bulk HTTPClient) *peer {
	base := baseURL(target)
	pool := NewPoolProtobufClient(base, first)
	return &peer{
		pool:  pool,
		bulk:  bulkPool{Pool: pool, bulk: NewPoolProtobufClient(base, bulk)},
		peer:  NewPeerProtobufClient(base, first),
		admin: NewAdminProtobufClient(base, first),
	}
}

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}
