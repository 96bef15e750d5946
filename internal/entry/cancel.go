package entry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"geraniumbeam/internal/wire"
)

// cancelTimeout limits the call that forwards a cancellation to the pool.
const cancelTimeout = 2 * time.Second

// inFlightRequest is a request that is being run. A CancelRequest reaches it from
// the goroutine of another connection.
type inFlightRequest struct {
	id     string
	cancel chan struct{} // closed by a cancellation

	mu           sync.Mutex
	pool         wire.Pool // to which the request was last sent
	req          *wire.ExecuteRequest
	cancelClosed bool // the channel is closed
}

func newInFlightRequest(id string) *inFlightRequest {
	return &inFlightRequest{id: id, cancel: make(chan struct{})}
}

func (f *inFlightRequest) cancelled() bool {
	select {
	case <-f.cancel:
		return true
	default:
		return false
	}
}

// setSent stores what is sent and to which pool.
func (f *inFlightRequest) setSent(pool wire.Pool, req *wire.ExecuteRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool, f.req = pool, req
}

func (f *inFlightRequest) matches(resp *wire.ExecuteResponse) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return wire.Matches(f.req, resp)
}

func (f *inFlightRequest) requestCancel() wire.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cancelClosed {
		f.cancelClosed = true
		close(f.cancel)
	}
	return f.pool
}

// cancelRequest handles a CancelRequest packet. As in PostgreSQL, it gets no
// answer and a wrong secret key is ignored.
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
	pool := f.requestCancel()
	if pool == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := pool.Cancel(ctx, &wire.CancelRequest{RequestId: f.id}); err != nil {
		s.cfg.Log.Info().Err(err).Str("request", f.id).Msg("The cancellation of a request could not be forwarded to its pool.")
	}
}
