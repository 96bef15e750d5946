package backend

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"geraniumbeam/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against an answer to the caller that contains status rows or ParseComplete
// messages for Parse messages that the proxy injected.
func TestRunRemovesAnswersToInjectedMessages(t *testing.T) {
	_, d := newFakeServer(t, withPrimaryStatus(func(b *pgproto3.Backend, _ string) bool {
		b.Send(&pgproto3.ParseComplete{})
		b.Send(&pgproto3.ParseComplete{})
		sendRow(b, "INSERT 0 1", 3)
		b.Send(&pgproto3.NotificationResponse{Channel: "x"})
		return true
	}))
	batch := encode(t, &pgproto3.Parse{Query: "a"}, &pgproto3.Parse{Query: "b"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c := connect(t, d)
	a, err := runBatch(c, batch, 0)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []byte
	for rest := a.Messages; len(rest) > 0; rest = rest[1+int(rest[3])<<8+int(rest[4]):] {
		kinds = append(kinds, rest[0])
	}
	if string(kinds) != "1DCZ" {
		t.Errorf("answer has messages %q, want 1DCZ", kinds)
	}
	want := Status{Term: 3, Role: RolePrimary, Last: Position{3, 41}}
	if a.StatusBefore != want || a.StatusAfter != want || a.CommandTag != "INSERT 0 1" || a.TransactionStatus != 'I' {
		t.Errorf("answer = %+v", a)
	}
	if c.Broken() {
		t.Error("the connection is broken after a complete answer")
	}
}

// Guards against an answer above the limit whose rest stays in the connection, where
// the next request would read it.
func TestRunDiscardsAnswerAboveLimit(t *testing.T) {
	_, d := newFakeServer(t, withPrimaryStatus(func(b *pgproto3.Backend, sql string) bool {
		for range len(sql) * 100 {
			b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 300)}})
		}
		sendRow(b, "SELECT 1", 10)
		return true
	}))
	c := connect(t, d)
	a, err := runBatch(c, encode(t, &pgproto3.Query{String: "large"}))
	if !result.Is(err, result.AnswerTooLarge) || a.Messages != nil {
		t.Fatalf("err = %v, %d bytes", err, len(a.Messages))
	}
	if a.StatusAfter.Last.Offset != 41 {
		t.Errorf("status after the batch = %+v", a.StatusAfter)
	}
	a, err = runBatch(c, encode(t, &pgproto3.Query{String: ""}))
	if err != nil || a.CommandTag != "SELECT 1" || c.Broken() {
		t.Errorf("next request: tag %q, err %v", a.CommandTag, err)
	}
}

// Guards against a batch that yields more or fewer ReadyForQuery messages than the
// reader expects, so that later requests get the answers of earlier ones.
func TestRunRejectsMalformedBatch(t *testing.T) {
	query := encode(t, &pgproto3.Query{String: "a"})
	sync := encode(t, &pgproto3.Sync{})
	parse := encode(t, &pgproto3.Parse{Query: "a"})
	for name, batch := range map[string][]byte{
		"empty": nil, "two queries": append(bytes.Clone(query), query...), "two syncs": append(bytes.Clone(sync), sync...),
		"query in extended": append(bytes.Clone(parse), query...), "no sync": parse, "cut": query[:len(query)-1],
		"copy data": encode(t, &pgproto3.CopyDone{}), "short header": query[:3], "bad length": {'Q', 0, 0, 0, 1},
	} {
		if err := CheckBatch(batch); !result.Is(err, result.ProtocolViolation) {
			t.Errorf("%s: err = %v", name, err)
		}
	}
	for _, batch := range [][]byte{query, sync, append(parse, sync...)} {
		if err := CheckBatch(batch); err != nil {
			t.Errorf("valid batch: %v", err)
		}
	}
}

// Guards against a COPY that leaves the connection in copy mode, and against
// reporting a COPY that may have had an effect as not run.
func TestRunRejectsCopy(t *testing.T) {
	for name, test := range map[string]struct {
		before bool
		copy   pgproto3.BackendMessage
		ran    result.Ran
	}{
		"in first":      {false, &pgproto3.CopyInResponse{}, result.RanNo},
		"in after work": {true, &pgproto3.CopyInResponse{}, result.RanUnknown},
		"out":           {false, &pgproto3.CopyOutResponse{}, result.RanUnknown},
	} {
		_, d := newFakeServer(t, withPrimaryStatus(func(b *pgproto3.Backend, _ string) bool {
			if test.before {
				sendRow(b, "INSERT 0 1", 1)
			}
			b.Send(test.copy)
			return true
		}))
		c := connect(t, d)
		_, err := runBatch(c, encode(t, &pgproto3.Query{String: "copy"}))
		if e := result.From(err); e.Code != result.NotSupported || e.Ran != test.ran || !c.Broken() {
			t.Errorf("%s: err = %v, ran %v, broken %v", name, err, e.Ran, c.Broken())
		}
	}
}

