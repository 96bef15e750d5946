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

// replicaLog is the replicated log without the entries up to base, which are
// part of a snapshot. Offsets start at 1.
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

// termAt returns the term of the entry at offset, or 0 if it is not known.
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

// after returns up to limit entries that follow offset, which is not before
// the base.
func (l *replicaLog) after(offset uint64, limit int) []entry {
	if offset >= l.last().Offset {
		return nil
	}
	tail := l.entries[offset-l.base.Offset:]
	return append([]entry(nil), tail[:min(limit, len(tail))]...)
}

// truncate drops all entries after offset, which is not before the base, and
// returns how many.
func (l *replicaLog) truncate(offset uint64) int {
	last := l.last().Offset
	if offset >= last {
		return 0
	}
	clear(l.entries[offset-l.base.Offset:])
	l.entries = l.entries[:offset-l.base.Offset]
	return int(last - offset)
}

// compact moves the base to p.
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

// runs starts with the base, unless that is the beginning of the log.
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

// matching returns the offset up to which this log and the log with the given
// runs are equal. ok is false if that is before this log's base.
func (l *replicaLog) matching(runs []termRun) (offset uint64, ok bool) {
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		for o := min(r.Last, l.last().Offset); o >= max(r.First, l.base.Offset, 1); o-- {
			switch t := l.termAt(o); {
			case t == r.Term:
				return o, true
			case t < r.Term:
				o = 1 // earlier entries have still lower terms
			}
		}
	}
	return 0, l.base.Offset == 0
}
