package wire

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Timeouts of the transport.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 1 * time.Minute

	// controlIdleTimeout exceeds the time in which membership visits each of
	// its partners, so that their connections stay open.
	controlIdleTimeout = 30 * time.Second
)

// Clients keeps up to two connections to each instance and makes clients for
// its services. A connection is opened when it is first used. It is safe for
// concurrent use.
type Clients struct {
	dial func(address string) string // address translation, may be nil
	idle time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the lanes of one instance. Calls on a saturated connection wait
// for each other, so work that is not urgent has a connection of its own.
type peer struct {
	first *lane // urgent work and control
	bulk  *lane // other work
	pool  Pool
	other Pool // Execute on the bulk lane
	peer  Peer
	admin Admin
}

// bulkPool sends Execute on the bulk lane and all other calls on the first one.
type bulkPool struct {
	Pool
	bulk Pool
}

// Execute implements Pool.
func (p bulkPool) Execute(ctx context.Context, req *ExecuteRequest) (*ExecuteResponse, error) {
	return p.bulk.Execute(ctx, req)
}

// NewClients returns an empty set. translate maps an address to the one that
// is dialed; nil leaves addresses as they are.
func NewClients(translate func(string) string) *Clients {
	return &Clients{dial: translate, idle: idleTimeout, peers: make(map[string]*peer)}
}

// NewControlClients is NewClients for membership and configuration. These visit
// many peers, so their connections close sooner.
func NewControlClients(translate func(string) string) *Clients {
	c := NewClients(translate)
	c.idle = controlIdleTimeout
	return c
}

// Pool returns the Pool client of the instance at address for urgent work and
// control.
func (c *Clients) Pool(address string) Pool { return c.get(address).pool }

// BulkPool returns the Pool client of the instance at address for work that is
// not urgent. Only its Execute calls use the second connection.
func (c *Clients) BulkPool(address string) Pool { return c.get(address).other }

// Peer returns the Peer client of the instance at address.
func (c *Clients) Peer(address string) Peer { return c.get(address).peer }

// Admin returns the Admin client of the instance at address.
func (c *Clients) Admin(address string) Admin { return c.get(address).admin }

// Forget closes the connections to address and drops its clients. Calls that are
// outstanding fail with an unknown outcome, so that callers do not wait for
// their deadlines.
func (c *Clients) Forget(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.first.close()
		p.bulk.close()
	}
}

// Close closes all idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.closeIdle()
	}
}

func (c *Clients) get(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok {
		return p
	}
	p := newPeer(c.target(address), c.idle)
	c.peers[address] = p
	return p
}

func (c *Clients) target(address string) string {
	if c.dial == nil {
		return address
	}
	return c.dial(address)
}

func newPeer(target string, idle time.Duration) *peer {
	base := "http://" + target
	first, bulk := newLane(base, idle), newLane(base, idle)
	pool := NewPoolProtobufClient(base, first)
	return &peer{
		first: first,
		bulk:  bulk,
		pool:  pool,
		other: bulkPool{Pool: pool, bulk: NewPoolProtobufClient(base, bulk)},
		peer:  NewPeerProtobufClient(base, first),
		admin: NewAdminProtobufClient(base, first),
	}
}

func (p *peer) closeIdle() {
	p.first.closeIdle()
	p.bulk.closeIdle()
}

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}
