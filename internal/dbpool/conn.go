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
// service. It fails with result.WrongDatabase or result.ConnectionsBusy if the
// database refuses the connection.
type Dial func(ctx context.Context, address, service, id string) (Conn, error)

// PreparedStatement identifies a prepared statement by its content. Sessions may
// use one name for different statements, and connections are shared.
type PreparedStatement struct {
	Text   string
	Writes bool
}

// maxPrepared bounds the prepared statements of one connection. Each takes a
// few hundred bytes in the instance and in the database.
const maxPrepared = 256

// pooledConn is a connection with the state of its session at the database.
type pooledConn struct {
	Conn
	variables map[string]string
	prepared  map[PreparedStatement]string // names at the database
	idleSince time.Duration
}

func newPooledConn(c Conn) *pooledConn {
	return &pooledConn{Conn: c, variables: map[string]string{}, prepared: map[PreparedStatement]string{}}
}

// syncVariables returns the commands that give the connection exactly the given
// session variables. The database can reset variables only all at once, which
// also drops the prepared statements.
func (c *pooledConn) syncVariables(variables map[string]string) []statement.Command {
	var commands []statement.Command
	if !c.variablesSubsetOf(variables) || len(c.prepared) >= maxPrepared {
		commands = append(commands, statement.Command{Op: statement.OpReset})
		clear(c.variables)
		clear(c.prepared)
	}
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		value := variables[name]
		if old, ok := c.variables[name]; ok && old == value {
			continue
		}
		commands = append(commands, statement.Command{Op: statement.OpSet, Name: name, Value: value})
		c.variables[name] = value
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

// prepare returns the name of a statement at the database, and the command that
// prepares it if the connection has not prepared it yet.
func (c *pooledConn) prepare(s PreparedStatement) (string, []statement.Command) {
	if name, ok := c.prepared[s]; ok {
		return name, nil
	}
	name := "g" + strconv.Itoa(len(c.prepared))
	c.prepared[s] = name
	return name, []statement.Command{{Op: statement.OpPrepare, Name: name, Value: s.Text, Writes: s.Writes}}
}
