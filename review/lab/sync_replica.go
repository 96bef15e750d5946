package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	syncWriters     = 4
	syncReaders     = 30
	syncThinkTime   = 20 * time.Millisecond
	syncTroubleAt   = 2 * time.Second
	syncCrashAfter  = 2 * time.Second
	syncTroubleTime = 6500 * time.Millisecond
	syncSlowness    = 5
	syncLength      = 9 * time.Second
)

// playSyncReplica lets callers write to a service with one synchronous replica. Of its
// two replicas one receives nothing for a while and the other one is slow, and the
// primary crashes meanwhile. A database that is promoted must have all acknowledged
// commits.
func playSyncReplica(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec)
	defer d.close()
	if err != nil {
		return nil, err
	}
	g, err := newSyncGroup(rec, d.store)
	if err != nil {
		return nil, err
	}
	d.configure(30, 1)
	promotions, stop, err := g.listenPromotions()
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, stop)
	if err := d.startInstances(3, promotions); err != nil {
		return nil, err
	}
	var (
		wg    sync.WaitGroup
		acked commitLog // by the caller's id
	)
	end := time.Now().Add(syncLength)
	for n := range syncWriters + syncReaders {
		address := d.instances[n%len(d.instances)].callers
		c := syncCaller{rec: rec, name: fmt.Sprintf("caller-%d", n), address: address, writes: n < syncWriters, acked: &acked}
		wg.Go(func() { c.run(end) })
	}
	time.Sleep(syncTroubleAt)
	if trouble {
		rec.add("platform", "db-1 is %d times as slow and db-2 receives nothing, for %v", syncSlowness, syncTroubleTime)
		g.databases[1].set(func(d *syncDatabase) { d.slowness = syncSlowness })
		g.databases[2].set(func(d *syncDatabase) { d.deaf = true })
		time.Sleep(syncCrashAfter)
		rec.add("platform", "db-0, the primary, crashes")
		g.databases[0].crash()
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	var breaches []string
	for _, id := range g.lost {
		if acked.has(id) {
			breaches = append(breaches, fmt.Sprintf("LOST: the commit %s was acknowledged to its caller, and the promoted database lacks it", id))
		}
	}
	return breaches, nil
}

// syncCaller is a caller that sends one kind of single statement.
type syncCaller struct {
	rec     *record
	name    string
	address string
	writes  bool
	acked   *commitLog
}

func (c syncCaller) run(end time.Time) {
	for time.Now().Before(end) {
		route := routeSession
		if c.writes {
			route = routePrimary
		}
		conn, err := dial(c.address, route)
		for err == nil && time.Now().Before(end) {
			err = c.statement(conn)
			time.Sleep(syncThinkTime)
		}
		if conn != nil {
			conn.close()
		}
		time.Sleep(syncThinkTime)
	}
}

// statement sends one statement and records it if it is a write.
func (c syncCaller) statement(conn *callerConn) error {
	id := newID(c.name)
	if !c.writes {
		_, err := conn.query(id, "READ list")
		return err
	}
	c.rec.add(c.name, "sends %s: WRITE booking %s", id, id)
	a, err := conn.query(id, "WRITE booking "+id)
	if err != nil {
		c.rec.add(c.name, "%s has no complete answer: %v", id, err)
		return err
	}
	c.rec.add(c.name, "%s is answered: %s", id, a)
	if a.code == "" {
		c.acked.add(id)
	}
	return nil
}
