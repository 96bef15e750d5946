package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// hostedCaller is a caller that sends statements until it is stopped. It keeps its
// connection until an error.
type hostedCaller struct {
	number  int
	cluster *hostedCluster
	history *history
	rng     *rand.Rand
	conn    *hostedConn
	route   string
	service int
	lastSeq int
	session int // number of the current connection; a session ends with its connection
}

// firstCaller numbers callers over all calls of runCallers, since the ids of their
// statements must be unique.
var firstCaller atomic.Int64

// nextSession numbers the connections of callers.
var nextSession atomic.Int64

// runCallers starts callers and returns a function that stops and awaits them.
func runCallers(h *hostedCluster, hist *history, callers int, seed uint64) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers {
		c := &hostedCaller{number: int(firstCaller.Add(1)), cluster: h, history: hist, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					if c.conn != nil {
						c.conn.close()
					}
					return
				default:
					c.step()
				}
			}
		})
	}
	return func() { close(stop); wg.Wait() }
}

// maxThinkMillis bounds the random time between two operations of a caller.
const maxThinkMillis = 20

func (c *hostedCaller) step() {
	time.Sleep(time.Duration(c.rng.IntN(maxThinkMillis)) * time.Millisecond)
	if c.conn == nil && !c.connect() {
		return
	}
	switch c.rng.IntN(10) {
	case 0, 1:
		c.transaction()
	case 2, 3, 4:
		c.singleStatement(true)
	default:
		c.singleStatement(false)
	}
}

func (c *hostedCaller) connect() bool {
	c.service = c.rng.IntN(len(c.cluster.groups))
	c.route = []string{routePrimary, routeBounded, routeSession}[c.rng.IntN(3)]
	address := c.cluster.callerAddresses[c.rng.IntN(len(c.cluster.callerAddresses))]
	conn, err := dialHosted(address, fmt.Sprintf("%ssvc%d", c.route, c.service))
	if err != nil {
		return false
	}
	c.conn = conn
	c.session = int(nextSession.Add(1))
	if c.rng.IntN(2) == 0 {
		if a, err := conn.query(c.id(), fmt.Sprintf("SET owner s%d", c.number)); err != nil || a.code != "" {
			c.disconnect()
			return false
		}
	}
	return true
}

func (c *hostedCaller) disconnect() {
	c.conn.close()
	c.conn = nil
}

func (c *hostedCaller) id() string {
	c.lastSeq++
	return fmt.Sprintf("s%d.%d", c.number, c.lastSeq)
}

// run sends a statement and records its outcome. It reports whether the statement
// succeeded.
func (c *hostedCaller) run(op hostedOp, text string) (hostedAnswer, bool) {
	op.session, op.service, op.route = c.session, c.service, c.route
	a, err := c.conn.query(op.id, text)
	op.end, op.failure = time.Now(), a.code
	if err != nil {
		op.failure = "cut"
		c.disconnect()
	}
	c.history.add(op)
	return a, err == nil && a.code == ""
}

func (c *hostedCaller) item() string { return fmt.Sprintf("k%d", c.rng.IntN(20)) }

func (c *hostedCaller) singleStatement(writes bool) {
	op := hostedOp{id: c.id(), start: time.Now()}
	text := "READ " + c.item()
	if writes {
		op.writes = []string{op.id}
		text = "WRITE " + c.item() + " " + op.id
	}
	c.run(op, text)
}

// transaction reads or writes up to four items, and commits, rolls back or closes the
// connection.
func (c *hostedCaller) transaction() {
	begin, start := c.id(), time.Now()
	writes := c.rng.IntN(2) == 0
	text := "BEGIN READ"
	if writes {
		text = "BEGIN"
	}
	if a, err := c.conn.query(begin, text); err != nil || a.code != "" {
		c.disconnect()
		return
	}
	var written []string
	for i := range 1 + c.rng.IntN(4) {
		op := hostedOp{id: fmt.Sprintf("%s/%d", begin, i), start: start, tx: true}
		text := "READ " + c.item()
		if writes && c.rng.IntN(2) == 0 {
			written = append(written, op.id)
			text = "WRITE " + c.item() + " " + op.id
		}
		// The outcome of the commit decides whether the write takes effect.
		if _, ok := c.run(op, text); !ok {
			if c.conn != nil {
				c.recordRolledBack(begin, written)
			}
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(maxThinkMillis)) * time.Millisecond)
	}
	switch c.rng.IntN(8) {
	case 0:
		c.disconnect() // closes the connection within the transaction
	case 1:
		c.rollback(begin, written)
	default:
		c.run(hostedOp{id: begin + "/commit", start: start, tx: true, writes: written}, "COMMIT")
	}
}

func (c *hostedCaller) rollback(begin string, written []string) {
	if a, err := c.conn.query(begin+"/rollback", "ROLLBACK"); err != nil || a.code != "" || a.state != "I" {
		c.disconnect()
		return
	}
	c.recordRolledBack("", written)
}

// recordRolledBack records that no write of a transaction may take effect. Unless begin
// is empty, it rolls the transaction back.
func (c *hostedCaller) recordRolledBack(begin string, written []string) {
	now := time.Now()
	c.history.add(hostedOp{session: c.session, service: c.service, route: c.route, start: now, end: now, writes: written, failure: rolledBack, tx: true})
	if begin != "" {
		c.rollback(begin, nil)
	}
}
