package database

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"geraniumbeam/internal/backend"
)

// logFile is the name of the log file in the data directory.
const logFile = "log.gob"

// record is one change of the durable state. Exactly one field is set.
type record struct {
	State    *durableState
	Entry    *entry
	Truncate *uint64 // entries after this offset are removed
	Snapshot *snapshot
}

type durableState struct {
	Term     uint64
	Role     backend.Role
	Upstream string
}

// disk appends records to a file. They survive a crash of the process but not of
// the machine, because the file is not synced.
type disk struct {
	file *os.File
}

// openDisk reads the records of an earlier process. An incomplete record at the
// end was never acknowledged; it is removed.
func openDisk(dir string) (*disk, []record, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, fmt.Errorf("create data directory: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, logFile), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("open log file: %w", err)
	}
	records, end, err := readRecords(f)
	if err == nil {
		err = f.Truncate(end)
	}
	if err == nil {
		_, err = f.Seek(end, io.SeekStart)
	}
	if err != nil {
		_ = f.Close()
		return nil, nil, fmt.Errorf("read %s: %w", f.Name(), err)
	}
	return &disk{file: f}, records, nil
}

func readRecords(f *os.File) (records []record, end int64, err error) {
	data, err := io.ReadAll(f)
	if err != nil {
		return nil, 0, err
	}
	for {
		rest := data[end:]
		if len(rest) < 4 {
			return records, end, nil
		}
		n := int64(binary.BigEndian.Uint32(rest))
		if int64(len(rest)) < 4+n {
			return records, end, nil
		}
		var r record
		if err := gob.NewDecoder(bytes.NewReader(rest[4 : 4+n])).Decode(&r); err != nil {
			return nil, 0, fmt.Errorf("record at byte %d: %w", end, err)
		}
		records = append(records, r)
		end += 4 + n
	}
}

func (d *disk) write(r record) error {
	var b bytes.Buffer
	b.Write(make([]byte, 4))
	if err := gob.NewEncoder(&b).Encode(r); err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	data := b.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-4))
	if _, err := d.file.Write(data); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	return nil
}

// restoreFromDisk restores the state that an earlier process stored, if any.
func (s *Server) restoreFromDisk() error {
	if s.cfg.DataDir == "" {
		return nil
	}
	d, records, err := openDisk(s.cfg.DataDir)
	if err != nil {
		return err
	}
	s.disk = d
	if len(records) == 0 {
		return errors.Join(s.saveState(), s.saveEntries(s.log.entries))
	}
	s.log = replicaLog{}
	for _, r := range records {
		switch {
		case r.State != nil:
			s.term, s.role, s.upstream = r.State.Term, r.State.Role, r.State.Upstream
		case r.Entry != nil:
			s.log.append(*r.Entry)
		case r.Truncate != nil:
			s.log.truncate(*r.Truncate)
		case r.Snapshot != nil:
			s.log, s.baseSnapshot = replicaLog{base: r.Snapshot.At}, r.Snapshot
		}
	}
	s.logger.Info().Uint64("term", s.term).Str("role", string(s.role)).Uint64("position", s.log.last().Offset).Msg("Restored state from the data directory.")
	return s.rebuildLocked()
}

// save writes a record. Without a data directory it does nothing. mu is held.
func (s *Server) save(r record) error {
	if s.disk == nil {
		return nil
	}
	return s.disk.write(r)
}

func (s *Server) saveState() error {
	return s.save(record{State: &durableState{s.term, s.role, s.upstream}})
}

func (s *Server) saveEntries(entries []entry) error {
	for i := range entries {
		if err := s.save(record{Entry: &entries[i]}); err != nil {
			return err
		}
	}
	return nil
}
