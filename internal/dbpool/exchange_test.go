package dbpool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

var (
	testBegin = statement.Statement{Kind: statement.Begin}
	testWrite = statement.Statement{Kind: statement.Write}
)

// refusing returns a database that refuses the commands for which refused returns true,
// with the given error.
func refusing(e *result.Error, refused func(statement.Command) bool) *fakeDatabase {
	return &fakeDatabase{answer: func(c statement.Command) (statement.Answer, error) {
		if refused(c) {
			return statement.Answer{Err: e}, nil
		}
		return statement.Answer{Signature: "s"}, nil
	}}
}

// statementsOf returns the statements that a database received, without Begin.
func statementsOf(db *fakeDatabase) []statement.Command {
	return slices.DeleteFunc(slices.Concat(db.received...), func(c statement.Command) bool { return !runsStatement(c) })
}

// Guards against a write that is sent together with its Begin or with the variables of
// its session: refused, these let it run outside its transaction and again when it is
// repeated (review/2), or with another session's variables.
func TestStatementIsNotSentAfterRefusedSetup(t *testing.T) {
	for name, e := range map[string]*result.Error{
		"overloaded": result.Errorf(result.Overloaded, "busy"), "replica": result.Errorf(result.NotPrimary, "replica"),
		"failed": result.Errorf(result.StatementFailed, "failed"), "timeout": result.Errorf(result.StatementTimeout, "timeout"),
	} {
		for _, refused := range []struct {
			name string
			is   func(statement.Command) bool
			x    Exchange
		}{
			{"Begin", isBegin, Exchange{Begin: &testBegin, Statement: testWrite}},
			{"Begin with variables", isBegin, Exchange{Begin: &testBegin, Statement: testWrite, Variables: map[string]string{"a": "1"}}},
			{"Set", changesVariables, Exchange{Statement: testWrite, Variables: map[string]string{"a": "1"}}},
		} {
			t.Run(name+"/"+refused.name, func(t *testing.T) {
				db := refusing(e, refused.is)
				p, _ := newPool(db, ampleSizing)
				l := acquire(t, p)
				refused.x.Deadline = time.Now().Add(10 * time.Second)
				a, err := l.Run(refused.x)
				if err != nil || a.Err == nil || a.Err.Ran != result.RanNo {
					t.Errorf("answer %+v, %v; want a refusal that says that nothing was run", a.Err, err)
				}
				if n := len(statementsOf(db)); n != 0 {
					t.Errorf("%d statements were sent", n)
				}
			})
		}
	}
}

// Guards against an unknown outcome of a statement that was not sent, because the
// connection failed before it.
func TestLostAnswerToBeginMeansNotSent(t *testing.T) {
	db := &fakeDatabase{answer: func(c statement.Command) (statement.Answer, error) { return statement.Answer{}, errBroken }}
	p, _ := newPool(db, ampleSizing)
	l := acquire(t, p)
	_, err := l.Run(Exchange{Begin: &testBegin, Statement: testWrite, Deadline: time.Now().Add(10 * time.Second)})
	var notSent *NotSentError
	if !errors.As(err, &notSent) || !result.Is(notSent.Cause, result.DatabaseDown) {
		t.Fatalf("error %v, want a NotSentError because of the database", err)
	}
	l.ReleaseNotSent(notSent)
	if db.open != 0 {
		t.Error("the failed connection is kept")
	}
}

// Guards against the reuse of a connection whose variables may have changed without
// confirmation.
func TestConnectionWithUnconfirmedVariablesIsClosed(t *testing.T) {
	db := refusing(result.Errorf(result.StatementTimeout, "late"), changesVariables)
	p, _ := newPool(db, ampleSizing)
	l := acquire(t, p)
	if _, err := l.Run(Exchange{Statement: testWrite, Variables: map[string]string{"a": "1"}, Deadline: time.Now().Add(10 * time.Second)}); err != nil {
		t.Fatal(err)
	}
	l.Release()
	if db.open != 0 {
		t.Error("the connection is kept")
	}
}

// modelDatabase is one session of a database. It runs each command whatever became of
// the ones before it, and fails some as drawn.
type modelDatabase struct {
	t          *rapid.T
	variables  map[string]string
	prepared   map[string]PreparedStatement
	inTx       bool
	sequential bool // as an owner: runs nothing after a refused command
	faults     func() string
	ran        []string // statements, with the state in which they ran
}

func (d *modelDatabase) Do(_ time.Time, commands []statement.Command) ([]statement.Answer, error) {
	var answers []statement.Answer
	var failed *result.Error
	for _, c := range commands {
		if failed != nil && d.sequential {
			answers = append(answers, d.answer(failed))
			continue
		}
		fault := d.faults()
		e := d.run(c, fault)
		if fault == "lost" {
			return answers, errBroken
		}
		failed = e
		answers = append(answers, d.answer(e))
	}
	return answers, nil
}

func (d *modelDatabase) answer(e *result.Error) statement.Answer {
	a := statement.Answer{Err: e}
	if d.inTx {
		a.State = statement.TxOpen
	}
	return a
}

