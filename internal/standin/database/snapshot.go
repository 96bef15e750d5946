package database

import (
	"fmt"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"

	"geraniumbeam/internal/backend"
)

// defaultCompactEvery bounds the log in memory to twice as many entries, about
// 10 MB with short statements.
const defaultCompactEvery = 20000

// snapshot is the content of the database at a position.
type snapshot struct {
	At   backend.Position
	Data []byte
}

// compactLocked takes a snapshot every CompactEvery entries and drops the
// entries before the previous one. The entries after it serve replicas that
// are behind.
func (s *Server) compactLocked() {
	every := uint64(orDefault(s.cfg.CompactEvery, defaultCompactEvery))
	last := s.log.last()
	since := s.log.base
	if s.nextSnapshot != nil {
		since = s.nextSnapshot.At
	}
	if last.Offset-since.Offset < every {
		return
	}
	s.readMu.Lock()
	data, err := s.reader.dump()
	s.readMu.Unlock()
	if err != nil {
		s.logger.Error().Err(err).Msg("Log not compacted.")
		return
	}
	if s.nextSnapshot != nil {
		s.baseSnapshot = s.nextSnapshot
		s.log.compact(s.baseSnapshot.At)
	}
	s.nextSnapshot = &snapshot{At: last, Data: data}
}

// rebuildLocked makes the reading copy from a snapshot and the log.
func (s *Server) rebuildLocked() error {
	if s.nextSnapshot != nil && s.log.termAt(s.nextSnapshot.At.Offset) != s.nextSnapshot.At.Term {
		s.nextSnapshot = nil // it was truncated
	}
	from := s.baseSnapshot
	if s.nextSnapshot != nil {
		from = s.nextSnapshot
	}
	e, err := newEngine()
	if err != nil {
		return err
	}
	start := uint64(0)
	if from != nil {
		start = from.At.Offset
		err = e.load(from.Data)
	}
	for _, en := range s.log.entries[start-s.log.base.Offset:] {
		if err == nil {
			err = applyTo(e, en)
		}
	}
	if err != nil {
		e.close()
		return fmt.Errorf("rebuild from the log: %w", err)
	}
	s.readMu.Lock()
	defer s.readMu.Unlock()
	s.reader.close()
	s.reader = e
	return nil
}

// installLocked replaces log and content by a snapshot of the primary, whose
// log no longer reaches back to this one.
func (s *Server) installLocked(snap *snapshot) error {
	s.logger.Warn().Uint64("from", s.log.last().Offset).Uint64("to", snap.At.Offset).Msg("Replaced the log by a snapshot of the primary.")
	s.log = replicaLog{base: snap.At}
	s.baseSnapshot, s.nextSnapshot = snap, nil
	if err := s.save(record{Snapshot: snap}); err != nil {
		return err
	}
	return s.rebuildLocked()
}

// dump returns the content of the database.
func (e *engine) dump() ([]byte, error) {
	p, size, err := e.serialize()
	if err != nil {
		return nil, err
	}
	defer sqlite3.Xsqlite3_free(e.tls, p)
	return append([]byte(nil), libc.GoBytes(p, int(size))...), nil
}

// load replaces the content by what dump returned.
func (e *engine) load(data []byte) error {
	source, err := libc.CString(string(data))
	if err != nil {
		return fmt.Errorf("allocate: %w", err)
	}
	defer libc.Xfree(e.tls, source)
	p := sqlite3.Xsqlite3_malloc64(e.tls, sqlite3.Tsqlite3_uint64(len(data)))
	if p == 0 {
		return fmt.Errorf("load snapshot of %d bytes: out of memory", len(data))
	}
	libc.Xmemcpy(e.tls, p, source, libc.Tsize_t(len(data)))
	return e.deserialize(p, int64(len(data)))
}
