package failover

import (
	"context"
	"slices"
	"time"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/platform"
)

// controlConn is a control connection that is opened on first use.
type controlConn struct {
	db   platform.Database
	open func(platform.Database) backend.Database
	ctl  backend.ControlConn
}

// call runs f on the connection. After an error the next call reconnects.
func (conn *controlConn) call(ctx context.Context, f func(backend.ControlConn) (backend.Status, error)) (backend.Status, error) {
	if conn.ctl == nil {
		c, err := conn.open(conn.db).ConnectControl(ctx)
		if err != nil {
			return backend.Status{}, err
		}
		conn.ctl = c
	}
	s, err := f(conn.ctl)
	if err != nil {
		conn.close()
	}
	return s, err
}

func (conn *controlConn) close() {
	if conn.ctl != nil {
		conn.ctl.Close()
		conn.ctl = nil
	}
}

// reply is the answer of one database.
type reply struct {
	conn   *controlConn
	status backend.Status
	err    error
}

// gather runs f on all connections concurrently. It returns the successful
// replies, by database, when all databases have answered, grace after the
// required number of calls has succeeded, or when ctx ends. The database named
// failed is not expected to answer: gather does not wait for it once it has the
// required replies. Connections whose reply comes later are closed and must not
// be used again.
func (m *Manager) gather(ctx context.Context, conns []*controlConn, required int, grace time.Duration, failed string,
	f func(context.Context, backend.ControlConn) (backend.Status, error),
) map[string]reply {
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan reply, len(conns))
	for _, conn := range conns {
		m.goroutines.Go(func() {
			s, err := conn.call(ctx, func(c backend.ControlConn) (backend.Status, error) { return f(ctx, c) })
			replies <- reply{conn, s, err}
		})
	}
	out := make(map[string]reply)
	received, pending := 0, len(conns)
	if slices.ContainsFunc(conns, func(conn *controlConn) bool { return conn.db.Name == failed }) {
		pending--
	}
	defer func() {
		cancel()
		m.goroutines.Go(func() {
			for ; received < len(conns); received++ {
				(<-replies).conn.close()
			}
		})
	}()
	var graceOver <-chan time.Time
	for received < len(conns) && (pending > 0 || len(out) < required) {
		select {
		case r := <-replies:
			received++
			if r.conn.db.Name != failed {
				pending--
			}
			if r.err == nil {
				out[r.conn.db.Name] = r
			}
			if len(out) == required {
				graceOver = m.cfg.Clock.After(grace)
			}
		case <-graceOver:
			return out
		case <-ctx.Done():
			return out
		}
	}
	return out
}
