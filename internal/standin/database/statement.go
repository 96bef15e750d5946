package database

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/backend"
)

// preparedStatement is a parsed statement with the types of its parameters and
// result columns.
type preparedStatement struct {
	text     *sqlText
	call     *call // group or control function, or nil
	params   []uint32
	fields   []field
	readOnly bool
	empty    bool
}

// prepareStatement parses one statement of a client; given are the types of
// parameters that the client declared.
func (se *session) prepareStatement(tokens []token, given []uint32) (*preparedStatement, error) {
	if len(tokens) == 0 {
		return &preparedStatement{text: &sqlText{}, empty: true}, nil
	}
	p := &preparedStatement{text: rewrite(tokens)}
	if c, err := parseCall(tokens); err != nil || c != nil {
		if err == nil {
			p.call, p.params, p.fields = c, c.paramTypes(), c.fields()
		}
		return p, err
	}
	switch p.text.keyword(0) {
	case "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release", "set", "reset", "discard", "deallocate":
		return p, nil
	case "show":
		p.fields = []field{{name: strings.ToLower(joinTokens(tokens[1:])), oid: oidText}}
		return p, nil
	}
	if se.tx.failed && se.tx.explicit {
		return nil, errFailedTransaction()
	}
	return p, se.analyze(p, given)
}

// analyze determines the types of parameters and result columns. In an open write
// transaction it uses the writer, because the transaction may have created tables.
func (se *session) analyze(p *preparedStatement, given []uint32) error {
	e := se.server.writer
	if se.tx.write == nil {
		se.server.readMu.Lock()
		defer se.server.readMu.Unlock()
		e = se.server.reader
	}
	st, err := e.prepare(p.text.sql)
	if err != nil {
		return err
	}
	types := newSchema(e, p.text.tokens)
	p.readOnly = st.readOnly
	p.params = types.paramTypes(p.text, st.params, given)
	p.fields = types.fields(p.text, st.columns, p.params)
	return nil
}

// result is the result of a statement.
type result struct {
	rows [][]any
	tag  string
}

// run executes a statement other than transaction control.
func (se *session) run(p *preparedStatement, args []any) (*result, error) {
	if p.call != nil {
		return se.runCall(p.call, args)
	}
	if se.tx.failed && se.tx.explicit {
		return nil, errFailedTransaction()
	}
	if p.text.keyword(0) == "show" {
		return &result{rows: [][]any{{se.show(p.fields[0].name)}}, tag: "SHOW"}, nil
	}
	ctx, done := se.statementContext()
	defer done()
	write := !p.readOnly || p.text.locking
	if write && se.tx.readOnly {
		return nil, errorf(stateReadOnly, "cannot execute %s in a read-only transaction", strings.ToUpper(p.text.keyword(0)))
	}
	// The service time passes in a slot before the writer is acquired, so that
	// statements of different transactions overlap, and a statement that waits
	// for the writer does not occupy a slot that the open transaction needs.
	lock := write || (se.tx.lockAtStart && !se.tx.readOnly && se.server.isPrimary())
	if lock && se.tx.write == nil {
		if st := se.server.status(); st.Role != backend.RolePrimary {
			return nil, errNotPrimary(st.Role, st.Term)
		}
	}
	if err := se.server.occupySlot(ctx, sleepTime(p.text.sql)); err != nil {
		return nil, err
	}
	if lock {
		if err := se.openWrite(ctx); err != nil {
			return nil, err
		}
	}
	return se.runOnEngine(ctx, p, args)
}

// occupySlot waits for a slot and occupies it for the service time plus extra.
func (s *Server) occupySlot(ctx context.Context, extra time.Duration) error {
	if err := s.slots.acquire(ctx); err != nil {
		return err
	}
	defer s.slots.release()
	service := loadDuration(&s.serviceTime)
	s.statements.Add(1)
	return sleep(ctx, service+extra)
}

// runOnEngine executes a statement in the open write transaction, or else on the
// committed content.
func (se *session) runOnEngine(ctx context.Context, p *preparedStatement, args []any) (*result, error) {
	var rs *rowSet
	var err error
	if se.tx.write != nil {
		rs, err = se.server.runWrite(ctx, se.tx.write, p.text.sql, args, !p.readOnly)
	} else {
		rs, err = se.server.runRead(ctx, p.text.sql, args)
	}
	if err != nil {
		return nil, err
	}
	return &result{rows: rs.rows, tag: commandTag(p, rs)}, nil
}

var sleepCall = regexp.MustCompile(`(?i)\bpg_sleep \( ([0-9.]+) \)`)

// sleepTime returns the time of a pg_sleep call in sql, or 0. The engine's
// function pg_sleep returns at once; occupySlot does the waiting.
func sleepTime(sql string) time.Duration {
	m := sleepCall.FindStringSubmatch(sql)
	if m == nil {
		return 0
	}
	d, err := time.ParseDuration(m[1] + "s")
	if err != nil {
		return 0
	}
	return d
}

// commandTag returns the command tag of CommandComplete.
func commandTag(p *preparedStatement, rs *rowSet) string {
	verb := p.text.keyword(0)
	if verb == "with" {
		verb = mainVerb(p.text.tokens)
	}
	switch verb {
	case "insert":
		return fmt.Sprintf("INSERT 0 %d", rs.changed)
	case "update", "delete":
		return fmt.Sprintf("%s %d", strings.ToUpper(verb), rs.changed)
	case "select", "values", "table":
		return fmt.Sprintf("SELECT %d", len(rs.rows))
	case "truncate":
		return "TRUNCATE TABLE"
	case "create", "drop", "alter":
		object := p.text.keyword(1)
		if object == "unique" {
			object = "index"
		}
		return strings.ToUpper(verb + " " + object)
	}
	return strings.ToUpper(verb)
}

// mainVerb returns the verb of the statement after the common table expressions.
func mainVerb(tokens []token) string {
	depth := 0
	for _, t := range tokens {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth == 0 && (t.is("insert") || t.is("update") || t.is("delete") || t.is("select")):
			return strings.ToLower(t.text)
		}
	}
	return "select"
}

// show returns the value of a parameter that drivers query with SHOW, or an empty
// string.
func (se *session) show(name string) string {
	switch name {
	case "transaction_read_only", "default_transaction_read_only":
		if se.tx.readOnly || !se.server.isPrimary() {
			return "on"
		}
		return "off"
	case "server_version":
		return "16.4"
	case "transaction isolation level", "transaction_isolation":
		return "read committed"
	}
	return ""
}

func (se *session) simpleQuery(sql string) {
	if err := se.runSimple(sql); err != nil {
		se.sendError(err)
		se.tx.fail()
	}
	if !se.tx.explicit {
		if err := se.endTransaction(!se.tx.failed); err != nil {
			se.sendError(err)
		}
	}
	se.sendReady()
}

func (se *session) runSimple(sql string) error {
	tokens, err := tokenize(sql)
	if err != nil {
		return err
	}
	statements := splitStatements(tokens)
	if len(statements) == 0 {
		se.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, st := range statements {
		p, err := se.prepareStatement(st, nil)
		if err != nil {
			return err
		}
		if len(p.params) > 0 {
			return errorf("42P02", "there is no parameter $1 in a simple query")
		}
		if handled, err := se.control(p); err != nil {
			return err
		} else if handled {
			continue
		}
		res, err := se.run(p, nil)
		if err != nil {
			return err
		}
		if len(p.fields) > 0 {
			se.backend.Send(rowDescription(p.fields, nil))
		}
		if err := se.sendRows(p.fields, nil, res.rows); err != nil {
			return err
		}
		se.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	}
	return nil
}
