package pool

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/confirm"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/wire"
)

const (
	// confirmWait is how long one call to a replica waits for a position. A
	// lagging replica is asked again.
	confirmWait = time.Second
	// confirmTimeout bounds a call beyond its own wait.
	confirmTimeout = 500 * time.Millisecond
	// confirmPause separates calls after one that failed.
	confirmPause = 20 * time.Millisecond
	// doubtAfter is how long waits may go without any answer of a replica before
	// new batches are held back. It is far above a round trip between data
	// centres (9 ms) and far below the time that a promotion takes.
	doubtAfter = 250 * time.Millisecond
	// doubtWait is how long a held back batch waits for a replica. After that
	// the entry looks for another primary.
	doubtWait = 300 * time.Millisecond
)

// confirmer waits for replicas to hold positions of the unit's database while
// it is primary. Each replica has at most one outstanding call that waits for a
// position and one that verifies the term; a call covers all waits that began
// before it.
type confirmer struct {
	u        *unit
	sequence atomic.Uint64
	// silent is when waits began without an answer of a replica since, in
	// nanoseconds of the pool's clock, or 0.
	silent atomic.Int64
	// failing is when the first of the latest calls began that nobody in a
	// replica's data centre answered, and failed when the last of them ended, in
	// nanoseconds of the pool's clock, or 0.
	failing, failed atomic.Int64

	mu      sync.Mutex
	tracker *confirm.Tracker
	peers   *[]peer // that the tracker was made for
	waits   []*confirmWaiter
	busy    map[callKey]bool
}

type confirmWaiter struct {
	confirm.Requirement
	verdict chan confirm.State
}

// callKey names a kind of call to a replica.
type callKey struct {
	replica string
	verify  bool
}

func newConfirmer(u *unit) *confirmer {
	return &confirmer{u: u, busy: make(map[callKey]bool)}
}

// beginVerified returns the sequence number of a read that begins now and has
// to be verified. The calls to the replicas start at once, while the read runs.
func (c *confirmer) beginVerified() uint64 {
	read := c.sequence.Add(1)
	seen, _ := c.u.look()
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen.known && seen.status.Role == backend.RolePrimary && c.checkLocked(seen.status.Term, confirm.Requirement{VerifyAfter: read}) == confirm.Pending {
		for _, p := range *c.peers {
			c.startLocked(p, seen.status.Term, 0, true)
		}
	}
	return read
}

