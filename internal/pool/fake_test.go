package pool

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"geraniumbeam/internal/backend"
)

var errConnReset = errors.New("connection reset")

// cutPoint is a step of a batch at which a fake connection can be lost.
type cutPoint string

const (
	beforeSend   cutPoint = "before send"
	afterSend    cutPoint = "after send"
	afterCommit  cutPoint = "after commit"
	duringAnswer cutPoint = "during answer"
)

// fakeDB is an in-memory backend.Database. A batch is a simple query: "write"
// advances the log; "begin", "commit" and "rollback" control a transaction; "hang"
// waits until the context ends or the request is cancelled.
type fakeDB struct {
	name string

	mu              sync.Mutex
	status          backend.Status
	changed         chan struct{}
	down            bool
	cutAt           cutPoint
	afterBatch      func(db *fakeDB) // called between the batch and the status after it
	replicas        []*fakeDB        // receive every commit at once
	holdReplication bool             // commits are not replicated
	executed        []string
	openConns       int // connections
	openedConns     int // connections ever
	maxOpenConns    int
	hanging         chan struct{} // receives when a batch hangs
}

func newFakeDB(name string, s backend.Status) *fakeDB {
	return &fakeDB{name: name, status: s, changed: make(chan struct{}), hanging: make(chan struct{}, 16)}
}

// set changes the database and notifies those that wait for its status.
func (d *fakeDB) set(f func(*fakeDB)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDB) setStatus(s backend.Status) { d.set(func(d *fakeDB) { d.status = s }) }

func (d *fakeDB) get() backend.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

func (d *fakeDB) count(sql string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.executed {
		if s == sql {
			n++
		}
	}
	return n
}

func (d *fakeDB) connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openConns
}

func (d *fakeDB) Connect(ctx context.Context) (backend.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, errConnReset
	}
	d.openConns++
	d.openedConns++
	d.maxOpenConns = max(d.maxOpenConns, d.openConns)
	return &fakeConn{db: d, cancelled: make(chan struct{}, 1)}, ctx.Err()
}

func (d *fakeDB) ConnectControl(context.Context) (backend.ControlConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return nil, errConnReset
	}
	return &fakeControl{db: d}, nil
}

type fakeConn struct {
	db        *fakeDB
	tx        bool
	wrote     bool
	closed    bool
	cancelled chan struct{}
}

func (c *fakeConn) Run(ctx context.Context, b backend.Batch, after bool, _ int, sent func()) (a backend.Answer, err error) {
	sql := strings.TrimRight(string(b.Messages[5:]), "\x00")
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	c.db.mu.Lock()
	cut, down, during := c.db.cutAt, c.db.down, c.db.afterBatch
	c.db.mu.Unlock()
	if cut == beforeSend {
		return a, errConnReset
	}
	sent()
	if cut == afterSend || down {
		return a, errConnReset
	}
	a.StatusBefore = c.db.get()
	if sql == "hang" {
		c.db.hanging <- struct{}{}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-c.cancelled:
			a.SQLState, a.Messages, a.TransactionStatus = "57014", message('E', "cancelled"), statusIdle
		}
	} else {
		c.execute(sql, &a)
	}
	if cut == afterCommit || cut == duringAnswer {
		return a, errConnReset
	}
	if during != nil {
		during(c.db)
	}
	if after {
		a.StatusAfter = c.db.get()
	}
	return a, nil
}

func message(kind byte, body string) []byte {
	n := len(body) + 5
	return append([]byte{kind, 0, 0, byte(n >> 8), byte(n)}, body+"\x00"...)
}

func (c *fakeConn) execute(sql string, a *backend.Answer) {
	commit := false
	c.db.set(func(d *fakeDB) {
		d.executed = append(d.executed, sql)
		switch {
		case sql == "begin":
			c.tx = true
		case sql == "write" && d.status.Role != backend.RolePrimary:
			a.SQLState = sqlStateReadOnly
		case sql == "write" && c.tx:
			c.wrote = true
		case sql == "write":
			commit = true
		case sql == "commit", sql == "rollback":
			commit, c.tx, c.wrote = c.wrote && sql == "commit", false, false
		case sql == "commit and chain":
			commit, c.wrote = c.wrote, false
		}
		if commit {
			d.status.Last = backend.Position{Term: d.status.Term, Offset: d.status.Last.Offset + 1}
		}
	})
	if commit {
		c.db.replicate()
	}
	tag := strings.ToUpper(strings.Fields(sql)[0])
	a.Messages, a.CommandTag, a.TransactionStatus = append(message('C', tag), 'Z', 0, 0, 0, 5, 'I'), tag, statusIdle
	if c.tx {
		a.TransactionStatus = 'T'
		a.Messages[len(a.Messages)-1] = 'T'
	}
}

func (d *fakeDB) replicate() {
	d.mu.Lock()
	last, term, to, hold := d.status.Last, d.status.Term, d.replicas, d.holdReplication
	d.mu.Unlock()
	if hold {
		return
	}
	for _, r := range to {
		r.set(func(r *fakeDB) {
			if r.status.Term <= term {
				r.status.Last = last
			}
		})
	}
}

func (c *fakeConn) Cancel(context.Context) error { c.cancelled <- struct{}{}; return nil }
func (c *fakeConn) Broken() bool                 { return c.closed }

func (c *fakeConn) Close() {
	if !c.closed {
		c.closed = true
		c.db.set(func(d *fakeDB) { d.openConns-- })
	}
}

type fakeControl struct{ db *fakeDB }

func (c *fakeControl) Status(ctx context.Context) (backend.Status, error) {
	return c.Wait(ctx, backend.Position{}, 0)
}

func (c *fakeControl) Wait(ctx context.Context, p backend.Position, d time.Duration) (backend.Status, error) {
	timeout := time.After(d)
	for {
		c.db.mu.Lock()
		s, changed, down := c.db.status, c.db.changed, c.db.down
		c.db.mu.Unlock()
		if down {
			return backend.Status{}, errConnReset
		}
		if d == 0 || s.Last.Compare(p) >= 0 {
			return s, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return s, nil
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}

func (c *fakeControl) Raise(context.Context, uint64) (backend.Status, error) {
	return backend.Status{}, errConnReset
}

func (c *fakeControl) Promote(context.Context, uint64) (backend.Status, error) {
	return backend.Status{}, errConnReset
}

func (c *fakeControl) Follow(context.Context, uint64, string) (backend.Status, error) {
	return backend.Status{}, errConnReset
}
func (c *fakeControl) Close() {}
