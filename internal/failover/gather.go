package failover

import (
	"context"
	"slices"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
)

// handle is a control connection that is opened when it is first used.
type handle struct {
	db   platform.Database
	open func(platform.Database) backend.Database
	ctl  backend.Control
}

// do runs f on the connection. After an error the next call opens a new one.
func (h *handle) do(ctx context.Context, f func(backend.Control) (backend.Status, error)) (backend.Status, error) {
	if h.ctl == nil {
		c, err := h.open(h.db).Control(ctx)
		if err != nil {
			return backend.Status{}, err
		}
		h.ctl = c
	}
	s, err := f(h.ctl)
	if err != nil {
		h.close()
	}
	return s, err
}

func (h *handle) close() {
	if h.ctl != nil {
		h.ctl.Close()
		h.ctl = nil
	}
}

// reply is the answer of one database.
type reply struct {
	h      *handle
	status backend.Status
	err    error
}

// gather runs f on all handles at once. It returns the successful replies once
// all have answered, or grace after need of them succeeded, or with ctx. The
// database lost is expected not to answer: with need replies it is not waited
// for. Handles that answer later are closed and must not be used again.
func (r *Manager) gather(ctx context.Context, handles []*handle, need int, grace time.Duration, lost string,
	f func(context.Context, backend.Control) (backend.Status, error),
) map[string]reply {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan reply, len(handles))
	for _, h := range handles {
		r.running.Go(func() {
			s, err := h.do(ctx, func(c backend.Control) (backend.Status, error) { return f(ctx, c) })
			answers <- reply{h, s, err}
		})
	}
	out := make(map[string]reply)
	received, waiting := 0, len(handles)
	if slices.ContainsFunc(handles, func(h *handle) bool { return h.db.Name == lost }) {
		waiting--
	}
	defer func() {
		cancel()
		r.running.Go(func() {
			for ; received < len(handles); received++ {
				(<-answers).h.close()
			}
		})
	}()
	var enough <-chan time.Time
	for received < len(handles) && (waiting > 0 || len(out) < need) {
		select {
		case a := <-answers:
			received++
			if a.h.db.Name != lost {
				waiting--
			}
			if a.err == nil {
				out[a.h.db.Name] = a
			}
			if len(out) == need {
				enough = r.cfg.Clock.After(grace)
			}
		case <-enough:
			return out
		case <-ctx.Done():
			return out
		}
	}
	return out
}
