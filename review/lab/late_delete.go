package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	lateInstances    = 3
	lateRounds       = 6 // one service for each
	lateConnections  = 30
	lateDeleteBy     = 3 * time.Second
	lateRestartDelay = 500 * time.Millisecond // between the exit of a process and its restart
	lateSettleTime   = 4 * time.Second
	lateCutTime      = 4 * time.Second
	lateCutAfter     = 20 * time.Millisecond // after the primary reports that it is draining
	latePromoteDelay = 330 * time.Millisecond
	lateCallers      = 12 // at the instance that is cut off
	lateOtherCallers = 3  // at each other instance
	lateThinkTime    = 15 * time.Millisecond
	lateExitTimeout  = 10 * time.Second
)

// lateService returns the name of the service of a round, which is also the name of
// the database that callers ask for.
func lateService(round int) string { return fmt.Sprintf("ledger%d", round) }

// lateCase is the state of the case.
type lateCase struct {
	rec       *record
	d         *deployment
	groups    []*hosted.Group
	storeAddr string
	cut       *partition // of instance 0 from the store and from the other instances
	store     *storeLink // of instance 0

	rounds      int // one service for each
	connections int // limit of each database

	mu   sync.Mutex
	ops  map[string]lateOp // by id
	inTx map[string]bool   // statements of transactions, by id
}

// lateOp is a statement of a caller.
type lateOp struct {
	sent, answered time.Time
	ok             bool
}

// playLateDelete restarts an instance with SIGTERM. The answer to the call by which it
// removes its registration is lost, and the store executes the call 3 s later, when the
// restarted instance has registered again. Then the instance is cut off from the
// store and from the others, and a primary is replaced as planned.
func playLateDelete(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec)
	defer d.close()
	if err != nil {
		return nil, err
	}
	c := &lateCase{rec: rec, d: d, cut: &partition{}, ops: make(map[string]lateOp), rounds: lateRounds, connections: lateConnections}
	if err := c.start(); err != nil {
		return nil, err
	}
	for round := range lateRounds {
		if err := c.round(round, trouble); err != nil {
			return nil, err
		}
	}
	var breaches []string
	for _, g := range c.groups {
		breaches = append(breaches, c.check(g)...)
	}
	return breaches, nil
}

// start starts the databases and the instances.
func (c *lateCase) start() error {
	limits := make(map[string]int)
	var routes []hosted.Route
	for round := range c.rounds {
		name := lateService(round)
		g, err := hosted.NewGroup(hosted.GroupConfig{
			Service: name, Databases: 3, Slots: 2, MaxConnections: c.connections, ReplicationLag: 8 * time.Millisecond,
			ServiceTime: 3 * time.Millisecond, PromotionDelay: latePromoteDelay,
		}, c.d.store)
		if err != nil {
			return err
		}
		c.groups = append(c.groups, g)
		limits[name] = c.connections
		routes = append(routes, hosted.Route{Database: name, Type: "primary", Service: name, Timeout: statementTimeout})
	}
	c.d.store.Configure(7, routes, limits, txIdle)
	promotions, stop, err := hosted.ListenPromotions(c.groups...)
	if err != nil {
		return err
	}
	c.d.closers = append(c.d.closers, stop)
	if c.storeAddr, err = c.d.store.Listen("store"); err != nil {
		return err
	}
	return c.startInstances(promotions)
}

// startInstances starts the instances, each with its own way to the store and links to
// the others.
func (c *lateCase) startInstances(promotions string) error {
	for n := range lateInstances {
		s := &storeLink{rec: c.rec, instance: fmt.Sprintf("frontend-%d", n), partition: &partition{}, store: c.storeAddr}
		if n == 0 {
			s.partition, c.store = c.cut, s
		}
		links := make(map[int]string) // address of the link to each instance
		for to := range lateInstances {
			if to == n || (n != 0 && to != 0) {
				continue // these two are never cut off from each other
			}
			l := &link{partition: c.cut, target: func() string { return c.d.instances[to].inner }}
			address, err := l.listen()
			if err != nil {
				return err
			}
			links[to] = address
		}
		s.route = func(body []byte) []byte { return c.reroute(body, links) }
		address, err := s.listen()
		if err != nil {
			return err
		}
		if err := c.d.startInstance(n, address, promotions); err != nil {
			return err
		}
	}
	for _, i := range c.d.instances {
		if err := awaitRoute(i.callers, lateService(0)); err != nil {
			return err
		}
	}
	return nil
}

// reroute replaces the addresses of instances by those of the links to them.
func (c *lateCase) reroute(body []byte, links map[int]string) []byte {
	for to, address := range links {
		if to < len(c.d.instances) {
			body = bytes.ReplaceAll(body, []byte(c.d.instances[to].inner), []byte(address))
		}
	}
	return body
}

