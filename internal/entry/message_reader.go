package entry

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"

	"geraniumbeam/internal/result"
)

// readBufferSize is the size in bytes of the buffer that a connection holds while
// a batch is read.
const readBufferSize = 4096

var bufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// messageReader reads the messages of a caller. Between batches it holds no buffer,
// so that an idle connection uses little memory.
type messageReader struct {
	conn    net.Conn
	br      *bufio.Reader // nil while idle
	maxBody int           // largest message body in bytes
	body    bytes.Buffer
}

// isEmpty reports whether all received bytes have been consumed.
func (r *messageReader) isEmpty() bool { return r.br == nil || r.br.Buffered() == 0 }

// release returns the buffer to the pool if it is empty.
func (r *messageReader) release() {
	if r.br == nil || r.br.Buffered() > 0 {
		return
	}
	r.br.Reset(nil)
	bufferPool.Put(r.br)
	r.br = nil
	r.body = bytes.Buffer{}
}

// readType waits for the next message and returns its type byte.
func (r *messageReader) readType() (byte, error) {
	if r.br != nil {
		return r.br.ReadByte()
	}
	var b [1]byte
	if _, err := io.ReadFull(r.conn, b[:]); err != nil {
		return 0, err
	}
	r.br = bufferPool.Get().(*bufio.Reader)
	r.br.Reset(r.conn)
	return b[0], nil
}

// readBody returns the body of the message whose type byte was read. The body is
// valid until the next call. A message above maxBody is skipped and reported as
// result.MessageTooLarge; any other error ends the connection.
func (r *messageReader) readBody() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r.br, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:])) - int64(len(head))
	if n < 0 || n > maxMessageLength {
		return nil, result.Errorf(result.ProtocolViolation, "invalid message body length %d", n)
	}
	if n > int64(r.maxBody) {
		if _, err := io.CopyN(io.Discard, r.br, n); err != nil {
			return nil, err
		}
		return nil, result.Errorf(result.MessageTooLarge, "message body of %d bytes exceeds the limit of %d bytes", n, r.maxBody)
	}
	r.body.Reset()
	if _, err := io.CopyN(&r.body, r.br, n); err != nil {
		return nil, err
	}
	return r.body.Bytes(), nil
}

// maxMessageLength is the largest message body in bytes that the protocol allows.
const maxMessageLength = 1 << 30

// readStartupPacket reads a packet without a type byte and returns its body of at
// most limit bytes. It reads no byte beyond the packet.
func readStartupPacket(r io.Reader, limit int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:])) - int64(len(head))
	if n < 4 || n > int64(limit) {
		return nil, result.Errorf(result.BadStartup, "startup packet has length %d, want 8 to %d", n+4, limit+4)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read startup packet: %w", err)
	}
	return body, nil
}
