package database

import (
	"fmt"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"

	"geraniumbeam/internal/backend"
)

// defaultCompactEvery limits the log in memory to twice as many entries, about
// 10 MB with short statements.
const defaultCompactEvery = 20000

// snapshot is the content of the database at a log position.
type snapshot struct {
	At   backend.Position
	Data []byte
}

// compactLocked takes a snapshot every CompactEvery entries and removes the
// entries before the previous one. The entries after that one are kept for lagging
// replicas. mu is held.
func (s *Server) compactLocked() {
	interval := uint64(orDefault(s.cfg.CompactEvery, defaultCompactEvery))
	last := s.log.last()
	previous := s.log.base
	if s.nextSnapshot != nil {
		previous = s.nextSnapshot.At
	}
	if last.Offset-previous.Offset < interval {
		return
	}
	s.readMu.Lock()
	data, err := s.reader.dump()
	s.readMu.Unlock()
	if err != nil {
		s.logger.Error().Err(err).Msg("Could not compact the log.")
		return
	}
	if s.nextSnapshot != nil {
		s.baseSnapshot = s.nextSnapshot
		s.log.compact(s.baseSnapshot.At)
	}
	s.nextSnapshot = &snapshot{At: last, Data: data}
}

// rebuildLocked rebuilds the content for readers from the latest snapshot and the
// log. mu is held.
func (s *Server) rebuildLocked() error {
	if s.nextSnapshot != nil && s.log.termAt(s.nextSnapshot.At.Offset) != s.nextSnapshot.At.Term {
		s.nextSnapshot = nil // the log was truncated before it
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
		err = e.restore(from.Data)
	}
	for _, en := range s.log.entries[start-s.log.base.Offset:] {
		if err == nil {
			err = applyTo(e, en)
		}
	}
	if err != nil {
		e.close()
		return fmt.Errorf("rebuild content from position %d: %w", start, err)
	}
	s.readMu.Lock()
	defer s.readMu.Unlock()
	s.reader.close()
	s.reader = e
	return nil
}

// installSnapshotLocked replaces log and content with a snapshot of the primary,
// whose log no longer contains the entries that follow this one. mu is held.
func (s *Server) installSnapshotLocked(snap *snapshot) error {
	s.logger.Warn().Uint64("from", s.log.last().Offset).Uint64("to", snap.At.Offset).Msg("Replaced the log with a snapshot of the primary.")
	s.log = replicaLog{base: snap.At}
	s.baseSnapshot, s.nextSnapshot = snap, nil
	if err := s.save(record{Snapshot: snap}); err != nil {
		return err
	}
	return s.rebuildLocked()
}

// dump returns the content in SQLite's file format.
func (e *engine) dump() ([]byte, error) {
	p, size, err := e.serialize()
	if err != nil {
		return nil, err
	}
	defer sqlite3.Xsqlite3_free(e.tls, p)
	return append([]byte(nil), libc.GoBytes(p, int(size))...), nil
}

// restore replaces the content with data that dump returned.
func (e *engine) restore(data []byte) error {
	source, err := libc.CString(string(data))
	if err != nil {
		return fmt.Errorf("allocate snapshot of %d bytes: %w", len(data), err)
	}
	defer libc.Xfree(e.tls, source)
	p := sqlite3.Xsqlite3_malloc64(e.tls, sqlite3.Tsqlite3_uint64(len(data)))
	if p == 0 {
		return fmt.Errorf("allocate snapshot of %d bytes: out of memory", len(data))
	}
	libc.Xmemcpy(e.tls, p, source, libc.Tsize_t(len(data)))
	return e.deserialize(p, int64(len(data)))
}