// round plays one restart and one planned change of primary.
func (c *lateCase) round(round int, trouble bool) error {
	target, g := c.d.instances[0], c.groups[round]
	if trouble {
		c.store.loseDelete(lateDeleteBy)
	}
	c.rec.add("platform", "SIGTERM to %s", target.name)
	if err := target.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-target.exited:
	case <-time.After(lateExitTimeout):
		return fmt.Errorf("%s did not exit", target.name)
	}
	c.store.loseDelete(0)
	time.Sleep(lateRestartDelay)
	c.rec.add("platform", "%s has exited and is started again", target.name)
	if err := c.d.launch(target); err != nil {
		return err
	}
	if err := awaitRoute(target.callers, lateService(round)); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	c.startCallers(round, stop, &wg)
	time.Sleep(lateSettleTime)
	if err := c.drain(g.Primary().ID()); err != nil {
		return err
	}
	if trouble {
		time.Sleep(lateCutAfter)
		c.rec.add("platform", "%s is cut off from the store and from the other instances", target.name)
		c.cut.set(true)
	}
	time.Sleep(lateCutTime)
	c.cut.set(false)
	c.rec.add("platform", "%s reaches the store and the others", target.name)
	close(stop)
	wg.Wait()
	return nil
}

// drain makes a database report that it is draining.
func (c *lateCase) drain(id string) error {
	resp, err := http.Get("http://" + c.storeAddr + "/v1/objects/servers")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var page struct {
		Items []struct {
			Meta struct{ Name string }
			Spec map[string]any
		}
	}
	if err := json.Unmarshal(data, &page); err != nil {
		return err
	}
	for _, item := range page.Items {
		if item.Meta.Name == id {
			c.rec.add(id, "reports that it is draining")
			item.Spec["state"] = "draining"
			c.d.store.Put("servers", id, item.Spec)
			return nil
		}
	}
	return fmt.Errorf("database %s is not registered", id)
}

// startCallers starts callers of a round's service at all instances.
func (c *lateCase) startCallers(round int, stop <-chan struct{}, wg *sync.WaitGroup) {
	for n, i := range c.d.instances {
		callers := lateOtherCallers
		if n == 0 {
			callers = lateCallers
		}
		for k := range callers {
			name := fmt.Sprintf("caller-%d.%d", n, k)
			wg.Go(func() { c.call(name, i.callers, lateService(round), k, stop) })
		}
	}
}

// call sends reads or writes until stop is closed.
func (c *lateCase) call(name, address, database string, kind int, stop <-chan struct{}) {
	for {
		conn, err := dial(address, database)
		for err == nil {
			select {
			case <-stop:
				conn.close()
				return
			default:
			}
			err = c.statement(name, conn, kind%2 == 0)
			time.Sleep(lateThinkTime)
		}
		if conn != nil {
			conn.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(lateThinkTime):
		}
	}
}

// statement sends one statement.
func (c *lateCase) statement(name string, conn *callerConn, writes bool) error {
	id := newID(name)
	text := "READ pitch"
	if writes {
		text = "WRITE pitch " + id
	}
	sentAt := time.Now()
	a, err := conn.query(id, text)
	c.mu.Lock()
	c.ops[id] = lateOp{sent: sentAt, answered: time.Now(), ok: err == nil && a.code == ""}
	c.mu.Unlock()
	c.rec.addAt(sentAt, name, "sends %s: %s", id, text)
	if err != nil {
		c.rec.add(name, "%s has no complete answer: %v", id, err)
		return err
	}
	c.rec.add(name, "%s is answered: %s", id, a)
	return nil
}

// check returns the writes that were committed at a replaced primary and acknowledged,
// and the reads that lacked a commit which was acknowledged before and was not rolled
// back.
func (c *lateCase) check(g *hosted.Group) []string {
	var breaches []string
	kept := make(map[string]bool)
	for _, e := range g.Log() {
		kept[e.ID] = true
	}
	var acked []string
	for id, op := range c.ops {
		if op.ok && kept[id] {
			acked = append(acked, id)
		}
	}
	for _, run := range g.Runs() {
		op := c.ops[run.ID]
		switch {
		case len(run.Committed) > 0 && run.Superseded && op.ok:
			breaches = append(breaches, fmt.Sprintf("ONE: %s committed %s after another database had been promoted, and its caller got an acknowledgement", run.Database, run.ID))
			c.rec.addAt(run.At, run.Database, "runs %s: %s, as a replaced primary", run.ID, run.Text)
		case len(run.Committed) == 0 && op.ok:
			if id := c.lacks(run, op, acked); id != "" {
				breaches = append(breaches, fmt.Sprintf("STALE: the read %s ran at %s, whose log lacked %s, acknowledged %.0f ms before the read was sent",
					run.ID, run.Database, id, op.sent.Sub(c.ops[id].answered).Seconds()*1000))
				c.rec.addAt(run.At, run.Database, "runs %s: %s, without %s in its log", run.ID, run.Text, id)
			}
		}
	}
	return breaches
}

// lacks returns a commit that was acknowledged before a read was sent and that the log
// lacks on which the read ran, or "".
func (c *lateCase) lacks(run hosted.Run, read lateOp, acked []string) string {
	has := make(map[string]bool, len(run.Log))
	for _, e := range run.Log {
		has[e.ID] = true
	}
	for _, id := range acked {
		if c.ops[id].answered.Before(read.sent) && !has[id] {
			return id
		}
	}
	return ""
}
