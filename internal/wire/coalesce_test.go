package wire

import (
	"bytes"
	"encoding/binary"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

func frame(kind, flags byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags, 0, 0, 0, 1)
	return append(b, payload...)
}

// Guards against bytes that are lost, reordered or delayed although nothing
// follows them: only a HEADERS frame that opens a request with a body may be
// delayed, and not DATA that looks like such a frame.
func TestCoalescerKeepsStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opening := frame(frameHeaders, flagEndHeaders, []byte("fields"))
		frames := [][]byte{
			opening,
			frame(frameHeaders, flagEndHeaders|flagEndStream, []byte("fields")),
			frame(frameHeaders, 0, []byte("fields")),
			frame(0, 0, opening),
			frame(0, flagEndStream, nil),
		}
		c := newCoalescer()
		var in, out []byte
		write := func(b []byte) {
			in = append(in, b...)
			out = append(out, c.next(b)...)
			pending := in[len(out):]
			if !bytes.Equal(in[:len(out)], out) || (len(pending) > 0 && !bytes.Equal(pending, opening)) {
				t.Fatalf("wrote %q, coalescer sent %q", in, out)
			}
		}
		write(make([]byte, prefaceSize))
		for range rapid.IntRange(1, 20).Draw(t, "frames") {
			f := rapid.SampledFrom(frames).Draw(t, "frame")
			if rapid.Bool().Draw(t, "whole") {
				write(f)
				continue
			}
			cut := rapid.IntRange(1, len(f)-1).Draw(t, "cut")
			write(f[:cut])
			if len(in) != len(out) {
				t.Fatalf("%q is delayed, but its frame is incomplete", f[:cut])
			}
			inside := len(in)
			write(f[cut:])
			if len(in) != len(out) {
				t.Fatalf("bytes from %d on are delayed within a frame", inside)
			}
		}
	})
}

// Guards against a delayed frame that flow control prevents from ever being sent:
// concurrent calls send more data than the flow-control windows allow.
func TestCallsBeyondFlowControlWindow(t *testing.T) {
	l := serveFreezable(t, echoPool{})
	c := NewClients(nil)
	defer c.Close()
	pool := c.BulkPool(l.Addr().String())
	var calls sync.WaitGroup
	defer calls.Wait()
	for range 30 {
		calls.Go(func() {
			if _, err := pool.Execute(t.Context(), &ExecuteRequest{Batch: make([]byte, 2<<20)}); err != nil {
				t.Error(err)
			}
		})
	}
}
