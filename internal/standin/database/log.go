package database

import (
	"encoding/gob"
	"time"

	"geraniumbeam/internal/backend"
)

// entry is one committed transaction. An entry without statements marks the
// start of a term.
type entry struct {
	Term       uint64
	Now        time.Time // value of now()
	Statements []loggedStatement
}

type loggedStatement struct {
	SQL  string
	Args []any
}

// nullValue stands for NULL, because gob does not encode nil interfaces.
type nullValue bool

func init() { gob.Register(nullValue(false)) }

// replicaLog is the replicated log. Offsets start at 1.
type replicaLog struct {
	entries []entry
}

func (l *replicaLog) last() backend.Position {
	n := len(l.entries)
	if n == 0 {
		return backend.Position{}
	}
	return backend.Position{Term: l.entries[n-1].Term, Offset: uint64(n)}
}

// termAt returns the term of the entry at offset, or 0 if there is none.
func (l *replicaLog) termAt(offset uint64) uint64 {
	if offset == 0 || offset > uint64(len(l.entries)) {
		return 0
	}
	return l.entries[offset-1].Term
}

func (l *replicaLog) append(e entry) { l.entries = append(l.entries, e) }

// after returns up to limit entries that follow offset.
func (l *replicaLog) after(offset uint64, limit int) []entry {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	tail := l.entries[offset:]
	return append([]entry(nil), tail[:min(limit, len(tail))]...)
}

// truncate drops all entries after offset and returns how many.
func (l *replicaLog) truncate(offset uint64) int {
	n := len(l.entries) - int(offset)
	if n <= 0 {
		return 0
	}
	clear(l.entries[offset:])
	l.entries = l.entries[:offset]
	return n
}

// termRun is a range of entries of one term. Two logs that have an entry of
// the same term at the same offset are equal up to it.
type termRun struct {
	Term        uint64
	First, Last uint64
}

func (l *replicaLog) runs() []termRun {
	var out []termRun
	for i, e := range l.entries {
		offset := uint64(i + 1)
		if n := len(out); n > 0 && out[n-1].Term == e.Term {
			out[n-1].Last = offset
			continue
		}
		out = append(out, termRun{e.Term, offset, offset})
	}
	return out
}

// matching returns the offset up to which this log and the log with the given
// runs are equal.
func (l *replicaLog) matching(runs []termRun) uint64 {
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		last := min(r.Last, uint64(len(l.entries)))
		for o := last; o >= r.First && o > 0; o-- {
			if l.entries[o-1].Term == r.Term {
				return o
			}
			if l.entries[o-1].Term < r.Term {
				break
			}
		}
	}
	return 0
}
