package database

import (
	"errors"
	"fmt"
	"time"

	"geraniumbeam/internal/backend"
)

// status returns what group_status() reports.
func (s *Server) status() backend.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked()
}

func (s *Server) statusLocked() backend.Status {
	st := backend.Status{Term: s.term, Role: s.role, Last: s.log.last(), Leaving: s.leaving}
	if s.role != backend.RolePrimary {
		st.PrimaryAge = time.Since(s.lastContact)
	}
	return st
}

// notifyLocked wakes the goroutines that wait for a change of state. mu is held.
func (s *Server) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// raise fences the database at term. A commit checks the term under the same
// mutex, so no transaction of a lower term commits afterwards.
func (s *Server) raise(term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return errorf(stateObjectState, "term %d is below the current term %d", term, s.term)
	}
	if term == s.term {
		return nil
	}
	s.logger.Info().Uint64("term", term).Uint64("old_term", s.term).Str("old_role", string(s.role)).Msg("Term raised.")
	s.term, s.role, s.upstream = term, backend.RoleFenced, ""
	s.notifyLocked()
	return s.saveState()
}

// promote makes a database that is fenced at term the primary of the term, and
// appends an empty entry of the term. In unsafe mode the database need not be
// fenced.
func (s *Server) promote(term uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.term && s.role == backend.RolePrimary {
		return nil
	}
	if !s.unsafe && (term != s.term || s.role != backend.RoleFenced) {
		return errorf(stateObjectState, "cannot promote to term %d before raising the term: the database is %s at term %d", term, s.role, s.term)
	}
	if term < s.term {
		return errorf(stateObjectState, "term %d is below the current term %d", term, s.term)
	}
	s.term, s.role, s.upstream = term, backend.RolePrimary, ""
	first := entry{Term: term, Now: time.Now()}
	s.log.append(first)
	if err := errors.Join(s.saveState(), s.saveEntries([]entry{first})); err != nil {
		return err
	}
	s.logger.Info().Uint64("term", term).Uint64("position", s.log.last().Offset).Msg("Promoted to primary.")
	s.notifyLocked()
	return nil
}

// follow makes the database replicate from the primary of term at address.
func (s *Server) follow(term uint64, address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return errorf(stateObjectState, "term %d is below the current term %d", term, s.term)
	}
	if term == s.term && s.role == backend.RolePrimary {
		return errorf(stateObjectState, "the database is the primary of term %d", term)
	}
	if term == s.term && s.role == backend.RoleReplica && s.upstream == address {
		return nil
	}
	s.term, s.role, s.upstream, s.lastContact = term, backend.RoleReplica, address, time.Now()
	s.logger.Info().Uint64("term", term).Str("primary", address).Msg("Replicating from primary.")
	s.notifyLocked()
	return s.saveState()
}

// errNotPrimary returns the error of a refused write. Its SQLSTATE tells the client
// that the statement did not run.
func errNotPrimary(role backend.Role, term uint64) error {
	return errorf(stateReadOnly, "cannot execute a write: the database is %s at term %d", role, term)
}

// commit commits the transaction, appends it to the log and makes it visible to
// readers. It fails if the database is no longer the primary of the term in which
// the transaction began.
func (s *Server) commit(tx *writeTx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != backend.RolePrimary || s.term != tx.term {
		return errNotPrimary(s.role, s.term)
	}
	if s.failCommits > 0 {
		s.failCommits--
		return errorf(stateSerialization, "could not serialize access (requested by standin_set)")
	}
	e := entry{Term: tx.term, Now: tx.now, Statements: tx.statements}
	if _, err := s.writer.run("COMMIT", nil); err != nil {
		return err
	}
	s.log.append(e)
	if err := s.saveEntries([]entry{e}); err != nil {
		s.logger.Error().Err(err).Msg("Could not store a log entry.")
	}
	s.applyLocked(e)
	s.compactLocked()
	s.writerPosition = s.log.last()
	s.notifyLocked()
	return nil
}

// applyLocked applies an entry to the content for readers. mu is held.
func (s *Server) applyLocked(e entry) {
	if len(e.Statements) == 0 {
		return
	}
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if err := applyTo(s.reader, e); err != nil {
		s.logger.Error().Err(err).Uint64("position", s.log.last().Offset).Msg("Could not apply a log entry.")
	}
}

// applyTo runs the statements of an entry in one transaction.
func applyTo(e *engine, en entry) error {
	e.setNowAndSeed(en.Now)
	if _, err := e.run("BEGIN", nil); err != nil {
		return err
	}
	for _, st := range en.Statements {
		if _, err := e.run(st.SQL, st.Args); err != nil {
			_, _ = e.run("ROLLBACK", nil)
			return fmt.Errorf("apply statement %q: %w", st.SQL, err)
		}
	}
	_, err := e.run("COMMIT", nil)
	return err
}
