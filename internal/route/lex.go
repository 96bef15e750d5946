package route

import "strings"

// tokenKind is the kind of an SQL token.
type tokenKind int

const (
	tokenEnd     tokenKind = iota
	tokenWord              // keyword or unquoted name with dots, in lower case
	tokenQuoted            // quoted name
	tokenString            // string constant; the text is its value unless it has backslash escapes
	tokenNumber            // number or parameter such as $1
	tokenSymbol            // any other single character
	tokenComment           // text of a comment without its delimiters
)

type token struct {
	kind tokenKind
	text string
}

// lexer splits SQL text into tokens as PostgreSQL does with
// standard_conforming_strings on. An unterminated constant or comment extends to
// the end of the text; it is the database that reports it.
type lexer struct {
	text string
	pos  int
}

func (l *lexer) next() token {
	for l.pos < len(l.text) && isSpace(l.text[l.pos]) {
		l.pos++
	}
	if l.pos >= len(l.text) {
		return token{}
	}
	c := l.text[l.pos]
	rest := l.text[l.pos:]
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
		return l.dollarQuoted()
	case isDigit(c):
		return l.number()
	case isNameStart(c):
		return l.word()
	}
	l.pos++
	return token{tokenSymbol, rest[:1]}
}

func (l *lexer) lineComment() token {
	start := l.pos + 2
	end := strings.IndexByte(l.text[start:], '\n')
	if end < 0 {
		l.pos = len(l.text)
		return token{tokenComment, l.text[start:]}
	}
	l.pos = start + end + 1
	return token{tokenComment, l.text[start : start+end]}
}

// blockComment reads a block comment. In PostgreSQL these may be nested.
func (l *lexer) blockComment() token {
	start, depth := l.pos+2, 1
	for l.pos = start; l.pos < len(l.text); {
		switch {
		case strings.HasPrefix(l.text[l.pos:], "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(l.text[l.pos:], "*/"):
			depth--
			l.pos += 2
			if depth == 0 {
				return token{tokenComment, l.text[start : l.pos-2]}
			}
		default:
			l.pos++
		}
	}
	return token{tokenComment, l.text[start:]}
}

func (l *lexer) quoted(mark byte, escapes bool, kind tokenKind) token {
	l.pos++
	start, doubled := l.pos, false
	for l.pos < len(l.text) {
		switch {
		case escapes && l.text[l.pos] == '\\':
			l.pos += 2
		case l.text[l.pos] != mark:
			l.pos++
		case l.pos+1 < len(l.text) && l.text[l.pos+1] == mark:
			doubled = true
			l.pos += 2
		default:
			text := l.text[start:l.pos]
			l.pos++
			if doubled {
				text = strings.ReplaceAll(text, string([]byte{mark, mark}), string(mark))
			}
			return token{kind, text}
		}
	}
	l.pos = len(l.text)
	return token{kind, l.text[min(start, len(l.text)):]}
}

// dollarQuoted reads a dollar-quoted string, a parameter such as $1, or a single $.
func (l *lexer) dollarQuoted() token {
	end := l.pos + 1
	if end < len(l.text) && isDigit(l.text[end]) {
		l.pos = end
		return l.number()
	}
	for end < len(l.text) && isNameChar(l.text[end]) && l.text[end] != '$' {
		end++
	}
	if end >= len(l.text) || l.text[end] != '$' {
		l.pos++
		return token{tokenSymbol, "$"}
	}
	tag := l.text[l.pos : end+1]
	start := end + 1
	n := strings.Index(l.text[start:], tag)
	if n < 0 {
		l.pos = len(l.text)
		return token{tokenString, l.text[start:]}
	}
	l.pos = start + n + len(tag)
	return token{tokenString, l.text[start : start+n]}
}

func (l *lexer) number() token {
	start := l.pos
	for l.pos < len(l.text) && (isNameChar(l.text[l.pos]) || l.text[l.pos] == '.') {
		l.pos++
	}
	return token{tokenNumber, l.text[start:l.pos]}
}

func (l *lexer) word() token {
	start := l.pos
	for l.pos < len(l.text) && l.nameContinues() {
		l.pos++
	}
	text := strings.ToLower(l.text[start:l.pos])
	if l.pos < len(l.text) && l.text[l.pos] == '\'' {
		switch text {
		case "e":
			return l.quoted('\'', true, tokenString)
		case "b", "x", "n":
			return l.quoted('\'', false, tokenString)
		}
	}
	return token{tokenWord, text}
}

// nameContinues reports whether the character at the current position belongs to
// the name. A dot does if a name follows it.
func (l *lexer) nameContinues() bool {
	if l.text[l.pos] == '.' {
		return l.pos+1 < len(l.text) && isNameStart(l.text[l.pos+1])
	}
	return isNameChar(l.text[l.pos])
}

func isSpace(c byte) bool { return c == ' ' || (c >= '\t' && c <= '\r') }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNameStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

func isNameChar(c byte) bool { return isNameStart(c) || isDigit(c) || c == '$' }
