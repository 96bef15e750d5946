package pool

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/wire"
)

// fuzzBudget is the timeout of one call, so that a run tries many inputs.
const fuzzBudget = 5 * time.Millisecond

// Guards against an internal message, damaged or from another version, that makes
// a pool panic, hang, or return a response that does not match the request.
func FuzzInnerMessages(f *testing.F) {
	cl := newCluster(f, clusterOptions{})
	for kind, m := range []proto.Message{
		cl.request("select 1", nil),
		&wire.EndTransactionRequest{TransactionId: "t1"},
		&wire.KeepAliveRequest{EntryInstance: "e", TransactionIds: []string{"t1", ""}},
		&wire.ConfirmRequest{Database: "a", Position: &wire.LogPosition{Term: 3, Offset: 1 << 40}, WaitMs: -1},
		&wire.GroupStatusRequest{Group: "g"},
		&wire.CancelRequest{RequestId: "r1"},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(kind), b)
	}
	transaction := cl.request("begin", func(r *wire.ExecuteRequest) { r.TransactionId, r.BudgetMs = "t1", 1<<62 })
	b, err := proto.Marshal(transaction)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(byte(0), b)
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), fuzzBudget)
		defer cancel()
		switch kind % 6 {
		case 0:
			req := &wire.ExecuteRequest{}
			if proto.Unmarshal(data, req) == nil {
				fuzzExecute(ctx, t, cl.p, req)
			}
		case 1:
			fuzzCall(ctx, t, data, &wire.EndTransactionRequest{}, cl.p.EndTransaction)
		case 2:
			fuzzCall(ctx, t, data, &wire.KeepAliveRequest{}, cl.p.KeepAlive)
		case 3:
			fuzzCall(ctx, t, data, &wire.ConfirmRequest{}, cl.p.Confirm)
		case 4:
			fuzzCall(ctx, t, data, &wire.GroupStatusRequest{}, cl.p.GroupStatus)
		case 5:
			fuzzCall(ctx, t, data, &wire.CancelRequest{}, cl.p.Cancel)
		}
	})
}

func fuzzExecute(ctx context.Context, t *testing.T, p *Pool, req *wire.ExecuteRequest) {
	resp, err := p.Execute(ctx, req)
	if err != nil || !wire.Matches(req, resp) {
		t.Fatalf("%v answered by %v, error %v", req, resp, err)
	}
	if (resp.GetFailure() == nil) == (len(resp.GetAnswer()) == 0) {
		t.Fatalf("%v answered with failure %v and %d bytes", req, resp.GetFailure(), len(resp.GetAnswer()))
	}
	if f := resp.GetFailure(); f != nil && result.Lookup(result.Code(f.GetCode())).Code != result.Code(f.GetCode()) {
		t.Fatalf("failure has the unknown code %d", f.GetCode())
	}
}

func fuzzCall[Q proto.Message, R any](ctx context.Context, t *testing.T, data []byte, req Q, call func(context.Context, Q) (*R, error)) {
	if proto.Unmarshal(data, req) != nil {
		return
	}
	if resp, err := call(ctx, req); err != nil || resp == nil {
		t.Fatalf("%v answered by %v, error %v", req, resp, err)
	}
}
