package entry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"geraniumbeam/internal/wire"
)

// cancelTimeout bounds the call that passes a cancellation on.
const cancelTimeout = 2 * time.Second

// flight is a request that is being run. The cancellation of a caller reaches
// it from another goroutine.
type flight struct {
	id     string
	cancel chan struct{} // closed by a cancellation

	mu   sync.Mutex
	pool wire.Pool // that the request was last sent to
	req  *wire.ExecuteRequest
	done bool // cancel is closed
}

func newFlight(id string) *flight { return &flight{id: id, cancel: make(chan struct{})} }

func (f *flight) cancelled() bool {
	select {
	case <-f.cancel:
		return true
	default:
		return false
	}
}

// sending notes what is sent to which pool.
func (f *flight) sending(pool wire.Pool, req *wire.ExecuteRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool, f.req = pool, req
}

func (f *flight) matches(resp *wire.ExecuteResponse) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return wire.Matches(f.req, resp)
}

func (f *flight) stop() wire.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.done {
		f.done = true
		close(f.cancel)
	}
	return f.pool
}

// cancelRequest handles a CancelRequest packet. As in PostgreSQL it gets no
// answer, and a wrong key is ignored.
func (s *Server) cancelRequest(body []byte) {
	if len(body) != 12 {
		return
	}
	pid, secret := binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:])
	s.mu.Lock()
	c := s.callers[pid]
	s.mu.Unlock()
	if c == nil || c.secret != secret {
		return
	}
	f := c.inFlight.Load()
	if f == nil {
		return
	}
	pool := f.stop()
	if pool == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := pool.Cancel(ctx, &wire.CancelRequest{RequestId: f.id}); err != nil {
		s.cfg.Log.Info().Err(err).Str("request", f.id).Msg("Cancellation did not reach the pool.")
	}
}
