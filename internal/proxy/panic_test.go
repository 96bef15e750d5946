package proxy

import (
	"net"
	"testing"
	"time"

	"geraniumbeam/internal/contain"
	"geraniumbeam/internal/statement"
)

// panickingCaller panics when it is sent an answer.
type panickingCaller struct{ *scriptedCaller }

func (panickingCaller) SendAnswer(statement.Answer) error { panic("malformed message") }

// Guards against an unexpected error in one session that ends the process with the
// sessions of all other callers, or that leaves the session's transaction open.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	h := newHarness(t)
	other := newCaller("confirm")
	h.connect(other)
	before := contain.Panics()
	bad := panickingCaller{newCaller("confirm")}
	h.server.cfg.NewCallerConn = func(net.Conn) CallerConn { return bad }
	h.server.startSession(nil)
	bad.statements <- statement.Statement{ID: "1", Kind: statement.Begin, Text: "BEGIN"}
	select {
	case <-bad.closed:
	case <-time.After(30 * time.Second):
		t.Fatal("the session that panicked is still open")
	}
	// The session closes its connection before the panic reaches the function that counts it.
	h.eventually("the panic is counted", func() bool { return contain.Panics() > before })
	if n := contain.Panics() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	other.statements <- statement.Statement{ID: "2", Kind: statement.Begin, Text: "BEGIN"}
	select {
	case a := <-other.answers:
		if a.Err != nil {
			t.Errorf("the other session got %v", a.Err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the other session got no answer")
	}
}
