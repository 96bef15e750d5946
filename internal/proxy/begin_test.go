package proxy

import (
	"testing"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Guards against a write that takes effect outside its transaction, and once more when
// it is repeated, because the primary refused Begin for load (review/2).
func TestWriteAfterRefusedBeginTakesEffectOnce(t *testing.T) {
	h := newHarness(t)
	refusals, inTx, outside := 2, false, 0
	h.setHandler("db-1", func(c statement.Command) (statement.Answer, error) {
		a := statement.Answer{Signature: "sig"}
		switch c.Statement.Kind {
		case statement.Begin:
			if refusals > 0 {
				refusals--
				return statement.Answer{Err: result.Errorf(result.Overloaded, "busy")}, nil
			}
			inTx = true
		case statement.Write:
			if !inTx {
				outside++
			}
		case statement.Commit:
			inTx = false
		}
		if inTx {
			a.State = statement.TxOpen
		}
		return a, nil
	})
	s := h.session(testRoute)
	for _, k := range []statement.Kind{statement.Begin, statement.Write, statement.Commit} {
		if a := s.handle(st(k)); a.Err != nil {
			t.Errorf("%s: %v", k, a.Err)
		}
	}
	if outside != 0 || h.runs("db-1", statement.Write) != 1 {
		t.Errorf("the write was sent %d times, %d of them outside the transaction", h.runs("db-1", statement.Write), outside)
	}
}
