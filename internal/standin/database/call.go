package database

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumbeam/internal/backend"
)

// call is a statement that consists of one group or control function, such as
// SELECT * FROM group_wait(3, 17, 500). It needs no slot.
type call struct {
	name    string
	args    []token
	columns []string // selected columns; empty: all
}

// Names of the group and control functions.
const (
	funcStatus  = "group_status"
	funcWait    = "group_wait"
	funcRaise   = "group_raise"
	funcPromote = "group_promote"
	funcFollow  = "group_follow"
	funcSet     = "standin_set"
	funcGet     = "standin_get"
)

// callTypes maps function names to the types of the arguments.
var callTypes = map[string][]uint32{
	funcStatus:  {},
	funcWait:    {oidInt8, oidInt8, oidInt8},
	funcRaise:   {oidInt8},
	funcPromote: {oidInt8},
	funcFollow:  {oidInt8, oidText},
	funcSet:     {oidText, oidInt8},
	funcGet:     {oidText},
}

var statusFields = []field{
	{"term", oidInt8}, {"role", oidText}, {"last_term", oidInt8}, {"position", oidInt8}, {"primary_age_ms", oidInt8}, {"leaving", oidBool},
}

// parseCall parses SELECT f(...) and SELECT columns FROM f(...). It returns nil
// for other statements.
func parseCall(tokens []token) (*call, error) {
	i := slices.IndexFunc(tokens, func(t token) bool { _, ok := callTypes[t.name()]; return ok })
	if i < 1 || !tokens[0].is("select") || i+2 >= len(tokens) || !tokens[i+1].is("(") || !tokens[len(tokens)-1].is(")") {
		return nil, nil
	}
	c := &call{name: tokens[i].name()}
	if i > 1 {
		if !tokens[i-1].is("from") {
			return nil, nil
		}
		for _, t := range tokens[1 : i-1] {
			if t.name() != "" {
				c.columns = append(c.columns, t.name())
			}
		}
	}
	for _, t := range tokens[i+2 : len(tokens)-1] {
		if !t.is(",") {
			c.args = append(c.args, t)
		}
	}
	if want := len(callTypes[c.name]); len(c.args) != want {
		return nil, errorf(stateUndefinedFunction, "%s takes %d arguments, got %d", c.name, want, len(c.args))
	}
	return c, c.checkColumns()
}

func (c *call) checkColumns() error {
	for _, name := range c.columns {
		if !slices.ContainsFunc(c.allFields(), func(f field) bool { return f.name == name }) {
			return errorf(stateUndefinedColumn, "column %q does not exist in %s", name, c.name)
		}
	}
	return nil
}

func (c *call) allFields() []field {
	if c.name == funcSet || c.name == funcGet {
		return []field{{c.name, oidInt8}}
	}
	return statusFields
}

func (c *call) fields() []field {
	all := c.allFields()
	if len(c.columns) == 0 {
		return all
	}
	out := make([]field, 0, len(c.columns))
	for _, name := range c.columns {
		i := slices.IndexFunc(all, func(f field) bool { return f.name == name })
		out = append(out, all[i])
	}
	return out
}

func (c *call) paramTypes() []uint32 {
	var types []uint32
	for i, t := range c.args {
		if t.kind != tokenParam {
			continue
		}
		n := paramNumber(t)
		for len(types) < n {
			types = append(types, oidText)
		}
		types[n-1] = callTypes[c.name][i]
	}
	return types
}

// values returns the arguments as int64 or string values.
func (c *call) values(bound []any) ([]any, error) {
	out := make([]any, len(c.args))
	for i, t := range c.args {
		switch t.kind {
		case tokenParam:
			out[i] = bound[paramNumber(t)-1]
		case tokenString:
			out[i] = strings.ReplaceAll(strings.Trim(t.text, "'"), "''", "'")
		case tokenNumber:
			n, err := strconv.ParseInt(t.text, 10, 64)
			if err != nil {
				return nil, errorf(stateInvalidText, "argument %q of %s is not an integer", t.text, c.name)
			}
			out[i] = n
		}
		_, isInt := out[i].(int64)
		if isInt != (callTypes[c.name][i] == oidInt8) || out[i] == nil {
			return nil, errorf(stateInvalidText, "argument %d of %s has the wrong type", i+1, c.name)
		}
		if n, ok := out[i].(int64); ok && n < 0 {
			return nil, errorf(stateInvalidValue, "argument %d of %s is negative", i+1, c.name)
		}
	}
	return out, nil
}

// runCall executes a group or control function.
func (se *session) runCall(c *call, bound []any) (*result, error) {
	if se.tx.failed && se.tx.explicit && c.name != funcStatus {
		return nil, errFailedTransaction()
	}
	args, err := c.values(bound)
	if err != nil {
		return nil, err
	}
	s := se.server
	switch c.name {
	case funcRaise:
		err = s.raise(uint64(args[0].(int64)))
	case funcPromote:
		err = s.promote(uint64(args[0].(int64)))
	case funcFollow:
		err = s.follow(uint64(args[0].(int64)), args[1].(string))
	case funcWait:
		if err = se.backend.Flush(); err == nil {
			ctx, done := se.statementContext()
			defer done()
			want := backend.Position{Term: uint64(args[0].(int64)), Offset: uint64(args[1].(int64))}
			err = s.waitForPosition(ctx, want, time.Duration(args[2].(int64))*time.Millisecond)
		}
	case funcSet, funcGet:
		var v int64
		if c.name == funcSet {
			v, err = s.set(args[0].(string), args[1].(int64))
		} else {
			v, err = s.get(args[0].(string))
		}
		return &result{rows: [][]any{{v}}, tag: "SELECT 1"}, err
	}
	if err != nil {
		return nil, err
	}
	return &result{rows: [][]any{c.project(s.status())}, tag: "SELECT 1"}, nil
}

// project returns the values of the selected columns for a status.
func (c *call) project(st backend.Status) []any {
	leaving := int64(0)
	if st.Leaving {
		leaving = 1
	}
	values := map[string]any{
		"term": int64(st.Term), "role": string(st.Role), "last_term": int64(st.Last.Term), "position": int64(st.Last.Offset),
		"primary_age_ms": st.PrimaryAge.Milliseconds(), "leaving": leaving,
	}
	fields := c.fields()
	row := make([]any, len(fields))
	for i, f := range fields {
		row[i] = values[f.name]
	}
	return row
}

// waitForPosition returns nil when the log has reached p or d has passed, and an
// error if ctx ends before.
func (s *Server) waitForPosition(ctx context.Context, p backend.Position, d time.Duration) error {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		reached, changed := s.log.last().Compare(p) >= 0, s.changed
		s.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return errorf(stateCancelled, "statement cancelled on user request")
		}
	}
}
