package database

import "strings"

// field is a column of a RowDescription.
type field struct {
	name string
	oid  uint32
}

// fields returns the result columns with the declared type, or with a type inferred
// from the expression if SQLite reports none.
func (s *schema) fields(text *sqlText, cols []column, params []uint32) []field {
	items := selectItems(text.tokens)
	out := make([]field, len(cols))
	for i, c := range cols {
		out[i] = field{name: resultName(c.name), oid: oidOfType(c.declared)}
		if c.declared != "" {
			continue
		}
		out[i].oid = oidText
		if len(items) == len(cols) {
			if oid := s.exprType(items[i], params); oid != 0 {
				out[i].oid = oid
			}
		}
	}
	return out
}

// resultName returns the column name that PostgreSQL gives to an expression.
func resultName(name string) string {
	if before, _, ok := strings.Cut(name, "("); ok {
		name = strings.ToLower(strings.TrimSpace(before))
	}
	if name == "" || !(isWordStart(name[0]) || name[0] == '"') {
		return "?column?"
	}
	return strings.Trim(name, `"`)
}

// selectItems returns the expressions after the top-level SELECT or RETURNING.
func selectItems(tokens []token) [][]token {
	start, depth := -1, 0
	var items [][]token
	flush := func(end int) {
		if start >= 0 && end > start {
			items = append(items, tokens[start:end])
		}
	}
	for i, t := range tokens {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth > 0:
		case start < 0 && (t.is("select") || t.is("returning")):
			start = i + 1
			if start < len(tokens) && (tokens[start].is("distinct") || tokens[start].is("all")) {
				start++
			}
		case start >= 0 && t.is(","):
			flush(i)
			start = i + 1
		case start >= 0 && endsSelectList(t):
			flush(i)
			return items
		}
	}
	flush(len(tokens))
	return items
}

func endsSelectList(t token) bool {
	for _, w := range []string{"from", "where", "order", "group", "limit", "union", "except", "intersect", "having"} {
		if t.is(w) {
			return true
		}
	}
	return false
}

var functionTypes = map[string]uint32{
	"count": oidInt8, "length": oidInt8, "row_number": oidInt8, "rank": oidInt8, "random": oidInt8, "char_length": oidInt8, "octet_length": oidInt8,
	"avg": oidFloat8, "total": oidFloat8, "round": oidFloat8,
	"exists": oidBool, "now": oidTimestamptz, "clock_timestamp": oidTimestamptz,
	"lower": oidText, "upper": oidText, "substr": oidText, "hex": oidText, "group_concat": oidText, "string_agg": oidText, "printf": oidText,
}

// exprType infers the type of an expression; 0 means unknown.
func (s *schema) exprType(e []token, params []uint32) uint32 {
	e = withoutAlias(e)
	if n := len(e); n > 2 && e[n-2].is("::") {
		return oidOfType(e[n-1].name())
	}
	if len(e) == 0 {
		return 0
	}
	if e[0].is("(") && e[len(e)-1].is(")") && matchingParen(e, 0) == len(e)-1 {
		return s.exprType(e[1:len(e)-1], params)
	}
	if oid := s.operationType(e, params); oid != 0 {
		return oid
	}
	switch e[0].kind {
	case tokenNumber:
		return numberType(e[0].text)
	case tokenString:
		return oidText
	case tokenParam:
		if k := paramNumber(e[0]) - 1; k >= 0 && k < len(params) {
			return params[k]
		}
		return 0
	}
	if len(e) > 2 && e[1].is("(") {
		return s.callType(e, params)
	}
	if e[0].is("true") || e[0].is("false") || e[0].is("not") {
		return oidBool
	}
	if e[0].is("-") {
		return s.exprType(e[1:], params)
	}
	if e[0].is("select") {
		if items := selectItems(e); len(items) == 1 {
			return s.exprType(items[0], params)
		}
	}
	return s.column(e[len(e)-1].name())
}

func withoutAlias(e []token) []token {
	n := len(e)
	if n > 2 && e[n-2].is("as") {
		return e[:n-2]
	}
	if n > 1 && e[n-1].name() != "" && !e[n-1].is("end") && (e[n-2].name() != "" || e[n-2].is(")") || e[n-2].kind != tokenOperator) && !e[n-2].is("not") {
		return e[:n-1]
	}
	return e
}

// operationType returns the result type of the first top-level operator, or 0.
func (s *schema) operationType(e []token, params []uint32) uint32 {
	depth := 0
	for i, t := range e {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth > 0 || i == 0:
		case t.is("||"):
			return oidText
		case t.is("=") || t.is("<") || t.is(">") || t.is("<=") || t.is(">=") || t.is("<>") || t.is("!=") || t.is("and") || t.is("or") || t.is("is") || t.is("like") || t.is("in"):
			return oidBool
		case t.is("+") || t.is("-") || t.is("*") || t.is("/") || t.is("%"):
			left, right := s.exprType(e[:i], params), s.exprType(e[i+1:], params)
			if left == oidFloat8 || right == oidFloat8 {
				return oidFloat8
			}
			return oidInt8
		}
	}
	return 0
}

// callType returns the result type of a function call, or 0.
func (s *schema) callType(e []token, params []uint32) uint32 {
	name := e[0].name()
	if oid, ok := functionTypes[name]; ok {
		return oid
	}
	end := matchingParen(e, 1)
	args := e[2:end]
	switch name {
	case "cast":
		return oidOfType(args[len(args)-1].name())
	case "sum", "min", "max", "abs", "coalesce", "ifnull", "nullif", "lag", "lead", "first_value", "last_value":
		first := args
		depth := 0
		for i, t := range args {
			if t.is("(") {
				depth++
			} else if t.is(")") {
				depth--
			} else if t.is(",") && depth == 0 {
				first = args[:i]
				break
			}
		}
		return s.exprType(first, params)
	}
	return 0
}

// matchingParen returns the index of the parenthesis that closes the one at index
// open.
func matchingParen(e []token, open int) int {
	depth := 0
	for i := open; i < len(e); i++ {
		if e[i].is("(") {
			depth++
		} else if e[i].is(")") {
			if depth--; depth == 0 {
				return i
			}
		}
	}
	return len(e) - 1
}
