package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"geraniumbeam/internal/standin/hosted"
)

const (
	freezeRounds = 6
	freezeTime   = 3500 * time.Millisecond
	freezeAfter  = 150 * time.Millisecond // after the primary reports that it is draining
	freezeRest   = 3 * time.Second
	// freezeConnections is too low for a connection from each instance, so statements go
	// through owners.
	freezeConnections = 4
)

// playFreeze freezes an instance, an owner of the connections to the databases, while a
// primary is replaced as planned. Callers use single statements and transactions, at it
// and at the others.
func playFreeze(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec)
	defer d.close()
	if err != nil {
		return nil, err
	}
	c := &lateCase{rec: rec, d: d, cut: &partition{}, ops: make(map[string]lateOp), inTx: make(map[string]bool), rounds: freezeRounds, connections: freezeConnections}
	if err := c.start(); err != nil {
		return nil, err
	}
	var thaws []time.Time
	for round := range freezeRounds {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		c.startCallers(round, stop, &wg)
		for n, i := range d.instances {
			for k := range lateOtherCallers {
				name := fmt.Sprintf("tx-%d.%d", n, k)
				wg.Go(func() { c.transactions(name, i.callers, lateService(round), stop) })
			}
		}
		time.Sleep(lateSettleTime)
		target := d.instances[round%len(d.instances)]
		if err := c.drain(c.groups[round].Primary().ID()); err != nil {
			return nil, err
		}
		time.Sleep(freezeAfter)
		if trouble {
			rec.add("platform", "%s is frozen", target.name)
			if err := target.signal(syscall.SIGSTOP); err != nil {
				return nil, err
			}
			time.Sleep(freezeTime)
			rec.add("platform", "%s goes on", target.name)
			thaws = append(thaws, time.Now())
			if err := target.signal(syscall.SIGCONT); err != nil {
				return nil, err
			}
		}
		time.Sleep(freezeRest)
		close(stop)
		wg.Wait()
	}
	var breaches []string
	for _, g := range c.groups {
		breaches = append(breaches, c.check(g)...)
		breaches = append(breaches, c.outside(g)...)
	}
	rec.add("review", "thaws at %v", thaws)
	return breaches, nil
}

// transactions runs transactions until stop is closed.
func (c *lateCase) transactions(name, address, database string, stop <-chan struct{}) {
	for {
		conn, err := dial(address, database)
		for err == nil {
			select {
			case <-stop:
				conn.close()
				return
			default:
			}
			err = c.transaction(name, conn)
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

// transaction runs one transaction.
func (c *lateCase) transaction(name string, conn *callerConn) error {
	for _, text := range []string{"BEGIN", "READ pitch", "WRITE pitch tx", "COMMIT"} {
		id := newID(name)
		if text != "BEGIN" && text != "COMMIT" {
			c.mu.Lock()
			c.inTx[id] = true
			c.mu.Unlock()
		}
		a, err := conn.query(id, text)
		if err != nil {
			return err
		}
		if a.code != "" {
			if a.state != "I" {
				_, err = conn.query(newID(name), "ROLLBACK")
			}
			return err
		}
	}
	return nil
}

// outside returns the statements of transactions that ran outside any transaction.
func (c *lateCase) outside(g *hosted.Group) []string {
	var breaches []string
	for _, run := range g.Runs() {
		if c.inTx[run.ID] && run.BeginID == "" {
			breaches = append(breaches, fmt.Sprintf("PINNED: %s ran %s of %s outside its transaction, commits %d", run.Database, run.Text, run.ID, len(run.Committed)))
		}
	}
	return breaches
}
