package integration

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// hostedCaller is a session that works until stopped and keeps its connection as
// long as the instance does.
type hostedCaller struct {
	number  int
	cluster *hostedCluster
	history *history
	rng     *rand.Rand
	conn    *hostedConn
	route   string
	service int
	seq     int
	session int // number of the current connection: a session ends with it
}

// firstCaller numbers callers over all calls of runCallers, since ids must not
// be used twice.
var firstCaller atomic.Int64

// nextSession numbers connections of callers.
var nextSession atomic.Int64

// runCallers starts callers and returns a function that stops them.
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

// callerPause is the longest pause between two operations of a caller.
const callerPause = 20

func (c *hostedCaller) step() {
	time.Sleep(time.Duration(c.rng.IntN(callerPause)) * time.Millisecond)
	if c.conn == nil && !c.connect() {
		return
	}
	switch c.rng.IntN(10) {
	case 0, 1:
		c.transaction()
	case 2, 3, 4:
		c.single(true)
	default:
		c.single(false)
	}
}

func (c *hostedCaller) connect() bool {
	c.service = c.rng.IntN(len(c.cluster.groups))
	c.route = []string{routePrimary, routeBounded, routeSession}[c.rng.IntN(3)]
	address := c.cluster.addresses[c.rng.IntN(len(c.cluster.addresses))]
	conn, err := dialHosted(address, fmt.Sprintf("%ssvc%d", c.route, c.service))
	if err != nil {
		return false
	}
	c.conn = conn
	c.session = int(nextSession.Add(1))
	if c.rng.IntN(2) == 0 {
		if a, err := conn.query(c.id(), fmt.Sprintf("SET owner s%d", c.number)); err != nil || a.problem != "" {
			c.drop()
			return false
		}
	}
	return true
}

func (c *hostedCaller) drop() {
	c.conn.close()
	c.conn = nil
}

func (c *hostedCaller) id() string {
	c.seq++
	return fmt.Sprintf("s%d.%d", c.number, c.seq)
}

// run sends a statement and records what the caller saw of it.
func (c *hostedCaller) run(op hostedOp, text string) (hostedAnswer, bool) {
	op.session, op.service, op.route = c.session, c.service, c.route
	a, err := c.conn.query(op.id, text)
	op.ended, op.problem = time.Now(), a.problem
	if err != nil {
		op.problem = "cut"
		c.drop()
	}
	c.history.add(op)
	return a, err == nil && a.problem == ""
}

func (c *hostedCaller) item() string { return fmt.Sprintf("k%d", c.rng.IntN(20)) }

func (c *hostedCaller) single(writes bool) {
	op := hostedOp{id: c.id(), began: time.Now()}
	text := "READ " + c.item()
	if writes {
		op.writes = []string{op.id}
		text = "WRITE " + c.item() + " " + op.id
	}
	c.run(op, text)
}

// transaction writes or reads a few items and ends as its caller likes.
func (c *hostedCaller) transaction() {
	begin, began := c.id(), time.Now()
	writes := c.rng.IntN(2) == 0
	text := "BEGIN READ"
	if writes {
		text = "BEGIN"
	}
	if a, err := c.conn.query(begin, text); err != nil || a.problem != "" {
		c.drop()
		return
	}
	var written []string
	for i := range 1 + c.rng.IntN(4) {
		op := hostedOp{id: fmt.Sprintf("%s/%d", begin, i), began: began, tx: true}
		text := "READ " + c.item()
		if writes && c.rng.IntN(2) == 0 {
			written = append(written, op.id)
			text = "WRITE " + c.item() + " " + op.id
		}
		// Whether a write is kept is judged by the commit.
		if _, ok := c.run(op, text); !ok {
			if c.conn != nil {
				c.endFailed(begin, written)
			}
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(callerPause)) * time.Millisecond)
	}
	switch c.rng.IntN(8) {
	case 0:
		c.drop() // leaves in the middle
	case 1:
		c.rollback(begin, written)
	default:
		c.run(hostedOp{id: begin + "/commit", began: began, tx: true, writes: written}, "COMMIT")
	}
}

func (c *hostedCaller) rollback(begin string, written []string) {
	if a, err := c.conn.query(begin+"/rollback", "ROLLBACK"); err != nil || a.problem != "" || a.state != "I" {
		c.drop()
		return
	}
	c.endFailed("", written)
}

// endFailed records that nothing of a transaction may be kept, and rolls it back
// if begin names it.
func (c *hostedCaller) endFailed(begin string, written []string) {
	now := time.Now()
	c.history.add(hostedOp{session: c.session, service: c.service, route: c.route, began: now, ended: now, writes: written, problem: rolledBack, tx: true})
	if begin != "" {
		c.rollback(begin, nil)
	}
}