// Guards against reuse of a connection after a truncated answer, and against a
// request that hangs on an unresponsive server.
func TestRunClosesConnectionAfterTruncationOrCancellation(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	_, d := newFakeServer(t, withPrimaryStatus(func(b *pgproto3.Backend, sql string) bool {
		if sql == "hang" {
			<-block
		}
		b.Send(&pgproto3.DataRow{})
		_ = b.Flush()
		return false
	}))
	c := connect(t, d)
	if _, err := runBatch(c, encode(t, &pgproto3.Query{String: "cut"})); err == nil || !c.Broken() {
		t.Errorf("truncated answer: err = %v", err)
	}
	c = connect(t, d)
	ctx, cancel := context.WithCancel(context.Background())
	sent := false
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := c.Run(ctx, Batch{Messages: encode(t, &pgproto3.Query{String: "hang"})}, true, 1000, func() { sent = true })
	if err == nil || !sent || !c.Broken() {
		t.Errorf("cancelled context: err = %v, sent %v, broken %v", err, sent, c.Broken())
	}
}

// Guards against a deadlock of a large batch, which the server does not read while it
// sends its answer, with a large answer, which the proxy does not read while it sends
// the batch.
func TestRunLargeBatchAndLargeAnswer(t *testing.T) {
	_, d := newFakeServer(t, withPrimaryStatus(func(b *pgproto3.Backend, _ string) bool {
		sendRow(b, "SELECT 1", 8<<20)
		return true
	}))
	c := connect(t, d)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	batch := encode(t, &pgproto3.Query{String: string(bytes.Repeat([]byte("x"), 8<<20))})
	a, err := c.Run(ctx, Batch{Messages: batch}, true, 16<<20, func() {})
	if err != nil || len(a.Messages) < 8<<20 {
		t.Fatalf("%d bytes, err = %v", len(a.Messages), err)
	}
}

// Guards against a request on a connection that the server closed while it was idle:
// the outcome would be unknown although the request was not run.
func TestBrokenDetectsClosedIdleConnection(t *testing.T) {
	s, d := newFakeServer(t, withPrimaryStatus(func(*pgproto3.Backend, string) bool { return true }))
	c := connect(t, d)
	if c.Broken() {
		t.Fatal("broken right after connecting")
	}
	s.closeConns()
	if err := eventually(c.Broken); err != nil {
		t.Fatal(err)
	}
}

// Guards against a cancel request with a wrong process ID or secret key.
func TestCancelSendsKeyOfConnection(t *testing.T) {
	s, d := newFakeServer(t, nil)
	c := connect(t, d)
	if err := c.Cancel(context.Background()); err != nil {
		t.Fatal(err)
	}
	if r := <-s.cancelled; r.ProcessID != 7 || !bytes.Equal(r.SecretKey, []byte{0, 0, 0, 9}) {
		t.Errorf("cancel request = %+v", r)
	}
}

// Guards against wrong SQL for group operations, and against a control connection
// that stays usable after an error.
func TestControlConn(t *testing.T) {
	_, d := newFakeServer(t, func(b *pgproto3.Backend, sql string) bool {
		switch sql {
		case "SELECT group_raise(5)", "SELECT group_promote(6)", "SELECT group_follow(6, 'a''b:1')":
			sendRow(b, "SELECT 1", 1)
		case "SELECT group_raise(4)":
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55000", Message: "term 5 is higher"})
		default:
			sendStatus(b, "5", "replica", "4", "17", "250", "t")
		}
		return true
	})
	c, err := d.ConnectControl(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	want := Status{Term: 5, Role: RoleReplica, Last: Position{4, 17}, PrimaryAge: 250 * time.Millisecond, Leaving: true}
	for name, f := range map[string]func() (Status, error){
		"status":  func() (Status, error) { return c.Status(ctx) },
		"wait":    func() (Status, error) { return c.Wait(ctx, Position{4, 18}, 200*time.Millisecond) },
		"raise":   func() (Status, error) { return c.Raise(ctx, 5) },
		"promote": func() (Status, error) { return c.Promote(ctx, 6) },
		"follow":  func() (Status, error) { return c.Follow(ctx, 6, "a'b:1") },
	} {
		if got, err := f(); err != nil || got != want {
			t.Errorf("%s = %+v, %v", name, got, err)
		}
	}
	if _, err := c.Raise(ctx, 4); err == nil {
		t.Error("raise to a lower term succeeded")
	}
	if _, err := c.Status(ctx); err == nil {
		t.Error("the connection is usable after an error")
	}
}
