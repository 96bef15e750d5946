package route

import "strings"

// tokenKind is the kind of a token of SQL text.
type tokenKind int

const (
	tokenEnd     tokenKind = iota
	tokenWord              // keyword or unquoted name, with dots; folded to lower case
	tokenQuoted            // quoted name
	tokenString            // string constant; text is the value if it has no escapes
	tokenNumber            // number or parameter
	tokenSymbol            // any other single character
	tokenComment           // text between the comment marks
)

type token struct {
	kind tokenKind
	text string
}

// lexer splits SQL text as PostgreSQL does with standard_conforming_strings
// on. An unterminated constant or comment extends to the end of the text; the
// database reports it.
type lexer struct {
	s string
	i int
}

func (l *lexer) next() token {
	for l.i < len(l.s) && isSpace(l.s[l.i]) {
		l.i++
	}
	if l.i >= len(l.s) {
		return token{}
	}
	c := l.s[l.i]
	rest := l.s[l.i:]
	switch {
	case strings.HasPrefix(rest, "--"):
		return l.lineComment()
	case strings.HasPrefix(rest, "/*"):
		return l.blockComment()
	case c == '\'':
		return l.quoted('\'', false, tokenString)
	case c == '"':
		return l.quoted('"', false, tokenQuoted)
	case c == '$':
		return l.dollar()
	case isDigit(c):
		return l.number()
	case isNameStart(c):
		return l.word()
	}
	l.i++
	return token{tokenSymbol, rest[:1]}
}

func (l *lexer) lineComment() token {
	start := l.i + 2
	end := strings.IndexByte(l.s[start:], '\n')
	if end < 0 {
		l.i = len(l.s)
		return token{tokenComment, l.s[start:]}
	}
	l.i = start + end + 1
	return token{tokenComment, l.s[start : start+end]}
}

// blockComment reads a comment; PostgreSQL allows comments inside comments.
func (l *lexer) blockComment() token {
	start, depth := l.i+2, 1
	for l.i = start; l.i < len(l.s); {
		switch {
		case strings.HasPrefix(l.s[l.i:], "/*"):
			depth++
			l.i += 2
		case strings.HasPrefix(l.s[l.i:], "*/"):
			depth--
			l.i += 2
			if depth == 0 {
				return token{tokenComment, l.s[start : l.i-2]}
			}
		default:
			l.i++
		}
	}
	return token{tokenComment, l.s[start:]}
}

func (l *lexer) quoted(mark byte, escapes bool, kind tokenKind) token {
	l.i++
	start, doubled := l.i, false
	for l.i < len(l.s) {
		switch {
		case escapes && l.s[l.i] == '\\':
			l.i += 2
		case l.s[l.i] != mark:
			l.i++
		case l.i+1 < len(l.s) && l.s[l.i+1] == mark:
			doubled = true
			l.i += 2
		default:
			text := l.s[start:l.i]
			l.i++
			if doubled {
				text = strings.ReplaceAll(text, string([]byte{mark, mark}), string(mark))
			}
			return token{kind, text}
		}
	}
	l.i = len(l.s)
	return token{kind, l.s[min(start, len(l.s)):]}
}

// dollar reads a dollar-quoted string, a parameter such as $1, or a lone $.
func (l *lexer) dollar() token {
	end := l.i + 1
	if end < len(l.s) && isDigit(l.s[end]) {
		l.i = end
		return l.number()
	}
	for end < len(l.s) && isNameChar(l.s[end]) && l.s[end] != '$' {
		end++
	}
	if end >= len(l.s) || l.s[end] != '$' {
		l.i++
		return token{tokenSymbol, "$"}
	}
	tag := l.s[l.i : end+1]
	start := end + 1
	n := strings.Index(l.s[start:], tag)
	if n < 0 {
		l.i = len(l.s)
		return token{tokenString, l.s[start:]}
	}
	l.i = start + n + len(tag)
	return token{tokenString, l.s[start : start+n]}
}

func (l *lexer) number() token {
	start := l.i
	for l.i < len(l.s) && (isNameChar(l.s[l.i]) || l.s[l.i] == '.') {
		l.i++
	}
	return token{tokenNumber, l.s[start:l.i]}
}

func (l *lexer) word() token {
	start := l.i
	for l.i < len(l.s) && l.nameContinues() {
		l.i++
	}
	text := strings.ToLower(l.s[start:l.i])
	if l.i < len(l.s) && l.s[l.i] == '\'' {
		switch text {
		case "e":
			return l.quoted('\'', true, tokenString)
		case "b", "x", "n":
			return l.quoted('\'', false, tokenString)
		}
	}
	return token{tokenWord, text}
}

// nameContinues reports whether the character at the current place belongs to
// the name; a dot does if a name follows it.
func (l *lexer) nameContinues() bool {
	if l.s[l.i] == '.' {
		return l.i+1 < len(l.s) && isNameStart(l.s[l.i+1])
	}
	return isNameChar(l.s[l.i])
}

func isSpace(c byte) bool { return c == ' ' || (c >= '\t' && c <= '\r') }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNameStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

func isNameChar(c byte) bool { return isNameStart(c) || isDigit(c) || c == '$' }
