package entry

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/result"
	"geraniumbeam/internal/route"
)

// localMessage is a message of a batch that is answered without a database.
type localMessage struct {
	kind        byte   // message type; Describe is 'S' for a statement and 'D' for a portal
	name        string // statement or portal
	script      *route.Script
	stmt        *preparedStatement
	forwardable bool // can also be part of a batch for a database
}

// textOID is the type of the values that SHOW returns.
const textOID = 25

// isLocal reports whether a script is answered without a database.
func isLocal(s *route.Script) bool {
	for _, k := range []route.Kind{route.KindProxyParameter, route.KindSet, route.KindDiscard} {
		if _, ok := s.Single(k); ok {
			return true
		}
	}
	return false
}

// checkScript returns an error if the script is not supported. Otherwise it reports
// whether the script is answered without a database.
func (c *callerConn) checkScript(s *route.Script) (local bool, err error) {
	if s.Err != nil {
		return false, s.Err
	}
	if isLocal(s) {
		return true, nil
	}
	for _, st := range s.Statements {
		switch st.Kind {
		case route.KindUnsupported:
			return false, result.Errorf(result.NotSupported,
				"%s is not supported here: backend connections are shared and keep no session state",
				strings.ToUpper(st.Keyword()))
		case route.KindProxyParameter, route.KindSet, route.KindDiscard:
			return false, result.Errorf(result.NotSupported,
				"%s is handled by the proxy and must be sent alone", strings.ToUpper(st.Keyword()))
		}
	}
	return false, nil
}

// runLocal answers a batch that needs no database.
func (c *callerConn) runLocal(b *batch) error {
	var out []byte
	for _, m := range b.local {
		next, err := c.answerLocalMessage(out, m)
		if err != nil {
			return c.refuse(b, out, err)
		}
		out = next
	}
	return c.sendAnswer(b, appendReady(out, c.transactionStatus()))
}

func (c *callerConn) answerLocalMessage(out []byte, m localMessage) ([]byte, error) {
	switch m.kind {
	case 'Q':
		if len(m.script.Statements) == 0 {
			return encode(out, &pgproto3.EmptyQueryResponse{}), nil
		}
		return c.runStatement(appendRowDescription(out, m.script, false), m.script.Statements[0])
	case 'P':
		c.setStatement(m.name, m.stmt)
		return encode(out, &pgproto3.ParseComplete{}), nil
	case 'B':
		return encode(out, &pgproto3.BindComplete{}), nil
	case 'S':
		out = encode(out, &pgproto3.ParameterDescription{})
		return appendRowDescription(out, m.script, true), nil
	case 'D':
		return appendRowDescription(out, m.script, true), nil
	case 'E':
		return c.runStatement(out, m.script.Statements[0])
	default:
		c.setStatement(m.name, nil)
		return encode(out, &pgproto3.CloseComplete{}), nil
	}
}

func (c *callerConn) setStatement(name string, p *preparedStatement) {
	if p == nil {
		delete(c.statements, name)
		return
	}
	if c.statements == nil {
		c.statements = make(map[string]*preparedStatement)
	}
	c.statements[name] = p
}

// appendRowDescription appends the description of the result of SHOW. For other
// statements, which return no rows, it appends NoData in the extended protocol.
func appendRowDescription(out []byte, s *route.Script, extended bool) []byte {
	st := s.Statements[0]
	if st.Keyword() == "show" {
		return encode(out, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
			Name: []byte(st.Tokens[1]), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		}}})
	}
	if extended {
		return encode(out, &pgproto3.NoData{})
	}
	return out
}

// runStatement runs one statement and appends its rows and CommandComplete.
func (c *callerConn) runStatement(out []byte, st route.Statement) ([]byte, error) {
	tag := strings.ToUpper(st.Keyword())
	var err error
	switch st.Keyword() {
	case "show":
		var v string
		if v, err = c.showProxyParameter(st.Tokens[1]); err == nil {
			out = encode(out, &pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
		}
	case "set":
		out, err = c.runSet(out, st)
	case "reset":
		err = c.runReset(st)
	case "discard", "deallocate":
		err = c.runDiscard(st)
	}
	if err != nil {
		return out, err
	}
	return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(tag)}), nil
}

func (c *callerConn) runSet(out []byte, st route.Statement) ([]byte, error) {
	name, value, err := parseSet(st)
	if err != nil {
		return out, err
	}
	if isProxyParameter(name) {
		if value == "default" {
			return out, c.resetProxyParameter(name)
		}
		return out, c.setProxyParameter(name, value)
	}
	if err := c.setPostgresParameter(name, value); err != nil {
		return out, err
	}
	if p, _ := findPostgresParameter(name); p.acceptAny {
		out = encode(out, &pgproto3.ParameterStatus{Name: p.name, Value: value})
	}
	return out, nil
}

// parseSet returns the name and the value of a SET statement, including the forms
// SET TIME ZONE and SET NAMES.
func parseSet(st route.Statement) (name, value string, err error) {
	w := st.Tokens[1:]
	if len(w) > 1 && w[0] == "session" {
		w = w[1:]
	}
	switch {
	case len(w) > 2 && w[0] == "time" && w[1] == "zone":
		return "timezone", strings.Join(w[2:], ""), nil
	case len(w) > 1 && w[0] == "names":
		return "names", strings.Join(w[1:], ""), nil
	case len(w) > 2 && (w[1] == "=" || w[1] == "to"):
		return w[0], strings.Join(w[2:], ""), nil
	}
	return "", "", result.Errorf(result.NotSupported, "SET is supported only as SET NAME = VALUE")
}

func (c *callerConn) runReset(st route.Statement) error {
	if st.Tokens[1] != "all" {
		return c.resetProxyParameter(st.Tokens[1])
	}
	c.params = c.startupParams
	return nil
}

// runDiscard runs DISCARD and DEALLOCATE. DISCARD keeps the session's floors,
// because a later read could otherwise miss an earlier write of the session.
func (c *callerConn) runDiscard(st route.Statement) error {
	words := st.Tokens[1:]
	if len(words) > 0 && words[0] == "prepare" {
		words = words[1:]
	}
	if len(words) == 0 {
		return result.Errorf(result.NotSupported, "%s without a name or ALL is not supported", strings.ToUpper(st.Keyword()))
	}
	switch {
	case st.Keyword() == "reset":
		c.params = c.startupParams
	case st.Keyword() == "discard":
		c.params = c.startupParams
		c.statements = nil
	case words[0] == "all":
		c.statements = nil
	default:
		if c.statements[words[0]] == nil {
			return result.Errorf(result.UnknownStatement, "prepared statement %q does not exist", words[0])
		}
		delete(c.statements, words[0])
	}
	return nil
}
