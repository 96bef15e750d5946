package database

import "strings"

// sqlText is one statement in the dialects of PostgreSQL and SQLite.
type sqlText struct {
	tokens  []token        // in PostgreSQL's dialect
	sql     string         // in SQLite's dialect
	casts   map[int]uint32 // types of casts after parameters, by parameter number
	locking bool           // has a row lock clause such as FOR UPDATE
}

// keyword returns the n-th token in lower case if it is a word, or an empty string.
func (s *sqlText) keyword(n int) string {
	if n < len(s.tokens) && s.tokens[n].kind == tokenWord {
		return strings.ToLower(s.tokens[n].text)
	}
	return ""
}

// rewrite translates a statement to SQLite's dialect. It supports parameters,
// casts, serial and identity columns, now() as a default, ILIKE, row locks,
// TRUNCATE and the schema public.
func rewrite(tokens []token) *sqlText {
	s := &sqlText{tokens: tokens, casts: make(map[int]uint32)}
	var out []token
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.kind == tokenParam:
			out = append(out, token{tokenParam, "?" + t.text[1:]})
		case t.is("::"):
			n, oid := castType(tokens[i+1:])
			if i > 0 && tokens[i-1].kind == tokenParam {
				s.casts[paramNumber(tokens[i-1])] = oid
			}
			i += n
		case t.is("public") && i+1 < len(tokens) && tokens[i+1].is("."):
			i++
		case t.is("bigserial") || t.is("serial"):
			out = append(out, token{tokenWord, "INTEGER"})
		case t.is("generated"):
			i = skipIdentity(tokens, i)
			out[len(out)-1] = token{tokenWord, "INTEGER"}
		case t.is("default") && followedByCall(tokens, i, "now"):
			out = append(out, t, token{tokenOperator, "("}, tokens[i+1], tokens[i+2], tokens[i+3], token{tokenOperator, ")"})
			i += 3
		case t.is("ilike"):
			out = append(out, token{tokenWord, "LIKE"})
		case t.is("truncate") && i == 0:
			out = append(out, token{tokenWord, "DELETE"}, token{tokenWord, "FROM"})
			if len(tokens) > 1 && tokens[1].is("table") {
				i++
			}
		case t.is("for") && i+1 < len(tokens) && isLockStrength(tokens[i+1]):
			s.locking = true
			i = len(tokens)
		default:
			out = append(out, t)
		}
	}
	s.sql = joinTokens(out)
	return s
}

// isLockStrength reports whether t follows FOR in a row lock clause.
func isLockStrength(t token) bool {
	return t.is("update") || t.is("share") || t.is("no") || t.is("key")
}

func followedByCall(tokens []token, i int, name string) bool {
	return i+3 < len(tokens) && tokens[i+1].is(name) && tokens[i+2].is("(") && tokens[i+3].is(")")
}

// skipIdentity returns the index of IDENTITY in GENERATED ... AS IDENTITY.
func skipIdentity(tokens []token, i int) int {
	for j := i; j < len(tokens); j++ {
		if tokens[j].is("identity") {
			return j
		}
	}
	return i
}

// castType parses the type name after "::". It returns its length in tokens and the
// type.
func castType(tokens []token) (n int, oid uint32) {
	if len(tokens) == 0 {
		return 0, oidText
	}
	name := tokens[0].name()
	n = 1
	for n < len(tokens) && (tokens[n].is("precision") || tokens[n].is("varying")) {
		n++
	}
	if n < len(tokens) && tokens[n].is("(") {
		for n < len(tokens) && !tokens[n].is(")") {
			n++
		}
		n++
	}
	return min(n, len(tokens)), oidOfType(name)
}

// paramNumber returns the number in a parameter such as $1.
func paramNumber(t token) int {
	n := 0
	for _, c := range t.text[1:] {
		n = n*10 + int(c-'0')
		if n > maxParams {
			return maxParams
		}
	}
	return n
}

// maxParams is the largest parameter number.
const maxParams = 32766
