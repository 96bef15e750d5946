package wire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits waits that end much sooner unless the test fails.
const testTimeout = 30 * time.Second

// countingListener counts the bytes that its connections carry.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
	last  atomic.Pointer[countingConn]
}

type countingConn struct {
	*net.TCPConn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countingConn{c.(*net.TCPConn), l}
	l.last.Store(counted)
	return counted, nil
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func hasKeepAlive(t *testing.T, c syscall.Conn) bool {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var on int
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		on, optErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
	}); err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
	return on != 0
}

// Guards against traffic on idle connections (pings, probes, TCP keep-alives),
// which adds up with thousands of peers.
func TestIdleConnectionSendsNothing(t *testing.T) {
	l := &countingListener{Listener: listenLoopback(t)}
	s := NewServer(nil, nil, statusServer{})
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c := NewClients(nil)
	defer c.Close()
	address := l.Addr().String()
	if _, err := c.Admin(address).Status(t.Context(), &StatusRequest{}); err != nil {
		t.Fatal(err)
	}
	settled := l.bytes.Load()
	for range 50 { // acknowledgements of the first call follow it
		time.Sleep(100 * time.Millisecond)
		now := l.bytes.Load()
		if now == settled {
			break
		}
		settled = now
	}
	time.Sleep(3 * readIdleTimeout)
	if sent := l.bytes.Load() - settled; sent != 0 {
		t.Errorf("%d bytes in %s on an idle connection", sent, 3*readIdleTimeout)
	}
	if hasKeepAlive(t, l.last.Load()) {
		t.Error("the server's connection sends TCP keep-alives")
	}
	first := c.get(address).transports[0]
	first.mu.Lock()
	defer first.mu.Unlock()
	if len(first.conns) != 1 {
		t.Errorf("%d connections, want 1", len(first.conns))
	}
	for conn := range first.conns {
		if hasKeepAlive(t, conn.Conn.(*net.TCPConn)) {
			t.Error("the client's connection sends TCP keep-alives")
		}
	}
}

// waitingPool answers Execute when its context ends or after delay.
type waitingPool struct {
	Pool
	delay   time.Duration
	started chan struct{}
}

func (p waitingPool) Execute(ctx context.Context, req *ExecuteRequest) (*ExecuteResponse, error) {
	p.started <- struct{}{}
	select {
	case <-time.After(p.delay):
		return &ExecuteResponse{RequestId: req.GetRequestId()}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against aborting a slow call although its peer answers probes.
func TestSlowCallIsNotAborted(t *testing.T) {
	l := serveFreezable(t, waitingPool{delay: 3 * (readIdleTimeout + probeTimeout), started: make(chan struct{}, 1)})
	c := NewClients(nil)
	defer c.Close()
	if _, err := c.Pool(l.Addr().String()).Execute(t.Context(), &ExecuteRequest{}); err != nil {
		t.Fatal(err)
	}
}

// outstandingCall starts a call, waits until the server runs it and returns a
// channel that receives the call's error.
func outstandingCall(ctx context.Context, pool Pool, started <-chan struct{}) <-chan error {
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Execute(ctx, &ExecuteRequest{})
		failed <- err
	}()
	<-started
	return failed
}

// Guards against callers that wait until their deadlines after the peer was
// declared dead.
func TestForgetFailsOutstandingCalls(t *testing.T) {
	started := make(chan struct{}, 2)
	l := serveFreezable(t, waitingPool{delay: 2 * testTimeout, started: started})
	c := NewClients(nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	address := l.Addr().String()
	urgent := outstandingCall(ctx, c.Pool(address), started)
	bulk := outstandingCall(ctx, c.BulkPool(address), started)
	c.Forget(address)
	for _, failed := range []<-chan error{urgent, bulk} {
		if err := <-failed; err == nil || ctx.Err() != nil || isDialError(err) {
			t.Errorf("error %v, want a failed call before the deadline", err)
		}
	}
}

// Guards against a probe that is blocked by the calls it supervises: the peer stops
// reading and the send buffer is full.
func TestCallsOnFullConnectionFail(t *testing.T) {
	l := serveFreezable(t, echoPool{})
	c := NewClients(nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	pool := c.BulkPool(l.Addr().String())
	if _, err := pool.Execute(ctx, &ExecuteRequest{}); err != nil {
		t.Fatal(err)
	}
	l.freeze()
	const calls = 50
	failed := make(chan error, calls)
	for range calls {
		go func() {
			_, err := pool.Execute(ctx, &ExecuteRequest{Batch: make([]byte, 1<<20)})
			failed <- err
		}()
	}
	for range calls {
		if err := <-failed; err == nil || ctx.Err() != nil {
			t.Fatalf("error %v, want a failed call before the deadline", err)
		}
	}
}

const serveEnv = "GERANIUMBEAM_TEST_SERVE"

// TestServeForOtherTest is the process that TestSuspendedPeerFailsOutstandingCalls
// suspends.
func TestServeForOtherTest(t *testing.T) {
	if os.Getenv(serveEnv) == "" {
		return
	}
	started := make(chan struct{}, 1)
	l := listenLoopback(t)
	s := NewServer(waitingPool{delay: 2 * testTimeout, started: started}, nil, statusServer{})
	go func() { _ = s.Serve(l) }()
	fmt.Printf("listening %s\n", l.Addr())
	select {
	case <-started:
	case <-time.After(testTimeout): // the parent ended
		return
	}
	fmt.Println("started")
	_, _ = os.Stdin.Read(make([]byte, 1)) // until the parent ends
}

// Guards against calls that wait until their deadlines while the peer's process is
// suspended: its kernel still accepts connections and acknowledges data.
func TestSuspendedPeerFailsOutstandingCalls(t *testing.T) {
	cmd := exec.Command(os.Args[0], "-test.run=^TestServeForOtherTest$")
	cmd.Env = append(os.Environ(), serveEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	lines := bufio.NewScanner(out)
	lines.Scan()
	address, ok := strings.CutPrefix(lines.Text(), "listening ")
	if !ok {
		t.Fatalf("the server printed %q", lines.Text())
	}
	c := NewClients(nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	started := make(chan struct{})
	go func() {
		defer close(started)
		lines.Scan()
	}()
	failed := outstandingCall(ctx, c.Pool(address), started)
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if err := <-failed; err == nil || ctx.Err() != nil || isDialError(err) {
		t.Fatalf("error %v, want a failed call before the deadline", err)
	}
	t.Logf("call failed after %s", time.Since(began))
	if _, err := c.Admin(address).Status(ctx, &StatusRequest{}); !isDialError(err) {
		t.Errorf("error %v of a call to a suspended peer is not a dial error", err)
	}
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for ctx.Err() == nil {
		if _, err = c.Admin(address).Status(ctx, &StatusRequest{}); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("no call succeeded after the peer was resumed: %v", err)
}
