package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumbeam/internal/catalog"
	"geraniumbeam/internal/clock"
	"geraniumbeam/internal/result"
)

func request(clk clock.Clock, caller string, within time.Duration) Request {
	return Request{Class: "c", Caller: caller, Rank: catalog.RankNormal, Deadline: clk.Now().Add(within)}
}

// recordServiceTimes runs enough requests that the queue estimates service times.
func recordServiceTimes(t *testing.T, q *Queue, clk clock.Clock, service time.Duration) {
	t.Helper()
	for range minBaseSamples {
		ticket, err := q.Acquire(context.Background(), request(clk, "a", time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		ticket.Release(service)
	}
}

// waitForQueued waits until n requests wait in q.
func waitForQueued(t *testing.T, q *Queue, n int) {
	t.Helper()
	for range 5000 {
		if q.Load().Queued == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d requests wait, want %d", q.Load().Queued, n)
}

// Guards against a request that runs after its deadline or its cancellation, and
// against one that stays in the queue afterwards.
func TestDeadlineAndCancelInQueue(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	q := New(Config{Clock: clk, MaxConcurrency: 1})
	held, err := q.Acquire(context.Background(), request(clk, "a", time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error)
	for _, c := range []context.Context{ctx, context.Background()} {
		go func() {
			_, err := q.Acquire(c, request(clk, "a", time.Second))
			errs <- err
		}()
	}
	waitForQueued(t, q, 2)
	cancel()
	for i := range 2 {
		if i == 1 {
			clk.Advance(time.Second)
		}
		err := <-errs
		if !result.Is(err, result.DeadlineBeforeRun) || result.From(err).Ran != result.RanNo {
			t.Errorf("Acquire = %v, want %v and not run", err, result.DeadlineBeforeRun)
		}
	}
	held.Release(time.Millisecond)
	held.Release(time.Millisecond) // a second release must not free a slot
	if q.core.inFlight != 0 || q.core.queued != 0 {
		t.Errorf("%d running and %d waiting after the end", q.core.inFlight, q.core.queued)
	}
}

// Guards against a refusal that is delayed, says that the request may have run, or
// makes all callers retry at the same time.
func TestRefusesImmediatelyWithRetryJitter(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	q := New(Config{Clock: clk, MaxConcurrency: 1})
	recordServiceTimes(t, q, clk, 100*time.Millisecond)
	if _, err := q.Acquire(context.Background(), request(clk, "a", time.Hour)); err != nil {
		t.Fatal(err)
	}
	after := make(map[time.Duration]bool)
	for range 20 {
		_, err := q.Acquire(context.Background(), request(clk, "b", 150*time.Millisecond))
		e := result.From(err)
		if e == nil || e.Code != result.Overloaded || e.Ran != result.RanNo || e.RetryAfter <= 0 || e.RetryAfter > maxRetryAfter {
			t.Fatalf("Acquire = %+v, want a refusal with retry-after", e)
		}
		after[e.RetryAfter] = true
	}
	if len(after) < 15 {
		t.Errorf("20 refusals had %d different retry-after values", len(after))
	}
}

// Guards against a queue that grows without bound or that a single caller fills.
func TestQueueIsBounded(t *testing.T) {
	c := newCore(Config{MaxConcurrency: 1, MaxQueued: 100})
	for i := range 10000 {
		r := request(clock.NewFake(simStart), "flood", time.Hour)
		r.Class = fmt.Sprint("class", i%1000) // the number of classes must be bounded, too
		c.enqueue(0, r, simStart)
		c.next(0)
	}
	if c.queued > 100 || len(c.ranks[1].classes) > maxClasses {
		t.Errorf("%d waiting requests and %d classes", c.queued, len(c.ranks[1].classes))
	}
	c = newCore(Config{MaxConcurrency: 1, MaxQueued: 100})
	for range 1000 {
		c.enqueue(0, request(clock.NewFake(simStart), "flood", time.Hour), simStart)
	}
	if it, ref := c.enqueue(0, request(clock.NewFake(simStart), "rival", time.Hour), simStart); it == nil {
		t.Errorf("a caller was refused because of the requests of another: %s", ref.reason)
	}
}

// Guards against a wrong order. Statements of open transactions come first, callers
// are served fairly, and each caller's earliest deadline comes first.
func TestOrder(t *testing.T) {
	clk := clock.NewFake(simStart)
	c := newCore(Config{MaxConcurrency: 1})
	names := make(map[*item]string)
	add := func(name, caller string, within time.Duration, pinned bool) {
		r := request(clk, caller, within)
		r.Pinned = pinned
		it, ref := c.enqueue(0, r, simStart)
		if it == nil {
			t.Fatalf("%s refused: %s", name, ref.reason)
		}
		names[it] = name
	}
	add("running", "a", time.Hour, false)
	running := c.next(0)
	add("a late", "a", 3*time.Hour, false)
	add("a early", "a", time.Hour, false)
	add("b late", "b", 4*time.Hour, false)
	add("pinned", "b", 5*time.Hour, true)
	got := ""
	for running != nil {
		c.finish(0, running, time.Millisecond)
		if running = c.next(0); running != nil {
			got += names[running] + ", "
		}
	}
	if want := "pinned, a early, b late, a late, "; got != want {
		t.Errorf("order %q, want %q", got, want)
	}
}

// Guards against more running requests than the limit and against lost wake-ups when
// many requests arrive, are cancelled and finish concurrently.
func TestConcurrentUse(t *testing.T) {
	q := New(Config{MaxConcurrency: 3})
	var running, served atomic.Int64
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for n := range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				if n%7 == 0 {
					cancel()
				}
				r := request(clock.Real{}, fmt.Sprint(i%5), time.Hour)
				r.Rank = catalog.Ranks[n%3]
				ticket, err := q.Acquire(ctx, r)
				cancel()
				if err != nil {
					if !errors.As(err, new(*result.Error)) {
						t.Errorf("Acquire = %v", err)
					}
					continue
				}
				if now := running.Add(1); now > 3 {
					t.Errorf("%d requests run, want at most 3", now)
				}
				served.Add(1)
				running.Add(-1)
				ticket.Release(time.Microsecond)
			}
		})
	}
	wg.Wait()
	if q.core.queued != 0 || q.core.inFlight != 0 || served.Load() < 32*100 {
		t.Errorf("%d waiting, %d running, %d served", q.core.queued, q.core.inFlight, served.Load())
	}
}

func BenchmarkServed(b *testing.B) {
	q := New(Config{MaxConcurrency: 4})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		t, err := q.Acquire(ctx, request(clock.Real{}, "a", time.Second))
		if err != nil {
			b.Fatal(err)
		}
		t.Release(time.Millisecond)
	}
}

func BenchmarkRefused(b *testing.B) {
	q := New(Config{MaxConcurrency: 1})
	ctx := context.Background()
	t, err := q.Acquire(ctx, request(clock.Real{}, "a", time.Hour))
	if err != nil {
		b.Fatal(err)
	}
	t.Release(time.Second)
	if _, err = q.Acquire(ctx, request(clock.Real{}, "a", time.Hour)); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := q.Acquire(ctx, request(clock.Real{}, "b", time.Second)); err == nil {
			b.Fatal("not refused")
		}
	}
}
