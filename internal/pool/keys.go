package pool

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/backend"
	"geraniumbeam/internal/outcome"
	"geraniumbeam/internal/result"
)

// maxKeyBytes is the largest size of a request key.
const maxKeyBytes = 255

// keysTable is the table with the request keys of a group. The answer is stored as
// base64, which needs no escaping in a literal, and is empty until the batch has
// run.
const keysTable = "geraniumbeam_requests"

const createKeysTable = "CREATE TABLE IF NOT EXISTS " + keysTable +
	" (key text PRIMARY KEY, class text NOT NULL, created bigint NOT NULL, answer text NOT NULL); "

func errKeyInTransaction() error {
	return result.Errorf(result.NotSupported, "a request key requires a batch that is a whole transaction")
}

func (e *execution) usesRequestKey() bool {
	return e.req.GetRequestKey() != "" && !e.pool().cfg.Settings.Unsafe.NoRequestKeys
}

func (e *execution) checkKey() error {
	key := e.req.GetRequestKey()
	switch {
	case !e.usesRequestKey():
		return nil
	case e.req.GetTransactionId() != "":
		return errKeyInTransaction()
	case !e.req.GetWantPrimary():
		return result.Errorf(result.NotSupported, "a request key requires the primary")
	case len(key) > maxKeyBytes || strings.ContainsRune(key, 0):
		return result.Errorf(result.BadParameter, "the request key has %d bytes: at most %d are allowed, and no zero byte", len(key), maxKeyBytes)
	}
	return nil
}

// runKeyed runs the batch in one transaction with its request key: it inserts the
// key, runs the batch, stores the answer and commits. If the key exists already, it
// returns the stored answer instead. The insert waits for a concurrent transaction
// with the same key, so a batch cannot run twice.
func (e *execution) runKeyed(ctx context.Context, conn backend.Conn) error {
	k := &keyedRun{e: e, conn: conn}
	a, err := k.run(ctx)
	e.releaseTicket(e.databaseTime)
	if conn.Broken() || k.txOpen || e.db.wasCancelled(&e.active) {
		e.db.conns.discard(conn)
	} else {
		e.db.conns.put(conn)
	}
	if err != nil {
		return err
	}
	return e.finishOnPrimary(ctx, a, nil)
}

// keyedRun is the execution of a request with a key.
type keyedRun struct {
	e      *execution
	conn   backend.Conn
	txOpen bool // the transaction may be open
}

func (k *keyedRun) run(ctx context.Context) (backend.Answer, error) {
	first, err := k.begin(ctx)
	if err != nil {
		return first, err
	}
	inserted, class, stored, err := parseStoredKey(first.Messages)
	if err != nil {
		return first, k.rollBack(ctx, err)
	}
	if !inserted {
		return k.replay(ctx, class, stored)
	}
	a, err := k.e.runBatch(ctx, k.conn, k.e.batch(), true)
	if err != nil {
		if !k.conn.Broken() && a.TransactionStatus != statusIdle {
			return a, k.rollBack(ctx, err) // the answer is too large to store
		}
		return a, err
	}
	return k.finish(ctx, first, a)
}

// begin opens the transaction and inserts the key. It creates the table unless the
// table is known to be committed at the primary's term: a new primary may lack it.
func (k *keyedRun) begin(ctx context.Context) (backend.Answer, error) {
	state, _ := k.e.db.currentState()
	create := ""
	if k.e.db.keysTableTerm.Load() != state.status.Term {
		create = createKeysTable
	}
	key := quote(k.e.req.GetRequestKey())
	sql := "BEGIN; " + create + fmt.Sprintf(
		"INSERT INTO %s (key, class, created, answer) VALUES (%s, %s, %d, '') ON CONFLICT (key) DO NOTHING; "+
			"SELECT class, answer FROM %s WHERE key = %s",
		keysTable, key, quote(k.storedClass()), k.e.now().UnixMilli(), keysTable, key)
	k.txOpen = true
	a, err := k.e.runBatch(ctx, k.conn, backend.Batch{Messages: simpleQuery(sql)}, false)
	if err != nil {
		k.e.outcome.MarkDone(outcome.EffectNone) // COMMIT was not sent
		return a, err
	}
	if a.StatusBefore.Role != backend.RolePrimary || a.SQLState == sqlStateReadOnly {
		return a, k.rollBack(ctx, result.Errorf(result.NotPrimary, "database %s is %s at term %d", k.e.db.info.Name, a.StatusBefore.Role, a.StatusBefore.Term))
	}
	if a.SQLState != "" {
		k.e.db.keysTableTerm.Store(0)
		return a, k.rollBack(ctx, keyInsertError(a.SQLState))
	}
	return a, nil
}

func (k *keyedRun) storedClass() string { return k.e.req.GetService() + "." + k.e.req.GetClass() }

// keyInsertError returns the error for a failed insert of a key.
func keyInsertError(sqlState string) error {
	switch sqlState {
	case "55P03", "40001", "40P01", "57014", "23505":
		return result.Errorf(result.KeyInUse, "another transaction holds the key or its table (SQLSTATE %s)", sqlState)
	}
	return result.Errorf(result.Internal, "cannot insert the request key (SQLSTATE %s)", sqlState)
}

