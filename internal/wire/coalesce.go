package wire

import "encoding/binary"

// HTTP/2 framing (RFC 9113, sections 3.4, 4.1 and 6.2).
const (
	prefaceSize     = 24 // bytes, sent by a client before its first frame
	frameHeaderSize = 9  // bytes

	frameHeaders   = 0x1
	flagEndStream  = 0x1
	flagEndHeaders = 0x4
)

// coalescer combines the HEADERS frame of a request with the next write. The
// client of net/http flushes HEADERS and DATA separately, which costs an extra
// system call on both sides and wakes the handler before its message arrives. The
// DATA frame follows at once, because the body is in memory. If flow control
// delays it, the window can open without these HEADERS, so this cannot deadlock.
type coalescer struct {
	pending []byte // HEADERS frame that is sent with the next write
	skip    int    // bytes left of the preface or the current frame
	header  []byte // incomplete frame header
}

func newCoalescer() coalescer { return coalescer{skip: prefaceSize} }

// next returns the bytes to write now, or nil if b is kept for the next write.
func (c *coalescer) next(b []byte) []byte {
	aligned := c.skip == 0 && len(c.header) == 0
	c.advance(b)
	if len(c.pending) > 0 {
		c.pending = append(c.pending, b...)
		out := c.pending
		c.pending = c.pending[:0]
		if cap(out) > maxPendingCapacity {
			c.pending = nil
		}
		return out
	}
	if aligned && isRequestHeaders(b) {
		c.pending = append(c.pending, b...)
		return nil
	}
	return b
}

// maxPendingCapacity limits the buffer in bytes that an idle connection keeps.
const maxPendingCapacity = 4 << 10

// isRequestHeaders reports whether b is exactly one HEADERS frame of a request
// with a body.
func isRequestHeaders(b []byte) bool {
	if len(b) < frameHeaderSize || frameHeaderSize+payloadSize(b) != len(b) {
		return false
	}
	return b[3] == frameHeaders && b[4]&(flagEndStream|flagEndHeaders) == flagEndHeaders
}

func payloadSize(header []byte) int { return int(binary.BigEndian.Uint32(header) >> 8) }

// advance tracks the frame boundaries of the stream.
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
