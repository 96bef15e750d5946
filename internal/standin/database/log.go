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
	Now        time.Time // result of now()
	Statements []loggedStatement
}

type loggedStatement struct {
	SQL  string
	Args []any
}

// nullValue represents NULL, because gob cannot encode nil interface values.
type nullValue bool

func init() { gob.Register(nullValue(false)) }

// replicaLog is the replicated log after base. The entries up to base are
// contained in a snapshot. Offsets start at 1.
type replicaLog struct {
	base    backend.Position
	entries []entry
}

func (l *replicaLog) last() backend.Position {
	n := len(l.entries)
	if n == 0 {
		return l.base
	}
	return backend.Position{Term: l.entries[n-1].Term, Offset: l.base.Offset + uint64(n)}
}

// termAt returns the term of the entry at offset, or 0 if the log does not contain
// it.
func (l *replicaLog) termAt(offset uint64) uint64 {
	switch {
	case offset == l.base.Offset:
		return l.base.Term
	case offset < l.base.Offset || offset > l.last().Offset:
		return 0
	}
	return l.entries[offset-l.base.Offset-1].Term
}

func (l *replicaLog) append(e entry) { l.entries = append(l.entries, e) }

// after returns up to limit entries after offset, which must not be before the
// base.
func (l *replicaLog) after(offset uint64, limit int) []entry {
	if offset >= l.last().Offset {
		return nil
	}
	tail := l.entries[offset-l.base.Offset:]
	return append([]entry(nil), tail[:min(limit, len(tail))]...)
}

// truncate removes all entries after offset, which must not be before the base,
// and returns their number.
func (l *replicaLog) truncate(offset uint64) int {
	last := l.last().Offset
	if offset >= last {
		return 0
	}
	clear(l.entries[offset-l.base.Offset:])
	l.entries = l.entries[:offset-l.base.Offset]
	return int(last - offset)
}

// compact removes the entries up to p, which becomes the base.
func (l *replicaLog) compact(p backend.Position) {
	l.entries = append([]entry(nil), l.entries[p.Offset-l.base.Offset:]...)
	l.base = p
}

// termRun is a range of entries of one term. Two logs that have an entry of
// the same term at the same offset are equal up to it.
type termRun struct {
	Term        uint64
	First, Last uint64
}

// runs returns the log as ranges of equal terms. The first range starts with the
// base, unless that is the beginning of the log.
func (l *replicaLog) runs() []termRun {
	var out []termRun
	if l.base.Offset > 0 {
		out = append(out, termRun{l.base.Term, l.base.Offset, l.base.Offset})
	}
	for i, e := range l.entries {
		offset := l.base.Offset + uint64(i+1)
		if n := len(out); n > 0 && out[n-1].Term == e.Term {
			out[n-1].Last = offset
			continue
		}
		out = append(out, termRun{e.Term, offset, offset})
	}
	return out
}

// matching returns the last offset at which this log and the log with the given
// runs are equal. ok is false if that offset is before this log's base.
func (l *replicaLog) matching(runs []termRun) (offset uint64, ok bool) {
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		for o := min(r.Last, l.last().Offset); o >= max(r.First, l.base.Offset, 1); o-- {
			switch t := l.termAt(o); {
			case t == r.Term:
				return o, true
			case t < r.Term:
				o = 1 // no earlier entry has term r.Term
			}
		}
	}
	return 0, l.base.Offset == 0
}
