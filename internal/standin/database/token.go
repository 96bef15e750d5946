package database

import "strings"

type tokenKind int

const (
	tokenWord  tokenKind = iota
	tokenIdent           // quoted identifier
	tokenNumber
	tokenString
	tokenParam
	tokenOperator
)

type token struct {
	kind tokenKind
	text string
}

// is reports whether t is the keyword or operator s, ignoring case.
func (t token) is(s string) bool {
	return (t.kind == tokenWord || t.kind == tokenOperator) && strings.EqualFold(t.text, s)
}

// name returns the identifier in t, in lower case unless quoted, or an empty
// string.
func (t token) name() string {
	switch t.kind {
	case tokenWord:
		return strings.ToLower(t.text)
	case tokenIdent:
		return strings.Trim(t.text, `"`)
	}
	return ""
}

var longOperators = []string{"->>", "::", "<=", ">=", "<>", "!=", "||", "->", "<<", ">>", "=="}

// tokenize splits SQL text into tokens without white space and comments.
func tokenize(sql string) ([]token, error) {
	var out []token
	for i := 0; i < len(sql); {
		n, kind, err := nextToken(sql[i:])
		if err != nil {
			return nil, err
		}
		if kind >= 0 {
			out = append(out, token{kind, sql[i : i+n]})
		}
		i += n
	}
	return out, nil
}

// tokenSkipped marks white space and comments.
const tokenSkipped tokenKind = -1

func nextToken(s string) (n int, kind tokenKind, err error) {
	c := s[0]
	switch {
	case strings.IndexByte(" \t\r\n\f", c) >= 0:
		return 1, tokenSkipped, nil
	case strings.HasPrefix(s, "--"):
		if i := strings.IndexByte(s, '\n'); i >= 0 {
			return i + 1, tokenSkipped, nil
		}
		return len(s), tokenSkipped, nil
	case strings.HasPrefix(s, "/*"):
		return commentLength(s)
	case c == '\'':
		return quotedLength(s, 0, tokenString)
	case (c == 'x' || c == 'X') && len(s) > 1 && s[1] == '\'':
		return quotedLength(s, 1, tokenString)
	case c == '"':
		return quotedLength(s, 0, tokenIdent)
	case c == '$' && len(s) > 1 && isDigit(s[1]):
		return 1 + spanLength(s[1:], isDigit), tokenParam, nil
	case isDigit(c) || (c == '.' && len(s) > 1 && isDigit(s[1])):
		return numberLength(s), tokenNumber, nil
	case isWordStart(c):
		return spanLength(s, func(c byte) bool { return isWordStart(c) || isDigit(c) }), tokenWord, nil
	}
	for _, op := range longOperators {
		if strings.HasPrefix(s, op) {
			return len(op), tokenOperator, nil
		}
	}
	return 1, tokenOperator, nil
}

func commentLength(s string) (int, tokenKind, error) {
	depth := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1, tokenSkipped, nil
			}
		}
	}
	return 0, tokenSkipped, errorf(stateSyntax, "unterminated comment")
}

func quotedLength(s string, start int, kind tokenKind) (int, tokenKind, error) {
	q := s[start]
	for i := start + 1; i < len(s); i++ {
		if s[i] != q {
			continue
		}
		if i+1 < len(s) && s[i+1] == q {
			i++
			continue
		}
		return i + 1, kind, nil
	}
	return 0, tokenSkipped, errorf(stateSyntax, "unterminated %c quote", q)
}

func numberLength(s string) int {
	n := spanLength(s, func(c byte) bool { return isDigit(c) || c == '.' })
	if n < len(s) && (s[n] == 'e' || s[n] == 'E') {
		m := n + 1
		if m < len(s) && (s[m] == '+' || s[m] == '-') {
			m++
		}
		if d := spanLength(s[m:], isDigit); d > 0 {
			return m + d
		}
	}
	return n
}

func spanLength(s string, in func(byte) bool) int {
	n := 0
	for n < len(s) && in(s[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c >= 0x80
}

// splitStatements splits tokens at semicolons and drops empty statements.
func splitStatements(tokens []token) [][]token {
	var out [][]token
	start := 0
	for i, t := range tokens {
		if t.is(";") {
			if i > start {
				out = append(out, tokens[start:i])
			}
			start = i + 1
		}
	}
	if start < len(tokens) {
		out = append(out, tokens[start:])
	}
	return out
}

// joinTokens returns the tokens as SQL text.
func joinTokens(tokens []token) string {
	var b strings.Builder
	for i, t := range tokens {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	return b.String()
}
