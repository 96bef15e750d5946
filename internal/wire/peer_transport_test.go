package wire

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// freezableListener can stop reading from the connections accepted so far.
// Connections accepted later are read.
type freezableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*freezableConn
}

type freezableConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
	frozen chan struct{} // closed when frozen
}

func (l *freezableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	f := &freezableConn{Conn: c, closed: make(chan struct{}), frozen: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, f)
	return f, nil
}

// freeze stops reading from all open connections and returns their number.
func (l *freezableListener) freeze() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.frozen)
	}
	return len(l.conns)
}

func (c *freezableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.frozen:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *freezableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type echoPool struct{ Pool }

func (echoPool) Execute(_ context.Context, req *ExecuteRequest) (*ExecuteResponse, error) {
	return &ExecuteResponse{RequestId: req.GetRequestId(), Sequence: req.GetSequence()}, nil
}

func (echoPool) Cancel(context.Context, *CancelRequest) (*CancelResponse, error) {
	return &CancelResponse{}, nil
}

func serveFreezable(t *testing.T, pool Pool) *freezableListener {
	t.Helper()
	l := &freezableListener{Listener: listenLoopback(t)}
	s := NewServer(pool, nil, statusServer{})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return l
}

// Guards against urgent calls and cancellations that are delayed by other work:
// the server stops reading the connection that carries the bulk calls.
func TestUrgentCallDoesNotWaitBehindBulkCalls(t *testing.T) {
	l := serveFreezable(t, echoPool{})
	c := NewClients(nil)
	defer c.Close()
	address := l.Addr().String()
	if _, err := c.BulkPool(address).Execute(t.Context(), &ExecuteRequest{RequestId: "first"}); err != nil {
		t.Fatal(err)
	}
	if n := l.freeze(); n != 1 {
		t.Fatalf("%d connections are open, want 1: the bulk connection", n)
	}
	var outstanding sync.WaitGroup
	defer outstanding.Wait()
	bulk, stop := context.WithCancel(t.Context())
	defer stop()
	for range 100 {
		outstanding.Go(func() {
			_, _ = c.BulkPool(address).Execute(bulk, &ExecuteRequest{Batch: make([]byte, 100<<10)})
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if _, err := c.Pool(address).Execute(ctx, &ExecuteRequest{RequestId: "urgent"}); err != nil {
		t.Errorf("urgent call: %v", err)
	}
	if _, err := c.BulkPool(address).Cancel(ctx, &CancelRequest{RequestId: "x"}); err != nil {
		t.Errorf("cancellation: %v", err)
	}
}
