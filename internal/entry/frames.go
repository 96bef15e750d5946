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

// readBuffer is the size of the buffer that a caller has while it sends a
// batch, in bytes.
const readBuffer = 4096

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// frames reads messages of a caller. Between batches it holds no buffer, so
// that an idle connection costs little memory.
type frames struct {
	conn net.Conn
	br   *bufio.Reader // nil while idle
	max  int           // largest message body in bytes
	body bytes.Buffer
}

// idle reports whether everything that was received has been read.
func (f *frames) idle() bool { return f.br == nil || f.br.Buffered() == 0 }

// release returns the buffers if nothing is left in them.
func (f *frames) release() {
	if f.br == nil || f.br.Buffered() > 0 {
		return
	}
	f.br.Reset(nil)
	readers.Put(f.br)
	f.br = nil
	f.body = bytes.Buffer{}
}

// kind waits for the type byte of the next message.
func (f *frames) kind() (byte, error) {
	if f.br != nil {
		return f.br.ReadByte()
	}
	var b [1]byte
	if _, err := io.ReadFull(f.conn, b[:]); err != nil {
		return 0, err
	}
	f.br = readers.Get().(*bufio.Reader)
	f.br.Reset(f.conn)
	return b[0], nil
}

// read returns the body of the message whose type byte was read. The body is
// valid until the next call. A message above the limit is skipped and reported
// as result.MessageTooLarge; any other error ends the connection.
func (f *frames) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(f.br, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:])) - int64(len(head))
	if n < 0 || n > maxLength {
		return nil, result.Errorf(result.ProtocolViolation, "message length %d is not valid", n)
	}
	if n > int64(f.max) {
		if _, err := io.CopyN(io.Discard, f.br, n); err != nil {
			return nil, err
		}
		return nil, result.Errorf(result.MessageTooLarge, "message has %d bytes: want at most %d", n, f.max)
	}
	f.body.Reset()
	if _, err := io.CopyN(&f.body, f.br, n); err != nil {
		return nil, err
	}
	return f.body.Bytes(), nil
}

// maxLength is the largest length that the protocol allows, in bytes.
const maxLength = 1 << 30

// readStartup reads a packet without a type byte of at most max bytes. It
// reads no byte beyond the packet.
func readStartup(r io.Reader, limit int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(head[:])) - int64(len(head))
	if n < 4 || n > int64(limit) {
		return nil, result.Errorf(result.BadStartup, "startup packet has length %d: want 8 to %d", n+4, limit+4)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read startup packet: %w", err)
	}
	return body, nil
}
