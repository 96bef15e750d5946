package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection over loopback.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func raw(t *testing.T, c *net.TCPConn) syscall.RawConn {
	t.Helper()
	r, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func awaitState(t *testing.T, r syscall.RawConn, want State) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); Peek(r) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %d, want %d", Peek(r), want)
		}
	}
}

// Guards against a peer that is taken for disconnected because it has sent data, against a
// closed or reset connection that is not noticed, and against a look that consumes data,
// blocks or depends on the read deadline.
func TestPeek(t *testing.T) {
	near, far := pair(t)
	r := raw(t, near)
	if err := near.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	awaitState(t, r, Quiet)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, r, Readable)
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if n, err := near.Read(make([]byte, 4)); n != 1 || err != nil {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	awaitState(t, r, Quiet)
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	awaitState(t, r, Closed)

	near, far = pair(t)
	if err := Reset(far); err != nil {
		t.Fatal(err)
	}
	awaitState(t, raw(t, near), Closed)
	if err := near.Close(); err != nil {
		t.Fatal(err)
	}
	awaitState(t, raw(t, near), Closed)
}
