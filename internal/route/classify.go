// Package route implements routing decisions: the group of a partition, whether a
// replica may run a batch, and the order in which databases are tried.
//
// SQL is split into tokens but not parsed. What is derived from the tokens is a
// hint, and the database makes the decision. There are two exceptions, which no
// later check covers: statements that would leave state on a shared connection
// are refused, and a batch without an answer is retried only if its text shows
// that it cannot write.
package route

import "strings"

// Kind is the kind of a statement, as its first keywords show it.
type Kind int

// Kinds of statements.
const (
	KindOther          Kind = iota // must run on the primary
	KindRead                       // may run on a replica
	KindBegin                      // starts a transaction
	KindCommit                     // may commit a transaction: COMMIT, END or PREPARE TRANSACTION
	KindRollback                   // rolls back a transaction
	KindProxyParameter             // SET, SHOW or RESET of a geraniumbeam parameter
	KindSet                        // SET of a session parameter; allowed if it changes nothing
	KindDiscard                    // DISCARD, RESET ALL or DEALLOCATE: changes state that the entry holds
	KindUnsupported                // needs a feature that the proxy does not support
)

// ParameterPrefix is the prefix of the parameters that the entry handles.
const ParameterPrefix = "geraniumbeam."

// Statement is one statement of an SQL text.
type Statement struct {
	Kind Kind
	// ReadOnly is true if the text shows that the statement cannot write: it is a
	// read without keywords that modify or lock data, and calls only functions
	// known to be read-only.
	ReadOnly bool
	// Tokens holds the first tokens. Keywords are in lower case.
	Tokens []string
}

// Keyword returns the first keyword, such as select.
func (s Statement) Keyword() string { return s.token(0) }

func (s Statement) token(i int) string {
	if i < len(s.Tokens) {
		return s.Tokens[i]
	}
	return ""
}

// Script is the result of classifying one SQL text.
type Script struct {
	Statements []Statement
	Directives Directives
	// Err reports an invalid geraniumbeam comment. Its code is
	// result.BadParameter.
	Err error
}

// maxTokens is the number of tokens that are kept of a statement. A SET of a
// geraniumbeam parameter has at most six.
const maxTokens = 8

// Classify splits an SQL text into statements and determines their kinds.
func Classify(sql string) *Script {
	out := &Script{}
	l := lexer{text: sql}
	var b statementBuilder
	for {
		t := l.next()
		switch {
		case t.kind == tokenEnd:
			out.add(&b)
			return out
		case t.kind == tokenComment:
			if err := out.Directives.parse(t.text); err != nil && out.Err == nil {
				out.Err = err
			}
		case t.kind == tokenSymbol && t.text == ";":
			out.add(&b)
		default:
			b.addToken(t)
		}
	}
}

func (s *Script) add(b *statementBuilder) {
	if len(b.tokens) > 0 {
		s.Statements = append(s.Statements, b.statement())
	}
	*b = statementBuilder{}
}

// ReadHint reports whether all statements look like reads.
func (s *Script) ReadHint() bool {
	return s.all(func(st Statement) bool { return st.Kind == KindRead })
}

// ReadOnly reports whether the text shows that no statement can write.
func (s *Script) ReadOnly() bool { return s.all(func(st Statement) bool { return st.ReadOnly }) }

// MayCommit reports whether a statement may commit the changes of an open
// transaction.
func (s *Script) MayCommit() bool {
	for _, st := range s.Statements {
		if st.Kind == KindCommit {
			return true
		}
	}
	return false
}

// Single returns the statement of a text that consists of one statement of kind k.
func (s *Script) Single(k Kind) (Statement, bool) {
	if len(s.Statements) == 1 && s.Statements[0].Kind == k {
		return s.Statements[0], true
	}
	return Statement{}, false
}

func (s *Script) all(f func(Statement) bool) bool {
	for _, st := range s.Statements {
		if !f(st) {
			return false
		}
	}
	return len(s.Statements) > 0
}

// statementBuilder collects the properties of one statement from its tokens.
type statementBuilder struct {
	tokens         []string
	last           token
	mayWrite       bool // has a keyword that modifies or locks data, or calls an unknown function
	changesSession bool // calls a function that changes the state of the session
	withHold       bool // WITH HOLD
	temporary      bool // creates a temporary object
}

func (b *statementBuilder) addToken(t token) {
	if t.kind == tokenWord {
		b.addWord(t.text)
	}
	if t.kind == tokenSymbol && t.text == "(" {
		b.addCall()
	}
	if len(b.tokens) < maxTokens {
		b.tokens = append(b.tokens, t.text)
	}
	b.last = t
}

func (b *statementBuilder) addWord(w string) {
	switch {
	case writeKeywords[w]:
		b.mayWrite = true
	case w == "hold":
		b.withHold = true
	case (w == "temp" || w == "temporary") && len(b.tokens) < 4:
		b.temporary = true
	}
}

// addCall evaluates the name before an opening parenthesis.
func (b *statementBuilder) addCall() {
	name := strings.TrimPrefix(b.last.text, "pg_catalog.")
	switch {
	case b.last.kind != tokenWord && b.last.kind != tokenQuoted:
	case sessionFunctions[name]:
		b.changesSession = true
	case b.last.kind == tokenQuoted, !readOnlyNames[name]:
		b.mayWrite = true
	}
}

func (b *statementBuilder) statement() Statement {
	st := Statement{Tokens: b.tokens}
	st.Kind = b.kind(st)
	st.ReadOnly = st.Kind == KindRead && !b.mayWrite
	return st
}

func (b *statementBuilder) kind(st Statement) Kind {
	if b.changesSession {
		return KindUnsupported
	}
	switch w := st.Keyword(); w {
	case "select", "values", "table", "with", "(":
		return KindRead
	case "show":
		if strings.HasPrefix(st.token(1), ParameterPrefix) {
			return KindProxyParameter
		}
		return KindRead
	case "begin", "start":
		return KindBegin
	case "commit", "end":
		return KindCommit
	case "prepare":
		if st.token(1) == "transaction" {
			return KindCommit
		}
		return KindUnsupported
	case "rollback":
		if st.token(1) == "to" || st.token(2) == "to" || st.token(1) == "prepared" {
			return KindOther
		}
		return KindRollback
	case "abort":
		return KindRollback
	case "set", "reset":
		return setOrResetKind(st)
	case "discard", "deallocate":
		return KindDiscard
	case "declare":
		return unsupportedIf(b.withHold)
	case "create":
		return unsupportedIf(b.temporary)
	default:
		return unsupportedIf(unsupportedKeywords[w])
	}
}

// setOrResetKind distinguishes parameters of the entry, settings of a transaction
// and settings of a session.
func setOrResetKind(st Statement) Kind {
	name := st.token(1)
	if name == "session" && st.Keyword() == "set" && st.token(2) != "characteristics" {
		name = st.token(2)
	}
	switch {
	case strings.HasPrefix(name, ParameterPrefix):
		return KindProxyParameter
	case st.Keyword() == "reset" && name == "all":
		return KindDiscard
	case st.Keyword() == "reset":
		return KindUnsupported
	case name == "local" && strings.HasPrefix(st.token(2), ParameterPrefix):
		return KindUnsupported
	case name == "local", name == "transaction", name == "constraints":
		return KindOther
	}
	return KindSet
}

func unsupportedIf(refused bool) Kind {
	if refused {
		return KindUnsupported
	}
	return KindOther
}