// wait returns the verdict on a position of the primary at term. It returns
// confirm.Pending if ctx ends first.
func (c *confirmer) wait(ctx context.Context, term uint64, w confirm.Requirement) confirm.State {
	c.mu.Lock()
	if v := c.checkLocked(term, w); v != confirm.Pending {
		c.mu.Unlock()
		return v
	}
	cw := &confirmWaiter{Requirement: w, verdict: make(chan confirm.State, 1)}
	c.waits = append(c.waits, cw)
	c.silent.CompareAndSwap(0, c.u.pool.cfg.Clock.Now().UnixNano())
	c.callLocked()
	c.mu.Unlock()
	select {
	case v := <-cw.verdict:
		return v
	case <-ctx.Done():
	case <-c.u.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.waits {
		if other == cw {
			c.waits = append(c.waits[:i], c.waits[i+1:]...)
			return confirm.Pending
		}
	}
	return <-cw.verdict // settled at the same moment
}

// reachable waits for a replica at the primary's term if none answered lately or
// if the sender knows of a higher term. A batch that is sent to a replaced
// primary could only end with an unknown outcome; held back, it is not run and
// can be sent to the next primary. The sender's term alone decides nothing: its
// candidate may not have reached a majority.
func (c *confirmer) reachable(ctx context.Context, hint uint64) bool {
	seen, _ := c.u.look()
	silent := c.silent.Load()
	answered := silent == 0 || c.u.pool.cfg.Clock.Now().UnixNano()-silent < doubtAfter.Nanoseconds()
	if answered && hint <= seen.status.Term {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, doubtWait)
	defer cancel()
	return c.wait(ctx, seen.status.Term, confirm.Requirement{VerifyAfter: c.sequence.Add(1)}) == confirm.Confirmed
}

func (c *confirmer) checkLocked(term uint64, w confirm.Requirement) confirm.State {
	peers := c.u.peers.Load()
	if c.tracker == nil || c.tracker.Term() < term || !samePeers(*c.peers, *peers) {
		for _, old := range c.waits {
			old.verdict <- confirm.Superseded
		}
		c.waits = nil
		c.tracker = confirm.New(term, len(*peers)+1)
	}
	c.peers = peers
	if term < c.tracker.Term() {
		return confirm.Superseded
	}
	return c.tracker.Check(w)
}

// samePeers reports whether the group has the same members. A report of a former
// member counts for no majority.
func samePeers(a, b []peer) bool {
	return slices.EqualFunc(a, b, func(x, y peer) bool { return x.name == y.name })
}

// callLocked starts the calls that the waits need and that are not running.
func (c *confirmer) callLocked() {
	if len(c.waits) == 0 {
		return
	}
	var needs confirm.RequiredReports
	for _, w := range c.waits {
		needs = c.tracker.AddRequired(needs, w.Requirement)
	}
	term := c.tracker.Term()
	for _, p := range *c.peers {
		if needs.Offset > 0 {
			c.startLocked(p, term, needs.Offset, false)
		}
		if needs.Verify {
			c.startLocked(p, term, 0, true)
		}
	}
}

func (c *confirmer) startLocked(p peer, term, offset uint64, verify bool) {
	key := callKey{p.name, verify}
	if c.busy[key] {
		return
	}
	call := uint64(0)
	if verify {
		call = c.sequence.Add(1)
	}
	position := backend.Position{Term: term, Offset: offset}
	began := c.u.pool.cfg.Clock.Now()
	c.busy[key] = c.u.spawn(func() {
		s, ok, heard := c.u.ask(c.u.ctx, p, position)
		c.count(began, heard)
		c.report(key, call, s, ok)
	})
}

// failedTogether is the longest time between the ends of two failed calls that
// belong together. A call that waits for a position at two owners takes 3 s.
const failedTogether = 4 * time.Second

// count notes whether a call was answered from the replica's data centre.
func (c *confirmer) count(began time.Time, heard bool) {
	now := c.u.pool.cfg.Clock.Now()
	switch {
	case heard:
		c.failing.Store(0)
	case c.failing.Load() == 0 || now.UnixNano()-c.failed.Load() > failedTogether.Nanoseconds():
		c.failing.Store(began.UnixNano())
	}
	c.failed.Store(now.UnixNano())
}

// unconfirmed returns for how long no call to a replica was answered, or 0 if
// there was no call lately.
func (c *confirmer) unconfirmed() time.Duration {
	failing, failed := c.failing.Load(), c.failed.Load()
	if failing == 0 || c.u.pool.cfg.Clock.Now().UnixNano()-failed > failedTogether.Nanoseconds() {
		return 0
	}
	return time.Duration(failed - failing)
}

// report takes the result of a call and starts the next one if it is needed.
func (c *confirmer) report(key callKey, call uint64, s backend.Status, ok bool) {
	if !ok {
		c.u.pause(confirmPause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.tracker.Report(key.replica, call, s)
		kept := c.waits[:0]
		for _, w := range c.waits {
			if v := c.tracker.Check(w.Requirement); v != confirm.Pending {
				w.verdict <- v
				continue
			}
			kept = append(kept, w)
		}
		clear(c.waits[len(kept):])
		c.waits = kept
		c.silent.Store(0)
		if len(c.waits) > 0 {
			c.silent.Store(c.u.pool.cfg.Clock.Now().UnixNano())
		}
	}
	delete(c.busy, key)
	if c.u.ctx.Err() == nil {
		c.callLocked()
	}
}

// ask returns the status of another database of the group once it reaches
// position, or for offset 0 a status that was read after the call began. It
// tries the owners in order. ok is false if none answered with a status. heard
// is true if an owner in the database's data centre answered at all: then the
// way there works, and a database that does not answer has failed.
func (u *unit) ask(ctx context.Context, p peer, position backend.Position) (s backend.Status, ok, heard bool) {
	req := &wire.ConfirmRequest{
		Group: u.group, Database: p.name,
		Position: wire.NewPosition(position), WaitMs: confirmWait.Milliseconds(),
	}
	timeout := confirmTimeout
	if position.Offset > 0 {
		timeout += confirmWait
	}
	for _, owner := range p.owners {
		resp, err := u.askOwner(ctx, owner, req, timeout)
		heard = heard || (err == nil && owner.DataCentre == p.dataCentre)
		if err == nil && resp.GetFailure() == nil && resp.GetStatus().GetReachable() && resp.GetStatus().GetDatabase() == p.name {
			return wire.StatusOf(resp.GetStatus()), true, true
		}
	}
	return backend.Status{}, false, heard
}

func (u *unit) askOwner(ctx context.Context, owner ownership.Instance, req *wire.ConfirmRequest, timeout time.Duration) (*wire.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if owner.Name == u.pool.cfg.Directory.Self().Name {
		return u.pool.Confirm(ctx, req)
	}
	return u.pool.cfg.Clients.Pool(owner.Address).Confirm(ctx, req)
}
