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
	// confirmWait is how long one call waits for a replica to reach a position.
	// The call to a lagging replica is repeated.
	confirmWait = time.Second
	// confirmTimeout is the timeout of a call, in addition to its wait for a
	// position.
	confirmTimeout = 500 * time.Millisecond
	// confirmRetryDelay is the delay before the next call after a failed one.
	confirmRetryDelay = 20 * time.Millisecond
	// holdBackAfter is how long confirmations may wait without an answer from any
	// replica before new batches are held back. It is far above a round trip
	// between data centres (9 ms) and far below the duration of a promotion.
	holdBackAfter = 250 * time.Millisecond
	// holdBackTimeout is how long a batch is held back until a replica answers.
	// Then it is refused, and the entry looks for another primary.
	holdBackTimeout = 300 * time.Millisecond
)

// confirmer waits until replicas have reached log positions of a database while
// it is primary. Each replica has at most one outstanding call that waits for a
// position and one that verifies the term; a call serves all waiters that were
// registered before it started.
type confirmer struct {
	db       *ownedDatabase
	sequence atomic.Uint64
	// unansweredSince is the time since which waiters exist and no replica has
	// answered, in nanoseconds of the pool's clock; 0: no such time.
	unansweredSince atomic.Int64
	// failingSince is the start of the first in the current series of calls that
	// no owner in the replica's data centre answered; 0: the latest call was
	// answered. lastCallEnd is the end of the latest call. Both are nanoseconds of
	// the pool's clock.
	failingSince, lastCallEnd atomic.Int64

	mu      sync.Mutex
	tracker *confirm.Tracker
	peers   *[]peerDatabase // for which tracker was created
	waiters []*confirmWaiter
	running map[callKey]bool
}

type confirmWaiter struct {
	confirm.Requirement
	state chan confirm.State
}

// callKey identifies a kind of call to a replica.
type callKey struct {
	replica string
	verify  bool
}

func newConfirmer(d *ownedDatabase) *confirmer {
	return &confirmer{db: d, running: make(map[callKey]bool)}
}

// beginVerifiedRead returns the sequence number of a read that starts now and
// needs verification. The calls to the replicas run concurrently with the read.
func (c *confirmer) beginVerifiedRead() uint64 {
	readSequence := c.sequence.Add(1)
	state, _ := c.db.currentState()
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.reachable && state.status.Role == backend.RolePrimary && c.checkLocked(state.status.Term, confirm.Requirement{VerifyAfter: readSequence}) == confirm.Pending {
		for _, p := range *c.peers {
			c.startCallLocked(p, state.status.Term, 0, true)
		}
	}
	return readSequence
}

