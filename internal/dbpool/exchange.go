package dbpool

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// A database runs each command that it receives, whatever became of the ones before
// it. So a command whose effect relies on an earlier one is sent only when that one's
// answer is known: a statement after the commands that set its session's variables and
// begin its transaction. A refused Begin otherwise lets a write run outside its
// transaction, and a refused Set lets it run with the variables of another session.

// Exchange is one request to a database.
type Exchange struct {
	Variables map[string]string    // of the session
	Prepared  *PreparedStatement   // the prepared statement that Statement executes, if any
	Begin     *statement.Statement // starts the transaction of Statement; nil if none is to be started
	Statement statement.Statement
	WaitFor   statement.Position // log position that the database must have reached
	Deadline  time.Time
	// Context ends when the caller no longer waits for the answer; it may be nil. An owner
	// that has not started the exchange by then does not run it: NotSentError. One that
	// runs is not cancelled.
	Context context.Context
}

// Run performs an exchange and returns the answer to its statement. If the database
// refuses a command that the statement relies on, the statement is not sent, and the
// answer says so. A NotSentError means that nothing was run. After any other error the
// outcome is unknown and the lease must be discarded.
func (l *Lease) Run(x Exchange) (statement.Answer, error) {
	run := step{command: statement.Command{Op: statement.OpStatement, Statement: x.Statement, WaitFor: x.WaitFor}, prepared: x.Prepared}
	steps := []step{run}
	if x.Begin != nil {
		begin := statement.Command{Op: statement.OpStatement, Statement: *x.Begin, WaitFor: x.WaitFor}
		run.command.WaitFor = statement.Position{}
		steps = []step{{command: begin}, run}
	}
	if c, ok := l.conn.Conn.(Withdrawer); ok && x.Context != nil {
		c.WithdrawAfter(x.Context)
		defer c.WithdrawAfter(context.Background())
	}
	answers, err := l.runSteps(x.Deadline, x.Variables, steps)
	if err != nil {
		return statement.Answer{}, err
	}
	return answers[len(answers)-1], nil
}

// Begin starts a transaction of a session with the given variables, and reports whether
// it is open. Otherwise the lease has ended.
func (l *Lease) Begin(deadline time.Time, variables map[string]string, begin statement.Statement) bool {
	answers, err := l.runSteps(deadline, variables, []step{{command: statement.Command{Op: statement.OpStatement, Statement: begin}}})
	switch {
	case err != nil:
		l.Discard()
		return false
	case answers[0].Err == nil && answers[0].State == statement.TxOpen:
		return true
	case answers[0].State == statement.TxIdle:
		l.Release()
		return false
	}
	l.Rollback(deadline)
	return false
}

// RunCommands runs commands of another instance's session with its session
// variables, and returns one answer for each. The commands name prepared statements by
// the keys of prepared. No command is sent after one that it relies on has failed; its
// answer then says so. A NotSentError means that nothing was run. After any other error
// the outcome is unknown. The lease must be discarded after any error.
func (l *Lease) RunCommands(deadline time.Time, variables map[string]string, prepared map[string]PreparedStatement, commands []statement.Command) ([]statement.Answer, error) {
	steps := make([]step, len(commands))
	for i, c := range commands {
		steps[i].command = c
		if c.Name == "" {
			continue
		}
		p, ok := prepared[c.Name]
		if !ok {
			return nil, fmt.Errorf("prepared statement %s does not exist in the session", c.Name)
		}
		steps[i].prepared = &p
	}
	return l.runSteps(deadline, variables, steps)
}

// step is a command of a session, with the prepared statement that it executes, if any.
type step struct {
	command  statement.Command
	prepared *PreparedStatement
}

// runSteps brings the connection into the state of a session, runs the steps and
// returns one answer for each.
func (l *Lease) runSteps(deadline time.Time, variables map[string]string, steps []step) ([]statement.Answer, error) {
	commands := l.conn.variableCommands(variables)
	if len(commands) > 0 && commands[0].Op == statement.OpReset {
		clear(l.conn.prepared) // the statements are prepared again; if the reset is refused, under other names
	}
	indexes := make([]int, len(steps)) // of the steps in commands
	for i, s := range steps {
		if s.prepared != nil {
			name, prepare := l.conn.name(*s.prepared)
			commands = append(commands, prepare...)
			s.command.Name = name
		}
		indexes[i] = len(commands)
		commands = append(commands, s.command)
	}
	all, err := l.runInOrder(deadline, commands)
	if err != nil {
		return nil, err
	}
	answers := make([]statement.Answer, len(steps))
	for i, at := range indexes {
		answers[i] = all[at]
		if at > 0 && commands[at-1].Op == statement.OpPrepare && all[at-1].Err != nil && answers[i].Err != nil && answers[i].Err.Ran == result.RanNo {
			answers[i].Err = notStarted(all[at-1].Err) // the cause; the statement itself was unknown to the database
		}
	}
	return answers, nil
}

