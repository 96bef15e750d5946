package database

import "strings"

// schema looks up the declared types of columns and infers the types of parameters
// and expressions.
type schema struct {
	engine     *engine
	tables     map[string][]columnType
	referenced []string // tables in the statement
}

type columnType struct {
	name string
	oid  uint32
}

func newSchema(e *engine, tokens []token) *schema {
	s := &schema{engine: e, tables: make(map[string][]columnType)}
	for i := range tokens[:max(len(tokens)-1, 0)] {
		t := tokens[i]
		if t.is("from") || t.is("join") || t.is("into") || t.is("update") || t.is(",") {
			if name := tokens[i+1].name(); name != "" && len(s.columns(name)) > 0 {
				s.referenced = append(s.referenced, name)
			}
		}
	}
	return s
}

// columns returns the columns of a table; none if it does not exist.
func (s *schema) columns(table string) []columnType {
	if cols, ok := s.tables[table]; ok {
		return cols
	}
	rs, err := s.engine.run("SELECT name, type FROM pragma_table_info(?1)", []any{table})
	var cols []columnType
	if err == nil {
		for _, r := range rs.rows {
			name, _ := r[0].(string)
			typ, _ := r[1].(string)
			cols = append(cols, columnType{strings.ToLower(name), oidOfType(typ)})
		}
	}
	s.tables[table] = cols
	return cols
}

// column returns the type of a column in the statement's tables, or 0.
func (s *schema) column(name string) uint32 {
	for _, t := range s.referenced {
		for _, c := range s.columns(t) {
			if c.name == name {
				return c.oid
			}
		}
	}
	return 0
}

// paramTypes infers the types of the n parameters. 0 means unknown: a client then
// encodes the parameter by the type of its value.
func (s *schema) paramTypes(text *sqlText, n int, given []uint32) []uint32 {
	types := make([]uint32, n)
	for i, t := range text.tokens {
		if t.kind != tokenParam {
			continue
		}
		if k := paramNumber(t) - 1; k < n && types[k] == 0 {
			types[k] = s.paramType(text.tokens, i)
		}
	}
	s.insertTypes(text.tokens, types)
	for i := range types {
		if oid, ok := text.casts[i+1]; ok {
			types[i] = oid
		}
		if i < len(given) && given[i] != 0 {
			types[i] = given[i]
		}
	}
	return types
}

var operators = map[string]bool{
	"=": true, "<": true, ">": true, "<=": true, ">=": true, "<>": true, "!=": true, "+": true, "-": true, "*": true, "/": true, "like": true, "ilike": true,
}

// paramType infers the type of the parameter at token index i from the adjacent
// tokens.
func (s *schema) paramType(tokens []token, i int) uint32 {
	at := func(j int) token {
		if j < 0 || j >= len(tokens) {
			return token{tokenOperator, ""}
		}
		return tokens[j]
	}
	switch prev := at(i - 1); {
	case prev.is("limit") || prev.is("offset"):
		return oidInt8
	case operators[strings.ToLower(prev.text)] && prev.kind != tokenString:
		if oid := s.operand(at(i - 2)); oid != 0 {
			return oid
		}
	case prev.is("between"):
		return s.column(at(i - 2).name())
	case prev.is("and") && at(i-3).is("between"):
		return s.column(at(i - 4).name())
	}
	if operators[strings.ToLower(at(i+1).text)] {
		if oid := s.operand(at(i + 2)); oid != 0 {
			return oid
		}
	}
	if at(i+1).is("as") && at(i-2).is("cast") {
		return oidOfType(at(i + 2).name())
	}
	return s.inListType(tokens, i)
}

func (s *schema) operand(t token) uint32 {
	switch t.kind {
	case tokenWord, tokenIdent:
		return s.column(t.name())
	case tokenNumber:
		return numberType(t.text)
	}
	return 0
}

// inListType returns the type of a parameter in column IN ($1, $2), or 0.
func (s *schema) inListType(tokens []token, i int) uint32 {
	for j := i - 1; j > 1; j-- {
		switch {
		case tokens[j].is("(") && tokens[j-1].is("in"):
			k := j - 2
			if tokens[k].is("not") && k > 0 {
				k--
			}
			return s.column(tokens[k].name())
		case tokens[j].kind != tokenParam && !tokens[j].is(","):
			return 0
		}
	}
	return 0
}

// insertTypes sets the types of parameters in INSERT ... VALUES to those of the
// columns.
func (s *schema) insertTypes(tokens []token, types []uint32) {
	into := indexOf(tokens, "into")
	values := indexOf(tokens, "values")
	if into < 0 || values < into || into+1 >= len(tokens) {
		return
	}
	cols := s.columns(tokens[into+1].name())
	if names := tokens[into+2 : values]; len(names) > 0 && names[0].is("(") {
		cols = nil
		for _, t := range names {
			if name := t.name(); name != "" {
				cols = append(cols, columnType{name, s.column(name)})
			}
		}
	}
	depth, index := 0, 0
	for _, t := range tokens[values+1:] {
		switch {
		case t.is("on") || t.is("returning"):
			return
		case t.is("("):
			if depth == 0 {
				index = 0
			}
			depth++
		case t.is(")"):
			depth--
		case t.is(",") && depth == 1:
			index++
		case t.kind == tokenParam && depth == 1:
			if k := paramNumber(t) - 1; k < len(types) && types[k] == 0 && index < len(cols) {
				types[k] = cols[index].oid
			}
		}
	}
}

func indexOf(tokens []token, word string) int {
	for i, t := range tokens {
		if t.is(word) {
			return i
		}
	}
	return -1
}

func numberType(text string) uint32 {
	if strings.ContainsAny(text, ".eE") {
		return oidFloat8
	}
	return oidInt8
}