// wait waits until a requirement of the primary at term is confirmed or
// superseded. It returns confirm.Pending if ctx ends first.
func (c *confirmer) wait(ctx context.Context, term uint64, w confirm.Requirement) confirm.State {
	c.mu.Lock()
	if v := c.checkLocked(term, w); v != confirm.Pending {
		c.mu.Unlock()
		return v
	}
	cw := &confirmWaiter{Requirement: w, state: make(chan confirm.State, 1)}
	c.waiters = append(c.waiters, cw)
	c.unansweredSince.CompareAndSwap(0, c.db.pool.cfg.Clock.Now().UnixNano())
	c.startCallsLocked()
	c.mu.Unlock()
	select {
	case v := <-cw.state:
		return v
	case <-ctx.Done():
	case <-c.db.ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.waiters {
		if other == cw {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			return confirm.Pending
		}
	}
	return <-cw.state // the state was sent as ctx ended
}

// awaitReplica holds a batch back until a replica reports the primary's term, if
// no replica has answered for holdBackAfter or if the sender knows of a higher
// term. It returns false if that does not happen within holdBackTimeout. A batch
// that runs on a replaced primary ends with an unknown outcome, whereas one that
// was held back did not run and can be sent to the new primary. A higher term of
// the sender is no reason to refuse the batch at once: the candidate of that term
// may not have reached a majority.
func (c *confirmer) awaitReplica(ctx context.Context, termHint uint64) bool {
	state, _ := c.db.currentState()
	unanswered := c.unansweredSince.Load()
	answered := unanswered == 0 || c.db.pool.cfg.Clock.Now().UnixNano()-unanswered < holdBackAfter.Nanoseconds()
	if answered && termHint <= state.status.Term {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, holdBackTimeout)
	defer cancel()
	return c.wait(ctx, state.status.Term, confirm.Requirement{VerifyAfter: c.sequence.Add(1)}) == confirm.Confirmed
}

func (c *confirmer) checkLocked(term uint64, w confirm.Requirement) confirm.State {
	peers := c.db.peers.Load()
	if c.tracker == nil || c.tracker.Term() < term || !sameMembers(*c.peers, *peers) {
		for _, old := range c.waiters {
			old.state <- confirm.Superseded
		}
		c.waiters = nil
		c.tracker = confirm.New(term, len(*peers)+1)
	}
	c.peers = peers
	if term < c.tracker.Term() {
		return confirm.Superseded
	}
	return c.tracker.Check(w)
}

// sameMembers reports whether two lists hold the same databases. A report of a
// former member must not count towards a majority.
func sameMembers(a, b []peerDatabase) bool {
	return slices.EqualFunc(a, b, func(x, y peerDatabase) bool { return x.name == y.name })
}

// startCallsLocked starts the calls that the waiters need and that are not running.
func (c *confirmer) startCallsLocked() {
	if len(c.waiters) == 0 {
		return
	}
	var needs confirm.RequiredReports
	for _, w := range c.waiters {
		needs = c.tracker.AddRequired(needs, w.Requirement)
	}
	term := c.tracker.Term()
	for _, p := range *c.peers {
		if needs.Offset > 0 {
			c.startCallLocked(p, term, needs.Offset, false)
		}
		if needs.Verify {
			c.startCallLocked(p, term, 0, true)
		}
	}
}

func (c *confirmer) startCallLocked(p peerDatabase, term, offset uint64, verify bool) {
	key := callKey{p.name, verify}
	if c.running[key] {
		return
	}
	call := uint64(0)
	if verify {
		call = c.sequence.Add(1)
	}
	position := backend.Position{Term: term, Offset: offset}
	began := c.db.pool.cfg.Clock.Now()
	c.running[key] = c.db.spawn(func() {
		s, ok, answered := c.db.peerStatus(c.db.ctx, p, position)
		c.recordCall(began, answered)
		c.handleResult(key, call, s, ok)
	})
}

// maxFailureGap is the longest time between the ends of two failed calls of one
// series. A call that waits for a position at two owners takes up to 3 s.
const maxFailureGap = 4 * time.Second

// recordCall records whether a call was answered from the replica's data centre.
func (c *confirmer) recordCall(began time.Time, answered bool) {
	now := c.db.pool.cfg.Clock.Now()
	switch {
	case answered:
		c.failingSince.Store(0)
	case c.failingSince.Load() == 0 || now.UnixNano()-c.lastCallEnd.Load() > maxFailureGap.Nanoseconds():
		c.failingSince.Store(began.UnixNano())
	}
	c.lastCallEnd.Store(now.UnixNano())
}

// replicasUnreachableFor returns how long calls to the replicas have failed without
// an answer in between, or 0 if no call ended within maxFailureGap.
func (c *confirmer) replicasUnreachableFor() time.Duration {
	failingSince, lastCallEnd := c.failingSince.Load(), c.lastCallEnd.Load()
	if failingSince == 0 || c.db.pool.cfg.Clock.Now().UnixNano()-lastCallEnd > maxFailureGap.Nanoseconds() {
		return 0
	}
	return time.Duration(lastCallEnd - failingSince)
}

// handleResult reports the result of a call to the tracker and the waiters, and
// starts the next call if one is needed.
func (c *confirmer) handleResult(key callKey, call uint64, s backend.Status, ok bool) {
	if !ok {
		c.db.sleep(confirmRetryDelay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.tracker.Report(key.replica, call, s)
		kept := c.waiters[:0]
		for _, w := range c.waiters {
			if v := c.tracker.Check(w.Requirement); v != confirm.Pending {
				w.state <- v
				continue
			}
			kept = append(kept, w)
		}
		clear(c.waiters[len(kept):])
		c.waiters = kept
		c.unansweredSince.Store(0)
		if len(c.waiters) > 0 {
			c.unansweredSince.Store(c.db.pool.cfg.Clock.Now().UnixNano())
		}
	}
	delete(c.running, key)
	if c.db.ctx.Err() == nil {
		c.startCallsLocked()
	}
}

// peerStatus returns the status of another database of the group once it has
// reached position, or for offset 0 a status that was read after the call began.
// It tries the owners in order. ok is false if none returned a status. answered
// is true if an owner in the database's data centre answered at all: the network
// path works then, and an unreachable database has itself failed.
func (d *ownedDatabase) peerStatus(ctx context.Context, p peerDatabase, position backend.Position) (s backend.Status, ok, answered bool) {
	req := &wire.ConfirmRequest{
		Group: d.group, Database: p.name,
		Position: wire.NewPosition(position), WaitMs: confirmWait.Milliseconds(),
	}
	timeout := confirmTimeout
	if position.Offset > 0 {
		timeout += confirmWait
	}
	for _, owner := range p.owners {
		resp, err := d.callOwner(ctx, owner, req, timeout)
		answered = answered || (err == nil && owner.DataCentre == p.dataCentre)
		if err == nil && resp.GetFailure() == nil && resp.GetStatus().GetReachable() && resp.GetStatus().GetDatabase() == p.name {
			return wire.StatusOf(resp.GetStatus()), true, true
		}
	}
	return backend.Status{}, false, answered
}

func (d *ownedDatabase) callOwner(ctx context.Context, owner ownership.Instance, req *wire.ConfirmRequest, timeout time.Duration) (*wire.ConfirmResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if owner.Name == d.pool.cfg.Directory.Self().Name {
		return d.pool.Confirm(ctx, req)
	}
	return d.pool.cfg.Clients.Pool(owner.Address).Confirm(ctx, req)
}