// runInOrder runs commands and returns one answer for each. It sends no command before
// the answers of those that it relies on.
func (l *Lease) runInOrder(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	all := make([]statement.Answer, 0, len(commands))
	for len(all) < len(commands) {
		rest := commands[len(all):]
		n := packetLength(rest)
		if c, ok := l.conn.Conn.(Sequencer); ok && c.Sequential() {
			n = len(rest)
		}
		setup := !slices.ContainsFunc(rest[:n], runsStatement)
		answers, err := l.send(deadline, rest[:n])
		if err != nil && setup && len(all) == 0 && !IsNotSent(err) {
			err = &NotSentError{Cause: result.Errorf(result.DatabaseDown, "database %s did not answer before the statement was sent: %w", l.pool.db.ID, err)}
		}
		if err != nil {
			return nil, err
		}
		all = append(all, answers...)
		if refusal := l.refusal(deadline, answers); refusal != nil && setup {
			last := answers[n-1]
			for len(all) < len(commands) {
				all = append(all, statement.Answer{Err: refusal, State: last.State, Position: last.Position})
			}
		}
	}
	return all, nil
}

// refusal returns why the commands that rely on the answered ones can't be sent, or nil
// if they can.
func (l *Lease) refusal(deadline time.Time, answers []statement.Answer) *result.Error {
	for _, a := range answers {
		if a.Err != nil {
			return notStarted(a.Err)
		}
	}
	if !time.Now().Before(deadline) {
		return result.Errorf(result.DeadlineBeforeRun, "the deadline passed before the statement was sent to database %s", l.pool.db.ID)
	}
	return nil
}

// notStarted returns the error of a statement that was not sent because the database
// answered e to a command that it relies on.
func notStarted(e *result.Error) *result.Error {
	if e.Ran == result.RanNo {
		return e
	}
	return result.Errorf(result.Overloaded, "the statement was not sent, because a command before it failed: %s", e.Message)
}

// packetLength returns how many of the commands may be sent together: those that only
// bring the session into the right state, or else one statement with the command that
// prepares it.
func packetLength(commands []statement.Command) int {
	n := 0
	for n < len(commands) && isSetup(commands[n]) {
		n++
	}
	if n > 0 {
		return n
	}
	for n < len(commands)-1 && commands[n].Op == statement.OpPrepare {
		n++
	}
	return n + 1
}

// isSetup reports whether statements rely on the success of the command, and the
// command itself has no lasting effect.
func isSetup(c statement.Command) bool {
	return c.Op == statement.OpReset || c.Op == statement.OpSet || isBegin(c)
}

func isBegin(c statement.Command) bool {
	return c.Op == statement.OpStatement && c.Statement.Kind == statement.Begin
}

// runsStatement reports whether the command runs a statement of a caller.
func runsStatement(c statement.Command) bool {
	return c.Op == statement.OpStatement && !isBegin(c)
}

// send sends commands in one packet and returns their answers.
func (l *Lease) send(deadline time.Time, commands []statement.Command) ([]statement.Answer, error) {
	p := l.pool
	withStatement := slices.ContainsFunc(commands, runsStatement)
	began := p.now()
	p.mu.Lock()
	p.health.begin(began)
	l.conn.exchanging = true
	l.hold(false)
	p.mu.Unlock()
	answers, err := l.conn.Do(deadline, commands)
	for i, a := range answers {
		l.conn.observe(commands[i], a)
	}
	if err != nil && slices.ContainsFunc(commands[len(answers):], changesVariables) {
		l.conn.unknown = true
	}
	ended := p.now()
	p.countExchange(err)
	p.observeRefusal(l.organisation, err)
	phase := phaseSession
	if withStatement {
		phase = phaseExchange
	}
	p.observePhase(phase, ended-began)
	queued := p.queue.Queued()
	p.mu.Lock()
	l.conn.exchanging, l.conn.usedAt = false, ended
	l.recordEnd(began, ended, err, withStatement)
	p.learn(l.conn.Conn, answers, ended-began, ended, queued)
	l.observePace(began, ended, withStatement, answers, err)
	switch {
	case err != nil:
	case withStatement:
		p.latency.add(ended-began, ended)
	default: // needs no slot of the database
		p.setupLatency.add(ended-began, ended)
	}
	if n := len(answers); n > 0 && !answers[n-1].Position.IsZero() {
		p.lastPosition = answers[n-1].Position
	}
	p.mu.Unlock()
	l.serviceTime += ended - began
	return answers, err
}

func changesVariables(c statement.Command) bool {
	return c.Op == statement.OpReset || c.Op == statement.OpSet
}
