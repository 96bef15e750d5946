package proxy

import (
	"testing"

	"geraniumbeam/internal/distance"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Guards against reads that go on being sent to a database which refuses them for a full
// queue, and against a refusal that reaches the caller while another database has room.
func TestRefusedReadIsServedByAnotherDatabase(t *testing.T) {
	h := newHarness(t)
	h.server.cfg.Distances = distance.NewTimes(distance.Regions{"a": "north", "b": "south"}, "a")
	h.observePosition(5)
	h.setHandler("db-2", func(statement.Command) (statement.Answer, error) {
		return statement.Answer{Err: result.Errorf(result.Overloaded, "the queue is full")}, nil
	})
	s := h.session(readRoute)
	const reads = 60
	for range reads {
		if a := s.handle(st(statement.Read)); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	if refused, elsewhere := h.runs("db-2", statement.Read), h.runs("db-1", statement.Read)+h.runs("db-3", statement.Read); elsewhere != reads || refused > reads/4 {
		t.Errorf("%d reads were refused, %d served elsewhere", refused, elsewhere)
	}
}

// Guards against a write that is balanced: only the primary may run it.
func TestWritesGoToThePrimaryOfABalancedService(t *testing.T) {
	h := newHarness(t)
	h.server.cfg.Distances = distance.NewTimes(distance.Regions{"a": "north", "b": "south"}, "a")
	h.observePosition(5)
	s := h.session(testRoute)
	for range 20 {
		if a := s.handle(st(statement.Write)); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	if n := h.runs("db-1", statement.Write); n != 20 {
		t.Errorf("the primary got %d writes, want 20", n)
	}
}
