package database

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// transaction is the state of a session between statements. The zero value
// is idle.
type transaction struct {
	explicit bool // opened by BEGIN
	readOnly bool
	early    bool // take the writer at the first statement, for isolation above read committed
	failed   bool
	write    *writeTx // nil until the first write
}

// status returns the byte of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case !t.explicit:
		return 'I'
	case t.failed:
		return 'E'
	}
	return 'T'
}

func (t *transaction) fail() { t.failed = true }

// endTransaction commits or rolls back and returns to the idle state.
func (se *session) endTransaction(commit bool) error {
	tx := se.tx
	se.tx = transaction{}
	if tx.write == nil {
		return nil
	}
	return se.server.endWrite(tx.write, commit)
}

// control executes transaction control, SET and similar statements. It
// reports false if the statement is none of them.
func (se *session) control(p *prepared) (handled bool, err error) {
	tag := ""
	switch word := p.text.keyword(0); word {
	case "begin", "start":
		tag, err = "BEGIN", se.begin(p)
	case "commit", "end":
		tag, err = se.commit()
	case "rollback", "abort":
		if i := indexOf(p.text.tokens, "to"); i >= 0 {
			return true, se.savepoint(p, "ROLLBACK")
		}
		tag, err = "ROLLBACK", se.endTransaction(false)
		clear(se.portals)
	case "savepoint", "release":
		return true, se.savepoint(p, map[string]string{"savepoint": "SAVEPOINT", "release": "RELEASE"}[word])
	case "set", "reset", "discard", "deallocate":
		if se.tx.failed && se.tx.explicit {
			return true, errFailedTransaction()
		}
		se.set(p)
		tag = map[string]string{"set": "SET", "reset": "RESET", "discard": "DISCARD ALL", "deallocate": "DEALLOCATE"}[word]
	default:
		return false, nil
	}
	if err == nil {
		se.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return true, err
}

func errFailedTransaction() error {
	return errorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func (se *session) begin(p *prepared) error {
	if se.tx.explicit {
		if se.tx.failed {
			return errFailedTransaction()
		}
		se.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", Code: "25001", Message: "there is already a transaction in progress"})
		return nil
	}
	se.tx.explicit = true
	se.modes(p.text.tokens)
	return nil
}

// modes applies the transaction modes of BEGIN and SET TRANSACTION.
func (se *session) modes(tokens []token) {
	for i, t := range tokens {
		switch {
		case t.is("only"):
			se.tx.readOnly = true
		case t.is("write"):
			se.tx.readOnly = false
		case t.is("serializable"), t.is("repeatable") && i+1 < len(tokens):
			se.tx.early = true
		}
	}
}

func (se *session) commit() (tag string, err error) {
	clear(se.portals)
	if se.tx.failed {
		return "ROLLBACK", se.endTransaction(false)
	}
	err = se.endTransaction(true)
	if err != nil && toSQLError(err).state == stateReadOnly {
		// The transaction's earlier statements were answered, so the error
		// must not read as a refusal of this statement alone.
		err = errorf(stateRolledBack, "transaction rolled back: %v", err)
	}
	return "COMMIT", err
}

func (se *session) set(p *prepared) {
	if p.text.keyword(1) == "transaction" && se.tx.explicit {
		se.modes(p.text.tokens)
	}
	if p.text.keyword(0) == "deallocate" || p.text.keyword(0) == "discard" {
		clear(se.statements)
	}
}

// savepoint runs SAVEPOINT, RELEASE and ROLLBACK TO.
func (se *session) savepoint(p *prepared, tag string) error {
	if !se.tx.explicit {
		return errorf("25P01", "%s can only be used in transaction blocks", tag)
	}
	back := tag == "ROLLBACK"
	if se.tx.failed && !back {
		return errFailedTransaction()
	}
	if !se.tx.readOnly && se.server.isPrimary() {
		ctx, done := se.statementContext()
		defer done()
		if err := se.openWrite(ctx); err != nil {
			return err
		}
		if _, err := se.server.runWrite(ctx, se.tx.write, p.text.sql, nil, true); err != nil {
			return err
		}
	}
	if back {
		se.tx.failed = false
	}
	se.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// openWrite makes the session the writer if it is not.
func (se *session) openWrite(ctx context.Context) error {
	if se.tx.write != nil {
		return nil
	}
	tx, err := se.server.beginWrite(ctx)
	if err != nil {
		return err
	}
	se.tx.write = tx
	return nil
}
