package pool

import (
	"context"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/result"
)

// activeRequest is a request that has not been answered yet and can be cancelled.
// The lock of its database guards it.
type activeRequest struct {
	cancel    context.CancelFunc
	conn      backend.Conn // set while it runs a batch
	sent      bool
	cancelled bool
}

// registerRequest makes a request cancellable. It refuses a request with the id of
// an active one, which is a duplicate of the same message.
func (d *ownedDatabase) registerRequest(id string, r *activeRequest) error {
	if id == "" {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[id] != nil {
		return result.Errorf(result.ProtocolViolation, "request %s is a duplicate of one that is being executed", id).WithRan(result.RanUnknown)
	}
	d.active[id] = r
	return nil
}

func (d *ownedDatabase) unregisterRequest(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, id)
}

// beginBatch records that conn runs a batch of the request. It returns false if the
// request was cancelled before its first batch.
func (d *ownedDatabase) beginBatch(r *activeRequest, conn backend.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.cancelled && !r.sent {
		return false
	}
	r.conn, r.sent = conn, true
	return true
}

func (d *ownedDatabase) endBatch(r *activeRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.conn = nil
}

func (d *ownedDatabase) wasCancelled(r *activeRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return r.cancelled
}

// cancelRequest cancels a request that waits or runs a batch.
func (d *ownedDatabase) cancelRequest(ctx context.Context, id string) {
	d.mu.Lock()
	r := d.active[id]
	if r == nil || (r.sent && r.conn == nil) {
		d.mu.Unlock()
		return
	}
	r.cancelled = true
	conn, stop := r.conn, r.cancel
	d.mu.Unlock()
	if conn == nil {
		stop()
		return
	}
	if err := conn.Cancel(ctx); err != nil {
		d.pool.cfg.Log.Warn().Err(err).Str("database", d.info.Name).Str("request", id).Msg("Cannot cancel the request at the database.")
	}
}
