package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The dose of srv_grey, shed, in the site file that names it.
const (
	greyShare  = 0.45
	greyLength = 6500 * time.Millisecond
)

const (
	shedCallers = 8
	shedSeed    = 20261205
	shedLength  = 11 * time.Second
	shedAt      = 2 * time.Second
	thinkTime   = 40 * time.Millisecond
)

// startGrey starts a deployment whose databases can become grey.
func startGrey(rec *record, sheds ...string) (*deployment, map[string]*greyDatabase, error) {
	grey := make(map[string]*greyDatabase)
	d, err := startDeployment(rec, deploymentConfig{instances: 3, maxConnections: 30, advertise: func(id, address string) string {
		g := &greyDatabase{
			rec: rec, id: id, target: address, share: greyShare, rng: rand.New(rand.NewPCG(shedSeed, uint64(len(grey)))),
			sheds: func(verb string) bool { return slices.Contains(sheds, verb) },
		}
		own, err := g.listen()
		if err != nil {
			return address // the case then can't show anything, and holds
		}
		grey[id] = g
		return own
	}})
	return d, grey, err
}

// runGrey runs callers and makes the primary grey meanwhile.
func runGrey(rec *record, trouble bool, d *deployment, grey map[string]*greyDatabase, caller func(n int, end time.Time)) {
	end := time.Now().Add(shedLength)
	var wg sync.WaitGroup
	for n := range shedCallers {
		wg.Go(func() { caller(n, end) })
	}
	time.Sleep(shedAt)
	if trouble {
		g := grey[d.group.Primary().ID()]
		rec.add("platform", "%s refuses %.0f %% of its requests for %v", g.id, 100*g.share, greyLength)
		g.on.Store(true)
		time.Sleep(greyLength)
		g.on.Store(false)
		rec.add("platform", "%s serves all requests again", g.id)
	}
	wg.Wait()
}

// playShedBegin lets callers write in transactions while the primary is grey. Each
// write may take effect once at most, and only if its caller has sent the commit.
func playShedBegin(rec *record, trouble bool) ([]string, error) {
	d, grey, err := startGrey(rec, "BEGIN", "READ", "WRITE", "EXECUTE")
	defer d.close()
	if err != nil {
		return nil, err
	}
	var committers commitLog
	runGrey(rec, trouble, d, grey, func(n int, end time.Time) {
		(&adjuster{rec: rec, name: fmt.Sprintf("caller-%d", n), address: d.instances[n%len(d.instances)].callers, item: fmt.Sprintf("fee-%d", n), commits: &committers}).run(end)
	})
	return twice(rec, d, &committers), nil
}

// commitLog holds the writes whose callers have sent the commit of their transaction.
// It is safe for concurrent use.
type commitLog struct {
	mu        sync.Mutex
	requested map[string]bool // ids of writes
}

func (l *commitLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requested == nil {
		l.requested = make(map[string]bool)
	}
	l.requested[id] = true
}

func (l *commitLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requested[id]
}

// twice returns the writes that took effect more than once, or without a commit of
// their caller, and records all runs.
func twice(rec *record, d *deployment, commits *commitLog) []string {
	var breaches []string
	effects := make(map[string]int)
	for _, run := range d.group.Runs() {
		rec.addAt(run.At, run.Database, "runs %s: %s, in the transaction of %q, commits %d", run.ID, run.Text, run.BeginID, len(run.Committed))
		for _, c := range run.Committed {
			effects[c.ID]++
		}
	}
	for _, c := range d.group.Log() {
		n := effects[c.ID]
		delete(effects, c.ID)
		switch {
		case n > 1:
			breaches = append(breaches, fmt.Sprintf("TWICE: the write %s took effect %d times", c.ID, n))
		case n == 1 && c.Item != "start" && !commits.has(c.ID):
			breaches = append(breaches, fmt.Sprintf("UNASKED: the write %s is committed, but its caller never sent COMMIT", c.ID))
		}
	}
	return breaches
}

// adjuster is a caller that changes a fee in transactions, each of which is one client
// attempt.
type adjuster struct {
	rec     *record
	name    string
	address string
	item    string
	commits *commitLog
}

func (c *adjuster) run(end time.Time) {
	for time.Now().Before(end) {
		conn, err := dial(c.address, routePrimary)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		for time.Now().Before(end) && c.adjust(conn) == nil {
			time.Sleep(thinkTime)
		}
		conn.close()
	}
}

// adjust runs one transaction. An error means that the session is to be closed.
func (c *adjuster) adjust(conn *callerConn) error {
	write := newID(c.name)
	for _, s := range []struct{ id, text string }{
		{newID(c.name), "BEGIN"}, {write, fmt.Sprintf("WRITE %s change-%s", c.item, write)}, {newID(c.name), "COMMIT"},
	} {
		if s.text == "COMMIT" {
			c.commits.add(write)
		}
		c.rec.add(c.name, "sends %s: %s", s.id, s.text)
		a, err := conn.query(s.id, s.text)
		if err != nil {
			c.rec.add(c.name, "%s has no complete answer: %v", s.id, err)
			return err
		}
		c.rec.add(c.name, "%s is answered: %s", s.id, a)
		if a.code != "" {
			if a.state == "I" {
				return nil
			}
			_, err := conn.query(newID(c.name), "ROLLBACK")
			return err
		}
	}
	return nil
}
