package main

import (
	"fmt"
	"sync"
	"time"
)

// playShedSet lets callers with session values read and write while the primary is
// grey. A statement may run only on a connection that has the values which were
// acknowledged to its session.
func playShedSet(rec *record, trouble bool) ([]string, error) {
	d, grey, err := startGrey(rec, "SET", "READ", "WRITE", "EXECUTE")
	defer d.close()
	if err != nil {
		return nil, err
	}
	var values sessionValues
	runGrey(rec, trouble, d, grey, func(n int, end time.Time) {
		(&steward{
			rec: rec, name: fmt.Sprintf("caller-%d", n), address: d.instances[n%len(d.instances)].callers,
			owner: fmt.Sprintf("member-%d", n), values: &values,
		}).run(end)
	})
	return foreignValues(rec, d, &values), nil
}

// ownerVariable is the session value that callers set.
const ownerVariable = "owner"

// sessionValues holds, by statement, the value of ownerVariable that was acknowledged
// to its session. It is safe for concurrent use.
type sessionValues struct {
	mu    sync.Mutex
	owner map[string]string
}

func (v *sessionValues) set(id, owner string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.owner == nil {
		v.owner = make(map[string]string)
	}
	v.owner[id] = owner
}

func (v *sessionValues) find(id string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	owner, ok := v.owner[id]
	return owner, ok
}

// foreignValues returns the statements that ran with other session values than those
// of their session, and records all runs.
func foreignValues(rec *record, d *deployment, values *sessionValues) []string {
	var breaches []string
	for _, run := range d.group.Runs() {
		rec.addAt(run.At, run.Database, "runs %s: %s, with %s = %q, commits %d", run.ID, run.Text, ownerVariable, run.Variables[ownerVariable], len(run.Committed))
		if owner, ok := values.find(run.ID); ok && run.Variables[ownerVariable] != owner {
			breaches = append(breaches, fmt.Sprintf("PINNED: %s ran %s (%s) with %s = %q; its session has %q, acknowledged before",
				run.Database, run.ID, run.Text, ownerVariable, run.Variables[ownerVariable], owner))
		}
	}
	return breaches
}

// steward is a caller that sets a session value and then reads and writes.
type steward struct {
	rec     *record
	name    string
	address string
	owner   string
	values  *sessionValues
}

func (c *steward) run(end time.Time) {
	for time.Now().Before(end) {
		conn, err := dial(c.address, routePrimary)
		if err != nil {
			time.Sleep(thinkTime)
			continue
		}
		err = c.statement(conn, newID(c.name), "SET "+ownerVariable+" "+c.owner)
		for n := 0; err == nil && time.Now().Before(end); n++ {
			id := newID(c.name)
			c.values.set(id, c.owner)
			text := "READ list-" + c.owner
			if n%3 == 0 {
				text = "WRITE list-" + c.owner + " by-" + c.owner
			}
			err = c.statement(conn, id, text)
			time.Sleep(thinkTime)
		}
		conn.close()
	}
}

// statement sends a statement. An error means that the session is to be closed.
func (c *steward) statement(conn *callerConn, id, text string) error {
	c.rec.add(c.name, "sends %s: %s", id, text)
	a, err := conn.query(id, text)
	if err != nil {
		c.rec.add(c.name, "%s has no complete answer: %v", id, err)
		return err
	}
	c.rec.add(c.name, "%s is answered: %s", id, a)
	return nil
}
