// Package route decides where a request goes: the group of a partition, the
// hint whether a batch only reads, and the order of databases to try.
//
// SQL is not parsed. The text is split into tokens, and what is derived from
// them is a hint; the database decides. Two things are more than hints because
// nothing after them checks: statements that would leave state on a shared
// connection are refused, and a lost answer is retried only if the text shows
// that the batch cannot write.
package route

import "strings"

// Kind is what the first keywords of a statement say.
type Kind int

// Kinds of statements.
const (
	KindOther          Kind = iota // goes to the primary
	KindRead                       // a replica may answer
	KindBegin                      // starts a transaction
	KindCommit                     // may end a transaction with its changes
	KindRollback                   // ends a transaction without its changes
	KindProxyParameter             // SET, SHOW or RESET of a geraniumbeam parameter
	KindSet                        // SET of a session parameter; allowed if it changes nothing
	KindDiscard                    // DISCARD ALL, RESET ALL, DEALLOCATE: state that the entry holds
	KindUnsupported                // needs a feature that the proxy does not offer
)

// ParameterPrefix starts the names of parameters that the entry handles.
const ParameterPrefix = "geraniumbeam."

// Statement is one statement of a text.
type Statement struct {
	Kind Kind
	// ReadOnly reports that the text shows no way to write: it is a read, has no
	// word that modifies data and calls only functions known to be read-only.
	ReadOnly bool
	// Tokens holds the first tokens, keywords in lower case.
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

// Script is what is known of one SQL text.
type Script struct {
	Statements []Statement
	Directives Directives
	// Err reports a damaged geraniumbeam comment; it carries
	// result.BadParameter.
	Err error
}

// maxTokens bounds the tokens kept of a statement; a SET of a geraniumbeam
// parameter has at most six.
const maxTokens = 8

// Classify splits a text into statements.
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

// ReadHint reports that all statements look like reads.
func (s *Script) ReadHint() bool {
	return s.all(func(st Statement) bool { return st.Kind == KindRead })
}

// ReadOnly reports that no statement can write, as far as the text shows.
func (s *Script) ReadOnly() bool { return s.all(func(st Statement) bool { return st.ReadOnly }) }

// MayCommit reports that a statement may make the changes of an open
// transaction permanent.
func (s *Script) MayCommit() bool {
	for _, st := range s.Statements {
		if st.Kind == KindCommit {
			return true
		}
	}
	return false
}

// Single returns the single statement if the text has exactly one of kind k.
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

// statementBuilder collects what matters of one statement.
type statementBuilder struct {
	tokens         []string
	last           token
	mayWrite       bool // has a word that modifies data or an unknown function call
	changesSession bool // calls a function that changes the session
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

// addCall looks at the name in front of an opening parenthesis.
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

// setOrResetKind tells parameters of the entry, settings of the transaction and
// settings of the session apart.
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
