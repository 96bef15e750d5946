package wire

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

const localAddress = "own.invalid:1"

func localClients(pool Pool) *Clients {
	c := NewClients(nil)
	c.ServeLocal(localAddress, NewServer(pool, nil, statusServer{}))
	return c
}

type scriptedPool struct {
	Pool
	execute func(context.Context, *ExecuteRequest) (*ExecuteResponse, error)
}

func (p scriptedPool) Execute(ctx context.Context, req *ExecuteRequest) (*ExecuteResponse, error) {
	return p.execute(ctx, req)
}

// Guards against local calls that differ from calls over a connection: messages
// are copied, large ones arrive complete, and errors keep their codes.
func TestLocalCall(t *testing.T) {
	refused := false
	var got *ExecuteRequest
	c := localClients(scriptedPool{execute: func(_ context.Context, req *ExecuteRequest) (*ExecuteResponse, error) {
		got = req
		if refused {
			return nil, twirp.NewError(twirp.Unavailable, "refused")
		}
		return &ExecuteResponse{RequestId: req.GetRequestId(), Answer: req.GetBatch()}, nil
	}})
	sent := &ExecuteRequest{RequestId: "r", Batch: bytes.Repeat([]byte("batch"), 1<<20)}
	for _, pool := range []Pool{c.Pool(localAddress), c.BulkPool(localAddress)} {
		resp, err := pool.Execute(t.Context(), sent)
		if err != nil || !bytes.Equal(resp.GetAnswer(), sent.GetBatch()) {
			t.Fatalf("answer of %d bytes, error %v", len(resp.GetAnswer()), err)
		}
		if got == sent || !proto.Equal(got, sent) {
			t.Error("the handler did not get a copy of the request")
		}
	}
	refused = true
	var code twirp.Error
	if _, err := c.Pool(localAddress).Execute(t.Context(), sent); !errors.As(err, &code) || code.Code() != twirp.Unavailable {
		t.Errorf("error %v, want Unavailable", err)
	}
	if _, err := c.Pool(localAddress).Execute(t.Context(), &ExecuteRequest{Batch: make([]byte, MaxMessage+1)}); err == nil {
		t.Error("a message above MaxMessage was accepted")
	}
}

// Guards against an answer that is used after its call was cancelled, and against
// a handler whose context does not end.
func TestLocalCallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var handler context.Context
	c := localClients(scriptedPool{execute: func(ctx context.Context, _ *ExecuteRequest) (*ExecuteResponse, error) {
		handler = ctx
		cancel()
		<-ctx.Done()
		return &ExecuteResponse{}, nil
	}})
	if _, err := c.Pool(localAddress).Execute(ctx, &ExecuteRequest{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want a cancelled call", err)
	}
	if handler.Err() == nil {
		t.Error("the context of the handler did not end")
	}
}

// Guards against a panic in a handler that ends the process.
func TestLocalCallSurvivesPanic(t *testing.T) {
	c := localClients(scriptedPool{execute: func(context.Context, *ExecuteRequest) (*ExecuteResponse, error) {
		panic("broken")
	}})
	if _, err := c.Pool(localAddress).Execute(t.Context(), &ExecuteRequest{}); err == nil || isDialError(err) {
		t.Errorf("error %v, want a call with unknown outcome", err)
	}
}

// BenchmarkLocalCall measures one call within an instance.
func BenchmarkLocalCall(b *testing.B) {
	admin := localClients(nil).Admin(localAddress)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := admin.Status(context.Background(), &StatusRequest{}); err != nil {
			b.Fatal(err)
		}
	}
}
