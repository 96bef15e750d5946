package pool

import (
	"context"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

// running is a request between its arrival and its answer, for Cancel. It is
// guarded by the unit's lock.
type running struct {
	stop      context.CancelFunc
	conn      backend.Conn // set while a batch is at the database
	sent      bool
	cancelled bool
}

// register makes a request known to Cancel. A second request with the id of a
// running one is a duplicate of a message, and is refused.
func (u *unit) register(id string, r *running) error {
	if id == "" {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[id] != nil {
		return result.Errorf(result.ProtocolViolation, "request %s is running", id).WithRan(result.RanUnknown)
	}
	u.running[id] = r
	return nil
}

func (u *unit) unregister(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, id)
}

// enterDatabase records that conn runs the request. It returns false if the
// request was cancelled before.
func (u *unit) enterDatabase(r *running, conn backend.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.cancelled && !r.sent {
		return false
	}
	r.conn, r.sent = conn, true
	return true
}

func (u *unit) leaveDatabase(r *running) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.conn = nil
}

func (u *unit) wasCancelled(r *running) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return r.cancelled
}

// cancelRequest cancels a request that waits or that is at the database.
func (u *unit) cancelRequest(ctx context.Context, id string) {
	u.mu.Lock()
	r := u.running[id]
	if r == nil || (r.sent && r.conn == nil) {
		u.mu.Unlock()
		return
	}
	r.cancelled = true
	conn, stop := r.conn, r.stop
	u.mu.Unlock()
	if conn == nil {
		stop()
		return
	}
	if err := conn.Cancel(ctx); err != nil {
		u.pool.cfg.Log.Warn().Err(err).Str("database", u.db.Name).Str("request", id).Msg("Cancel failed.")
	}
}
