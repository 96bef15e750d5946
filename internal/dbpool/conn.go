// Package dbpool pools the connections of one instance to the databases and
// schedules the requests that use them.
//
// Invariants: an instance never holds more connections to a database than
// Sizing.MaxOpen. A connection serves one session at a time, and only after its
// session variables equal the session's. A connection on which an exchange
// failed is never used again.
package dbpool

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

// Conn is a connection to a database. It is used by one goroutine at a time.
type Conn interface {
	// Do pipelines the commands and returns one answer for each. On an error
	// it returns the answers that were received completely; any command may
	// have been run.
	Do(deadline time.Time, commands []statement.Command) ([]statement.Answer, error)
	// Status runs a command that returns the database's status.
	Status(deadline time.Time, c statement.Command) (statement.Status, error)
	// Alive reports whether the connection is open and has no unread data.
	Alive() bool
	Close() error
	// Abort closes the connection and discards data that was sent and has not
	// arrived.
	Abort() error
}

// Dial opens a connection to the database with the given id, which serves the
// service, under the name of the organisation, or of the instance if organisation is
// empty. It fails with result.WrongDatabase or result.ConnectionsBusy if the database
// refuses the connection.
type Dial func(ctx context.Context, address, service, id, organisation string) (Conn, error)

// PreparedStatement identifies a prepared statement by its content. Sessions may
// use one name for different statements, and connections are shared.
type PreparedStatement struct {
	Text   string
	Writes bool
}

// maxPrepared bounds the prepared statements of one connection. Each takes a
// few hundred bytes in the instance and in the database.
const maxPrepared = 256

// Sequencer is a connection whose peer runs the commands of one exchange one after the
// other and none after one that fails.
type Sequencer interface {
	// Sequential reports whether the peer does so.
	Sequential() bool
}

// pooledConn is a connection with the state of its session at the database, as the
// database has confirmed it.
type pooledConn struct {
	Conn
	organisation string // under whose name it was opened; empty if it serves none
	variables    map[string]string
	prepared     map[PreparedStatement]string // names at the database
	// lastName is the number of the latest name given to a prepared statement. A name
	// is never given again on a connection: then an Execute that is sent together with
	// its Prepare runs nothing if the Prepare is refused.
	lastName  int
	idleSince time.Duration
	takenAt   time.Duration // when the current request got the connection
	// exchanging is set during an exchange; usedAt is the end of the last one. Pool.mu
	// protects them.
	exchanging bool
	usedAt     time.Duration
	// unknown is set if the database may have carried out a command that changes the
	// variables and has not confirmed it. The connection is then used no more.
	unknown bool
}

func newPooledConn(c Conn, organisation string) *pooledConn {
	return &pooledConn{Conn: c, organisation: organisation, variables: map[string]string{}, prepared: map[PreparedStatement]string{}}
}

// variableCommands returns the commands that give the connection exactly the given
// session variables. The database can reset variables only all at once, which
// also drops the prepared statements.
func (c *pooledConn) variableCommands(variables map[string]string) []statement.Command {
	var commands []statement.Command
	current := c.variables
	if !c.variablesSubsetOf(variables) || len(c.prepared) >= maxPrepared {
		commands = append(commands, statement.Command{Op: statement.OpReset})
		current = nil
	}
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		value := variables[name]
		if old, ok := current[name]; ok && old == value {
			continue
		}
		commands = append(commands, statement.Command{Op: statement.OpSet, Name: name, Value: value})
	}
	return commands
}

func (c *pooledConn) variablesSubsetOf(variables map[string]string) bool {
	for name := range c.variables {
		if _, ok := variables[name]; !ok {
			return false
		}
	}
	return true
}

// name returns the name of a statement at the database, and the command that
// prepares it if the connection has not prepared it yet.
func (c *pooledConn) name(s PreparedStatement) (string, []statement.Command) {
	if name, ok := c.prepared[s]; ok {
		return name, nil
	}
	c.lastName++
	name := "g" + strconv.Itoa(c.lastName)
	return name, []statement.Command{{Op: statement.OpPrepare, Name: name, Value: s.Text, Writes: s.Writes}}
}

// observe updates the known state of the session from the answer to a command.
func (c *pooledConn) observe(cmd statement.Command, a statement.Answer) {
	if a.Err != nil {
		switch {
		case (cmd.Op == statement.OpSet || cmd.Op == statement.OpReset) && a.Err.Ran != result.RanNo:
			c.unknown = true
		case cmd.Name != "" && a.Err.Code == result.UnknownStatement:
			maps.DeleteFunc(c.prepared, func(_ PreparedStatement, name string) bool { return name == cmd.Name })
		}
		return
	}
	switch cmd.Op {
	case statement.OpReset:
		clear(c.variables)
		clear(c.prepared)
	case statement.OpSet:
		c.variables[cmd.Name] = cmd.Value
	case statement.OpPrepare:
		c.prepared[PreparedStatement{Text: cmd.Value, Writes: cmd.Writes}] = cmd.Name
	}
}
