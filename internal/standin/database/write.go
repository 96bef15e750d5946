package database

import (
	"context"
	"time"

	"geraniumbeam/internal/backend"
)

// writeTx is an open write transaction. A database has at most one at a time.
type writeTx struct {
	term       uint64
	now        time.Time // result of now()
	statements []loggedStatement
}

// beginWrite waits until no write transaction is open and begins one.
func (s *Server) beginWrite(ctx context.Context) (*writeTx, error) {
	if st := s.status(); st.Role != backend.RolePrimary {
		return nil, errNotPrimary(st.Role, st.Term)
	}
	timeout := time.NewTimer(s.lockTimeout())
	defer timeout.Stop()
	select {
	case s.writeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, errorf(stateCancelled, "statement cancelled while waiting for another write transaction")
	case <-timeout.C:
		return nil, errorf(stateLockTimeout, "lock timeout while waiting for another write transaction")
	}
	tx, err := s.beginOnWriter()
	if err != nil {
		<-s.writeLock
		return nil, err
	}
	return tx, nil
}

// beginOnWriter brings the writer's content up to date and begins a transaction.
func (s *Server) beginOnWriter() (*writeTx, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.RolePrimary {
		return nil, errNotPrimary(s.role, s.term)
	}
	if last := s.log.last(); s.writerPosition != last {
		s.readMu.Lock()
		err := s.writer.copyFrom(s.reader)
		s.readMu.Unlock()
		if err != nil {
			return nil, err
		}
		s.writerPosition = last
	}
	tx := &writeTx{term: s.term, now: time.Now().UTC().Truncate(time.Microsecond)}
	s.writer.setNowAndSeed(tx.now)
	if _, err := s.writer.run("BEGIN", nil); err != nil {
		return nil, err
	}
	return tx, nil
}

// checkCanCommit returns an error if the database is no longer the primary of the
// term in which tx began.
func (s *Server) checkCanCommit(tx *writeTx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.RolePrimary || s.term != tx.term {
		return errNotPrimary(s.role, s.term)
	}
	return nil
}

// endWrite commits or rolls back and ends the write transaction.
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

// runWrite executes a statement in tx and, if record is set, adds it to the
// statements for the log.
func (s *Server) runWrite(ctx context.Context, tx *writeTx, sql string, args []any, record bool) (*rowSet, error) {
	if err := s.checkCanCommit(tx); err != nil {
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

// runRead executes a statement on the committed content.
func (s *Server) runRead(ctx context.Context, sql string, args []any) (*rowSet, error) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	s.reader.setNowAndSeed(time.Now())
	return runCancellable(ctx, s.reader, sql, args)
}

// runCancellable executes a statement and interrupts it when ctx ends.
func runCancellable(ctx context.Context, e *engine, sql string, args []any) (*rowSet, error) {
	if ctx.Err() != nil {
		return nil, errorf(stateCancelled, "statement cancelled on user request")
	}
	// A late interrupt would abort the next statement, so wait for one that has
	// started.
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
