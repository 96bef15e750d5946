package database

import (
	"context"
	"time"

	"geraniumbeam/internal/backend"
)

// writeTx is an open transaction that holds the writer. There is one at a
// time in a database.
type writeTx struct {
	term       uint64
	now        time.Time
	statements []loggedStatement
}

// beginWrite waits for the writer and opens a transaction on it.
func (s *Server) beginWrite(ctx context.Context) (*writeTx, error) {
	if st := s.status(); st.Role != backend.RolePrimary {
		return nil, errNotPrimary(st.Role, st.Term)
	}
	timeout := time.NewTimer(s.lockTimeout())
	defer timeout.Stop()
	select {
	case s.writeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, errorf(stateCancelled, "cancelled while waiting for another write transaction")
	case <-timeout.C:
		return nil, errorf(stateLockTimeout, "another write transaction was open for too long")
	}
	tx, err := s.openWriter()
	if err != nil {
		<-s.writeLock
		return nil, err
	}
	return tx, nil
}

func (s *Server) openWriter() (*writeTx, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.RolePrimary {
		return nil, errNotPrimary(s.role, s.term)
	}
	if last := s.log.last(); s.writerAt != last {
		s.readMu.Lock()
		err := s.writer.copyFrom(s.reader)
		s.readMu.Unlock()
		if err != nil {
			return nil, err
		}
		s.writerAt = last
	}
	tx := &writeTx{term: s.term, now: time.Now().UTC().Truncate(time.Microsecond)}
	s.writer.setInputs(tx.now)
	if _, err := s.writer.run("BEGIN", nil); err != nil {
		return nil, err
	}
	return tx, nil
}

// checkWriter reports whether tx can still commit.
func (s *Server) checkWriter(tx *writeTx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.RolePrimary || s.term != tx.term {
		return errNotPrimary(s.role, s.term)
	}
	return nil
}

// endWrite commits or rolls back and releases the writer.
func (s *Server) endWrite(tx *writeTx, commit bool) error {
	defer func() { <-s.writeLock }()
	var err error
	if commit && s.writer.inTransaction() {
		if len(tx.statements) > 0 {
			err = s.commit(tx)
		}
	}
	if s.writer.inTransaction() {
		if _, rollbackErr := s.writer.run("ROLLBACK", nil); rollbackErr != nil && err == nil {
			err = rollbackErr
		}
	}
	return err
}

// runWrite executes a statement in tx and records it for the log.
func (s *Server) runWrite(ctx context.Context, tx *writeTx, sql string, args []any, record bool) (*rowSet, error) {
	if err := s.checkWriter(tx); err != nil {
		return nil, err
	}
	rs, err := runCancellable(ctx, s.writer, sql, args)
	if err != nil {
		return nil, err
	}
	if record {
		logged := make([]any, len(args))
		for i, a := range args {
			logged[i] = a
			if a == nil {
				logged[i] = nullValue(true)
			}
		}
		tx.statements = append(tx.statements, loggedStatement{SQL: sql, Args: logged})
	}
	return rs, nil
}

// runRead executes a statement on the committed state.
func (s *Server) runRead(ctx context.Context, sql string, args []any) (*rowSet, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	s.reader.setInputs(time.Now())
	return runCancellable(ctx, s.reader, sql, args)
}

func runCancellable(ctx context.Context, e *engine, sql string, args []any) (*rowSet, error) {
	if ctx.Err() != nil {
		return nil, errorf(stateCancelled, "statement cancelled on user request")
	}
	// The interrupt must not outlast this statement: it would stop the next one.
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		e.interrupt()
	})
	rs, err := e.run(sql, args)
	if !stop() {
		<-finished
	}
	return rs, err
}