// replay rolls back the transaction, which changed nothing, and returns the stored
// answer with the log position that must be confirmed before it is returned.
func (k *keyedRun) replay(ctx context.Context, class, stored string) (backend.Answer, error) {
	if class != k.storedClass() {
		return backend.Answer{}, k.rollBack(ctx, result.Errorf(result.KeyReused, "the request key was already used by class %s", class))
	}
	if stored == "" {
		return backend.Answer{}, k.rollBack(ctx, result.Errorf(result.OutcomeUnknown, "the request ran before, but its answer was not stored"))
	}
	messages, err := base64.StdEncoding.DecodeString(stored)
	if err != nil {
		return backend.Answer{}, k.rollBack(ctx, result.Errorf(result.OutcomeUnknown, "the request ran before, but its stored answer is damaged: %w", err))
	}
	a, err := k.endTransaction(ctx, "ROLLBACK")
	if err != nil {
		return a, err
	}
	k.txOpen = a.TransactionStatus != statusIdle
	k.e.db.keysTableTerm.Store(a.StatusAfter.Term)
	k.e.resp.Replayed = true
	// The answer reports the write of the first run, so it has to be confirmed and
	// raises the session's floor.
	a.StatusBefore.Last = backend.Position{}
	a.Messages, a.SQLState = messages, ""
	return a, nil
}

// finish stores the answer and commits, or rolls back if the batch failed.
func (k *keyedRun) finish(ctx context.Context, first, a backend.Answer) (backend.Answer, error) {
	switch {
	case a.TransactionStatus == statusIdle:
		// The batch itself ended the transaction that holds the key.
		k.txOpen = false
		a.StatusBefore = first.StatusBefore
		return a, nil
	case a.SQLState != "":
		end, err := k.endTransaction(ctx, "ROLLBACK")
		if err != nil {
			return end, err
		}
		k.txOpen = end.TransactionStatus != statusIdle
		if end.StatusAfter.Role != backend.RolePrimary || end.StatusAfter.Term != first.StatusBefore.Term {
			// The SQL error may just be a result of the change of primary.
			k.e.outcome.MarkDone(outcome.EffectNone)
			return end, result.Errorf(result.NotPrimary, "database %s is %s at term %d", k.e.db.info.Name, end.StatusAfter.Role, end.StatusAfter.Term)
		}
		a.StatusAfter, a.TransactionStatus = end.StatusAfter, statusIdle
		markIdle(a.Messages)
		return a, nil
	case beganTransaction(a.Messages):
		return a, k.rollBack(ctx, errKeyInTransaction())
	}
	markIdle(a.Messages)
	key := quote(k.e.req.GetRequestKey())
	end, err := k.endTransaction(ctx, fmt.Sprintf("UPDATE %s SET answer = '%s' WHERE key = %s; COMMIT",
		keysTable, base64.StdEncoding.EncodeToString(a.Messages), key))
	if err != nil {
		return end, err
	}
	k.txOpen = end.TransactionStatus != statusIdle
	if end.CommandTag != "COMMIT" || end.SQLState != "" {
		return end, k.rollBack(ctx, result.Errorf(result.RolledBack, "cannot commit: the database answered %s (SQLSTATE %s)", end.CommandTag, end.SQLState))
	}
	k.e.db.keysTableTerm.Store(end.StatusAfter.Term)
	a.StatusBefore, a.StatusAfter, a.TransactionStatus = first.StatusBefore, end.StatusAfter, statusIdle
	return a, nil
}

// rollBack rolls the transaction back and returns cause, or the rollback's error.
// Nothing took effect unless the rollback fails.
func (k *keyedRun) rollBack(ctx context.Context, cause error) error {
	a, err := k.endTransaction(ctx, "ROLLBACK")
	if err != nil {
		return err
	}
	k.txOpen = a.TransactionStatus != statusIdle
	if !k.txOpen && !result.Is(cause, result.OutcomeUnknown) {
		k.e.outcome.MarkDone(outcome.EffectNone)
	}
	return cause
}

// endTransaction runs a simple query whose last statement ends the transaction.
func (k *keyedRun) endTransaction(ctx context.Context, sql string) (backend.Answer, error) {
	return k.e.runBatch(ctx, k.conn, backend.Batch{Messages: simpleQuery(sql)}, true)
}

// parseStoredKey returns whether the key was inserted, and the class and answer
// stored under it.
func parseStoredKey(messages []byte) (inserted bool, class, answer string, err error) {
	found := false
	for kind, body := range protocolMessages(messages) {
		switch kind {
		case 'C':
			inserted = inserted || strings.TrimRight(string(body), "\x00") == "INSERT 0 1"
		case 'D':
			var row pgproto3.DataRow
			if err := row.Decode(body); err != nil || len(row.Values) != 2 {
				return false, "", "", result.Errorf(result.Internal, "cannot decode the row of the request key")
			}
			class, answer, found = string(row.Values[0]), string(row.Values[1]), true
		}
	}
	if !found {
		return false, "", "", result.Errorf(result.KeyInUse, "another request with the same key is running")
	}
	return inserted, class, answer, nil
}

// beganTransaction reports whether the batch contained a BEGIN, within the
// transaction that holds the key.
func beganTransaction(messages []byte) bool {
	for tag := range commandTags(messages) {
		if s := string(tag); s == "BEGIN" || s == "START TRANSACTION" {
			return true
		}
	}
	return false
}

// markIdle changes the answer's ReadyForQuery message to report no open transaction.
func markIdle(messages []byte) {
	if n := len(messages); n >= 6 && messages[n-6] == 'Z' {
		messages[n-1] = statusIdle
	}
}

func simpleQuery(sql string) []byte {
	b := make([]byte, 0, len(sql)+6)
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+5))
	b = append(b, sql...)
	return append(b, 0)
}

// quote returns s as an SQL literal.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func bigint(n int64) string { return strconv.FormatInt(n, 10) }