// run carries out a command unless the fault prevents it.
func (d *modelDatabase) run(c statement.Command, fault string) *result.Error {
	switch fault {
	case "refused":
		return result.Errorf(result.Overloaded, "busy")
	case "failed before":
		return result.Errorf(result.StatementFailed, "failed")
	}
	switch c.Op {
	case statement.OpReset:
		clear(d.variables)
		clear(d.prepared)
	case statement.OpSet:
		d.variables[c.Name] = c.Value
	case statement.OpPrepare:
		d.prepared[c.Name] = PreparedStatement{Text: c.Value, Writes: c.Writes}
	case statement.OpRollback:
		d.inTx = false
	case statement.OpStatement:
		if isBegin(c) {
			d.inTx = true
			break
		}
		shape := PreparedStatement{}
		if c.Statement.Kind == statement.Execute {
			var ok bool
			if shape, ok = d.prepared[c.Name]; !ok {
				return result.Errorf(result.UnknownStatement, "no statement %s", c.Name)
			}
		}
		d.ran = append(d.ran, ranAs(c.Statement.ID, d.variables, shape, d.inTx))
	}
	if fault == "failed after" {
		return result.Errorf(result.StatementTimeout, "late")
	}
	return nil
}

func ranAs(id string, variables map[string]string, shape PreparedStatement, inTx bool) string {
	var values []string
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		values = append(values, name+"="+variables[name])
	}
	return fmt.Sprintf("%s with %s, shape %v, in a transaction %v", id, strings.Join(values, ","), shape, inTx)
}

func (d *modelDatabase) Status(time.Time, statement.Command) (statement.Status, error) {
	return statement.Status{}, nil
}
func (d *modelDatabase) Alive() bool      { return true }
func (d *modelDatabase) Close() error     { return nil }
func (d *modelDatabase) Abort() error     { return nil }
func (d *modelDatabase) Sequential() bool { return d.sequential }

// Guards against a statement that runs outside its transaction, with other variables than
// its session's or as another prepared statement, against one that runs twice, and
// against one that ran although its answer says that it did not, whatever the database
// refuses, fails or leaves unanswered.
func TestStatementsRunInTheStateOfTheirSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequential := rapid.Bool().Draw(t, "sequential")
		faults := rapid.SampledFrom([]string{"", "", "", "refused", "failed before", "failed after", "lost"})
		var conns []*modelDatabase
		db := &fakeDatabase{}
		p, _ := newPool(db, Sizing{MaxOpen: 2, IdleTimeout: idleTimeoutDefault})
		p.dial = func(context.Context, string, string, string, string) (Conn, error) {
			c := &modelDatabase{
				t: t, variables: map[string]string{}, prepared: map[string]PreparedStatement{}, sequential: sequential,
				faults: func() string { return faults.Draw(t, "fault") },
			}
			conns = append(conns, c)
			return c, nil
		}
		values := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b"}), rapid.SampledFrom([]string{"1", "2"}), 0, 2)
		for n := range rapid.IntRange(1, 25).Draw(t, "requests") {
			x := Exchange{Variables: values.Draw(t, "variables"), Deadline: time.Now().Add(time.Hour)}
			x.Statement = statement.Statement{Kind: statement.Write, ID: fmt.Sprint("s", n)}
			var shape PreparedStatement
			if rapid.Bool().Draw(t, "executes") {
				shape = PreparedStatement{Text: rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "shape"), Writes: true}
				x.Statement.Kind, x.Prepared = statement.Execute, &shape
			}
			if rapid.Bool().Draw(t, "begins") {
				x.Begin = &testBegin
			}
			p.dialAfter, p.dialBackoff = 0, 0
			l, err := p.Acquire(context.Background(), newRequest(), x.Variables)
			if err != nil {
				t.Fatal(err)
			}
			a, err := l.Run(x)
			want := ranAs(x.Statement.ID, x.Variables, shape, x.Begin != nil)
			checkRuns(t, conns, x.Statement.ID, want, a, err)
			if err == nil && a.State != statement.TxIdle {
				l.Rollback(x.Deadline)
			} else {
				endLease(l, err)
			}
		}
	})
}

// checkRuns checks what the connections ran of the statement with the id against the
// state in which it must run and against its answer.
func checkRuns(t *rapid.T, conns []*modelDatabase, id, want string, a statement.Answer, err error) {
	runs := 0
	for _, c := range conns {
		for _, ran := range c.ran {
			if !strings.HasPrefix(ran, id+" ") {
				continue
			}
			runs++
			if ran != want {
				t.Fatalf("ran %s, want %s", ran, want)
			}
		}
	}
	var notSent *NotSentError
	saidNotRun := errors.As(err, &notSent) || (err == nil && a.Err != nil && a.Err.Ran == result.RanNo)
	if runs > 1 || (runs > 0 && saidNotRun) || (runs == 0 && err == nil && a.Err == nil) {
		t.Fatalf("%s ran %d times, and was answered %+v, %v", id, runs, a.Err, err)
	}
}

func endLease(l *Lease, err error) {
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		l.ReleaseNotSent(notSent)
	case err != nil:
		l.Discard()
	default:
		l.Release()
	}
}
