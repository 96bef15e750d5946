package wire

import "encoding/binary"

// Parts of an HTTP/2 stream (RFC 9113, sections 3.4 and 4.1).
const (
	prefaceSize     = 24 // bytes, sent by a client before its first frame
	frameHeaderSize = 9  // bytes

	frameHeaders   = 0x1
	flagEndStream  = 0x1
	flagEndHeaders = 0x4
)

// coalescer joins the HEADERS frame of a request with the write that follows
// it. The client of net/http flushes HEADERS and DATA separately, which costs a
// system call on both sides and wakes the handler before it has its message.
// The DATA follows at once, because the body is in memory. If it is delayed by
// flow control, the window can open without these HEADERS.
type coalescer struct {
	held   []byte // frame that waits for the next write
	skip   int    // bytes left of the preface or of the current frame
	header []byte // incomplete frame header
}

func newCoalescer() coalescer { return coalescer{skip: prefaceSize} }

// next returns what to write for b, or nil if b is held.
func (c *coalescer) next(b []byte) []byte {
	aligned := c.skip == 0 && len(c.header) == 0
	c.advance(b)
	if len(c.held) > 0 {
		c.held = append(c.held, b...)
		out := c.held
		c.held = c.held[:0]
		if cap(out) > maxHeld {
			c.held = nil
		}
		return out
	}
	if aligned && opensRequest(b) {
		c.held = append(c.held, b...)
		return nil
	}
	return b
}

// maxHeld bounds the buffer in bytes that an idle connection keeps.
const maxHeld = 4 << 10

// opensRequest reports whether b is one HEADERS frame of a request with a body.
func opensRequest(b []byte) bool {
	if len(b) < frameHeaderSize || frameHeaderSize+payloadSize(b) != len(b) {
		return false
	}
	return b[3] == frameHeaders && b[4]&(flagEndStream|flagEndHeaders) == flagEndHeaders
}

func payloadSize(header []byte) int { return int(binary.BigEndian.Uint32(header) >> 8) }

// advance follows the frame boundaries of the stream.
func (c *coalescer) advance(b []byte) {
	for len(b) > 0 {
		if c.skip > 0 {
			n := min(c.skip, len(b))
			c.skip -= n
			b = b[n:]
			continue
		}
		n := min(frameHeaderSize-len(c.header), len(b))
		c.header = append(c.header, b[:n]...)
		b = b[n:]
		if len(c.header) == frameHeaderSize {
			c.skip = payloadSize(c.header)
			c.header = c.header[:0]
		}
	}
}
