package wire

import (
	"context"
	"errors"
	"net"
	"testing"
)

type statusServer struct{ Admin }

func (statusServer) Status(context.Context, *StatusRequest) (*StatusResponse, error) {
	return &StatusResponse{Instance: "a"}, nil
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a transport that cannot carry calls over unencrypted HTTP/2.
func TestCallOverTransport(t *testing.T) {
	l := listenLoopback(t)
	s := NewServer(nil, nil, statusServer{})
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c := NewClients(nil)
	defer c.Close()
	resp, err := c.Admin(l.Addr().String()).Status(context.Background(), &StatusRequest{})
	if err != nil || resp.GetInstance() != "a" {
		t.Fatalf("Status = %v, %v", resp, err)
	}
}

// Guards against sending a request on a connection that a middlebox accepted for
// an instance that no longer runs. It must fail as a dial error, so that the
// request counts as not run.
func TestConnectionWithoutGreetingIsDialError(t *testing.T) {
	l := listenLoopback(t)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	c := NewClients(nil)
	defer c.Close()
	_, err := c.Admin(l.Addr().String()).Status(context.Background(), &StatusRequest{})
	if !isDialError(err) {
		t.Fatalf("error %v is not a dial error", err)
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// BenchmarkCall measures one call between two instances over loopback.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(nil, nil, statusServer{})
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c := NewClients(nil)
	defer c.Close()
	admin := c.Admin(l.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := admin.Status(context.Background(), &StatusRequest{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkExecute measures one call with a message of typical size between two
// instances over loopback.
func BenchmarkExecute(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(echoPool{}, nil, nil)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c := NewClients(nil)
	defer c.Close()
	pool := c.Pool(l.Addr().String())
	req := &ExecuteRequest{RequestId: "r", Group: "g", Database: "d", Class: "c", Batch: make([]byte, 100)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := pool.Execute(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}
