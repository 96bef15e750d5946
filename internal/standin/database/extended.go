package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// portal is a prepared statement with bound parameters.
type portal struct {
	statement *preparedStatement
	args      []any
	formats   []int16
	rows      [][]any // rows not yet sent
	result    *result // nil until executed
}

func (se *session) parse(m *pgproto3.Parse) error {
	tokens, err := tokenize(m.Query)
	if err != nil {
		return err
	}
	statements := splitStatements(tokens)
	if len(statements) > 1 {
		return errorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	var first []token
	if len(statements) == 1 {
		first = statements[0]
	}
	p, err := se.prepareStatement(first, m.ParameterOIDs)
	if err != nil {
		return err
	}
	se.statements[m.Name] = p
	se.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (se *session) bind(m *pgproto3.Bind) error {
	p, ok := se.statements[m.PreparedStatement]
	if !ok {
		return errorf(stateInvalidStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return errorf(stateProtocol, "statement has %d parameters, got %d", len(p.params), len(m.Parameters))
	}
	args := make([]any, len(m.Parameters))
	for i, data := range m.Parameters {
		v, err := decodeParam(p.params[i], formatAt(m.ParameterFormatCodes, i), data)
		if err != nil {
			return err
		}
		args[i] = v
	}
	// Copied, because the next Receive reuses the slices of the message.
	formats := append([]int16(nil), m.ResultFormatCodes...)
	se.portals[m.DestinationPortal] = &portal{statement: p, args: args, formats: formats}
	se.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format of the i-th value. By the protocol, no codes mean
// text for all values, and a single code applies to all.
func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return formatText
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return formatText
}

func (se *session) describe(m *pgproto3.Describe) error {
	var p *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		st, ok := se.statements[m.Name]
		if !ok {
			return errorf(stateInvalidStatement, "prepared statement %q does not exist", m.Name)
		}
		p = st
		se.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	} else {
		po, ok := se.portals[m.Name]
		if !ok {
			return errorf(stateInvalidCursor, "portal %q does not exist", m.Name)
		}
		p, formats = po.statement, po.formats
	}
	if len(p.fields) == 0 {
		se.backend.Send(&pgproto3.NoData{})
		return nil
	}
	se.backend.Send(rowDescription(p.fields, formats))
	return nil
}

func (se *session) execute(m *pgproto3.Execute) error {
	po, ok := se.portals[m.Portal]
	if !ok {
		return errorf(stateInvalidCursor, "portal %q does not exist", m.Portal)
	}
	if po.statement.empty {
		se.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.result == nil {
		if handled, err := se.control(po.statement); handled || err != nil {
			return err
		}
		res, err := se.run(po.statement, po.args)
		if err != nil {
			return err
		}
		po.result, po.rows = res, res.rows
	}
	n := len(po.rows)
	if m.MaxRows > 0 && int(m.MaxRows) < n {
		n = int(m.MaxRows)
	}
	if err := se.sendRows(po.statement.fields, po.formats, po.rows[:n]); err != nil {
		return err
	}
	if po.rows = po.rows[n:]; len(po.rows) > 0 {
		se.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	se.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.tag)})
	return nil
}

func (se *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(se.statements, m.Name)
	} else {
		delete(se.portals, m.Name)
	}
	se.backend.Send(&pgproto3.CloseComplete{})
}

func rowDescription(fields []field, formats []int16) *pgproto3.RowDescription {
	out := make([]pgproto3.FieldDescription, len(fields))
	for i, f := range fields {
		out[i] = pgproto3.FieldDescription{
			Name:         []byte(f.name),
			DataTypeOID:  f.oid,
			DataTypeSize: typeSize(f.oid),
			TypeModifier: -1,
			Format:       formatAt(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: out}
}

func (se *session) sendRows(fields []field, formats []int16, rows [][]any) error {
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			b, err := encodeValue(fields[i].oid, formatAt(formats, i), v)
			if err != nil {
				return err
			}
			values[i] = b
		}
		se.backend.Send(&pgproto3.DataRow{Values: values})
	}
	return nil
}
