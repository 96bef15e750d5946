package backend

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against accepting a batch that a database would answer with more than one
// ReadyForQuery message: the rest of the answer would go to the next caller.
// Accepted batches are parsed again with pgproto3.
func FuzzBatch(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dselect 1\x00"))
	f.Add([]byte("P\x00\x00\x00\x10\x00select 1\x00\x00\x00S\x00\x00\x00\x04"))
	f.Add([]byte("S\x00\x00\x00\x04S\x00\x00\x00\x04"))
	f.Add([]byte("S\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, batch []byte) {
		if CheckBatch(batch) != nil {
			return
		}
		ends := 0
		for rest := batch; len(rest) > 0; {
			r := pgproto3.NewBackend(bytes.NewReader(rest), nil)
			r.SetMaxBodyLen(len(rest))
			size := headerSize + int(rest[1])<<24 + int(rest[2])<<16 + int(rest[3])<<8 + int(rest[4]) - 4
			m, err := r.Receive()
			if err == nil {
				switch m.(type) {
				case *pgproto3.Query, *pgproto3.Sync:
					ends++
				}
			} else if rest[0] == 'Q' || rest[0] == 'S' {
				ends++ // invalid body: the database answers with an error and ReadyForQuery
			}
			rest = rest[size:]
		}
		if ends != 1 {
			t.Fatalf("accepted batch %q yields %d ReadyForQuery messages, want 1", batch, ends)
		}
	})
}

// Guards against a corrupt answer of a database that makes the reader panic, loop
// forever or buffer more than the limit.
func FuzzAnswer(f *testing.F) {
	ready := "Z\x00\x00\x00\x05I"
	f.Add([]byte("C\x00\x00\x00\x0dINSERT 1\x00"+ready), uint32(0))
	f.Add([]byte("1\x00\x00\x00\x04"+ready), uint32(0))
	f.Add([]byte("E\x00\x00\x00\x0dC25006\x00\x00\x00"+ready), uint32(1))
	f.Add([]byte("D\x3f\xff\xff\xff"), uint32(0))
	f.Add([]byte("Z\x00\x00\x00\x04"), uint32(0))
	f.Fuzz(func(t *testing.T, answer []byte, injected uint32) {
		const limit = 1 << 10
		c := &workConn{serverConn: &serverConn{frames: newFrameReader(bytes.NewReader(answer))}}
		var a Answer
		tooLarge, err := c.readAnswer(&a, []uint32{injected}, limit)
		if err == nil && tooLarge == nil && (len(a.Messages) > limit || len(a.Messages) < headerSize+1) {
			t.Fatalf("answer has %d bytes", len(a.Messages))
		}
		_, _ = newFrameReader(bytes.NewReader(answer)).readStatus()
		_ = newFrameReader(bytes.NewReader(answer)).discardAnswer()
	})
}
