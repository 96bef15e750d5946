package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// lostAnswer is the loss of an answer at one step. All databases lose the answers to
// statements of one kind, and the primary may be replaced meanwhile.
type lostAnswer struct {
	h    *harness
	step string
	kind statement.Kind
	once sync.Once // the primary is replaced at most once

	mu      sync.Mutex
	reached int // statements of the kind that a database received
	asked   int // statements of the kind that were passed to a connection
}

// answer is the handler of all databases.
func (l *lostAnswer) answer(c statement.Command) (statement.Answer, error) {
	a, _ := inState(statement.TxOpen)(c)
	if c.Op != statement.OpStatement || c.Statement.Kind != l.kind {
		return a, nil
	}
	l.mu.Lock()
	l.asked++
	if l.step != "not sent" {
		l.reached++
	}
	l.mu.Unlock()
	if l.kind == statement.Read || l.kind == statement.Write {
		a.State = statement.TxIdle
	}
	switch l.step {
	case "not sent":
		return statement.Answer{}, &dbpool.NotSentError{Cause: result.Errorf(result.DatabaseDown, "no connection")}
	case "sent":
		return statement.Answer{}, errBroken
	case "sent, and the primary is revoked":
		l.once.Do(l.h.startFailover)
		return statement.Answer{}, errBroken
	case "answered, and the primary is revoked":
		l.once.Do(l.h.startFailover)
	case "answered, and the primary is replaced":
		l.once.Do(func() { l.h.startFailover(); l.h.promote("db-2") })
	}
	return a, nil
}

// counts returns how many statements of the kind were passed to a connection and how
// many of them reached a database.
func (l *lostAnswer) counts() (asked, reached int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked, l.reached
}

// lostAnswerKinds are the statements whose answer is lost, by their names in the table.
var lostAnswerKinds = map[string]struct {
	kind   statement.Kind
	inTx   bool // after BEGIN and a write
	writes bool // repeating it could run something twice
}{
	"read":                    {statement.Read, false, false},
	"write":                   {statement.Write, false, true},
	"read in a transaction":   {statement.Read, true, false},
	"write in a transaction":  {statement.Write, true, false}, // its effect depends on the commit
	"commit of a transaction": {statement.Commit, true, true},
}

// Guards against a statement that is run twice, or said not to have run, after its answer
// was lost at any step. The table lists what the caller is told.
func TestLostAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/lost_answers", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, name := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			k, ok := lostAnswerKinds[name]
			if !ok {
				d.Fatalf(t, "unknown statement %q", name)
			}
			h := newHarness(t)
			h.configure(150 * time.Millisecond)
			s := h.session(testRoute)
			if k.inTx {
				for _, id := range []string{"db-1", "db-2", "db-3"} {
					h.setHandler(id, inState(statement.TxOpen))
				}
				s.handle(st(statement.Begin))
				s.handle(st(statement.Write))
			}
			lost := &lostAnswer{h: h, step: strings.ReplaceAll(d.Cmd, "_", " "), kind: k.kind}
			for _, id := range []string{"db-1", "db-2", "db-3"} {
				h.setHandler(id, lost.answer)
			}
			a := s.handle(st(k.kind))
			_, reached := lost.counts()
			told := "success"
			if a.Err != nil {
				told = fmt.Sprintf("%s, run: %s", a.Err.Code, a.Err.Ran)
				// The transaction is rolled back, which undoes what reached the database.
				undone := k.inTx && k.kind != statement.Commit
				if a.Err.Ran == result.RanNo && reached > 0 && !undone {
					t.Errorf("%s, %s: reached a database %d times, and the caller is told %s", lost.step, name, reached, told)
				}
			}
			if k.writes && reached > 1 {
				t.Errorf("%s, %s: reached a database %d times", lost.step, name, reached)
			}
			fmt.Fprintf(&out, "%s: %s\n", name, told)
		}
		return out.String()
	})
}
