package database

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// transaction is the transaction state of a session. The zero value means that no
// transaction is open.
type transaction struct {
	explicit    bool // opened by BEGIN
	readOnly    bool
	lockAtStart bool // acquire the writer at the first statement; for isolation above read committed
	failed      bool
	write       *writeTx // nil until the session acquires the writer
}

// status returns the transaction status byte of ReadyForQuery.
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

// endTransaction commits or rolls back and resets the transaction state.
func (se *session) endTransaction(commit bool) error {
	tx := se.tx
	se.tx = transaction{}
	if tx.write == nil {
		return nil
	}
	return se.server.endWrite(tx.write, commit)
}

// control executes transaction control, SET and similar statements. handled is
// false for other statements.
func (se *session) control(p *preparedStatement) (handled bool, err error) {
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
		se.applySet(p)
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

func (se *session) begin(p *preparedStatement) error {
	if se.tx.explicit {
		if se.tx.failed {
			return errFailedTransaction()
		}
		se.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", Code: "25001", Message: "there is already a transaction in progress"})
		return nil
	}
	se.tx.explicit = true
	se.applyModes(p.text.tokens)
	return nil
}

// applyModes sets the transaction modes of BEGIN and SET TRANSACTION.
func (se *session) applyModes(tokens []token) {
	for i, t := range tokens {
		switch {
		case t.is("only"):
			se.tx.readOnly = true
		case t.is("write"):
			se.tx.readOnly = false
		case t.is("serializable"), t.is("repeatable") && i+1 < len(tokens):
			se.tx.lockAtStart = true
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
		// Earlier statements of the transaction have succeeded, so the error
		// must not look like a refusal of the COMMIT alone.
		err = errorf(stateRolledBack, "transaction rolled back: %v", err)
	}
	return "COMMIT", err
}

func (se *session) applySet(p *preparedStatement) {
	if p.text.keyword(1) == "transaction" && se.tx.explicit {
		se.applyModes(p.text.tokens)
	}
	if p.text.keyword(0) == "deallocate" || p.text.keyword(0) == "discard" {
		clear(se.statements)
	}
}

// savepoint runs SAVEPOINT, RELEASE and ROLLBACK TO.
func (se *session) savepoint(p *preparedStatement, tag string) error {
	if !se.tx.explicit {
		return errorf("25P01", "%s can only be used in transaction blocks", tag)
	}
	rollback := tag == "ROLLBACK"
	if se.tx.failed && !rollback {
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
	if rollback {
		se.tx.failed = false
	}
	se.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// openWrite begins a write transaction if the session has none.
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
