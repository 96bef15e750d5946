package hop

import (
	"context"
	"testing"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

type runResult struct {
	answer statement.Answer
	err    error
}

// start runs an exchange that is withdrawn when ctx ends.
func start(ctx context.Context, l *dbpool.Lease, x dbpool.Exchange) <-chan runResult {
	x.Context, x.Deadline = ctx, time.Now().Add(time.Minute)
	done := make(chan runResult, 1)
	go func() {
		a, err := l.Run(x)
		done <- runResult{a, err}
	}()
	return done
}

func statementsOf(db *fakeDatabase) (texts []string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, c := range db.conns {
		for _, cmd := range c.received {
			texts = append(texts, cmd.Statement.Text)
		}
	}
	return texts
}

// Guards against a statement that an owner runs although its caller disconnected while it
// waited in the owner's queue, and against a place in that queue that is kept meanwhile.
func TestWithdrawnRequestLeavesTheOwnersQueue(t *testing.T) {
	o := newOwner(t, 1)
	held := acquire(t, o.pool)
	p := o.clientPoolFor(true)
	l := acquireAs(t, p, "a")
	ctx, cancel := context.WithCancel(t.Context())
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	done := start(ctx, l, dbpool.Exchange{Begin: &begin, Statement: readStatement("withdrawn")})
	eventually(t, "the request is queued", func() bool { return o.pool.Load().Queued == 1 })
	cancel()
	r := <-done
	if !dbpool.IsNotSent(r.err) || !result.Is(r.err, result.Cancelled) {
		t.Errorf("%+v, want a cancelled request that was not sent", r)
	}
	if n := o.pool.Load().Queued; n != 0 {
		t.Errorf("%d requests are queued at the owner", n)
	}
	if since, failed := p.UnresponsiveSince(); failed {
		t.Errorf("the owner counts as failed since %v", since)
	}
	l.Release()
	held.Release()
	next := acquireAs(t, p, "a")
	if _, err := next.Run(dbpool.Exchange{Statement: readStatement("next"), Deadline: testDeadline()}); err != nil {
		t.Error(err)
	}
	next.Release()
	if got := statementsOf(o.db); len(got) != 1 || got[0] != "next" {
		t.Errorf("the database received %q, want only the next request", got)
	}
}

// Guards against a statement that runs and is reported as not run, because its caller
// disconnected meanwhile, and against a later request that is withdrawn with it.
func TestRunningRequestIsNotWithdrawn(t *testing.T) {
	o := newOwner(t, 1)
	block := make(chan struct{})
	o.db.block = block
	p := o.clientPool()
	l := acquire(t, p)
	ctx, cancel := context.WithCancel(t.Context())
	done := start(ctx, l, dbpool.Exchange{Statement: statement.Statement{Kind: statement.Write, Text: "runs"}})
	eventually(t, "the request runs", func() bool { return o.pool.Load().InUse == 1 })
	cancel()
	select {
	case r := <-done:
		t.Errorf("%+v before the database answered", r)
	case <-time.After(50 * time.Millisecond):
	}
	close(block)
	if r := <-done; r.err != nil || r.answer.Err != nil {
		t.Errorf("%+v, want the answer", r)
	}
	l.Release()
	next := acquire(t, p)
	if _, err := next.Run(dbpool.Exchange{Statement: readStatement("next"), Deadline: testDeadline()}); err != nil {
		t.Error(err)
	}
	next.Release()
}

// Guards against a transaction that goes on, or whose commit counts as sent, after its
// caller disconnected while the first statement ran.
func TestTransactionEndsWithItsWithdrawal(t *testing.T) {
	o := newOwner(t, 1)
	block := make(chan struct{})
	o.db.block = block
	l := acquire(t, o.clientPool())
	ctx, cancel := context.WithCancel(t.Context())
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	done := start(ctx, l, dbpool.Exchange{Begin: &begin, Statement: statement.Statement{Kind: statement.Write, Text: "runs"}})
	eventually(t, "the request runs", func() bool { return o.pool.Load().InUse == 1 })
	cancel()
	close(block)
	if r := <-done; r.err != nil || r.answer.Err != nil {
		t.Fatalf("%+v, want the answer", r)
	}
	_, err := l.Run(dbpool.Exchange{Statement: statement.Statement{Kind: statement.Commit, Text: "COMMIT"}, Deadline: testDeadline()})
	if !dbpool.IsNotSent(err) {
		t.Errorf("error %v, want a NotSentError", err)
	}
	l.Discard()
	eventually(t, "the owner closes the connection of the transaction", func() bool {
		o.db.mu.Lock()
		defer o.db.mu.Unlock()
		return o.db.open == 0
	})
	for _, text := range statementsOf(o.db) {
		if text == "COMMIT" {
			t.Error("the transaction was committed")
		}
	}
}

// Guards against a withdrawal that affects the next request on the connection, whose
// caller waits.
func TestWithdrawalEndsWithItsRequest(t *testing.T) {
	o := newOwner(t, 1)
	p := o.clientPool()
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		l := acquire(t, p)
		done := start(ctx, l, dbpool.Exchange{Statement: readStatement("x")})
		go cancel() // before, during or after the exchange
		r := <-done
		if r.err != nil && !result.Is(r.err, result.Cancelled) {
			t.Fatal(r.err)
		}
		l.Release()
		l, err := p.Acquire(t.Context(), admission.Request{Class: "c"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Run(dbpool.Exchange{Statement: readStatement("y"), Deadline: testDeadline()}); err != nil {
			t.Fatal(err)
		}
		l.Release()
	}
}
